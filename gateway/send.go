package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/retry"
	"github.com/bronzeturn/bronzeturn/route"
)

// sendOnce makes one attempt: it sends the request to the engine and passes the answer on.
func (g *Gateway) sendOnce(ctx context.Context, t *task, to *target) *attemptError {
	t.tried = append(t.tried, to.engine.Key())
	t.request.trace.attempts++
	t.request.trace.engines = append(t.request.trace.engines, to.engine.Key())
	t.request.trace.trial, t.request.trace.version = t.trial, to.engine.Version
	t.request.trace.end = endCheck{}
	if t.meta.Session != "" {
		g.Introductions.Running(t.service, t.session, to.engine.Version)
	}
	key := to.engine.Key()
	t.progress.engine.Store(&key)
	to.sent = time.Now()
	g.Engines.Dispatched(balance.Dispatched{Engine: to.engine.Key(), Work: to.work, PrefixHash: t.prefixHash, At: to.sent})
	g.Limits.Sent(to.engine.Key(), t.request.trace.attempts > 1)
	sending, send := g.Quarantine.Sending(ctx, t.content)
	defer send.Done()
	if g.Quarantine.Held(t.content) && !t.quarantineRetry {
		g.Engines.Finished(balance.Finished{Engine: to.engine.Key(), Work: to.work, Cancelled: true, At: time.Now()})
		return &attemptError{Kind: retry.KindCancelled, Ran: failure.RanNo, Cause: quarantine.ErrQuarantined}
	}
	t.quarantineRetry = false
	to.ticket.sent(to.engine.Key())
	g.liveness.Expect(to.engine)
	x, err := attempt.Send(sending, g.Transport, g.attemptRequest(ctx, t, to))
	if err != nil {
		failed := sendError(err).withQuarantineCause(sending)
		g.reportFailure(ctx, t, to, failed)
		return failed
	}
	send.Begun()
	to.untilClose = x.UntilClose
	defer func() { _ = x.Close() }() // The answer has been read or is not needed.
	failed := g.deliver(ctx, t, to, x)
	if to.reading != nil {
		to.reading.Close(failed == nil)
	}
	if failed != nil {
		g.reportFailure(ctx, t, to, failed.withQuarantineCause(sending))
	}
	return failed
}

// attemptRequest builds the request for the engine.
func (g *Gateway) attemptRequest(ctx context.Context, t *task, to *target) attempt.Request {
	header := withoutHopByHop(t.http.Header)
	g.Codec.Strip(header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // Keeps net/http from adding its own.
	}
	g.Codec.Apply(header, Sent{
		Organisation: t.organisation, Instance: to.engine.ID, Left: time.Until(t.deadline),
		Model: t.model, Priority: t.priority, LastEvent: t.stream.lastID, HasPriorities: t.runsModels,
	})
	r := attempt.Request{
		Method: t.http.Method, URL: "http://" + to.engine.Address + t.http.RequestURI, Host: t.http.Host,
		Header: header, Body: t.body,
	}
	r.ProgressTimeout, r.PauseTimeout = g.attemptTimeouts(t)
	if r.ProgressTimeout > 0 || r.PauseTimeout > 0 {
		r.GiveUp, r.Kept = g.abandonCheck(ctx, t, to), func() { t.keep() }
	}
	return r
}

// mayGiveUp reports whether the attempt at a silent engine may be abandoned for another
// engine, and takes the next attempt from the retry budget. If the budget is empty, the
// attempt goes on: silence alone must not end a request. It also goes on if a stop leaves no time to begin
// again.
func (g *Gateway) mayGiveUp(t *task) bool {
	if t.progress.events.Load() == 0 && g.mayOutlastStop(t) {
		return false
	}
	if !g.budgets.forService(t.service).Take(time.Now()) {
		return false
	}
	t.budgetTaken.Store(true)
	return true
}

// Parameters of the timeouts after which a silent engine may be abandoned for another one.
const (
	// bufferedTimeoutShare is the share of the target for buffered answers.
	bufferedTimeoutShare = 0.7
	// firstEventGrace is added to the target for the first event of a stream. An engine
	// that is later than this is assumed to hang rather than to be busy. It is also the
	// minimum timeout between two events.
	firstEventGrace = 1500 * time.Millisecond
	// pauseTimeoutFactor times the route's MaxPause is the timeout between two events.
	pauseTimeoutFactor = 1.5
)

// attemptTimeouts returns how long an engine may be silent before its answer begins, and
// between two events. Zero means until the deadline.
func (g *Gateway) attemptTimeouts(t *task) (first, pause time.Duration) {
	if !t.route.Repeatable() || t.runs+1 >= t.route.Attempts || len(t.tried) >= maxSends || t.route.Target == 0 {
		return 0, 0
	}
	if t.route.Kind == route.Idempotent {
		return max(time.Duration(bufferedTimeoutShare*float64(t.route.Target)), g.slowRunTime(t)), 0
	}
	first = t.route.Target + firstEventGrace
	return first, max(time.Duration(pauseTimeoutFactor*float64(t.route.MaxPause)), firstEventGrace)
}

