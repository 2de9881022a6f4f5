package selection_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/rollout"
	"github.com/bronzeturn/bronzeturn/selection"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// site returns a register with a cheap, a medium and a high-quality version, all
// served, and rules for the kinds "quick" and "report".
func site() (*bronzeturnv1.Register, *bronzeturnv1.Rules) {
	reg := &bronzeturnv1.Register{
		Models: []*bronzeturnv1.Model{{Name: "small"}, {Name: "large"}},
		Versions: []*bronzeturnv1.Version{
			{Name: "small@1", Model: "small", PromptPriceMicros: 100_000, CompletionPriceMicros: 200_000, PriorQuality: 0.6},
			{Name: "small@2", Model: "small", PromptPriceMicros: 300_000, CompletionPriceMicros: 600_000, PriorQuality: 0.9},
			{Name: "large@1", Model: "large", PromptPriceMicros: 2_000_000, CompletionPriceMicros: 6_000_000, PriorQuality: 0.97},
		},
		Organisations: []*bronzeturnv1.Organisation{
			{Name: "workshop", AllowedModels: []string{"small", "large"}},
			{Name: "depot", AllowedVersions: []string{"small@1", "small@2"}},
			{Name: "kiosk", AllowedVersions: []string{"small@1"}},
		},
		Engines: []*bronzeturnv1.Engine{
			{Name: "e1", Versions: []string{"small@1", "small@2", "large@1"}, TokensPerSecond: 100},
		},
	}
	rules := &bronzeturnv1.Rules{Kinds: []*bronzeturnv1.TaskKind{
		{Name: "quick", QualityTarget: 0.8, Idempotent: true, ExpectedCompletionTokens: 100},
		{Name: "report", QualityTarget: 0.9, Idempotent: true, ExpectedCompletionTokens: 800},
	}}
	return reg, rules
}

func newPolicy() *selection.Policy {
	return selection.NewPolicy(selection.Options{},
		quality.NewStore(quality.Options{}), rollout.NewController(rollout.Options{}))
}

