package selection_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/rollout"
	"github.com/bronzeturn/bronzeturn/selection"
)

// trial is a seeded run of a policy against versions of known quality. Ratings
// are sampled and late; one large organisation rates too low.
type trial struct {
	quality      []float64 // true, cheapest first
	prior        []float64 // what the register says
	target       float64
	requests     int
	turnsBad     int // version, or -1
	turnsAt      int // request
	sampled      float64
	late         int // requests until a rating arrives
	bias         float64
	seed         uint64
	organisation int // number of organisations
}

// result is what a trial cost.
type result struct {
	cost     float64 // in the second half, relative to an oracle that knows the true quality
	below    float64 // share of requests on versions below the target
	exposure int     // requests on the bad version after it turned
	ratings  int     // ratings of the bad version that came after it turned
}

func price(v int) int64 { return 1_000_000 << v }

func (tr *trial) site() (*bronzeturnv1.Register, *bronzeturnv1.Rules) {
	reg := &bronzeturnv1.Register{}
	e := &bronzeturnv1.Engine{Name: "e", TokensPerSecond: 100}
	for i, prior := range tr.prior {
		name := fmt.Sprintf("v%d", i)
		reg.Versions = append(reg.Versions, &bronzeturnv1.Version{Name: name, Model: "m", CompletionPriceMicros: price(i), PriorQuality: prior})
		e.Versions = append(e.Versions, name)
	}
	reg.Engines = []*bronzeturnv1.Engine{e}
	for i := range tr.organisation {
		reg.Organisations = append(reg.Organisations, &bronzeturnv1.Organisation{Name: fmt.Sprintf("o%d", i), AllowedModels: []string{"m"}})
	}
	return reg, &bronzeturnv1.Rules{Kinds: []*bronzeturnv1.TaskKind{{Name: "report", QualityTarget: tr.target, Idempotent: true, ExpectedCompletionTokens: 100}}}
}

type lateRating struct {
	due   int
	event quality.Rating
}

func (tr *trial) run(t testing.TB) result {
	t.Helper()
	reg, rules := tr.site()
	plan := selection.NewPlan(reg, rules)
	policy := selection.NewPolicy(selection.Options{}, quality.NewStore(quality.Options{}), rollout.NewController(rollout.Options{}))
	policy.Use(plan)
	rng := rand.New(rand.NewPCG(tr.seed, 0))
	truth := append([]float64(nil), tr.quality...)
	var queue []lateRating
	var res result
	var cost, oracle float64
	for i := range tr.requests {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if i == tr.turnsAt && tr.turnsBad >= 0 {
			truth[tr.turnsBad] = 0.3
		}
		for len(queue) > 0 && queue[0].due <= i {
			queue[0].event.At = now
			if _, err := policy.Rated(queue[0].event); err != nil {
				t.Fatal(err)
			}
			queue = queue[1:]
		}
		organisation := 0
		if rng.Float64() > 0.3 { // the first one sends 30% of the work
			organisation = rng.IntN(tr.organisation)
		}
		r := selection.Request{Organisation: fmt.Sprintf("o%d", organisation), Kind: "report", Key: fmt.Sprint(i)}
		d, err := policy.Choose(plan, &r, now, rng)
		if err != nil {
			t.Fatal(err)
		}
		v := int(d.Version[1] - '0')
		if i >= tr.requests/2 {
			cost += float64(price(v))
			oracle += float64(price(cheapestGood(truth, tr.target)))
		}
		if truth[v] < tr.target {
			res.below++
		}
		bad := v == tr.turnsBad && i >= tr.turnsAt
		if bad {
			res.exposure++
		}
		if rng.Float64() < tr.sampled {
			if bad {
				res.ratings++
			}
			queue = append(queue, lateRating{i + tr.late, quality.Rating{
				Organisation: r.Organisation, Version: d.Version, Kind: "report", Score: tr.score(rng, truth[v], organisation),
			}})
		}
	}
	res.cost = cost / oracle
	res.below /= float64(tr.requests)
	return res
}

func (tr *trial) score(rng *rand.Rand, quality float64, organisation int) float64 {
	if organisation == 0 {
		quality -= tr.bias
	}
	if rng.Float64() < quality {
		return 1
	}
	return 0
}

func cheapestGood(truth []float64, target float64) int {
	for v, q := range truth {
		if q >= target {
			return v
		}
	}
	return len(truth) - 1
}

func newTrial(seed uint64) trial {
	return trial{
		quality:  []float64{0.55, 0.72, 0.86, 0.90, 0.94, 0.97},
		prior:    []float64{0.70, 0.75, 0.78, 0.90, 0.90, 0.95}, // partly wrong
		target:   0.8,
		requests: 40_000, turnsBad: -1, sampled: 0.1, late: 300, bias: 0.4, organisation: 10, seed: seed,
	}
}

func TestPolicyLearnsTheCheapestGoodVersion(t *testing.T) {
	const seeds = 4
	var cost, below float64
	for seed := range uint64(seeds) {
		tr := newTrial(seed)
		got := tr.run(t)
		cost += got.cost / seeds
		below += got.below / seeds
	}
	t.Logf("cost %.3f of the oracle's, %.4f below the target", cost, below)
	qt.Check(t, cost <= 1.35, qt.IsTrue, qt.Commentf("cost %v", cost))
	qt.Check(t, below <= 0.01, qt.IsTrue, qt.Commentf("below %v", below))
}

// The exposure is what the sequential test needs, and what was on its way.
func TestExposureToAVersionThatTurnsBadIsBounded(t *testing.T) {
	for seed := range uint64(3) {
		tr := newTrial(seed)
		tr.turnsBad, tr.turnsAt = 2, tr.requests/2
		got := tr.run(t)
		needed := rollout.Options{}.ExpectedRatings(tr.target, 0.3, tr.organisation)/tr.sampled + float64(tr.late)
		t.Logf("seed %d: %+v, the test needs %.0f answers", seed, got, needed)
		qt.Check(t, float64(got.exposure) <= 2*needed, qt.IsTrue, qt.Commentf("%+v", got))
	}
}
