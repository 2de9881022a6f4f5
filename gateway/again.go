package gateway

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/retry"
)

// again decides on another attempt, nil for yes.
func (g *Gateway) again(ctx context.Context, t *task, to *target, e *attemptError) *failure.Error {
	if e.Ran != failure.RanNo {
		t.runs++
		t.ran = failure.RanUnknown
	}
	if e.cut() {
		// Where the next attempt may go depends on whether the engine has ended.
		g.Quarantine.Wait(ctx, to.engine.Key())
	}
	if e.stopped() {
		g.logAttempt(t, to, e, "quarantined")
		return g.quarantined(t)
	}
	if e.Kind == retry.KindDoubted {
		g.logAttempt(t, to, e, "")
		return g.ended(ctx, t)
	}
	reason := g.mayGoOn(t, e)
	prepaid := t.prepaid.Swap(false)
	if reason == "" && !prepaid && e.reached() {
		if !g.takeBudget(t) {
			reason = "budget_empty"
		}
	}
	g.logAttempt(t, to, e, reason)
	if ended := g.ended(ctx, t); ended != nil {
		return ended
	}
	if reason == "" {
		return nil
	}
	if t.ran == failure.RanNo {
		f := failure.Wrap(e, failure.CodeNoCapacity, failure.RanNo, "no engine took the request")
		return f.WithRetryAfter(max(min(e.comeBack, busyRetry), busyRetry/4))
	}
	return failure.Wrap(e, failure.CodeEngineFailed, t.ran, "the engine did not answer; the request may have run")
}

// oftenCut is at how many ends of engines a request was that leaves the last of the budget
// to others: it is likelier than they to crash the next one.
const oftenCut = 2

// spareShare is the part of the budget that such requests leave.
const spareShare = 0.5

// takeBudget takes the right to a second send.
func (g *Gateway) takeBudget(t *task) bool {
	budget := g.budgets.of(t.service)
	if g.Quarantine.Ends(t.hash) >= oftenCut {
		return budget.TakeSpare(time.Now(), spareShare)
	}
	return budget.Take(time.Now())
}

// reached tells whether the attempt came to an engine: every one that did counts as a
// second send when another follows, also one that the engine turned down unseen.
func (e *attemptError) reached() bool {
	return e.Ran != failure.RanNo || e.Kind == retry.KindRefused || e.Kind == retry.KindMisdirected
}

// mayGoOn returns why another attempt is not allowed, "" when it is.
func (g *Gateway) mayGoOn(t *task, e *attemptError) string {
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
