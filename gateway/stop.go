package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/route"
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
	// stop is nil before a stop.
	stop atomic.Pointer[stopTimes]
}

// stopTimes are the times of a stop.
type stopTimes struct {
	// announced is when callers may be expected to know that the daemon leaves, ends when the requests in
	// progress have to end.
	announced, ends time.Time
	// began holds the number of requests in progress at the begin of the stop by service.
	began map[string]int
}

// Stop begins a graceful stop, in which callers may be expected to know from announced on that the daemon
// leaves, and requests in progress have to end at ends. Answers ask callers to close their connections, and
// requests that may not end in time are refused.
func (g *Gateway) Stop(announced, ends time.Time) {
	began := make(map[string]int)
	g.inProgress.each(func(p *progress) { began[p.kind.service]++ })
	g.gate.stop.Store(&stopTimes{announced, ends, began})
}

// stopping reports whether a stop has begun.
func (g *Gateway) stopping() bool { return g.gate.stop.Load() != nil }

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

// stopDecision is the decision whether a request may begin while a daemon stops.
type stopDecision string

const (
	// stopDeadlineFits: the deadline comes before the end of the stop.
	stopDeadlineFits stopDecision = "deadline_fits"
	// stopAnswerFits: the answer is expected to be complete by then, with a margin.
	stopAnswerFits stopDecision = "answer_fits"
	// stopEarly: callers do not know yet that the daemon leaves, and answers usually fit.
	stopEarly stopDecision = "early"
	// stopMayOutlast: the answer may take longer. The request is refused.
	stopMayOutlast stopDecision = "may_outlast"
	// stopTimeUnknown: the time of the answer is not known. The request is refused.
	stopTimeUnknown stopDecision = "time_unknown"
)

// serves reports whether a request may begin. It may before a stop, when there is no decision.
func (d stopDecision) serves() bool {
	return d != stopMayOutlast && d != stopTimeUnknown
}

// stopCheck is a decision with what it is based on.
type stopCheck struct {
	decision stopDecision
	// left is the time until the end of the stop, slowest the time of the answer if it is as slow as the
	// slowest recent ones, zero if not known.
	left, slowest time.Duration
}

// checkStop decides whether a request may begin. Before a stop there is no decision.
func (g *Gateway) checkStop(q *request) stopCheck {
	stop := g.gate.stop.Load()
	if stop == nil {
		return stopCheck{}
	}
	now := time.Now()
	check := stopCheck{decision: stopTimeUnknown, left: stop.ends.Sub(now)}
	if !q.deadline.After(stop.ends) {
		check.decision = stopDeadlineFits
		return check
	}
	times, known := g.answerTimes.known(q.answerKind(), check.left, now)
	if known {
		check.slowest = times.slowest
	}
	if now.Before(stop.announced) && (!known || times.mean() < check.left) {
		check.decision = stopEarly
		return check
	}
	if !known {
		return check
	}
	check.decision = stopMayOutlast
	if withMargin(times.slowest) < check.left {
		check.slowest = g.slowestNow(q.answerKind(), times.slowest, stop.began, now)
	}
	if withMargin(check.slowest) < check.left {
		check.decision = stopAnswerFits
	}
	return check
}

// slowestNow returns the longest time expected for an answer from that of the slowest recent one and the
// requests in progress. Their age is the first to show that answers take longer than before, and if there are
// more than at the begin of the stop, answers take longer in proportion, as engines are slower or the requests
// queue.
func (g *Gateway) slowestNow(kind answerKind, slowest time.Duration, began map[string]int, now time.Time) time.Duration {
	count := 0
	g.inProgress.each(func(p *progress) {
		if p.kind.service == kind.service {
			count++
		}
		if p.kind.bounds(kind) {
			slowest = max(slowest, now.Sub(p.received))
		}
	})
	growth := float64(count+1) / float64(began[kind.service]+1)
	return time.Duration(max(growth, 1) * float64(slowest))
}

// refuseLate returns the refusal of a request that may not end before a stop does. Other daemons can serve it,
// while a stream that is cut off is lost to its caller.
func (g *Gateway) refuseLate(q *request) *failure.Error {
	q.trace.stop = g.checkStop(q)
	if q.trace.stop.decision.serves() {
		return nil
	}
	return stoppingFailure(failure.RanNo)
}

// mayOutlastStop reports whether a stream that began again now might be cut off by a stop. Requests with other
// answers get a complete answer at the end of a stop. It uses only those fields of t that do not change.
func (g *Gateway) mayOutlastStop(t *task) bool {
	return t.route.Kind == route.Stream && !g.checkStop(t.request).decision.serves()
}

// answerKind returns the kind of the request's answer.
func (q *request) answerKind() answerKind {
	return newAnswerKind(q.service, q.route.Name, q.route.Kind == route.Stream, q.meta.MaxTokens)
}

// track adds a request to those in progress. The returned function removes it and records its time.
func (g *Gateway) track(q *request) (end func()) {
	p := &progress{id: q.meta.ID, route: q.route.Name, kind: q.answerKind(), received: q.received}
	q.progress = p
	g.inProgress.add(p)
	return func() {
		g.inProgress.remove(p)
		if q.trace.attempts > 0 {
			g.answerTimes.observe(p.kind, p.received, time.Now())
		}
	}
}

// LogInProgress logs each request in progress.
func (g *Gateway) LogInProgress() {
	now := time.Now()
	var all []*progress
	g.inProgress.each(func(p *progress) { all = append(all, p) })
	for _, p := range all {
		line := g.Log.Warn().Str("request", p.id).Str("route", p.route).Str("service", p.kind.service)
		if engine := p.engine.Load(); engine != nil {
			line = line.Str("engine", *engine)
		}
		line.Dur("age_ms", now.Sub(p.received)).Int64("events", p.events.Load()).Msg("request in progress at the end of the stop")
	}
}

// stoppingFailure returns the failure of a request that a stop prevents or ends.
func stoppingFailure(ran failure.Ran) *failure.Error {
	f := failure.New(failure.CodeDaemonLeaving, ran, "the daemon is stopping")
	if ran == failure.RanNo {
		return f.WithRetryAfter(stoppingRetryAfter)
	}
	return f
}
