package selection_test

import (
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/selection"
)

// targetVersions is the number of versions that the project is designed for.
const targetVersions = 36

// largeSite returns a configuration with n versions of increasing price and
// quality, all allowed, with a roll-out and a kind with cascades.
func largeSite(n int) (*bronzeturnv1.Register, *bronzeturnv1.Rules) {
	reg := &bronzeturnv1.Register{}
	engine := &bronzeturnv1.Engine{Name: "e", TokensPerSecond: 50}
	for i := range n {
		name := fmt.Sprintf("model-%d@1", i)
		reg.Versions = append(reg.Versions, &bronzeturnv1.Version{
			Name: name, Model: "model", PromptPriceMicros: int64(1e5 * (i + 1)), CompletionPriceMicros: int64(3e5 * (i + 1)),
			PriorQuality: 0.5 + 0.49*float64(i)/float64(n),
		})
		engine.Versions = append(engine.Versions, name)
	}
	reg.Engines = []*bronzeturnv1.Engine{engine}
	for i := range 10 {
		reg.Organisations = append(reg.Organisations, &bronzeturnv1.Organisation{
			Name: fmt.Sprintf("organisation-%d", i), AllowedVersions: engine.Versions,
		})
	}
	rules := &bronzeturnv1.Rules{
		Kinds: []*bronzeturnv1.TaskKind{
			{Name: "quick", QualityTarget: 0.8, Idempotent: true},
			{Name: "report", QualityTarget: 0.9, Idempotent: true, Cascade: true},
		},
		Rollouts: []*bronzeturnv1.Rollout{{
			Version: engine.Versions[n-1], Baseline: engine.Versions[n*3/4], MaxShare: 0.2,
		}},
	}
	return reg, rules
}

func TestChooseAllocatesNothing(t *testing.T) {
	reg, rules := largeSite(targetVersions)
	plan := selection.NewPlan(reg, rules)
	policy := newPolicy()
	rng := newRand(1)
	for _, kind := range []string{"quick", "report"} {
		request := selection.Request{Organisation: "organisation-1", Kind: kind, Key: "request", PromptTokens: 500, FailedVersions: []string{"model-1@1"}}
		allocs := testing.AllocsPerRun(1000, func() {
			if _, err := policy.Choose(plan, &request, start, rng); err != nil {
				t.Fatal(err)
			}
		})
		qt.Check(t, allocs, qt.Equals, 0.0, qt.Commentf(kind))
	}
}

func TestDisabledLogLineAllocatesNothing(t *testing.T) {
	reg, rules := largeSite(targetVersions)
	plan := selection.NewPlan(reg, rules)
	policy := newPolicy()
	log := zerolog.New(io.Discard).Level(zerolog.WarnLevel)
	request := selection.Request{Organisation: "organisation-1", Kind: "quick"}
	d, err := policy.Choose(plan, &request, start, nil)
	qt.Assert(t, err, qt.IsNil)
	allocs := testing.AllocsPerRun(1000, func() {
		log.Info().EmbedObject(&d).Msg("version chosen")
	})
	qt.Assert(t, allocs, qt.Equals, 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, kind := range []string{"quick", "report"} {
		for _, n := range []int{12, targetVersions} {
			b.Run(fmt.Sprintf("%s/versions=%d", kind, n), func(b *testing.B) { benchmarkChoose(b, kind, n) })
		}
	}
}

func benchmarkChoose(b *testing.B, kind string, n int) {
	reg, rules := largeSite(n)
	plan := selection.NewPlan(reg, rules)
	policy := newPolicy()
	rng := newRand(1)
	request := selection.Request{Organisation: "organisation-1", Kind: kind, Key: "request", PromptTokens: 500}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := policy.Choose(plan, &request, start, rng); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkChooseParallel(b *testing.B) {
	reg, rules := largeSite(targetVersions)
	plan := selection.NewPlan(reg, rules)
	policy := newPolicy()
	b.RunParallel(func(pb *testing.PB) {
		rng := newRand(1)
		request := selection.Request{Organisation: "organisation-1", Kind: "quick", Key: "request", PromptTokens: 500}
		for pb.Next() {
			if _, err := policy.Choose(plan, &request, start, rng); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkLogLine(b *testing.B) {
	reg, rules := largeSite(targetVersions)
	policy := newPolicy()
	request := selection.Request{Organisation: "organisation-1", Kind: "quick"}
	d, err := policy.Choose(selection.NewPlan(reg, rules), &request, start, nil)
	if err != nil {
		b.Fatal(err)
	}
	log := zerolog.New(io.Discard)
	b.ReportAllocs()
	for b.Loop() {
		log.Info().EmbedObject(&d).Msg("version chosen")
	}
}
