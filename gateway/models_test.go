package gateway

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/route"
)

// sizes is a service of three sizes, the largest of which is dear, and routes of an
// urgent and of a cheap kind of request.
func sizes() (service *route.Service, urgent, cheap *route.Route) {
	names := []string{"small", "middle", "large"}
	service = &route.Service{Name: "llm", Slots: 4, Models: []route.Model{{Name: "small", Cost: 0.015}, {Name: "middle", Cost: 0.11}, {Name: "large", Cost: 0.22}}}
	urgent = &route.Route{Name: "urgent", Kind: route.Stream, Resumable: true, Models: names, Attempts: 3}
	cheap = &route.Route{Name: "cheap", Kind: route.Stream, Resumable: true, Models: names, Attempts: 3, Priority: 2}
	return service, urgent, cheap
}

// at returns an outlook in which every model begins at the given part of the target.
func at(share float64) func(string) float64 { return func(string) float64 { return share } }

// byPriority are options with an operator's values: by the priority of the route.
func byPriority() ModelOptions {
	o := DefaultModelOptions()
	o.Values = []float64{5, 1.2, 0.3}
	return o
}

// noTry is a draw that tries no model out.
const noTry = 0.99

func TestLargerModelHasToPay(t *testing.T) {
	service, urgent, cheap := sizes()
	for _, test := range []struct {
		name       string
		route      *route.Route
		confidence int
		begins     float64
		want       string
	}{
		{"sure", urgent, 80, 0, ""},
		{"not told", urgent, -1, 0, ""},
		{"hopeless", urgent, 5, 0, "large"},
		{"doubtful", urgent, 45, 0, "large"},
		{"rather sure, and little to lose", cheap, 62, 0, ""},
		{"doubtful, and little to lose", cheap, 30, 0, "large"},
		{"doubtful, but the larger one would be late", urgent, 45, 1, ""},
		{"hopeless, but the larger one would be late", urgent, 5, 1, "large"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := NewModelChoice(byPriority())
			q := m.Sized(test.route, service, 1800, 30)
			got, ok := m.Larger(q, "small", test.confidence, at(test.begins), noTry)
			c.Check(got, qt.Equals, test.want)
			c.Check(ok, qt.Equals, test.want != "")
		})
	}
}

func TestWorthGrowsWithTheLengthOfTheRequest(t *testing.T) {
	c := qt.New(t)
	service, urgent, _ := sizes()
	m := NewModelChoice(byPriority())
	usual := m.Sized(urgent, service, 1000, 100).worth
	c.Check(usual, qt.Equals, 5.0)
	double := m.Sized(urgent, service, 2000, 200).worth
	c.Check(math.Abs(double-5*(0.3+0.7*2)) < 0.2, qt.IsTrue, qt.Commentf("%v", double))
}

// TestMiddleSizeIsLearnt: the middle size is asked where it is likely to do, and no
// more once its answers turn out to be doubtful, but for a few tries.
func TestMiddleSizeIsLearnt(t *testing.T) {
	c := qt.New(t)
	service, urgent, _ := sizes()
	m := NewModelChoice(byPriority())
	q := m.Sized(urgent, service, 9000, 400)
	const doubt = 55
	got, _ := m.Larger(q, "small", doubt, at(0), noTry)
	c.Check(got, qt.Equals, "middle")
	for range 40 {
		m.Told(q, "middle", 20, doubt)
	}
	got, _ = m.Larger(q, "small", doubt, at(0), noTry)
	c.Check(got, qt.Equals, "large")
	got, _ = m.Larger(q, "small", doubt, at(0), 0)
	c.Check(got, qt.Equals, "middle")
	// What was learnt about one band of doubts says nothing about another.
	sure := m.chance(q, "middle", band(68))
	c.Check(sure > 0.9, qt.IsTrue, qt.Commentf("%v", sure))
}

// TestSingleRunGoesToTheModelThatPaysBest: without a second run the smallest one's
// answer could not be replaced.
func TestSingleRunGoesToTheModelThatPaysBest(t *testing.T) {
	c := qt.New(t)
	service, urgent, cheap := sizes()
	m := NewModelChoice(byPriority())
	dear, light := m.Sized(urgent, service, 9000, 400), m.Sized(cheap, service, 9000, 30)
	c.Check(m.First(dear, false), qt.Equals, "small")
	c.Check(m.First(dear, true), qt.Equals, "large")
	c.Check(m.First(light, true), qt.Equals, "small")
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
