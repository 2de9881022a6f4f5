package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/retry"
	"github.com/bronzeturn/bronzeturn/route"
)

// try sends the request once and passes the answer on.
func (g *Gateway) try(ctx context.Context, t *task, to *target) *attemptError {
	t.tried = append(t.tried, to.engine.Key())
	t.request.trace.attempts++
	t.request.trace.engines = append(t.request.trace.engines, to.engine.Key())
	t.request.trace.trial, t.request.trace.version = t.trial, to.engine.Version
	to.sent = time.Now()
	g.Engines.Dispatched(balance.Dispatched{Engine: to.engine.Key(), Work: to.work, PrefixHash: t.prefixHash, At: to.sent})
	sending, send := g.Quarantine.Sending(ctx, t.hash)
	defer send.Done()
	if g.Quarantine.Held(t.hash) && !t.retrying {
		g.Engines.Finished(balance.Finished{Engine: to.engine.Key(), Work: to.work, Cancelled: true, At: time.Now()})
		return &attemptError{Kind: retry.KindCancelled, Ran: failure.RanNo, Cause: quarantine.ErrQuarantined}
	}
	t.retrying = false
	x, err := attempt.Send(sending, g.Transport, g.attemptRequest(t, to))
	if err != nil {
		failed := sendError(err).under(sending)
		g.failed(ctx, t, to, failed)
		return failed
	}
	send.Begun()
	defer func() { _ = x.Close() }() // Nothing is left to read that matters.
	failed := g.deliver(t, to, x)
	if failed != nil {
		g.failed(ctx, t, to, failed.under(sending))
	}
	return failed
}

// attemptRequest builds the request for the engine.
func (g *Gateway) attemptRequest(t *task, to *target) attempt.Request {
	header := passedOn(t.http.Header)
	g.Codec.Strip(header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // Keeps net/http from naming itself.
	}
	g.Codec.Apply(header, Sent{
		Organisation: t.organisation, Instance: to.engine.ID, Left: time.Until(t.deadline),
		Model: t.model, Priority: t.priority, LastEvent: t.stream.lastID, Ranked: t.ranked,
	})
	r := attempt.Request{
		Method: t.http.Method, URL: "http://" + to.engine.Address + t.http.RequestURI, Host: t.http.Host,
		Header: header, Body: t.body,
	}
	r.ProgressTimeout, r.PauseTimeout = g.patience(t)
	r.GiveUp = func() bool { return g.mayGiveUp(t) }
	return r
}

// mayGiveUp tells whether a silent engine may be left: only for another one. An
// answer must not end because an engine is silent. It takes the second send from
// the budget.
func (g *Gateway) mayGiveUp(t *task) bool {
	if !g.budgets.of(t.service).Take(time.Now()) {
		return false
	}
	t.prepaid.Store(true)
	return true
}

// Parts of a route's target that an attempt may take before another engine is
// tried, where that is allowed.
const (
	// answerPatience is for whole answers, of the target.
	answerPatience = 0.7
	// firstPatience is added to the target of a stream's first event: an engine
	// that is that late is silent rather than busy.
	firstPatience = 1500 * time.Millisecond
	// pauseFactor is for the pauses of a stream, of the longest one on time.
	pauseFactor = 1.5
)

// patience returns how long an engine may be silent before its answer begins and
// within it. Zero means until the deadline.
func (g *Gateway) patience(t *task) (first, pause time.Duration) {
	if !t.route.Repeatable() || t.runs+1 >= t.route.Attempts || t.route.Target == 0 {
		return 0, 0
	}
	if t.route.Kind == route.Idempotent {
		return time.Duration(answerPatience * float64(t.route.Target)), 0
	}
	first = t.route.Target + firstPatience
	return first, max(time.Duration(pauseFactor*float64(t.route.MaxPause)), firstPatience)
}

// sendError reads an error of package attempt.
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

// silentUntilDeadline tells whether a request ended at its deadline because the
// engine had not begun to answer, though it had the time that the route aims at.
// A caller that left tells nothing of the engine.
func silentUntilDeadline(ctx context.Context, t *task, to *target) bool {
	return errors.Is(context.Cause(ctx), errDeadline) && !to.firstSeen && time.Since(to.sent) >= max(t.route.Target, minAttempt)
}

// failed tells balancer and introduction of an attempt that failed.
func (g *Gateway) failed(ctx context.Context, t *task, to *target, e *attemptError) {
	now := time.Now()
	g.tellQuarantine(to, e, now)
	silent := e.Kind == retry.KindCancelled && silentUntilDeadline(ctx, t, to)
	if !silent && (e.Kind == retry.KindCancelled || e.Kind == retry.KindDoubted) {
		g.Engines.Finished(balance.Finished{Engine: to.engine.Key(), Work: to.work, FirstTokenSeen: to.firstSeen, Cancelled: true, At: now})
		return
	}
	kind, known := failureKinds[e.Kind]
	if !known {
		kind = balance.FailureError
	}
	g.Engines.Failed(balance.Failed{Engine: to.engine.Key(), Work: to.work, FirstTokenSeen: to.firstSeen, Kind: kind, RetryAfter: e.comeBack, At: now})
	if e.Kind == retry.KindRefused || e.Kind == retry.KindConnect || e.Kind == retry.KindMisdirected {
		return
	}
	service, route, version := t.service, t.route.Name, to.engine.Version
	blame := func() { g.Introductions.Observe(service, route, version, true, 0) }
	if e.cut() {
		g.Quarantine.AnswerInterrupted(to.engine, t.hash, now, blame)
		return
	}
	blame()
}

// tellQuarantine passes on what a failed attempt tells of the engine's end.
func (g *Gateway) tellQuarantine(to *target, e *attemptError, now time.Time) {
	switch {
	case e.Kind == retry.KindMisdirected:
		g.Quarantine.Replaced(to.engine.Key(), now)
	case e.Kind == retry.KindConnect && errors.Is(e.Cause, syscall.ECONNREFUSED):
		g.Quarantine.ConnectionRefused(to.engine.Key(), now)
	}
}

// cut tells whether the connection ended before the answer did.
func (e *attemptError) cut() bool {
	var failed *attempt.Error
	return errors.As(e.Cause, &failed) && failed.Reason == attempt.Network && failed.Stage != attempt.NotSent
}

// failureKinds maps the failures of attempts to those of the balancer.
var failureKinds = map[retry.Kind]balance.FailureKind{
	retry.KindConnect:     balance.FailureUnreachable,
	retry.KindMisdirected: balance.FailureUnreachable,
	retry.KindRefused:     balance.FailureBusy,
	retry.KindSilent:      balance.FailureSilent,
	// Cancelled attempts come here only when the engine was silent to the end.
	retry.KindCancelled: balance.FailureSilent,
}
