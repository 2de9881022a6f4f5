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
	s := &randomSite{reg: &bronzeturnv1.Register{}, rules: &bronzeturnv1.Rules{}}
	n := rapid.IntRange(1, 8).Draw(t, "versions")
	score := rapid.Float64Range(0, 1)
	for i := range n {
		name := fmt.Sprintf("v%d", i)
		s.reg.Versions = append(s.reg.Versions, &bronzeturnv1.Version{
			Name: name, Model: fmt.Sprintf("m%d", i%3), PriorQuality: score.Draw(t, "prior"),
			PromptPriceMicros:     rapid.Int64Range(0, 1e6).Draw(t, "price"),
			CompletionPriceMicros: rapid.Int64Range(1, 1e7).Draw(t, "price"),
			ContextTokens:         rapid.SampledFrom([]int64{0, 0, 500}).Draw(t, "context"),
		})
		if rapid.IntRange(0, 9).Draw(t, "served") > 0 {
			s.reg.Engines = append(s.reg.Engines, &bronzeturnv1.Engine{Versions: []string{name}, TokensPerSecond: 50})
		}
		if rapid.IntRange(0, 4).Draw(t, "withdrawn") == 0 {
			s.rules.Withdrawals = append(s.rules.Withdrawals, &bronzeturnv1.Withdrawal{Version: name})
		}
		if i > 0 && rapid.IntRange(0, 2).Draw(t, "rollout") == 0 {
			s.rules.Rollouts = append(s.rules.Rollouts, &bronzeturnv1.Rollout{
				Version: name, Baseline: "v0", MaxShare: score.Draw(t, "share"),
				State: bronzeturnv1.RolloutState(rapid.IntRange(0, 3).Draw(t, "state")),
			})
		}
	}
	for i := range 3 {
		o := &bronzeturnv1.Organisation{Name: fmt.Sprintf("o%d", i)}
		for _, v := range s.reg.Versions {
			if rapid.Bool().Draw(t, "allowed") {
				o.AllowedVersions = append(o.AllowedVersions, v.Name)
			}
		}
		s.reg.Organisations = append(s.reg.Organisations, o)
	}
	s.rules.Kinds = []*bronzeturnv1.TaskKind{{
		Name: "quick", QualityTarget: score.Draw(t, "target"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Cascade: rapid.Bool().Draw(t, "cascade"), ExpectedCompletionTokens: 100,
		BelowTarget: bronzeturnv1.BelowTarget(rapid.IntRange(0, 2).Draw(t, "below")),
	}}
	s.learn(t)
	return s
}

// learn adds random ratings, which may cut versions off.
func (s *randomSite) learn(t *rapid.T) {
	s.quality = quality.NewStore(quality.Options{})
	s.rollout = rollout.NewController(rollout.Options{})
	s.policy = selection.NewPolicy(selection.Options{ExploreShare: 0.5}, s.quality, s.rollout)
	s.policy.SetPlan(s.plan())
	for _, v := range s.reg.Versions {
		score := rapid.Float64Range(0, 1).Draw(t, "score")
		for i := range rapid.IntRange(0, 40).Draw(t, "ratings") {
			_, err := s.policy.ObserveRating(quality.Rating{
				Organisation: fmt.Sprintf("o%d", i%3), Version: v.Name, Kind: "quick", Score: score, At: start,
			})
			if err != nil {
				t.Fatal(err)
			}
		}
	}
}

func (s *randomSite) plan() *selection.Plan { return selection.NewPlan(s.reg, s.rules) }

func drawRequest(t *rapid.T, s *randomSite) selection.Request {
	names := []string{"", "auto", "m0", "v0", "v1"}
	return selection.Request{
		Organisation:    rapid.SampledFrom([]string{"o0", "o1", "o2"}).Draw(t, "organisation"),
		Kind:            "quick",
		Key:             rapid.StringN(1, 8, 8).Draw(t, "key"),
		Constraint:      rapid.SampledFrom(names).Draw(t, "constraint"),
		InConversation:  rapid.Bool().Draw(t, "conversation"),
		PromptTokens:    rapid.Int64Range(0, 1000).Draw(t, "prompt"),
		FailedVersions:  rapid.SampledFrom([][]string{nil, nil, {"v0"}, {"v1", "v2"}}).Draw(t, "failed"),
		Deadline:        start.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute}).Draw(t, "deadline")),
		SpendLimited:    rapid.Bool().Draw(t, "limited"),
		SpendLeftMicros: rapid.Int64Range(0, 5000).Draw(t, "left"),
	}
}

