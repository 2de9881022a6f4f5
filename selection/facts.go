package selection

import (
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/rollout"
)

// defaultRetryAfter is the advice when no version reaches the target.
const defaultRetryAfter = 30 * time.Second

// usual tells whether the version may be chosen apart from roll-outs and
// trickles.
func (c *choice) usual(v int) bool {
	return !c.introduced(v) && c.bound.tracks[v].Gate(c.now) == rollout.GateOpen && c.eligible(v)
}

// introduced tells whether a roll-out introduces the version.
func (c *choice) introduced(v int) bool { return c.plan.versions[v].rollout != none }

func (c *choice) halted(v int) bool {
	r := c.plan.versions[v].rollout
	return r != none && c.plan.rollouts[r].halted()
}

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
	if n := c.bound.cells[c.row+v].CompletionTokens(); n > 0 {
		return min(int64(n), maxTokens)
	}
	if n := c.kind.completionTokens; n > 0 {
		return min(n, maxTokens)
	}
	return defaultCompletionTokens
}

func (c *choice) option(v int) option {
	version := &c.plan.versions[v]
	prompt := min(max(c.request.PromptTokens, 0), maxTokens)
	price := prompt*version.promptPrice + c.tokens(v)*version.completionPrice
	return option{
		version:  v,
		cost:     float64(price) / microsPerUnit,
		rank:     c.kind.rank[v],
		estimate: c.bound.cells[c.row+v].Estimate(c.now),
	}
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

// cheaper orders options: preferred versions in their order, then by cost,
// then by quality.
func cheaper(a, b *option) bool {
	if a.rank != b.rank {
		return a.rank != 0 && (b.rank == 0 || a.rank < b.rank)
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.estimate.Mean > b.estimate.Mean
}

// refusal explains why no version was left.
func (c *choice) refusal() error {
	switch {
	case c.dropped.spend > 0:
		return spendExceeded()
	case c.dropped.tried > 0 || c.dropped.unserved > 0:
		return noCapacity()
	case c.dropped.withdrawn > 0:
		return withdrawn()
	}
	return notAllowed()
}

func (c *choice) belowTarget() error {
	wait := defaultRetryAfter
	if v := c.resort.version; v != none {
		if at := c.bound.tracks[v].RetryAt(); at.After(c.now) {
			wait = at.Sub(c.now)
		}
	}
	return failure.New(failure.CodeBelowTarget, failure.RanNo,
		"no allowed version reaches the quality target").After(wait)
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
		After(defaultRetryAfter)
}

func spendExceeded() error {
	return failure.New(failure.CodeSpendExceeded, failure.RanNo, "the spend limit of the organisation is reached")
}
