// Package hedge decides whether a slow request is also sent to a second engine. The
// answer that comes first is used and the other attempt is cancelled. This is
// replication with d = 2 in the paper cited in docs/design/0006. It cuts the tail
// latency because two engines are seldom slow at the same time. The paper's cheaper
// alternative, coding across jobs, needs work that is linear in its input, which
// text generation is not.
//
// Nothing in this package does I/O, reads a clock or starts a goroutine.
package hedge

import (
	"fmt"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/retry"
)

// Options configures a Policy.
type Options struct {
	// Quantile is the quantile of a kind's latency after which a request counts as
	// slow.
	Quantile float64
	// MinDelay and MaxDelay bound the delay before a hedge.
	MinDelay time.Duration
	MaxDelay time.Duration
	// MinSamples is the number of answers of a kind that must have been measured
	// before its requests are hedged.
	MinSamples int
	// Budget bounds the hedges as a share of the requests that may be hedged.
	Budget retry.BudgetOptions
}

// DefaultOptions returns the documented defaults.
func DefaultOptions() Options {
	return Options{
		Quantile:   0.90,
		MinDelay:   50 * time.Millisecond,
		MaxDelay:   5 * time.Second,
		MinSamples: 50,
		Budget:     retry.BudgetOptions{Share: 0.05, Burst: 10},
	}
}

// OptionError reports an option outside its bounds.
type OptionError struct {
	Option string
	Bound  string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("option %s must be %s", e.Option, e.Bound)
}

// Validate returns an OptionError for the first option outside its bounds.
func (o Options) Validate() error {
	switch {
	case o.Quantile <= 0.5 || o.Quantile >= 1:
		return &OptionError{Option: "Quantile", Bound: "above 0.5 and below 1"}
	case o.MinDelay <= 0 || o.MaxDelay < o.MinDelay:
		return &OptionError{Option: "MinDelay", Bound: "above 0 and at most MaxDelay"}
	case o.MinSamples < 1:
		return &OptionError{Option: "MinSamples", Bound: "at least 1"}
	case o.Budget.Share < 0 || o.Budget.Share > 1:
		return &OptionError{Option: "Budget.Share", Bound: "from 0 to 1"}
	}
	return nil
}

// Request describes a request in progress.
type Request struct {
	Kind string
	// Idempotent and HedgingEnabled are the settings of the kind in the rules.
	Idempotent     bool
	HedgingEnabled bool
	// Delay is the result of Policy.Delay when the request was sent.
	Delay time.Duration
	// Elapsed is the time since the request was sent, Left the time to its
	// deadline.
	Elapsed time.Duration
	Left    time.Duration
	// BytesSent is the number of bytes of the answer already sent to the caller.
	BytesSent int64
	// SecondWait is the expected queueing time at the second engine, SecondAnswer
	// the expected time to its complete answer.
	SecondWait   time.Duration
	SecondAnswer time.Duration
}

// Reason is the reason why a hedge is sent or not.
type Reason string

// The reasons.
const (
	ReasonSlow          Reason = "slow"
	ReasonNotEnabled    Reason = "kind_not_hedged"
	ReasonNotIdempotent Reason = "not_idempotent"
	ReasonAnswerBegun   Reason = "answer_begun"
	ReasonUnmeasured    Reason = "kind_unmeasured"
	ReasonEarly         Reason = "before_delay"
	ReasonDeadline      Reason = "deadline"
	ReasonBusy          Reason = "no_free_engine"
	ReasonBudget        Reason = "budget_empty"
)

// Answered reports the latency of a request that may be hedged. If it was hedged,
// that is the latency of the first answer.
type Answered struct {
	Kind    string
	Latency time.Duration
}

// Policy decides on hedges for one daemon. It is safe for concurrent use; each
// kind has its own lock.
type Policy struct {
	options Options
	budget  *retry.Budget

	mu    sync.RWMutex
	kinds map[string]*quantile
}

// New returns a Policy, or an OptionError if the options are invalid.
func New(o Options) (*Policy, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return &Policy{
		options: o,
		budget:  retry.NewBudget(o.Budget),
		kinds:   make(map[string]*quantile),
	}, nil
}

// Request records the start of a request that may be hedged.
func (p *Policy) Request(now time.Time) { p.budget.Request(now) }

// Answered records the latency of an answer.
func (p *Policy) Answered(ev Answered) {
	p.kind(ev.Kind).observe(ev.Latency.Seconds(), p.options.Quantile)
}

// Delay returns the time after which a request of the kind that starts now may
// be hedged, or false if too few answers have been measured.
func (p *Policy) Delay(kind string) (time.Duration, bool) {
	value, samples := p.kind(kind).value()
	if samples < p.options.MinSamples {
		return 0, false
	}
	delay := time.Duration(value * float64(time.Second))
	return min(max(delay, p.options.MinDelay), p.options.MaxDelay), true
}

// Next decides whether the request is sent to a second engine now, and returns the
// reason. A hedge that is granted has been taken from the budget.
func (p *Policy) Next(r Request, now time.Time) (hedge bool, reason Reason) {
	if reason := p.denyReason(r); reason != "" {
		return false, reason
	}
	if !p.budget.Take(now) {
		return false, ReasonBudget
	}
	return true, ReasonSlow
}

// denyReason returns the reason against a hedge, or "".
func (p *Policy) denyReason(r Request) Reason {
	switch {
	case !r.HedgingEnabled:
		return ReasonNotEnabled
	case !r.Idempotent:
		return ReasonNotIdempotent
	case r.BytesSent > 0:
		return ReasonAnswerBegun
	case r.Delay <= 0:
		return ReasonUnmeasured
	case r.Elapsed < r.Delay:
		return ReasonEarly
	case r.SecondAnswer > r.Left:
		return ReasonDeadline
	case r.SecondWait > 0:
		return ReasonBusy
	default:
		return ""
	}
}

// kind returns the latency quantile of the kind, created on first use. The map is
// not bounded because kinds come from the rules, so there are few.
func (p *Policy) kind(name string) *quantile {
	p.mu.RLock()
	q := p.kinds[name]
	p.mu.RUnlock()
	if q != nil {
		return q
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kinds[name] == nil {
		p.kinds[name] = &quantile{}
	}
	return p.kinds[name]
}

// quantileGain is the step size of the estimate relative to its value.
const quantileGain = 0.05

// quantile estimates a quantile of a stream of values by stochastic approximation.
// It only uses whether a value is above the estimate, so latencies that were
// shortened by a hedge can be used, too.
type quantile struct {
	mu       sync.Mutex
	estimate float64
	samples  int
}

func (q *quantile) observe(value, share float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.samples++
	switch {
	case q.estimate == 0:
		q.estimate = value
	case value > q.estimate:
		q.estimate *= 1 + quantileGain*share
	default:
		q.estimate *= 1 - quantileGain*(1-share)
	}
}

func (q *quantile) value() (estimate float64, samples int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.estimate, q.samples
}
