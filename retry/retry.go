// Package retry decides whether and when a failed request is sent again. It
// provides a retry budget for one daemon, exponential backoff with full jitter,
// and a circuit breaker per target. Nothing in it does I/O, reads a clock or
// starts a goroutine; callers pass the time and the random source.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
)

// Kind classifies the failure of one attempt.
type Kind uint8

// The kinds of failure.
const (
	// KindConnect is a connection that could not be opened.
	KindConnect Kind = iota + 1
	// KindRefused is a target that refused the request without running it, for
	// example because it is full.
	KindRefused
	// KindMisdirected is a target that refused the request because it was meant for
	// another instance.
	KindMisdirected
	// KindError is an error answer of the target.
	KindError
	// KindSilent is a connection without progress for the allowed time.
	KindSilent
	// KindBroken is a connection that was lost before the answer was complete.
	KindBroken
	// KindRejected is a failure caused by the request itself. Another target would
	// give the same answer.
	KindRejected
	// KindCancelled is a request that was cancelled, for example because the caller
	// disconnected.
	KindCancelled
	// KindDoubted is an answer of low confidence that was dropped in favour of a
	// larger model's.
	KindDoubted
)

var kindNames = [...]string{
	KindConnect:     "connect",
	KindRefused:     "refused",
	KindMisdirected: "misdirected",
	KindError:       "error",
	KindSilent:      "silent",
	KindBroken:      "broken",
	KindRejected:    "rejected",
	KindCancelled:   "cancelled",
	KindDoubted:     "doubted",
}

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return "unknown"
}

// Attempt describes a failed attempt.
type Attempt struct {
	Kind Kind
	// Ran tells whether the request has run at the target.
	Ran failure.Ran
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Number is the number of attempts so far, including this one.
	Number int
	// Left is the time until the deadline of the request.
	Left time.Duration
	// BytesSent is the number of bytes of the answer already sent to the caller.
	BytesSent int64
}

// Reason says why a retry was granted or denied.
type Reason uint8

// The reasons.
const (
	ReasonNotRun Reason = iota + 1
	ReasonIdempotent
	ReasonRejected
	ReasonCancelled
	ReasonAnswerBegun
	ReasonMayHaveRun
	ReasonAttemptsUsed
	ReasonDeadline
	ReasonBudget
)

var reasonNames = [...]string{
	ReasonNotRun:       "not_run",
	ReasonIdempotent:   "idempotent",
	ReasonRejected:     "request_rejected",
	ReasonCancelled:    "caller_cancelled",
	ReasonAnswerBegun:  "answer_begun",
	ReasonMayHaveRun:   "may_have_run",
	ReasonAttemptsUsed: "attempts_used",
	ReasonDeadline:     "deadline",
	ReasonBudget:       "budget_empty",
}

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) && reasonNames[r] != "" {
		return reasonNames[r]
	}
	return "unknown"
}

// Policy bounds the retries of one request.
type Policy struct {
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// MinAttempt is the minimum time to the deadline for another attempt.
	MinAttempt time.Duration
	Backoff    Backoff
}

// DefaultPolicy returns the policy for requests to engines and services.
func DefaultPolicy() Policy {
	return Policy{
		MaxAttempts: 3,
		MinAttempt:  20 * time.Millisecond,
		Backoff:     Backoff{Base: 10 * time.Millisecond, Max: time.Second},
	}
}

// Next decides whether the request is sent again, and returns the wait before it and
// the reason. A granted retry has taken one token from the budget.
func (p Policy) Next(a Attempt, b *Budget, now time.Time, rng *rand.Rand) (again bool, wait time.Duration, reason Reason) {
	reason, safe := a.safe()
	if !safe {
		return false, 0, reason
	}
	if a.Number >= p.MaxAttempts {
		return false, 0, ReasonAttemptsUsed
	}
	wait = p.Backoff.Wait(a.Number, rng)
	if wait+p.MinAttempt > a.Left {
		return false, 0, ReasonDeadline
	}
	if !b.Take(now) {
		return false, 0, ReasonBudget
	}
	return true, wait, reason
}

// safe reports whether a retry can neither run a non-idempotent request twice nor mix
// two answers.
func (a Attempt) safe() (Reason, bool) {
	switch {
	case a.Kind == KindRejected:
		return ReasonRejected, false
	case a.Kind == KindCancelled:
		return ReasonCancelled, false
	case a.BytesSent > 0:
		return ReasonAnswerBegun, false
	case a.Ran == failure.RanNo:
		return ReasonNotRun, true
	case a.Idempotent:
		return ReasonIdempotent, true
	default:
		return ReasonMayHaveRun, false
	}
}

// Backoff computes waits with full jitter: uniform between zero and a bound
// that doubles with each attempt.
type Backoff struct {
	// Base bounds the wait after the first attempt.
	Base time.Duration
	// Max bounds every wait.
	Max time.Duration
}

// Wait returns the wait after the given number of attempts.
func (b Backoff) Wait(attempts int, rng *rand.Rand) time.Duration {
	bound := b.Bound(attempts)
	if bound <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

// Bound returns the upper bound of the wait after the given number of attempts.
func (b Backoff) Bound(attempts int) time.Duration {
	bound := b.Base
	for i := 1; i < attempts && bound < b.Max; i++ {
		bound *= 2
	}
	return min(bound, b.Max)
}
