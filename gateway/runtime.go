package gateway

import (
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

const (
	// runTimeSmoothing is the weight of one run in the moving mean of a route's run times. At
	// 40 requests per second the mean follows a change within half a second.
	runTimeSmoothing = 0.05
	// defaultRunTime is the expected run time of a route without a complete run so far.
	defaultRunTime = 50 * time.Millisecond
)

// runTimes holds the moving mean of the time that plain services take for the requests of each
// route. It is safe for concurrent use.
type runTimes struct {
	mu   sync.Mutex
	mean map[runKind]time.Duration
}

// runKind identifies runs that take about the same time.
type runKind struct{ service, route string }

func newRunTimes() *runTimes { return &runTimes{mean: make(map[runKind]time.Duration)} }

// observe records the time of a complete run.
func (r *runTimes) observe(kind runKind, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean, known := r.mean[kind]
	if !known {
		mean = took
	}
	r.mean[kind] = mean + time.Duration(runTimeSmoothing*float64(took-mean))
}

// expected returns the mean of the runs so far, or defaultRunTime if there are none.
func (r *runTimes) expected(kind runKind) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if mean, known := r.mean[kind]; known {
		return mean
	}
	return defaultRunTime
}

// slotTime returns the expected time of the request in a slot of an engine: until the first
// event of its answer, and until the end. For language models they follow from the estimate in
// tokens: an engine reads prompts at its full rate, and generates each answer at the rate of
// one of its streams.
func (g *Gateway) slotTime(t *task) (first, whole time.Duration) {
	if !t.runsModels {
		whole = g.runTimes.expected(runKind{t.service, t.route.Name})
		return whole, whole
	}
	w := t.work(g.Models)
	first = time.Duration(PromptTokenWork * float64(w.PromptTokens) / engineRate * float64(time.Second))
	return first, first + time.Duration(float64(w.ExpectedTokens)/streamRate(t.backend.Slots)*float64(time.Second))
}

// slowRunFactor is the multiple of the route's mean run time up to which an engine counts as slow
// rather than silent. An engine at 0.4 of the mean speed takes 2.5 times the mean.
const slowRunFactor = 3

// slowRunTime returns how long an engine may take for a buffered answer before it counts as silent,
// zero if load is not scheduled.
func (g *Gateway) slowRunTime(t *task) time.Duration {
	if g.dispatcher() == nil {
		return 0
	}
	return slowRunFactor * g.runTimes.expected(runKind{t.service, t.route.Name})
}

// release ends the work of an engine at the end of its answer. The engine's slot is free now, while the caller may
// still read, or it is not known yet whether the answer is complete.
func (g *Gateway) release(t *task, to *target, pace float64) {
	if to.ticket != nil {
		to.ticket.end(scheduler.Answered)
	}
	g.Engines.Finished(g.finished(t, to, pace))
	to.released = true
}

// observeRunTime records the time of a complete run. Runs that were sent without waiting for their turn and ended
// in contention do not count for the mean: they include the wait in the engine's queue.
func (g *Gateway) observeRunTime(t *task, to *target, took time.Duration) {
	if to.ticket != nil && !t.runsModels && (to.ticket.contended || !g.contended(t.service)) {
		g.runTimes.observe(runKind{t.service, t.route.Name}, took)
	}
}

// contended reports whether a service is contended.
func (g *Gateway) contended(service string) bool {
	dispatcher := g.dispatcher()
	return dispatcher != nil && dispatcher.Contended(service)
}

// slotsTaken reports whether a service is contended and no engine is known to have a free slot.
func (g *Gateway) slotsTaken(service string) bool {
	return g.contended(service) && !g.Dispatcher.FreeEngine(service, nil)
}
