package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/retry"
)

// checkRetry returns nil if another attempt may follow the failed one, and otherwise the
// failure that ends the request.
func (g *Gateway) checkRetry(ctx context.Context, t *task, to *target, e *attemptError) *failure.Error {
	t.recordFailure(to, e)
	if e.connectionLost() && (!errors.Is(e.Cause, errEndUnknown) || g.noRetryReason(t, e) == "") {
		// Whether the request may be sent again, and where, depends on whether the engine
		// has crashed.
		g.Quarantine.Wait(ctx, to.engine.Key())
	}
	if e.quarantined() {
		g.logAttempt(t, to, e, "quarantined")
		return g.quarantineError(t)
	}
	if e.Kind == retry.KindDoubted {
		g.logAttempt(t, to, e, "")
		return g.checkTimeLeft(ctx, t)
	}
	reason := g.noRetryReason(t, e)
	stopping := reason == "" && !t.answer.begun() && g.mayOutlastStop(t)
	if stopping {
		reason = "stopping"
	}
	budgetTaken := t.budgetTaken.Swap(false)
	if reason == "" && !budgetTaken && e.reachedEngine() {
		if !g.takeBudget(t) {
			reason = "budget_empty"
		}
	}
	g.logAttempt(t, to, e, reason)
	if ended := g.checkTimeLeft(ctx, t); ended != nil {
		return ended
	}
	switch {
	case reason == "":
		return nil
	case stopping:
		return stoppingFailure(t.ran)
	case t.ran == failure.RanNo:
		f := failure.Wrap(e, failure.CodeNoCapacity, failure.RanNo, "no engine took the request")
		return f.WithRetryAfter(max(min(to.retryAfter, busyRetryAfter), busyRetryAfter/4))
	}
	return failure.Wrap(e, failure.CodeEngineFailed, t.ran, "the engine did not answer; the request may have run")
}

// recordFailure records a failed attempt.
func (t *task) recordFailure(to *target, e *attemptError) {
	t.lastError = e
	if e.Ran != failure.RanNo {
		t.runs++
		t.ranVersion = to.engine.Version
		t.ran = failure.RanUnknown
		t.queuedSince = time.Time{}
	}
	if e.Kind != retry.KindRefused && e.Kind != retry.KindDoubted {
		t.failedAt = append(t.failedAt, to.engine.Key())
	}
}

// suspectCrashes is the number of engine crashes from which on a request leaves a part of the
// retry budget to others, as it is more likely than they to crash the next engine.
const suspectCrashes = 2

// reservedBudgetShare is the share of the retry budget that such requests leave.
const reservedBudgetShare = 0.5

// takeBudget takes one attempt from the retry budget and reports whether there was one.
func (g *Gateway) takeBudget(t *task) bool {
	budget, now := g.budgets.forService(t.service), time.Now()
	if g.Quarantine.Suspicion(t.content).Crashes >= suspectCrashes {
		return budget.TakeUnreserved(now, reservedBudgetShare)
	}
	if budget.Take(now) {
		return true
	}
	g.budgets.recordDenied(t.service, now)
	return false
}

// reachedEngine reports whether the attempt reached an engine. If so, the next attempt is
// charged to the retry budget, even if the engine refused the request without running it.
func (e *attemptError) reachedEngine() bool {
	return e.Ran != failure.RanNo || e.Kind == retry.KindRefused || e.Kind == retry.KindMisdirected
}

// noRetryReason returns why another attempt is not allowed, or "" if it is.
func (g *Gateway) noRetryReason(t *task, e *attemptError) string {
	switch {
	case e.Kind == retry.KindCancelled:
		return "ended"
	case e.Kind == retry.KindRejected:
		return "request_rejected"
	case t.ran != failure.RanNo && !t.route.Repeatable():
		return "may_have_run"
	case t.runs >= t.route.Attempts:
		return "attempts_used"
	case len(t.tried) >= maxSends:
		return "sends_used"
	case t.answer.begun() && !t.stream.resumable(t.route):
		return "answer_begun"
	}
	return ""
}
