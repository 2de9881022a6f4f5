package selection_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/rollout"
	"github.com/bronzeturn/bronzeturn/selection"
)

const keys = 20_000

// rolloutSite returns site with a roll-out of small@3, whose baseline is small@2.
func rolloutSite(state bronzeturnv1.RolloutState) (*bronzeturnv1.Register, *bronzeturnv1.Rules) {
	reg, rules := site()
	reg.Versions = append(reg.Versions, &bronzeturnv1.Version{
		Name: "small@3", Model: "small", PromptPriceMicros: 300_000, CompletionPriceMicros: 300_000, PriorQuality: 0.85,
	})
	reg.Engines[0].Versions = append(reg.Engines[0].Versions, "small@3")
	reg.Organisations = append(reg.Organisations, &bronzeturnv1.Organisation{Name: "new", AllowedVersions: []string{"small@3"}})
	rules.Rollouts = []*bronzeturnv1.Rollout{{Version: "small@3", Baseline: "small@2", MaxShare: 0.1, State: state}}
	return reg, rules
}

// fixture is a policy with a plan and its learnt state.
type fixture struct {
	plan    *selection.Plan
	policy  *selection.Policy
	rollout *rollout.Controller
	now     time.Time
}

func newFixture(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules, o rollout.Options) *fixture {
	f := &fixture{plan: selection.NewPlan(reg, rules), rollout: rollout.NewController(o), now: start}
	f.policy = selection.NewPolicy(selection.Options{}, quality.NewStore(quality.Options{}), f.rollout)
	f.policy.SetPlan(f.plan)
	return f
}

// rate adds up to n ratings by two organisations in turn, and stops when the
// version is cut off or cleared.
func (f *fixture) rate(t *testing.T, version string, score float64, n int) {
	t.Helper()
	for i := range n {
		change, err := f.policy.ObserveRating(quality.Rating{
			Organisation: []string{"workshop", "depot"}[i%2], Version: version, Kind: "quick", Score: score, At: f.now,
		})
		qt.Assert(t, err, qt.IsNil)
		if change == rollout.CutOff || change == rollout.Cleared {
			return
		}
	}
}

// counts returns how often each version is chosen for "workshop", and for each key
// whether the given version is chosen.
func (f *fixture) counts(t *testing.T, version string) (map[string]int, map[int]bool) {
	t.Helper()
	count, on := make(map[string]int), make(map[int]bool)
	rng := newRand(1)
	for i := range keys {
		d, err := f.policy.Choose(f.plan, &selection.Request{Organisation: "workshop", Kind: "quick", Key: fmt.Sprint(i)}, f.now, rng)
		qt.Assert(t, err, qt.IsNil)
		count[d.Version]++
		on[i] = d.Version == version
	}
	return count, on
}

func share(n int) float64 { return float64(n) / keys }

func TestRolloutShareGrowsWithinItsCapAndKeepsItsKeys(t *testing.T) {
	reg, rules := rolloutSite(bronzeturnv1.RolloutState_ROLLOUT_STATE_RUNNING)
	f := newFixture(reg, rules, rollout.Options{})
	count, first := f.counts(t, "small@3")
	qt.Assert(t, share(count["small@3"]) > 0.015 && share(count["small@3"]) < 0.025, qt.IsTrue, qt.Commentf("%v", count))

	f.rate(t, "small@3", 1, 2000)
	count, last := f.counts(t, "small@3")
	qt.Assert(t, share(count["small@3"]) > 0.09 && share(count["small@3"]) < 0.11, qt.IsTrue, qt.Commentf("%v", count))
	for key, on := range first {
		qt.Assert(t, !on || last[key], qt.IsTrue, qt.Commentf("key %d went back to the baseline", key))
	}
}

func TestPausedRolloutKeepsItsShare(t *testing.T) {
	reg, rules := rolloutSite(bronzeturnv1.RolloutState_ROLLOUT_STATE_PAUSED)
	f := newFixture(reg, rules, rollout.Options{})
	_, before := f.counts(t, "small@3")
	f.rate(t, "small@3", 1, 2000)
	_, after := f.counts(t, "small@3")
	qt.Assert(t, maps.Equal(after, before), qt.IsTrue)
}

func TestHaltedRolloutGetsNothingNew(t *testing.T) {
	reg, rules := rolloutSite(bronzeturnv1.RolloutState_ROLLOUT_STATE_HALTED)
	f := newFixture(reg, rules, rollout.Options{})
	count, _ := f.counts(t, "small@3")
	qt.Assert(t, count["small@3"], qt.Equals, 0)
	for _, r := range []selection.Request{
		{Organisation: "new", Kind: "quick"},
		{Organisation: "workshop", Kind: "quick", Constraint: "small@3"},
	} {
		_, err := f.policy.Choose(f.plan, &r, start, nil)
		qt.Assert(t, codeOf(err), qt.Equals, failure.CodeVersionWithdrawn)
	}
}

