package selection

import (
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/rollout"
)

// defaultRetryAfter is the advice when no version reaches the target.
const defaultRetryAfter = 30 * time.Second

// usual tells whether a candidate may be chosen apart from roll-outs and
// trickles.
func (c *choice) usual(v int) bool {
	return !c.introduced(v) && c.gate(v) == rollout.GateOpen && c.eligible(v)
}

// eligible tells whether a usable version fits this request.
func (c *choice) eligible(v int) bool {
	r := &c.rows[v]
	if c.model != none && int(r.model) != c.model {
		return false
	}
	if r.contextTokens > 0 && c.request.PromptTokens+c.tokens(v) > r.contextTokens {
		return false
	}
	return len(c.request.Tried) == 0 || !c.tried(c.plan.versions[v].name)
}

// introduced tells whether a roll-out introduces the version.
func (c *choice) introduced(v int) bool { return c.rows[v].introduced }

func (c *choice) gate(v int) rollout.Gate { return c.rows[v].track.GateAt(c.nanos) }

func (c *choice) tried(name string) bool {
	for _, t := range c.request.Tried {
		if t == name {
			return true
		}
	}
	return false
}

func (c *choice) overSpend(cost float64) bool {
	return c.request.SpendLimited && cost > float64(c.request.SpendLeftMicros)
}

// tokens returns the expected length of the version's answer.
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

// inTime tells whether two attempts in a row can meet the deadline.
func (c *choice) inTime(first, next int) bool {
	if c.request.Deadline.IsZero() {
		return true
	}
	return !c.now.Add(c.duration(first) + c.duration(next)).After(c.request.Deadline)
}

// within tells whether the key of the request falls into the given share of
// the key space of a version. A share that grows keeps the keys it had.
func (c *choice) within(v int, share float64) bool {
	const unit = 1 << 53
	x := mix(c.key^c.plan.versions[v].hash) >> 11
	return float64(x)/unit < share
}

// mix is the finaliser of SplitMix64.
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
		Rollout:            c.introduced(o.version),
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

// before orders options that reach the target: preferred versions in their
// order, then by cost.
func before(a, b *option) bool {
	if a.rank != b.rank {
		return a.rank != 0 && (b.rank == 0 || a.rank < b.rank)
	}
	return a.cost < b.cost
}

// refusal explains why no version was left.
func (c *choice) refusal() error {
	var tooDear, missing, gone bool
	for v, ok := range c.org.allowed {
		version := &c.plan.versions[v]
		named := c.version == v || c.version == none && (c.model == none || c.model == version.model)
		switch {
		case !ok || !named:
		case version.withdrawn || c.plan.halted(v):
			gone = true
		case !version.served || !c.eligible(v):
			missing = true
		case c.overSpend(c.cost(v)):
			tooDear = true
		}
	}
	switch {
	case tooDear:
		return spendExceeded()
	case missing:
		return noCapacity()
	case gone:
		return withdrawn()
	}
	return notAllowed()
}

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

// notAllowed is the refusal for versions, models and organisations that are
// unknown as well as for those that are not allowed.
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
