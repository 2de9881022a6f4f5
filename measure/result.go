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
	// Below counts answers of versions or cascades whose true quality is below
	// the target, Good counts good answers.
	Below, Good int
	// ToBad counts attempts at the bad version after it turned, ToHalted those
	// at the halted version after the halt.
	ToBad, ToHalted int
	Hedges          int
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
func (r *Result) BelowShare() float64 { return float64(r.Below) / float64(max(r.Answered, 1)) }

// counted tells whether a request arrived after the warm-up.
func counted(r *request) bool { return !r.arrival.Before(epoch.Add(warmUp)) }

func (r *Result) kind(q *request) *KindResult {
	k := r.Kinds[q.kind.GetName()]
	if k == nil {
		k = &KindResult{Urgent: urgent(q.kind), Versions: make(map[string]int)}
		r.Kinds[q.kind.GetName()] = k
	}
	return k
}

func (r *Result) offered(q *request) {
	if counted(q) {
		r.Offered++
		r.kind(q).Offered++
	}
}

func (r *Result) hedged() { r.Hedges++ }

// dispatched counts what goes to versions that should get nothing.
func (r *Result) dispatched(s *sim, version string) {
	if version == s.truth.bad && !s.now.Before(s.truth.badSince) {
		r.ToBad++
	}
	if version == s.scenario.halted && !s.haltedAt.IsZero() {
		r.ToHalted++
	}
}

func (r *Result) answered(s *sim, q *request, good bool) {
	if !counted(q) {
		return
	}
	k := r.kind(q)
	r.Answered++
	k.Answered++
	r.pay(q)
	k.Versions[q.flow.version]++
	if good {
		r.Good++
	}
	if s.expectedQuality(q) < q.kind.GetQualityTarget() {
		r.Below++
	}
	k.latencies = append(k.latencies, s.now.Sub(q.arrival))
}

func (r *Result) refused(q *request, _ failure.Code) {
	if !counted(q) {
		return
	}
	r.Refused++
	r.kind(q).Refused++
	r.pay(q)
}

func (r *Result) failed(q *request) {
	if !counted(q) {
		return
	}
	r.Failed++
	r.kind(q).Failed++
	r.pay(q)
}

// pay adds what the request cost.
func (r *Result) pay(q *request) {
	r.CostMicros += q.cost
	r.kind(q).CostMicros += q.cost
}

// finish computes the quantiles.
func (r *Result) finish() {
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
