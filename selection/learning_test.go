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

// simulation is a seeded run of a policy against versions of known quality. Ratings
// are sampled and delayed, and one large organisation rates too low.
type simulation struct {
	quality       []float64 // true quality, cheapest version first
	prior         []float64 // prior quality in the register
	target        float64
	requests      int
	degrades      int     // version whose quality drops, or -1
	degradesAt    int     // request at which it drops
	sampled       float64 // share of answers that are rated
	delay         int     // requests until a rating arrives
	bias          float64 // by which the large organisation rates too low
	seed          uint64
	organisations int // number of organisations
}

// result is the outcome of a simulation.
type result struct {
	cost     float64 // in the second half, relative to an oracle that knows the true quality
	below    float64 // share of requests on versions below the target
	exposure int     // requests on the degraded version after its quality dropped
	ratings  int     // ratings of answers of the degraded version after its quality dropped
}

func price(v int) int64 { return 1_000_000 << v }

func (s *simulation) site() (*bronzeturnv1.Register, *bronzeturnv1.Rules) {
	reg := &bronzeturnv1.Register{}
	e := &bronzeturnv1.Engine{Name: "e", TokensPerSecond: 100}
	for i, prior := range s.prior {
		name := fmt.Sprintf("v%d", i)
		reg.Versions = append(reg.Versions, &bronzeturnv1.Version{Name: name, Model: "m", CompletionPriceMicros: price(i), PriorQuality: prior})
		e.Versions = append(e.Versions, name)
	}
	reg.Engines = []*bronzeturnv1.Engine{e}
	for i := range s.organisations {
		reg.Organisations = append(reg.Organisations, &bronzeturnv1.Organisation{Name: fmt.Sprintf("o%d", i), AllowedModels: []string{"m"}})
	}
	return reg, &bronzeturnv1.Rules{Kinds: []*bronzeturnv1.TaskKind{{Name: "report", QualityTarget: s.target, Idempotent: true, ExpectedCompletionTokens: 100}}}
}

type delayedRating struct {
	due   int
	event quality.Rating
}

func (s *simulation) run(t testing.TB) result {
	t.Helper()
	reg, rules := s.site()
	plan := selection.NewPlan(reg, rules)
	policy := selection.NewPolicy(selection.Options{}, quality.NewStore(quality.Options{}), rollout.NewController(rollout.Options{}))
	policy.SetPlan(plan)
	rng := rand.New(rand.NewPCG(s.seed, 0))
	trueQuality := append([]float64(nil), s.quality...)
	var queue []delayedRating
	var res result
	var cost, oracle float64
	for i := range s.requests {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if i == s.degradesAt && s.degrades >= 0 {
			trueQuality[s.degrades] = 0.3
		}
		for len(queue) > 0 && queue[0].due <= i {
			queue[0].event.At = now
			if _, err := policy.ObserveRating(queue[0].event); err != nil {
				t.Fatal(err)
			}
			queue = queue[1:]
		}
		organisation := 0
		if rng.Float64() > 0.3 { // the large organisation, which sends at least 30% of the requests
			organisation = rng.IntN(s.organisations)
		}
		r := selection.Request{Organisation: fmt.Sprintf("o%d", organisation), Kind: "report", Key: fmt.Sprint(i)}
		d, err := policy.Choose(plan, &r, now, rng)
		if err != nil {
			t.Fatal(err)
		}
		v := int(d.Version[1] - '0')
		if i >= s.requests/2 {
			cost += float64(price(v))
			oracle += float64(price(cheapestAtTarget(trueQuality, s.target)))
		}
		if trueQuality[v] < s.target {
			res.below++
		}
		degraded := v == s.degrades && i >= s.degradesAt
		if degraded {
			res.exposure++
		}
		if rng.Float64() < s.sampled {
			if degraded {
				res.ratings++
			}
			queue = append(queue, delayedRating{i + s.delay, quality.Rating{
				Organisation: r.Organisation, Version: d.Version, Kind: "report", Score: s.score(rng, trueQuality[v], organisation),
			}})
		}
	}
	res.cost = cost / oracle
	res.below /= float64(s.requests)
	return res
}

func (s *simulation) score(rng *rand.Rand, quality float64, organisation int) float64 {
	if organisation == 0 {
		quality -= s.bias
	}
	if rng.Float64() < quality {
		return 1
	}
	return 0
}

func cheapestAtTarget(trueQuality []float64, target float64) int {
	for v, q := range trueQuality {
		if q >= target {
			return v
		}
	}
	return len(trueQuality) - 1
}

func newSimulation(seed uint64) simulation {
	return simulation{
		quality:  []float64{0.55, 0.72, 0.86, 0.90, 0.94, 0.97},
		prior:    []float64{0.70, 0.75, 0.78, 0.90, 0.90, 0.95}, // partly wrong on purpose
		target:   0.8,
		requests: 40_000, degrades: -1, sampled: 0.1, delay: 300, bias: 0.4, organisations: 10, seed: seed,
	}
}

func TestPolicyLearnsTheCheapestGoodVersion(t *testing.T) {
	const seeds = 4
	var cost, below float64
	for seed := range uint64(seeds) {
		s := newSimulation(seed)
		got := s.run(t)
		cost += got.cost / seeds
		below += got.below / seeds
	}
	t.Logf("cost %.3f of the oracle's, %.4f below the target", cost, below)
	qt.Check(t, cost <= 1.35, qt.IsTrue, qt.Commentf("cost %v", cost))
	qt.Check(t, below <= 0.01, qt.IsTrue, qt.Commentf("below %v", below))
}

// The requests that a degraded version gets are at most twice the number that the
// sequential test needs, including those whose ratings have not arrived yet.
func TestExposureToDegradedVersionIsBounded(t *testing.T) {
	for seed := range uint64(3) {
		s := newSimulation(seed)
		s.degrades, s.degradesAt = 2, s.requests/2
		got := s.run(t)
		needed := rollout.Options{}.ExpectedRatings(s.target, 0.3, s.organisations)/s.sampled + float64(s.delay)
		t.Logf("seed %d: %+v, the test needs %.0f answers", seed, got, needed)
		qt.Check(t, float64(got.exposure) <= 2*needed, qt.IsTrue, qt.Commentf("%+v", got))
	}
}
