package measure

import (
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
)

// Result holds the measurements of one run. All but the attempts at the bad and the
// halted version and the hedges leave out requests that arrive during the warm-up.
type Result struct {
	Scenario string
	Fault    Fault
	Policy   Policy
	// Offered counts all requests. Each of them was Answered, Refused without having
	// been executed, or Failed after it may have been executed.
	Offered, Answered, Refused, Failed int
	// CostMicros is the price of all executions, in micro-units.
	CostMicros float64
	// BelowTarget counts the answers of versions or cascades whose true expected
	// quality is below the target, GoodAnswers counts the good answers.
	BelowTarget, GoodAnswers int
	// BadVersionAttempts counts the attempts at Scenario.badVersion after it turned bad,
	// HaltedVersionAttempts those at Scenario.haltedVersion after its roll-out was halted.
	BadVersionAttempts, HaltedVersionAttempts int
	Hedges                                    int
	// Kinds holds the results by task kind.
	Kinds map[string]*KindResult
}

// KindResult holds the measurements of one run for one task kind.
type KindResult struct {
	Offered, Answered, Refused, Failed int
	Urgent                             bool
	P50, P95, P99                      time.Duration
	// CostMicros is the price of all executions, in micro-units.
	CostMicros float64
	// Versions counts the answers by version.
	Versions  map[string]int
	latencies []time.Duration
}

func newResult(c Case) *Result {
	return &Result{Scenario: c.Scenario.Name, Fault: c.Fault, Policy: c.Policy, Kinds: make(map[string]*KindResult)}
}

// CostPerAnswer returns the cost per answered request, in micro-units.
func (r *Result) CostPerAnswer() float64 { return r.CostMicros / float64(max(r.Answered, 1)) }

// BelowShare returns BelowTarget as a share of the answers.
func (r *Result) BelowShare() float64 { return float64(r.BelowTarget) / float64(max(r.Answered, 1)) }

// arrivedAfterWarmUp reports whether a request arrived after the warm-up, so that it
// counts in the result.
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

// recordDispatch counts an attempt at a version that should no longer get requests.
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
		r.GoodAnswers++
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

// addCost adds the cost of a request.
func (r *Result) addCost(q *request) {
	r.CostMicros += q.cost
	r.kind(q).CostMicros += q.cost
}

// computeQuantiles computes the latency quantiles of all kinds after the run.
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
