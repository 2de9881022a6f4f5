package measure

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/balance"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/rollout"
	"github.com/bronzeturn/bronzeturn/selection"
)

// Number of versions in a deployment of the target size, and number of engines that one
// daemon uses there.
const (
	targetVersions = 36
	targetEngines  = 65
)

// decider makes complete decisions: it selects a version and then an engine.
type decider struct {
	versions   *selection.Policy
	plan       *selection.Plan
	state      *balance.State
	enginePlan *balance.Plan
	rng        *rand.Rand
	request    selection.Request
}

func newDecider(tb testing.TB, versions, engines int, kind string) *decider {
	reg := &bronzeturnv1.Register{}
	organisation := &bronzeturnv1.Organisation{Name: "workshop"}
	for i := range versions {
		name := fmt.Sprintf("model-%d@1", i)
		reg.Versions = append(reg.Versions, &bronzeturnv1.Version{
			Name: name, Model: "model", PromptPriceMicros: int64(1e5 * (i + 1)), CompletionPriceMicros: int64(3e5 * (i + 1)),
			PriorQuality: 0.5 + 0.49*float64(i)/float64(versions),
		})
		organisation.AllowedVersions = append(organisation.AllowedVersions, name)
	}
	for i := range engines {
		reg.Engines = append(reg.Engines, &bronzeturnv1.Engine{
			Name: fmt.Sprintf("engine-%d", i), Host: fmt.Sprintf("host-%d", i), DataCentre: fmt.Sprintf("hall-%d", i%4),
			Slots: 8, TokensPerSecond: 40, Versions: organisation.AllowedVersions,
		})
	}
	reg.Organisations = []*bronzeturnv1.Organisation{organisation}
	rules := &bronzeturnv1.Rules{Kinds: []*bronzeturnv1.TaskKind{
		{Name: "quick", QualityTarget: 0.8, Idempotent: true, ExpectedCompletionTokens: 40},
		{Name: "report", QualityTarget: 0.9, Idempotent: true, Cascade: true, ExpectedCompletionTokens: 700},
	}}
	state, err := balance.NewState(balance.DefaultOptions())
	qt.Assert(tb, err, qt.IsNil)
	plan := selection.NewPlan(reg, rules)
	return &decider{
		versions: selection.NewPolicy(selection.Options{}, quality.NewStore(quality.Options{}), rollout.NewController(rollout.Options{})),
		plan:     plan, state: state, enginePlan: state.Plan(reg, nil), rng: rand.New(rand.NewPCG(1, 1)),
		request: selection.Request{Organisation: "workshop", Kind: kind, Key: "request", PromptTokens: 1000},
	}
}

func (d *decider) decide(tb testing.TB) {
	chosen, err := d.versions.Choose(d.plan, &d.request, epoch, d.rng)
	if err != nil {
		tb.Fatal(err)
	}
	if _, ok := d.state.Choose(d.enginePlan, &balance.Request{
		Version: chosen.Version, DataCentre: "hall-0", PrefixHash: 7,
		Work: balance.Work{PromptTokens: d.request.PromptTokens, ExpectedTokens: 40},
	}, epoch, d.rng); !ok {
		tb.Fatal("no engine")
	}
}

func TestDecisionAllocatesNothing(t *testing.T) {
	for _, kind := range []string{"quick", "report"} {
		d := newDecider(t, targetVersions, targetEngines, kind)
		qt.Check(t, testing.AllocsPerRun(1000, func() { d.decide(t) }), qt.Equals, 0.0, qt.Commentf(kind))
	}
}

// BenchmarkDecision measures the selection of a version and an engine together.
func BenchmarkDecision(b *testing.B) {
	for _, kind := range []string{"quick", "report"} {
		for _, size := range [][2]int{{12, 12}, {targetVersions, 12}, {targetVersions, targetEngines}} {
			b.Run(fmt.Sprintf("%s/versions=%d/engines=%d", kind, size[0], size[1]), func(b *testing.B) {
				d := newDecider(b, size[0], size[1], kind)
				b.ReportAllocs()
				for b.Loop() {
					d.decide(b)
				}
			})
		}
	}
}