func TestChooseFollowsTheRules(t *testing.T) {
	tests := []struct {
		name    string
		change  func(*bronzeturnv1.Register, *bronzeturnv1.Rules)
		request selection.Request
		version string
		reason  selection.Reason
		code    failure.Code
	}{{
		name:    "cheapest version at the target",
		request: selection.Request{Organisation: "workshop", Kind: "quick"},
		version: "small@2",
	}, {
		name:    "a higher target needs the strong version",
		request: selection.Request{Organisation: "workshop", Kind: "report"},
		version: "large@1",
	}, {
		name:    "auto is no constraint",
		request: selection.Request{Organisation: "workshop", Kind: "quick", Constraint: "auto"},
		version: "small@2",
	}, {
		name:    "below the target the best allowed version is the default",
		request: selection.Request{Organisation: "depot", Kind: "report"},
		version: "small@2", reason: selection.ReasonBestAvailable,
	}, {
		name: "below the target the rule may refuse",
		change: func(_ *bronzeturnv1.Register, r *bronzeturnv1.Rules) {
			r.Kinds[1].BelowTarget = bronzeturnv1.BelowTarget_BELOW_TARGET_REFUSE
		},
		request: selection.Request{Organisation: "depot", Kind: "report"},
		code:    failure.CodeTargetUnreachable,
	}, {
		name: "a preferred version goes before a cheaper one",
		change: func(_ *bronzeturnv1.Register, r *bronzeturnv1.Rules) {
			r.Kinds[0].PreferredVersions = []string{"small@1", "large@1"}
		},
		request: selection.Request{Organisation: "workshop", Kind: "quick"},
		version: "large@1", reason: selection.ReasonPreferred,
	}, {
		name: "a withdrawn version is passed over",
		change: func(_ *bronzeturnv1.Register, r *bronzeturnv1.Rules) {
			r.Withdrawals = []*bronzeturnv1.Withdrawal{{Version: "small@2"}}
		},
		request: selection.Request{Organisation: "workshop", Kind: "quick"},
		version: "large@1",
	}, {
		name: "a withdrawn version that the caller names is refused as withdrawn",
		change: func(_ *bronzeturnv1.Register, r *bronzeturnv1.Rules) {
			r.Withdrawals = []*bronzeturnv1.Withdrawal{{Version: "small@2"}}
		},
		request: selection.Request{Organisation: "workshop", Kind: "quick", Constraint: "small@2"},
		code:    failure.CodeVersionWithdrawn,
	}, {
		name: "a conversation is not moved off a withdrawn version",
		change: func(_ *bronzeturnv1.Register, r *bronzeturnv1.Rules) {
			r.Withdrawals = []*bronzeturnv1.Withdrawal{{Version: "small@2"}}
		},
		request: selection.Request{Organisation: "workshop", Kind: "quick", Constraint: "small@2", InConversation: true},
		code:    failure.CodeVersionWithdrawn,
	}, {
		name:    "a conversation keeps its version below the target",
		request: selection.Request{Organisation: "workshop", Kind: "report", Constraint: "small@1", InConversation: true},
		version: "small@1", reason: selection.ReasonConversation,
	}, {
		name:    "a model is a constraint",
		request: selection.Request{Organisation: "workshop", Kind: "quick", Constraint: "large"},
		version: "large@1",
	}, {
		name:    "a version that the caller names is used as best available",
		request: selection.Request{Organisation: "workshop", Kind: "quick", Constraint: "small@1"},
		version: "small@1", reason: selection.ReasonBestAvailable,
	}, {
		name:    "versions that the request failed on are not chosen",
		request: selection.Request{Organisation: "workshop", Kind: "quick", FailedVersions: []string{"small@2"}},
		version: "large@1",
	}, {
		name:    "no version is left after the request failed on all",
		request: selection.Request{Organisation: "kiosk", Kind: "quick", FailedVersions: []string{"small@1"}},
		code:    failure.CodeNoCapacity,
	}, {
		name:    "the spend limit rules out expensive versions",
		request: selection.Request{Organisation: "workshop", Kind: "report", SpendLimited: true, SpendLeftMicros: 1000},
		version: "small@2", reason: selection.ReasonBestAvailable,
	}, {
		name:    "the spend limit rules out all versions",
		request: selection.Request{Organisation: "workshop", Kind: "quick", SpendLimited: true},
		code:    failure.CodeSpendExceeded,
	}, {
		name: "the context length rules out a version",
		change: func(r *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			r.Versions[1].ContextTokens = 1000
		},
		request: selection.Request{Organisation: "workshop", Kind: "quick", PromptTokens: 950},
		version: "large@1",
	}, {
		name: "a version without engines is not chosen",
		change: func(r *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			r.Engines[0].Versions = []string{"large@1"}
		},
		request: selection.Request{Organisation: "workshop", Kind: "quick"},
		version: "large@1",
	}, {
		name:    "an unknown kind",
		request: selection.Request{Organisation: "workshop", Kind: "poem"},
		code:    failure.CodeUnknownKind,
	}, {
		name:    "a kind that is not named means default",
		request: selection.Request{Organisation: "workshop"},
		code:    failure.CodeUnknownKind,
	}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reg, rules := site()
			if test.change != nil {
				test.change(reg, rules)
			}
			d, err := newPolicy().Choose(selection.NewPlan(reg, rules), &test.request, start, nil)
			qt.Assert(t, codeOf(err), qt.Equals, test.code, qt.Commentf("%v", err))
			qt.Assert(t, d.Version, qt.Equals, test.version)
			qt.Assert(t, d.Reason, qt.Equals, test.reason)
		})
	}
}

func TestExpectedCostComesFromPricesAndTokens(t *testing.T) {
	reg, rules := site()
	request := selection.Request{Organisation: "workshop", Kind: "quick", PromptTokens: 2000}
	d, err := newPolicy().Choose(selection.NewPlan(reg, rules), &request, start, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, d.ExpectedCostMicros, qt.Equals, int64(2000*3/10+100*6/10))
}

func TestRefusalHidesOtherOrganisationsVersions(t *testing.T) {
	reg, rules := site()
	rules.Withdrawals = []*bronzeturnv1.Withdrawal{{Version: "large@1"}}
	plan := selection.NewPlan(reg, rules)
	policy := newPolicy()
	var refusals []string
	for _, name := range []string{"small@2", "large@1", "large", "nothing@9"} {
		_, err := policy.Choose(plan, &selection.Request{Organisation: "kiosk", Kind: "quick", Constraint: name}, start, nil)
		refusals = append(refusals, err.Error())
	}
	_, err := policy.Choose(plan, &selection.Request{Organisation: "stranger", Kind: "quick"}, start, nil)
	for _, text := range refusals {
		qt.Assert(t, text, qt.Equals, err.Error())
	}
}

func codeOf(err error) failure.Code {
	var e *failure.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
