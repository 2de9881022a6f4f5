package selection_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/rollout"
	"github.com/bronzeturn/bronzeturn/selection"
)

// randomSite is a random configuration with random learnt state.
type randomSite struct {
	reg     *bronzeturnv1.Register
	rules   *bronzeturnv1.Rules
	quality *quality.Store
	rollout *rollout.Controller
	policy  *selection.Policy
}

func drawSite(t *rapid.T) *randomSite {
	w := &randomSite{reg: &bronzeturnv1.Register{}, rules: &bronzeturnv1.Rules{}}
	n := rapid.IntRange(1, 8).Draw(t, "versions")
	score := rapid.Float64Range(0, 1)
	for i := range n {
		name := fmt.Sprintf("v%d", i)
		w.reg.Versions = append(w.reg.Versions, &bronzeturnv1.Version{
			Name: name, Model: fmt.Sprintf("m%d", i%3), PriorQuality: score.Draw(t, "prior"),
			PromptPriceMicros:     rapid.Int64Range(0, 1e6).Draw(t, "price"),
			CompletionPriceMicros: rapid.Int64Range(1, 1e7).Draw(t, "price"),
			ContextTokens:         rapid.SampledFrom([]int64{0, 0, 500}).Draw(t, "context"),
		})
		if rapid.IntRange(0, 9).Draw(t, "served") > 0 {
			w.reg.Engines = append(w.reg.Engines, &bronzeturnv1.Engine{Versions: []string{name}, TokensPerSecond: 50})
		}
		if rapid.IntRange(0, 4).Draw(t, "withdrawn") == 0 {
			w.rules.Withdrawals = append(w.rules.Withdrawals, &bronzeturnv1.Withdrawal{Version: name})
		}
		if i > 0 && rapid.IntRange(0, 2).Draw(t, "rollout") == 0 {
			w.rules.Rollouts = append(w.rules.Rollouts, &bronzeturnv1.Rollout{
				Version: name, Baseline: "v0", MaxShare: score.Draw(t, "share"),
				State: bronzeturnv1.RolloutState(rapid.IntRange(0, 3).Draw(t, "state")),
			})
		}
	}
	for i := range 3 {
		o := &bronzeturnv1.Organisation{Name: fmt.Sprintf("o%d", i)}
		for _, v := range w.reg.Versions {
			if rapid.Bool().Draw(t, "allowed") {
				o.AllowedVersions = append(o.AllowedVersions, v.Name)
			}
		}
		w.reg.Organisations = append(w.reg.Organisations, o)
	}
	w.rules.Kinds = []*bronzeturnv1.TaskKind{{
		Name: "quick", QualityTarget: score.Draw(t, "target"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Cascade: rapid.Bool().Draw(t, "cascade"), ExpectedCompletionTokens: 100,
		BelowTarget: bronzeturnv1.BelowTarget(rapid.IntRange(0, 2).Draw(t, "below")),
	}}
	w.learn(t)
	return w
}

// learn adds random ratings, which may cut versions off.
func (w *randomSite) learn(t *rapid.T) {
	w.quality = quality.NewStore(quality.Options{})
	w.rollout = rollout.NewController(rollout.Options{})
	w.policy = selection.NewPolicy(selection.Options{ExploreShare: 0.5}, w.quality, w.rollout)
	w.policy.SetPlan(w.plan())
	for _, v := range w.reg.Versions {
		score := rapid.Float64Range(0, 1).Draw(t, "score")
		for i := range rapid.IntRange(0, 40).Draw(t, "ratings") {
			_, err := w.policy.ObserveRating(quality.Rating{
				Organisation: fmt.Sprintf("o%d", i%3), Version: v.Name, Kind: "quick", Score: score, At: start,
			})
			if err != nil {
				t.Fatal(err)
			}
		}
	}
}

func (w *randomSite) plan() *selection.Plan { return selection.NewPlan(w.reg, w.rules) }

func drawRequest(t *rapid.T, w *randomSite) selection.Request {
	names := []string{"", "auto", "m0", "v0", "v1"}
	return selection.Request{
		Organisation:    rapid.SampledFrom([]string{"o0", "o1", "o2"}).Draw(t, "organisation"),
		Kind:            "quick",
		Key:             rapid.StringN(1, 8, 8).Draw(t, "key"),
		Constraint:      rapid.SampledFrom(names).Draw(t, "constraint"),
		InConversation:  rapid.Bool().Draw(t, "conversation"),
		PromptTokens:    rapid.Int64Range(0, 1000).Draw(t, "prompt"),
		FailedVersions:  rapid.SampledFrom([][]string{nil, nil, {"v0"}, {"v1", "v2"}}).Draw(t, "tried"),
		Deadline:        start.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute}).Draw(t, "deadline")),
		SpendLimited:    rapid.Bool().Draw(t, "limited"),
		SpendLeftMicros: rapid.Int64Range(0, 5000).Draw(t, "left"),
	}
}

