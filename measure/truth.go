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
	// qualityNoise is the standard deviation of the true qualities from the priors in
	// the register.
	qualityNoise = 0.008
	// badVersionQualityDrop is subtracted from the quality of a version that turns bad.
	badVersionQualityDrop = 0.35
	// checkRecall and checkFalseAlarm are the true rates at which the check of a cascade
	// flags bad and good answers. They are equal to the priors of package cascade.
	checkRecall     = cascade.PriorRecall
	checkFalseAlarm = cascade.PriorFalseAlarm
	microsPerUnit   = 1e6
)

// groundTruth holds the true properties of the versions. Of the policies, only the
// oracle knows them, and PolicyInformed the qualities before a version turns bad.
type groundTruth struct {
	versions   map[string]*bronzeturnv1.Version
	qualities  map[[2]string]float64 // by version and kind
	badVersion string
	badSince   time.Time
}

func newGroundTruth(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules) *groundTruth {
	t := &groundTruth{versions: make(map[string]*bronzeturnv1.Version), qualities: make(map[[2]string]float64)}
	for _, v := range reg.GetVersions() {
		t.versions[v.GetName()] = v
		for _, k := range rules.GetKinds() {
			key := [2]string{v.GetName(), k.GetName()}
			t.qualities[key] = min(max(priorQuality(v, k.GetName())+qualityOffset(key), 0), 0.995)
		}
	}
	return t
}

func priorQuality(v *bronzeturnv1.Version, kind string) float64 {
	i := slices.IndexFunc(v.GetPriorQualityByKind(), func(q *bronzeturnv1.KindQuality) bool { return q.GetKind() == kind })
	if i >= 0 {
		return v.GetPriorQualityByKind()[i].GetQuality()
	}
	return v.GetPriorQuality()
}

// qualityOffset returns the difference between the true quality and the prior. It
// depends only on the version and the kind and is the same in every run.
func qualityOffset(key [2]string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key[0] + "/" + key[1]))
	return rand.New(rand.NewPCG(h.Sum64(), 1)).NormFloat64() * qualityNoise
}

// quality returns the probability that an answer of the version is good.
func (t *groundTruth) quality(version, kind string, now time.Time) float64 {
	q := t.qualities[[2]string{version, kind}]
	if version == t.badVersion && !now.Before(t.badSince) {
		q = max(0, q-badVersionQualityDrop)
	}
	return q
}

// cost returns the price of an answer in micro-units.
func (t *groundTruth) cost(version string, prompt, completion int64) float64 {
	v := t.versions[version]
	return (float64(prompt)*float64(v.GetPromptPriceMicros()) + float64(completion)*float64(v.GetCompletionPriceMicros())) / microsPerUnit
}

// expectedCascade returns the true expected cost and quality of a cascade of two
// versions.
func (t *groundTruth) expectedCascade(cheap, strong string, r *request, now time.Time) cascade.Estimate {
	q := t.quality(cheap, r.kind.GetName(), now)
	flagged := q*checkFalseAlarm + (1-q)*checkRecall
	accepted := q * (1 - checkFalseAlarm) / max(1-flagged, 1e-9)
	return cascade.Expect(
		t.cost(cheap, r.prompt, r.completion), accepted, flagged,
		t.cost(strong, r.prompt, r.completion), t.quality(strong, r.kind.GetName(), now))
}
