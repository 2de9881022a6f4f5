package selection

import (
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/rollout"
)

// defaultRetryAfter is the Retry-After when no version reaches the target, or no
// engine serves one.
const defaultRetryAfter = 30 * time.Second

// regular reports whether a candidate may be chosen independently of roll-outs
// and trickles: it is not in roll-out, not cut off, and fits the request.
func (c *choice) regular(v int) bool {
	return !c.inRollout(v) && c.gate(v) == rollout.GateOpen && c.eligible(v)
}

// eligible reports whether a usable version fits this request: its model, its
// context length, and that the request has not failed on it.
func (c *choice) eligible(v int) bool {
	r := &c.rows[v]
	if c.model != none && int(r.model) != c.model {
		return false
	}
	if r.contextTokens > 0 && c.request.PromptTokens+c.tokens(v) > r.contextTokens {
		return false
	}
	return len(c.request.FailedVersions) == 0 || !c.failedOn(c.plan.versions[v].name)
}

// inRollout reports whether the version is in roll-out.
func (c *choice) inRollout(v int) bool { return c.rows[v].inRollout }

func (c *choice) gate(v int) rollout.Gate { return c.rows[v].track.GateAt(c.nanos) }

func (c *choice) failedOn(name string) bool {
	for _, t := range c.request.FailedVersions {
		if t == name {
			return true
		}
	}
	return false
}

func (c *choice) overSpend(cost float64) bool {
	return c.request.SpendLimited && cost > float64(c.request.SpendLeftMicros)
}

// tokens returns the expected length of the version's answer in tokens.
func (c *choice) tokens(v int) int64 {
	if n := c.request.ExpectedCompletionTokens; n > 0 {
		return min(n, maxTokens)
	}
	if n := c.rows[v].cell.CompletionTokens(); n > 0 {
		return min(int64(n), maxTokens)
	}
	if n := c.kind.completionTokens; n > 0 {
		return min(n, maxTokens)
	}
	return defaultCompletionTokens
}

// cost returns the expected price of one attempt in micro-units.
func (c *choice) cost(v int) float64 {
	r := &c.rows[v]
	price := c.prompt*r.promptPrice + c.tokens(v)*r.completionPrice
	return float64(price) * (1.0 / microsPerUnit)
}

func (c *choice) estimate(v int) quality.Estimate {
	return c.rows[v].cell.EstimateAt(c.nanos)
}

func (c *choice) option(v int) option {
	return option{version: v, cost: c.cost(v), rank: int(c.rows[v].rank), estimate: c.estimate(v)}
}

func (c *choice) duration(v int) time.Duration {
	return c.plan.versions[v].duration(c.tokens(v))
}

// meetsDeadline reports whether two attempts in sequence can meet the deadline.
func (c *choice) meetsDeadline(first, next int) bool {
	if c.request.Deadline.IsZero() {
		return true
	}
	return !c.now.Add(c.duration(first) + c.duration(next)).After(c.request.Deadline)
}

// inShare reports whether the key of the request falls into the given share of the
// version's key space. When the share grows, it keeps the keys that it had.
func (c *choice) inShare(v int, share float64) bool {
	const unit = 1 << 53
	x := mix(c.key^c.plan.versions[v].hash) >> 11
	return float64(x)/unit < share
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (c *choice) decision(o *option, why Reason) Decision {
	return Decision{
		Version:            c.plan.versions[o.version].name,
		ExpectedCostMicros: int64(o.cost + 0.5),
		Quality:            o.estimate,
		Target:             c.kind.target,
		Reason:             why,
		Rollout:            c.inRollout(o.version),
		Candidates:         c.considered,
	}
}

// keepBetter replaces kept by o when o has the higher quality, or the same at
// a lower cost.
func keepBetter(kept, o *option) {
	switch {
	case kept.version == none, o.estimate.Mean > kept.estimate.Mean:
		*kept = *o
	case o.estimate.Mean == kept.estimate.Mean && o.cost < kept.cost:
		*kept = *o
	}
}

// preferable reports whether a is chosen over b when both reach the target:
// preferred versions come first in their configured order, then the lower cost.
func preferable(a, b *option) bool {
	if a.rank != b.rank {
		return a.rank != 0 && (b.rank == 0 || a.rank < b.rank)
	}
	return a.cost < b.cost
}

// refusal returns the error that explains why no version can be chosen. A version
// that only exceeds the spend limit takes precedence over an unavailable one, and
// that over a withdrawn one.
func (c *choice) refusal() error {
	var tooExpensive, unavailable, gone bool
	for v, ok := range c.org.allowed {
		version := &c.plan.versions[v]
		named := c.version == v || c.version == none && (c.model == none || c.model == version.model)
		switch {
		case !ok || !named:
		case version.withdrawn || c.plan.halted(v):
			gone = true
		case !version.served || !c.eligible(v):
			unavailable = true
		case c.overSpend(c.cost(v)):
			tooExpensive = true
		}
	}
	switch {
	case tooExpensive:
		return spendExceeded()
	case unavailable:
		return noCapacity()
	case gone:
		return withdrawn()
	}
	return notAllowed()
}

// belowTarget returns the refusal when no version reaches the target. Retry-After
// is when the first cut-off version may be tried again, at most defaultRetryAfter.
func (c *choice) belowTarget() error {
	wait := defaultRetryAfter
	for _, v := range c.org.candidates {
		if at := c.rows[v].track.RetryAt(); at.After(c.now) && c.eligible(v) {
			wait = min(wait, at.Sub(c.now))
		}
	}
	return failure.New(failure.CodeTargetUnreachable, failure.RanNo,
		"no allowed version reaches the quality target").WithRetryAfter(wait)
}

// notAllowed returns the refusal for versions, models and organisations that are
// unknown as well as for those that are not allowed, so that callers can't find
// out what exists.
func notAllowed() error {
	return failure.New(failure.CodeVersionNotAllowed, failure.RanNo, "the organisation may not use this version")
}

func withdrawn() error {
	return failure.New(failure.CodeVersionWithdrawn, failure.RanNo, "the version is withdrawn")
}

func noCapacity() error {
	return failure.New(failure.CodeNoCapacity, failure.RanNo, "no engine serves an allowed version now").
		WithRetryAfter(defaultRetryAfter)
}

func spendExceeded() error {
	return failure.New(failure.CodeSpendExceeded, failure.RanNo, "the spend limit of the organisation is reached")
}