// mayRun checks the rules that hold for every choice, whatever its reason.
func (w *randomSite) mayRun(r *selection.Request, name string) bool {
	for _, o := range w.reg.Organisations {
		if o.Name == r.Organisation && !slices.Contains(o.AllowedVersions, name) {
			return false
		}
	}
	for _, d := range w.rules.Withdrawals {
		if d.Version == name {
			return false
		}
	}
	for _, x := range w.rules.Rollouts {
		if x.Version == name && x.State == bronzeturnv1.RolloutState_ROLLOUT_STATE_HALTED {
			return false
		}
	}
	return !slices.Contains(r.FailedVersions, name) && w.served(name) && w.matches(r.Constraint, name)
}

func (w *randomSite) served(name string) bool {
	return slices.ContainsFunc(w.reg.Engines, func(e *bronzeturnv1.Engine) bool { return e.Versions[0] == name })
}

func (w *randomSite) matches(constraint, name string) bool {
	if constraint == "" || constraint == "auto" || constraint == name {
		return true
	}
	return w.version(name).Model == constraint && w.version(constraint) == nil
}

func (w *randomSite) version(name string) *bronzeturnv1.Version {
	for _, v := range w.reg.Versions {
		if v.Name == name {
			return v
		}
	}
	return nil
}

func (w *randomSite) cost(r *selection.Request, v *bronzeturnv1.Version) int64 {
	return (r.PromptTokens*v.PromptPriceMicros + 100*v.CompletionPriceMicros + 500_000) / 1_000_000
}

func TestChooseObeysTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawSite(t)
		plan := w.plan()
		for range 10 {
			r := drawRequest(t, w)
			seed := rapid.Uint64().Draw(t, "seed")
			d, err := w.policy.Choose(plan, &r, start, newRand(seed))
			again, _ := w.policy.Choose(plan, &r, start, newRand(seed))
			require(t, again == d, "the same seed chose otherwise")
			if err != nil {
				require(t, codeOf(err) != "", "untyped error %v", err)
				continue
			}
			require(t, w.mayRun(&r, d.Version), "%+v chose %+v", r, d)
			w.checkCost(t, &r, &d)
			w.checkCascade(t, &r, &d)
		}
	})
}

// checkCost asserts that no cheaper version has a lower quality bound that reaches
// the target, and that the spend limit holds.
func (w *randomSite) checkCost(t *rapid.T, r *selection.Request, d *selection.Decision) {
	if r.SpendLimited {
		require(t, d.ExpectedCostMicros <= r.SpendLeftMicros+1, "%+v chose %+v", r, d)
	}
	if d.Reason != selection.ReasonCheapest && d.Reason != selection.ReasonCascade {
		return
	}
	for _, v := range w.reg.Versions {
		introduced := slices.ContainsFunc(w.rules.Rollouts, func(x *bronzeturnv1.Rollout) bool { return x.Version == v.Name })
		closed := w.rollout.Track(v.Name).Gate(start) != rollout.GateOpen
		tooLong := v.ContextTokens > 0 && r.PromptTokens+100 > v.ContextTokens
		if introduced || closed || tooLong || !w.mayRun(r, v.Name) {
			continue
		}
		if w.quality.Estimate(v.Name, "quick", start).Lower >= d.Target {
			require(t, d.ExpectedCostMicros <= w.cost(r, v)+1, "%s is cheaper than %+v", v.Name, d)
		}
	}
}

func (w *randomSite) checkCascade(t *rapid.T, r *selection.Request, d *selection.Decision) {
	if !d.Escalatable {
		return
	}
	require(t, w.rules.Kinds[0].Idempotent, "%+v chose %+v", r, d)
	require(t, !r.InConversation, "%+v chose %+v", r, d)
	require(t, w.mayRun(r, d.Cascade.Next), "%+v chose %+v", r, d)
	require(t, d.Cascade.Next != d.Version, "%+v escalates to itself", d)
}

func require(t *rapid.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}
