package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/liveness"
	"github.com/bronzeturn/bronzeturn/retry"
)

// Reasons why an answer without a length does not count as complete.
var (
	// errBrokenOff reports one that ended too early.
	errBrokenOff = &attempt.Error{
		Stage: attempt.Answered, Reason: attempt.Network, Cause: errors.New("the connection ended before the answer was complete"),
	}
	// errEndUnknown reports one of which it is not known whether it ended too early.
	errEndUnknown = &attempt.Error{
		Stage: attempt.Answered, Reason: attempt.Network, Cause: errors.New("the connection ended, and nothing showed in time whether its engine had"),
	}
)

// endMargin is the time before the deadline at which the wait for evidence ends, so that the caller can be told.
const endMargin = 50 * time.Millisecond

// endCheck is the check of the end of an answer without a length.
type endCheck struct {
	evidence liveness.Evidence
	took     time.Duration
}

// describe adds the fields of the check to a log line, if there was one.
func (c endCheck) describe(line *zerolog.Event) *zerolog.Event {
	if c.evidence == "" {
		return line
	}
	return line.Str("end", string(c.evidence)).Dur("end_check_ms", c.took)
}

// bodyOf returns a reader of the answer's body that records evidence of the engine's life.
func (to *target) bodyOf(x *attempt.Exchange) io.Reader {
	if to.reading == nil {
		return x
	}
	return to.reading.Reader(x)
}

// checkEnd returns an error unless an answer is complete. Only one that ends with its connection may not be: the
// end of its engine looks the same. It counts as complete if its engine is shown to have outlived it. An engine
// may be slow to show it, as a probe waits for a slot, which says nothing about the answer.
func (g *Gateway) checkEnd(ctx context.Context, t *task, to *target, x *attempt.Exchange) *attemptError {
	if !x.UntilClose {
		return nil
	}
	began := time.Now()
	waiting, cancel := context.WithTimeout(ctx, g.endWait(t))
	verdict := to.reading.Outlived(waiting)
	cancel()
	check := endCheck{verdict.Evidence, time.Since(began)}
	t.request.trace.end = check
	g.metrics.ends.WithLabelValues(string(check.evidence)).Inc()
	g.metrics.endTime.Observe(check.took.Seconds())
	switch {
	case verdict.Outlived():
		return nil
	case verdict.Known():
		return sendError(errBrokenOff)
	case ctx.Err() != nil:
		return &attemptError{Kind: retry.KindCancelled, Ran: failure.RanUnknown, Cause: errEndUnknown}
	}
	return sendError(errEndUnknown)
}

// endPauses is the number of the route's longest pauses after which a stream that may have broken off goes on at
// another engine: its caller may miss events.
const endPauses = 3

// endWait returns how long to wait for evidence about the end of an answer. If another engine may be tried, half of
// the time is left for it.
func (g *Gateway) endWait(t *task) time.Duration {
	left := time.Until(t.deadline) - endMargin
	if t.mayRunAgain() {
		left /= 2
		if t.answer.begun() && t.route.MaxPause > 0 {
			left = min(left, endPauses*t.route.MaxPause)
		}
	}
	return max(left, 0)
}

// mayRunAgain reports whether the request may be sent to another engine after the present attempt, if that may have
// run it.
func (t *task) mayRunAgain() bool {
	return t.route.Repeatable() && t.runs+1 < t.route.Attempts && len(t.tried) < maxSends &&
		(!t.answer.begun() || t.stream.resumable(t.route))
}
