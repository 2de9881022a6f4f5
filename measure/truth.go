package measure

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/cascade"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// qualityNoise is the standard deviation of true qualities around the
	// priors of the register.
	qualityNoise = 0.008
	// badDrop is how much quality a version loses that turns bad.
	badDrop = 0.35
	// checkRecall and checkFalseAlarm are the true rates of the check of a
	// cascade. The policy's prior belief is the same.
	checkRecall     = cascade.PriorRecall
	checkFalseAlarm = cascade.PriorFalseAlarm
	microsPerUnit   = 1e6
)

// truth is what only the world and the oracle know.
type truth struct {
	versions  map[string]*bronzeturnv1.Version
	qualities map[[2]string]float64 // by version and kind
	bad       string
	badSince  time.Time
}

func newTruth(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules) *truth {
	t := &truth{versions: make(map[string]*bronzeturnv1.Version), qualities: make(map[[2]string]float64)}
	for _, v := range reg.GetVersions() {
		t.versions[v.GetName()] = v
		for _, k := range rules.GetKinds() {
			key := [2]string{v.GetName(), k.GetName()}
			t.qualities[key] = min(max(priorOf(v, k.GetName())+noise(key), 0), 0.995)
		}
	}
	return t
}

func priorOf(v *bronzeturnv1.Version, kind string) float64 {
	i := slices.IndexFunc(v.GetPriorQualityByKind(), func(q *bronzeturnv1.KindQuality) bool { return q.GetKind() == kind })
	if i >= 0 {
		return v.GetPriorQualityByKind()[i].GetQuality()
	}
	return v.GetPriorQuality()
}

// noise is the same for a version and kind in every run.
func noise(key [2]string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key[0] + "/" + key[1]))
	return rand.New(rand.NewPCG(h.Sum64(), 1)).NormFloat64() * qualityNoise
}

// quality is the probability that an answer is good.
func (t *truth) quality(version, kind string, now time.Time) float64 {
	q := t.qualities[[2]string{version, kind}]
	if version == t.bad && !now.Before(t.badSince) {
		q = max(0, q-badDrop)
	}
	return q
}

// cost is the price of an answer in micro-units.
func (t *truth) cost(version string, prompt, completion int64) float64 {
	v := t.versions[version]
	return (float64(prompt)*float64(v.GetPromptPriceMicros()) + float64(completion)*float64(v.GetCompletionPriceMicros())) / microsPerUnit
}

// outlook is the true expected cost and quality of a cascade of two versions.
func (t *truth) outlook(cheap, strong string, r *request, now time.Time) cascade.Estimate {
	q := t.quality(cheap, r.kind.GetName(), now)
	flagged := q*checkFalseAlarm + (1-q)*checkRecall
	accepted := q * (1 - checkFalseAlarm) / max(1-flagged, 1e-9)
	return cascade.Expect(
		t.cost(cheap, r.prompt, r.completion), accepted, flagged,
		t.cost(strong, r.prompt, r.completion), t.quality(strong, r.kind.GetName(), now))
}
