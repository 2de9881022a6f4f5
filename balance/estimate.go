package balance

import (
	"math"
	"time"
)

// estimate holds the expected times of a request at one engine, in seconds.
type estimate struct {
	index      int32
	wait       float64
	firstToken float64
	answer     float64
	// backlog is the cost added for the work in progress, also while there are
	// free slots.
	backlog float64
	// requests is the number of requests in progress at the engine.
	requests float64
	cost     float64
}

// noEstimate stands for no engine. Its cost exceeds that of any engine.
var noEstimate = estimate{index: -1, cost: math.Inf(1)}

// estimate computes the expected times of the request at the engine.
func (c *choice) estimate(index int32) estimate {
	e := c.plan.engines[index]
	o := &c.state.options
	size := c.plan.capacity[index]
	a := e.activity()
	slowness := e.slownessFactor(c.now, o.SpeedPrior)
	throughput := size.slots * size.rate / slowness
	load := a.load.view(c.priority, c.now, o.ReportFresh, size.rate/slowness)

	est := estimate{index: index}
	est.wait = load.wait(size.slots, throughput)
	prefill := float64(max(0, c.req.Work.PromptTokens)) / o.PrefillTokensPerSecond
	hit := 0.0
	if updatedAt, ok := c.holders.lastUpdate(e); ok {
		hit = o.hitProbability(e, updatedAt, c.now)
		prefill -= hit * o.prefillSaving(o.sharedPrefill(c.req.Work, prefill))
	}
	est.firstToken = est.wait + prefill
	est.answer = est.firstToken + float64(max(1, c.req.Work.ExpectedTokens))*slowness/size.rate
	failures := a.health.failureShare(c.now, o.FailureHalfLife)
	penalty := failures * failures * o.FailurePenalty.Seconds()
	est.backlog, est.requests = o.BatchSlowdown*load.tokens/throughput, load.requests
	est.cost = est.answer + est.backlog + penalty - hit*c.req.PrefixWorth.Seconds()
	return est
}

// wait returns the time in seconds until a slot is free for the request, from
// the work of the requests ahead of it and the engine's throughput in tokens per
// second.
func (v view) wait(slots, throughput float64) float64 {
	if v.requests < slots || v.requests == 0 {
		return 0
	}
	queued := max(1, v.ahead+1-slots)
	return queued * v.tokens / v.requests / throughput
}

// slownessFactor returns the measured time per token relative to that of the
// registered rate, clamped to [lowest, highest], or 1 before any measurement.
func (h *health) slownessFactor() float64 {
	f := math.Float64frombits(h.slowness.Load())
	if f == 0 {
		return 1
	}
	return clampSlowness(f)
}

func clampSlowness(f float64) float64 {
	const lowest, highest = 0.5, 20
	return min(max(f, lowest), highest)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
