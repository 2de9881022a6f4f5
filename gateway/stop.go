package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
)

// ErrStopping is the cause with which the contexts of requests end that are still in progress at the
// end of a stop. Each is then answered whether it may have run.
var ErrStopping = errors.New("the daemon is stopping")

// stoppingRetryAfter is the Retry-After of a daemon that is stopping. It is short because other daemons
// accept the request at once.
const stoppingRetryAfter = 10 * time.Millisecond

// gate counts the requests in progress and holds the state of a stop.
type gate struct {
	active atomic.Int64
	// ends is when the requests in progress have to end, nil before a stop.
	ends atomic.Pointer[time.Time]
}

// Stop begins a graceful stop, after which requests in progress have to end at the given time. Answers
// ask callers to close their connections, and requests that may not end in time are refused.
func (g *Gateway) Stop(ends time.Time) { g.gate.ends.Store(&ends) }

// stopping reports whether a stop has begun.
func (g *Gateway) stopping() bool { return g.gate.ends.Load() != nil }

// InProgress returns the number of requests in progress.
func (g *Gateway) InProgress() int { return int(g.gate.active.Load()) }

// Drain waits until no request is in progress, or ctx ends.
func (g *Gateway) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for g.InProgress() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// drainPoll is the interval at which Drain checks for requests in progress.
const drainPoll = 20 * time.Millisecond

// refuseLate returns the refusal of a request that may not end before a stop does: neither its deadline
// nor the time that answers on its route take guarantees it. Other daemons can serve it.
func (g *Gateway) refuseLate(q *request) *failure.Error {
	ends := g.gate.ends.Load()
	if ends == nil {
		return nil
	}
	q.trace.stopLeft = time.Until(*ends)
	if !q.deadline.After(*ends) {
		return nil
	}
	if most, known := g.answerTimes.longest(q.route.Name); known && time.Until(*ends) > most {
		return nil
	}
	return stoppingFailure(failure.RanNo)
}

// track adds a request to those in progress. The returned function removes it.
func (g *Gateway) track(q *request) (end func()) {
	p := &progress{id: q.meta.ID, route: q.route.Name, service: q.service, received: q.received}
	q.progress = p
	g.inProgress.add(p)
	return func() { g.inProgress.remove(p) }
}

// LogInProgress logs each request in progress.
func (g *Gateway) LogInProgress() {
	now := time.Now()
	g.inProgress.each(func(p *progress) {
		line := g.Log.Warn().Str("request", p.id).Str("route", p.route).Str("service", p.service)
		if engine := p.engine.Load(); engine != nil {
			line = line.Str("engine", *engine)
		}
		line.Dur("age_ms", now.Sub(p.received)).Int64("events", p.events.Load()).Msg("request in progress at the end of the stop")
	})
}

// stoppingFailure returns the failure of a request that a stop prevents or ends.
func stoppingFailure(ran failure.Ran) *failure.Error {
	f := failure.New(failure.CodeDaemonLeaving, ran, "the daemon is stopping")
	if ran == failure.RanNo {
		return f.WithRetryAfter(stoppingRetryAfter)
	}
	return f
}

const (
	// peakDecay is the share of the distance to a shorter time that the peak of a route moves with
	// each answer.
	peakDecay = 0.02
	// peakMargin multiplies the peak, and peakSlack is added to it, for answers that take longer than
	// any before.
	peakMargin = 1.25
	peakSlack  = 50 * time.Millisecond
	// maxTimedRoutes bounds the routes whose times are kept. Configurations add and remove routes for as
	// long as the daemon runs.
	maxTimedRoutes = 4096
)

// answerTimes holds, for each route, how long the slowest of the recent requests took until their
// answers were complete. It is safe for concurrent use.
type answerTimes struct {
	mu   sync.Mutex
	peak map[string]time.Duration
}

func newAnswerTimes() *answerTimes { return &answerTimes{peak: make(map[string]time.Duration)} }

// observe records the time of a request that was answered.
func (a *answerTimes) observe(route string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	peak, known := a.peak[route]
	if !known && len(a.peak) >= maxTimedRoutes {
		clear(a.peak)
	}
	if took < peak {
		took = peak + time.Duration(peakDecay*float64(took-peak))
	}
	a.peak[route] = took
}

// longest returns how long a request may take, and false if none was answered so far.
func (a *answerTimes) longest(route string) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	peak, known := a.peak[route]
	return time.Duration(peakMargin*float64(peak)) + peakSlack, known
}
