package selection_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/rollout"
	"github.com/bronzeturn/bronzeturn/selection"
)

func TestExploredShareDependsOnTheEstimate(t *testing.T) {
	cases := []struct {
		name     string
		prior    float64 // of the cheapest version, with a target of 0.8
		from, to float64
	}{
		{"probably at the target", 0.82, 0.19, 0.21},
		{"possibly at the target", 0.78, 0.045, 0.055},
		{"unlikely at the target", 0.7, 0.003, 0.007},
		{"far below the target", 0.5, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			reg, rules := site()
			reg.Versions[0].PriorQuality = test.prior
			f := newFixture(reg, rules, rollout.Options{})
			count, _ := f.counts(t, "small@1")
			got := share(count["small@1"])
			qt.Assert(t, got >= test.from && got <= test.to, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

// Ratings of answers that pass the check exist only for cascades that ran, so
// cascades that look too weak have to be explored.
func TestCascadesAreExplored(t *testing.T) {
	reg, rules := site()
	rules.Kinds[1].QualityTarget = 0.91
	rules.Kinds[1].Cascade = true
	f := newFixture(reg, rules, rollout.Options{})
	rng := newRand(1)
	explored := 0
	for i := range keys {
		r := selection.Request{Organisation: "workshop", Kind: "report", Key: fmt.Sprint(i)}
		d, err := f.policy.Choose(f.plan, &r, f.now, rng)
		qt.Assert(t, err, qt.IsNil)
		if d.Reason == selection.ReasonExplore && d.Escalatable {
			explored++
			qt.Assert(t, d.Version, qt.Equals, "small@2")
			qt.Assert(t, d.Cascade.Next, qt.Equals, "large@1")
		}
	}
	qt.Assert(t, share(explored) > 0.35 && share(explored) < 0.45, qt.IsTrue, qt.Commentf("%d", explored))
}

// The first request of a conversation has to explore, since otherwise versions that
// serve only conversations would never get ratings.
func TestConversationsExploreWithTheirFirstRequestOnly(t *testing.T) {
	for _, test := range []struct {
		name, constraint string
		explored         bool
	}{{"first", "", true}, {"later", "small@2", false}} {
		t.Run(test.name, func(t *testing.T) {
			reg, rules := site()
			reg.Versions[0].PriorQuality = 0.78
			f := newFixture(reg, rules, rollout.Options{})
			rng := newRand(1)
			explored := false
			for i := range keys {
				r := selection.Request{
					Organisation: "workshop", Kind: "quick", Key: fmt.Sprint(i),
					Constraint: test.constraint, InConversation: true,
				}
				d, err := f.policy.Choose(f.plan, &r, f.now, rng)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, d.Escalatable, qt.IsFalse)
				explored = explored || d.Reason == selection.ReasonExplore
			}
			qt.Assert(t, explored, qt.Equals, test.explored)
		})
	}
}