// mayRun checks the rules that hold for every choice, whatever its reason.
func (s *randomSite) mayRun(r *selection.Request, name string) bool {
	for _, o := range s.reg.Organisations {
		if o.Name == r.Organisation && !slices.Contains(o.AllowedVersions, name) {
			return false
		}
	}
	for _, d := range s.rules.Withdrawals {
		if d.Version == name {
			return false
		}
	}
	for _, x := range s.rules.Rollouts {
		if x.Version == name && x.State == bronzeturnv1.RolloutState_ROLLOUT_STATE_HALTED {
			return false
		}
	}
	return !slices.Contains(r.FailedVersions, name) && s.served(name) && s.matches(r.Constraint, name)
}

func (s *randomSite) served(name string) bool {
	return slices.ContainsFunc(s.reg.Engines, func(e *bronzeturnv1.Engine) bool { return e.Versions[0] == name })
}

func (s *randomSite) matches(constraint, name string) bool {
	if constraint == "" || constraint == "auto" || constraint == name {
		return true
	}
	return s.version(name).Model == constraint && s.version(constraint) == nil
}

func (s *randomSite) version(name string) *bronzeturnv1.Version {
	for _, v := range s.reg.Versions {
		if v.Name == name {
			return v
		}
	}
	return nil
}

func (s *randomSite) cost(r *selection.Request, v *bronzeturnv1.Version) int64 {
	return (r.PromptTokens*v.PromptPriceMicros + 100*v.CompletionPriceMicros + 500_000) / 1_000_000
}

func TestChooseObeysTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSite(t)
		plan := s.plan()
		for range 10 {
			r := drawRequest(t, s)
			seed := rapid.Uint64().Draw(t, "seed")
			d, err := s.policy.Choose(plan, &r, start, newRand(seed))
			again, _ := s.policy.Choose(plan, &r, start, newRand(seed))
			require(t, again == d, "the same seed chose otherwise")
			if err != nil {
				require(t, codeOf(err) != "", "untyped error %v", err)
				continue
			}
			require(t, s.mayRun(&r, d.Version), "%+v chose %+v", r, d)
			s.checkCost(t, &r, &d)
			s.checkCascade(t, &r, &d)
		}
	})
}

// checkCost asserts that the cheapest of the versions whose lower bound of quality
// reaches the target is chosen, and that the spend limit holds.
func (s *randomSite) checkCost(t *rapid.T, r *selection.Request, d *selection.Decision) {
	if r.SpendLimited {
		require(t, d.ExpectedCostMicros <= r.SpendLeftMicros+1, "%+v chose %+v", r, d)
	}
	if d.Reason != selection.ReasonCheapest && d.Reason != selection.ReasonCascade {
		return
	}
	for _, v := range s.reg.Versions {
		inRollout := slices.ContainsFunc(s.rules.Rollouts, func(x *bronzeturnv1.Rollout) bool { return x.Version == v.Name })
		closed := s.rollout.Track(v.Name).Gate(start) != rollout.GateOpen
		tooLong := v.ContextTokens > 0 && r.PromptTokens+100 > v.ContextTokens
		if inRollout || closed || tooLong || !s.mayRun(r, v.Name) {
			continue
		}
		if s.quality.Estimate(v.Name, "quick", start).Lower >= d.Target {
			require(t, d.ExpectedCostMicros <= s.cost(r, v)+1, "%s is cheaper than %+v", v.Name, d)
		}
	}
}

func (s *randomSite) checkCascade(t *rapid.T, r *selection.Request, d *selection.Decision) {
	if !d.Escalatable {
		return
	}
	require(t, s.rules.Kinds[0].Idempotent, "%+v chose %+v", r, d)
	require(t, !r.InConversation, "%+v chose %+v", r, d)
	require(t, s.mayRun(r, d.Cascade.Next), "%+v chose %+v", r, d)
	require(t, d.Cascade.Next != d.Version, "%+v escalates to itself", d)
}

func require(t *rapid.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}
