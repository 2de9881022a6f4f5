package router

import (
	"context"
	"errors"
	"time"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
)

// busyRetryAfter is the minimum Retry-After sent to callers if no engine, or no
// instance of a plain service, took the request.
const busyRetryAfter = time.Second

// worstRan combines what is known of two attempts: RanNo only if neither ran,
// RanYes if one certainly did.
func worstRan(a, b failure.Ran) failure.Ran {
	if a == failure.RanYes || b == failure.RanYes {
		return failure.RanYes
	}
	if a == failure.RanUnknown || b == failure.RanUnknown {
		return failure.RanUnknown
	}
	return failure.RanNo
}

// engineFailure returns the failure for the caller if no further attempt is made.
func engineFailure(ctx context.Context, err *engine.Error, ran failure.Ran) *failure.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.Wrap(err, failure.CodeDeadlinePassed, ran, "the deadline passed before an answer came")
	}
	switch err.Kind {
	case engine.KindCanceled:
		return failure.Wrap(err, failure.CodeCanceled, ran, "the request was canceled")
	case engine.KindRefused, engine.KindUnreachable:
		return failure.Wrap(err, failure.CodeNoCapacity, ran, "the engine did not take the request").WithRetryAfter(max(err.RetryAfter, busyRetryAfter))
	case engine.KindRejected:
		return failure.Wrap(err, failure.CodeMalformedRequest, ran, "the engine refused the request as malformed")
	default:
		if ran == failure.RanUnknown {
			return failure.Wrap(err, failure.CodeOutcomeUnknown, ran, "the engine did not answer; the request may have run")
		}
		return failure.Wrap(err, failure.CodeEngineFailed, ran, "the engine failed")
	}
}

// brokenAnswerFailure returns the failure for the caller if an answer ends before it
// is complete.
func brokenAnswerFailure(ctx context.Context, err *engine.Error) *failure.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.Wrap(err, failure.CodeDeadlinePassed, failure.RanYes, "the deadline passed within the answer")
	}
	if err.Kind == engine.KindCanceled {
		return failure.Wrap(err, failure.CodeCanceled, failure.RanYes, "the request was canceled")
	}
	return failure.Wrap(err, failure.CodeAnswerBroken, failure.RanYes, "the answer ended before it was complete")
}

// callerWriteFailure returns the failure of a request whose caller has disconnected
// or has stopped reading.
func callerWriteFailure(err error, ran failure.Ran) *failure.Error {
	return failure.Wrap(err, failure.CodeCanceled, ran, "the caller does not read its answer")
}
