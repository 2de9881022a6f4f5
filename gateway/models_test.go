package gateway

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/route"
)

// sizes returns a service with three models, the largest of which is expensive, a route for
// urgent requests and one for requests of low worth.
func sizes() (service *route.Service, urgent, cheap *route.Route) {
	names := []string{"small", "middle", "large"}
	service = &route.Service{Name: "llm", Slots: 4, Models: []route.Model{{Name: "small", Cost: 0.015}, {Name: "middle", Cost: 0.11}, {Name: "large", Cost: 0.22}}}
	urgent = &route.Route{Name: "urgent", Kind: route.Stream, Resumable: true, Models: names, Attempts: 3}
	cheap = &route.Route{Name: "cheap", Kind: route.Stream, Resumable: true, Models: names, Attempts: 3, Priority: 2}
	return service, urgent, cheap
}

// at returns an estimator by which every model begins at the given share of the target.
func at(share float64) func(string) float64 { return func(string) float64 { return share } }

// byPriority returns options with explicit values per route priority.
func byPriority() ModelOptions {
	o := DefaultModelOptions()
	o.Values = []float64{5, 1.2, 0.3}
	return o
}

// noExploration is a draw that picks no model for exploration.
const noExploration = 0.99

func TestEscalationNeedsExpectedGain(t *testing.T) {
	service, urgent, cheap := sizes()
	for _, test := range []struct {
		name       string
		route      *route.Route
		confidence int
		begins     float64
		want       string
	}{
		{"high confidence", urgent, 80, 0, ""},
		{"no confidence reported", urgent, -1, 0, ""},
		{"very low confidence", urgent, 5, 0, "large"},
		{"low confidence", urgent, 45, 0, "large"},
		{"fairly high confidence, low worth", cheap, 62, 0, ""},
		{"low confidence, low worth", cheap, 30, 0, "large"},
		{"low confidence, but the larger model would be late", urgent, 45, 1, ""},
		{"very low confidence, but the larger model would be late", urgent, 5, 1, "large"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := NewModelChoice(byPriority())
			q := m.Sized(test.route, service, 1800, 30)
			got, ok := m.Larger(q, "small", test.confidence, at(test.begins), noExploration)
			c.Check(got, qt.Equals, test.want)
			c.Check(ok, qt.Equals, test.want != "")
		})
	}
}

func TestWorthGrowsWithSizeOfRequest(t *testing.T) {
	c := qt.New(t)
	service, urgent, _ := sizes()
	m := NewModelChoice(byPriority())
	usual := m.Sized(urgent, service, 1000, 100).worth
	c.Check(usual, qt.Equals, 5.0)
	double := m.Sized(urgent, service, 2000, 200).worth
	c.Check(math.Abs(double-5*(0.3+0.7*2)) < 0.2, qt.IsTrue, qt.Commentf("%v", double))
}

// TestChanceOfMiddleModelIsLearnt guards against escalations to a middle model whose answers
// have turned out to be of low confidence, except for exploration.
func TestChanceOfMiddleModelIsLearnt(t *testing.T) {
	c := qt.New(t)
	service, urgent, _ := sizes()
	m := NewModelChoice(byPriority())
	q := m.Sized(urgent, service, 9000, 400)
	const smallConfidence = 55
	got, _ := m.Larger(q, "small", smallConfidence, at(0), noExploration)
	c.Check(got, qt.Equals, "middle")
	for range 40 {
		m.ObserveConfidence(q, "middle", 20, smallConfidence)
	}
	got, _ = m.Larger(q, "small", smallConfidence, at(0), noExploration)
	c.Check(got, qt.Equals, "large")
	got, _ = m.Larger(q, "small", smallConfidence, at(0), 0)
	c.Check(got, qt.Equals, "middle")
	// The chance of another confidence band is unchanged.
	sure := m.chance(q, "middle", band(68))
	c.Check(sure > 0.9, qt.IsTrue, qt.Commentf("%v", sure))
}

// TestSingleRunUsesModelWithBestGain guards against using the smallest model although no
// second run is possible, so that its answer could not be replaced.
func TestSingleRunUsesModelWithBestGain(t *testing.T) {
	c := qt.New(t)
	service, urgent, cheap := sizes()
	m := NewModelChoice(byPriority())
	highWorth, lowWorth := m.Sized(urgent, service, 9000, 400), m.Sized(cheap, service, 9000, 30)
	c.Check(m.First(highWorth, false), qt.Equals, "small")
	c.Check(m.First(highWorth, true), qt.Equals, "large")
	c.Check(m.First(lowWorth, true), qt.Equals, "small")
	c.Check(m.First(&sizedRequest{route: &route.Route{}}, true), qt.Equals, "")
}

func TestAnswerValuesAreChecked(t *testing.T) {
	c := qt.New(t)
	o := DefaultModelOptions()
	c.Check(o.Check(), qt.IsNil)
	o.Values = []float64{1, 0}
	c.Check(o.Check(), qt.ErrorMatches, "answer value 2: 0 is not above zero")
	o.Values = []float64{math.NaN()}
	c.Check(o.Check(), qt.ErrorMatches, "answer value 1: NaN is not above zero")
	o = DefaultModelOptions()
	o.WorthOverPrice = 0
	c.Check(o.Check(), qt.ErrorMatches, "worth over price: 0 is not above zero")
}