// sendError converts an error of package attempt.
func sendError(err error) *attemptError {
	var e *attempt.Error
	if !errors.As(err, &e) {
		return &attemptError{Kind: retry.KindBroken, Ran: failure.RanUnknown, Cause: err}
	}
	failed := &attemptError{Kind: retry.KindBroken, Ran: failure.RanUnknown, Cause: err}
	switch {
	case e.Reason == attempt.Canceled:
		failed.Kind = retry.KindCancelled
	case e.Reason == attempt.Silent:
		failed.Kind = retry.KindSilent
	case e.Stage == attempt.NotSent:
		failed.Kind = retry.KindConnect
	}
	if e.Stage == attempt.NotSent {
		failed.Ran = failure.RanNo
	}
	return failed
}

// silentUntilDeadline reports whether a request ended at its deadline because the engine
// had not begun to answer although it had as much time as the route's target. A caller
// that disconnects says nothing about the engine.
func silentUntilDeadline(ctx context.Context, t *task, to *target) bool {
	return errors.Is(context.Cause(ctx), errDeadline) && !to.firstSeen && !to.released && time.Since(to.sent) >= max(t.route.Target, minAttempt)
}

// reportFailure reports a failed attempt to the balancer, the quarantine and the
// introduction of the version.
func (g *Gateway) reportFailure(ctx context.Context, t *task, to *target, e *attemptError) {
	now := time.Now()
	g.reportToQuarantine(t, to, e, now)
	silent := e.Kind == retry.KindCancelled && silentUntilDeadline(ctx, t, to)
	if !silent && (e.Kind == retry.KindCancelled || e.Kind == retry.KindDoubted) {
		if !to.released {
			g.Engines.Finished(balance.Finished{Engine: to.engine.Key(), Work: to.work, FirstTokenSeen: to.firstSeen, Cancelled: true, At: now})
		}
		return
	}
	kind, known := failureKinds[e.Kind]
	if !known {
		kind = balance.FailureError
	}
	if !to.released {
		g.Engines.Failed(balance.Failed{Engine: to.engine.Key(), Work: to.work, FirstTokenSeen: to.firstSeen, Kind: kind, RetryAfter: to.retryAfter, At: now})
	}
	if e.Kind == retry.KindRefused || e.Kind == retry.KindConnect || e.Kind == retry.KindMisdirected {
		return
	}
	blame := g.blameFor(t, to.engine.Version)
	if errors.Is(e.Cause, errEndUnknown) {
		blame = func() {} // The answer may be complete.
	}
	if e.connectionLost() {
		g.Quarantine.AnswerInterrupted(to.engine, t.content, now, blame)
		return
	}
	blame()
}

// blameFor returns a function that counts a failure of the request against a version, unless one of
// its failures was already: what fails one attempt often fails the next one too. The function may
// be called at any time, and does not keep the request in memory.
func (g *Gateway) blameFor(t *task, version string) func() {
	if t.blamed == nil {
		t.blamed = new(atomic.Pointer[string])
	}
	service, route, blamed := t.service, t.route.Name, t.blamed
	return func() {
		if before := blamed.Swap(&version); before == nil || *before != version {
			g.Introductions.Observe(service, route, version, true, 0)
		}
	}
}

// reportToQuarantine reports failures that indicate that the engine has ended, or after which it may
// yet end because of the request.
func (g *Gateway) reportToQuarantine(t *task, to *target, e *attemptError, now time.Time) {
	switch {
	case e.Kind == retry.KindDoubted, e.Kind == retry.KindSilent, e.Kind == retry.KindCancelled && e.Ran != failure.RanNo:
		g.Quarantine.AnswerCancelled(to.engine, t.content, now)
	case e.Kind == retry.KindMisdirected:
		g.Quarantine.Replaced(to.engine.Key(), now)
	case e.Kind == retry.KindConnect && errors.Is(e.Cause, syscall.ECONNREFUSED):
		g.Quarantine.ConnectionRefused(to.engine.Key(), now)
	}
}

// connectionLost reports whether the connection was lost after the request had been sent
// and before the answer was complete.
func (e *attemptError) connectionLost() bool {
	var failed *attempt.Error
	return errors.As(e.Cause, &failed) && failed.Reason == attempt.Network && failed.Stage != attempt.NotSent
}

// failureKinds maps the failure kinds of attempts to those of the balancer.
var failureKinds = map[retry.Kind]balance.FailureKind{
	retry.KindConnect:     balance.FailureUnreachable,
	retry.KindMisdirected: balance.FailureUnreachable,
	retry.KindRefused:     balance.FailureBusy,
	retry.KindSilent:      balance.FailureSilent,
	// Cancelled attempts are looked up only if the engine was silent until the deadline.
	retry.KindCancelled: balance.FailureSilent,
}
