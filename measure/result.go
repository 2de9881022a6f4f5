package measure

import (
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
)

// Result is what one run measured.
type Result struct {
	Scenario string
	Fault    Fault
	Policy   Policy
	// Offered requests were Answered, Refused without having run, or Failed
	// after they may have run.
	Offered, Answered, Refused, Failed int
	// CostMicros is the price of all that ran, in micro-units.
	CostMicros float64
	// BelowTarget counts answers of versions or cascades whose true quality is below
	// the target, Good counts good answers.
	BelowTarget, Good int
	// BadVersionAttempts counts attempts at the bad version after it turned, ToHalted those
	// at the halted version after the halt.
	BadVersionAttempts, HaltedVersionAttempts int
	Hedges                                    int
	// Kinds holds the latencies by task kind.
	Kinds map[string]*KindResult
}

// KindResult is what one run measured of one task kind.
type KindResult struct {
	Offered, Answered, Refused, Failed int
	Urgent                             bool
	P50, P95, P99                      time.Duration
	// CostMicros is the price of all that ran, in micro-units.
	CostMicros float64
	// Versions counts answers by the version that gave them.
	Versions  map[string]int
	latencies []time.Duration
}

func newResult(c Case) *Result {
	return &Result{Scenario: c.Scenario.Name, Fault: c.Fault, Policy: c.Policy, Kinds: make(map[string]*KindResult)}
}

// CostPerAnswer is the cost per answered request, in micro-units.
func (r *Result) CostPerAnswer() float64 { return r.CostMicros / float64(max(r.Answered, 1)) }

// BelowShare is the share of answers below the target.
func (r *Result) BelowShare() float64 { return float64(r.BelowTarget) / float64(max(r.Answered, 1)) }

// arrivedAfterWarmUp tells whether a request arrived after the warm-up.
func arrivedAfterWarmUp(r *request) bool { return !r.arrival.Before(epoch.Add(warmUp)) }

func (r *Result) kind(q *request) *KindResult {
	k := r.Kinds[q.kind.GetName()]
	if k == nil {
		k = &KindResult{Urgent: isUrgent(q.kind), Versions: make(map[string]int)}
		r.Kinds[q.kind.GetName()] = k
	}
	return k
}

func (r *Result) recordOffered(q *request) {
	if arrivedAfterWarmUp(q) {
		r.Offered++
		r.kind(q).Offered++
	}
}

func (r *Result) recordHedge() { r.Hedges++ }

// recordDispatch counts what goes to versions that should get nothing.
func (r *Result) recordDispatch(s *sim, version string) {
	if version == s.truth.badVersion && !s.now.Before(s.truth.badSince) {
		r.BadVersionAttempts++
	}
	if version == s.scenario.haltedVersion && !s.haltedAt.IsZero() {
		r.HaltedVersionAttempts++
	}
}

func (r *Result) recordAnswer(s *sim, q *request, good bool) {
	if !arrivedAfterWarmUp(q) {
		return
	}
	k := r.kind(q)
	r.Answered++
	k.Answered++
	r.addCost(q)
	k.Versions[q.flow.version]++
	if good {
		r.Good++
	}
	if s.expectedQuality(q) < q.kind.GetQualityTarget() {
		r.BelowTarget++
	}
	k.latencies = append(k.latencies, s.now.Sub(q.arrival))
}

func (r *Result) recordRefusal(q *request, _ failure.Code) {
	if !arrivedAfterWarmUp(q) {
		return
	}
	r.Refused++
	r.kind(q).Refused++
	r.addCost(q)
}

func (r *Result) recordFailure(q *request) {
	if !arrivedAfterWarmUp(q) {
		return
	}
	r.Failed++
	r.kind(q).Failed++
	r.addCost(q)
}

// addCost adds what the request cost.
func (r *Result) addCost(q *request) {
	r.CostMicros += q.cost
	r.kind(q).CostMicros += q.cost
}

// computeQuantiles computes the quantiles.
func (r *Result) computeQuantiles() {
	for _, k := range r.Kinds {
		slices.Sort(k.latencies)
		k.P50, k.P95, k.P99 = quantile(k.latencies, 0.5), quantile(k.latencies, 0.95), quantile(k.latencies, 0.99)
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
