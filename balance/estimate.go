package balance

import (
	"math"
	"time"
)

// estimate is the expected course of a request at one engine, in seconds.
type estimate struct {
	index  int32
	wait   float64
	first  float64
	answer float64
	// busy is what the work in progress adds while there are free slots.
	busy float64
	cost float64
}

// none is the estimate of no engine.
var none = estimate{index: -1, cost: math.Inf(1)}

// estimate works out the expected course of the request at the engine.
func (c *choice) estimate(index int32) estimate {
	e := c.plan.engines[index]
	o := &c.state.options
	size := c.plan.capacity[index]
	a := e.activity()
	slowness := a.health.slownessFactor()
	throughput := size.slots * size.rate / slowness
	load := a.load.view(c.priority, c.now, o.ReportFresh, size.rate/slowness)

	est := estimate{index: index}
	est.wait = load.wait(size.slots, throughput)
	prefill := float64(max(0, c.req.Work.PromptTokens)) / o.PrefillTokensPerSecond
	held := 0.0
	if newsAt, ok := c.holders.of(e); ok {
		held = o.belief(e, newsAt, c.now)
		prefill -= held * o.saving(o.shared(c.req.Work, prefill))
	}
	est.first = est.wait + prefill
	est.answer = est.first + float64(max(1, c.req.Work.ExpectedTokens))*slowness/size.rate
	failures := a.health.failureShare(c.now, o.FailureHalfLife)
	penalty := failures * failures * o.FailurePenalty.Seconds()
	est.busy = o.BatchSlowdown * load.tokens / throughput
	est.cost = est.answer + est.busy + penalty - held*c.req.PrefixWorth.Seconds()
	return est
}

// wait returns the time in seconds until a slot is free for the request: the
// work of those ahead of it, at the engine's throughput in tokens per second.
func (v view) wait(slots, throughput float64) float64 {
	if v.requests < slots || v.requests == 0 {
		return 0
	}
	queued := max(1, v.ahead+1-slots)
	return queued * v.tokens / v.requests / throughput
}

// slownessFactor returns the measured time per token relative to the register,
// within bounds.
func (h *health) slownessFactor() float64 {
	const lowest, highest = 0.5, 20
	f := math.Float64frombits(h.slowness.Load())
	if f == 0 {
		return 1
	}
	return min(max(f, lowest), highest)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