func TestCutOffVersionGetsOnlyATrickleAfterAWhile(t *testing.T) {
	reg, rules := site()
	f := newFixture(reg, rules, rollout.Options{})
	f.rate(t, "small@2", 0, 1000)
	qt.Assert(t, f.rollout.Track("small@2").Gate(f.now), qt.Equals, rollout.GateClosed)
	count, _ := f.counts(t, "small@2")
	qt.Assert(t, count["small@2"], qt.Equals, 0)

	f.now = f.rollout.Track("small@2").RetryAt()
	count, _ = f.counts(t, "small@2")
	qt.Assert(t, share(count["small@2"]) > 0.007 && share(count["small@2"]) < 0.013, qt.IsTrue, qt.Commentf("%v", count))

	f.rate(t, "small@2", 1, 1000)
	count, _ = f.counts(t, "small@2")
	qt.Assert(t, share(count["small@2"]) > 0.9, qt.IsTrue, qt.Commentf("%v", count))
}

func TestCutOffAndConversations(t *testing.T) {
	for _, end := range []bool{false, true} {
		t.Run(fmt.Sprintf("end=%v", end), func(t *testing.T) {
			reg, rules := site()
			f := newFixture(reg, rules, rollout.Options{EndConversations: end})
			f.rate(t, "small@2", 0, 1000)
			r := selection.Request{Organisation: "workshop", Kind: "quick", Constraint: "small@2", InConversation: true}
			_, err := f.policy.Choose(f.plan, &r, f.now, nil)
			qt.Assert(t, err != nil, qt.Equals, end)
		})
	}
}

func TestWithoutAnAlternativeTheRuleDecidesOnACutOffVersion(t *testing.T) {
	reg, rules := site()
	reg.Organisations[1].AllowedVersions = []string{"small@2"}
	r := selection.Request{Organisation: "depot", Kind: "quick"}

	f := newFixture(reg, rules, rollout.Options{})
	f.rate(t, "small@2", 0, 1000)
	d, err := f.policy.Choose(f.plan, &r, f.now, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, d.Reason, qt.Equals, selection.ReasonLastResort)

	rules.Kinds[0].BelowTarget = bronzeturnv1.BelowTarget_BELOW_TARGET_REFUSE
	_, err = f.policy.Choose(selection.NewPlan(reg, rules), &r, f.now, nil)
	qt.Assert(t, codeOf(err), qt.Equals, failure.CodeTargetUnreachable)
	qt.Assert(t, failure.From(err).RetryAfter > 0, qt.IsTrue)
}

func TestExplorationIsBounded(t *testing.T) {
	reg, rules := site()
	reg.Versions[0].PriorQuality = 0.78 // uncertain whether it reaches the target of 0.8
	f := newFixture(reg, rules, rollout.Options{})
	count, _ := f.counts(t, "small@1")
	got := share(count["small@1"])
	qt.Assert(t, got > 0.005 && got <= 1.3*selection.DefaultExploreShare, qt.IsTrue, qt.Commentf("%v", count))
}

func TestCascadeIsChosenWhereItCostsLess(t *testing.T) {
	tests := []struct {
		name        string
		change      func(*bronzeturnv1.Rules, *selection.Request)
		escalatable bool
	}{
		{"a cheap version close to the target", func(*bronzeturnv1.Rules, *selection.Request) {}, true},
		{"the rule has no cascade", func(r *bronzeturnv1.Rules, _ *selection.Request) { r.Kinds[1].Cascade = false }, false},
		{"the kind may not run twice", func(r *bronzeturnv1.Rules, _ *selection.Request) { r.Kinds[1].Idempotent = false }, false},
		{"a conversation", func(_ *bronzeturnv1.Rules, r *selection.Request) { r.InConversation = true }, false},
		{"the deadline allows one attempt", func(_ *bronzeturnv1.Rules, r *selection.Request) { r.Deadline = start.Add(15 * time.Second) }, false},
		{"the spend limit allows one attempt", func(_ *bronzeturnv1.Rules, r *selection.Request) { r.SpendLimited = true; r.SpendLeftMicros = 4900 }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reg, rules := site()
			rules.Kinds[1].QualityTarget = 0.87
			rules.Kinds[1].Cascade = true
			r := selection.Request{Organisation: "workshop", Kind: "report"}
			test.change(rules, &r)
			d, err := newPolicy().Choose(selection.NewPlan(reg, rules), &r, start, nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, d.Escalatable, qt.Equals, test.escalatable, qt.Commentf("%+v", d))
			if d.Escalatable {
				qt.Assert(t, d.Version, qt.Equals, "small@2")
				qt.Assert(t, d.Cascade.Next, qt.Equals, "large@1")
				qt.Assert(t, d.ExpectedCostMicros < 4800, qt.IsTrue)
			}
		})
	}
}
