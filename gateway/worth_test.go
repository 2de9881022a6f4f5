package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/route"
)

// deployment is a service with its models and routes, as in a configuration.
type deployment struct {
	service route.Service
	routes  []route.Route
}

// newDeployment returns a deployment with the given prices, the smallest model first, and
// routes for long reviews, short extracts and tags, whose target is four times as long.
func newDeployment(prices ...float64) deployment {
	d := deployment{service: route.Service{Name: "llm", Slots: 16}}
	var names []string
	for i, price := range prices {
		names = append(names, fmt.Sprint("size-", i))
		d.service.Models = append(d.service.Models, route.Model{Name: names[i], Cost: price})
	}
	shares := []route.Share{{Service: "llm", Weight: 1}}
	for _, r := range []route.Route{
		{Name: "review", Target: time.Second, Priority: 0},
		{Name: "extract", Target: time.Second, Priority: 1},
		{Name: "tag", Target: 4 * time.Second, Priority: 2},
	} {
		r.Prefix, r.Kind, r.Resumable, r.Models, r.Attempts, r.Shares = "/"+r.Name+"/", route.Stream, true, names, 3, shares
		d.routes = append(d.routes, r)
	}
	return d
}

// decide returns the model that answers each route's request at each confidence of the
// smallest model, "" for the smallest itself.
func (d deployment) decide(c *qt.C, o ModelOptions) []string {
	table, err := route.Compile(route.Config{Routes: d.routes, Services: []route.Service{d.service}})
	c.Assert(err, qt.IsNil)
	service, ok := table.Service("llm")
	c.Assert(ok, qt.IsTrue)
	sizes := map[string][2]int{"review": {9000, 60}, "extract": {2400, 25}, "tag": {2400, 25}}
	var decisions []string
	for _, r := range d.routes {
		found, ok := table.Match("", r.Prefix)
		c.Assert(ok, qt.IsTrue)
		m := NewModelChoice(o)
		q := m.Sized(found, service, sizes[r.Name][0], sizes[r.Name][1])
		for confidence := 0; confidence <= 100; confidence += 2 {
			size, _ := m.Larger(q, r.Models[0], confidence, at(0.1), noExploration)
			decisions = append(decisions, size)
		}
	}
	return decisions
}

// count returns the number of decisions for a larger model.
func count(decisions []string) (larger int) {
	for _, size := range decisions {
		if size != "" {
			larger++
		}
	}
	return larger
}

func TestDecisionsDoNotDependOnTheCurrency(t *testing.T) {
	c := qt.New(t)
	want := newDeployment(0.019, 0.14, 0.29).decide(c, DefaultModelOptions())
	c.Check(count(want) > 20, qt.IsTrue)
	for _, factor := range []float64{100, 0.001} {
		got := newDeployment(0.019*factor, 0.14*factor, 0.29*factor).decide(c, DefaultModelOptions())
		c.Check(got, qt.DeepEquals, want)
	}
}

// TestDecisionsDoNotDependOnPriority reverses the priorities of the routes, which say
// nothing about the worth of their answers.
func TestDecisionsDoNotDependOnPriority(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(0.019, 0.14, 0.29)
	want := d.decide(c, DefaultModelOptions())
	for i := range d.routes {
		d.routes[i].Priority = len(d.routes) - 1 - i
	}
	c.Check(d.decide(c, DefaultModelOptions()), qt.DeepEquals, want)
	c.Check(d.decide(c, byPriority()), qt.Not(qt.DeepEquals), want)
}

func TestAnyNumberOfModelsIsSupported(t *testing.T) {
	for _, prices := range [][]float64{{0.3}, {0.02, 0.3}, {0.02, 0.1, 0.2, 0.3}} {
		t.Run(fmt.Sprint(len(prices)), func(t *testing.T) {
			c := qt.New(t)
			decisions := newDeployment(prices...).decide(c, DefaultModelOptions())
			c.Check(count(decisions) > 0, qt.Equals, len(prices) > 1)
			hopeless, sure := decisions[0], decisions[50]
			c.Check(hopeless != "", qt.Equals, len(prices) > 1)
			c.Check(sure, qt.Equals, "")
		})
	}
}

// TestLongerTargetEscalatesLess compares two routes with requests of the same size, one of
// which has a target four times as long.
func TestLongerTargetEscalatesLess(t *testing.T) {
	c := qt.New(t)
	decisions := newDeployment(0.019, 0.14, 0.29).decide(c, DefaultModelOptions())
	per := len(decisions) / 3
	extract, tag := count(decisions[per:2*per]), count(decisions[2*per:])
	c.Check(tag < extract, qt.IsTrue, qt.Commentf("%d and %d", tag, extract))
	c.Check(tag > 0, qt.IsTrue)
}
