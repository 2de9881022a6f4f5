// Package failure defines the typed errors that are returned to callers, operators
// and peers. Each error has a stable code, tells whether the request ran, and
// gives a retry time where useful.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is a stable identifier of a failure. Callers may match on it.
type Code string

// Codes of the failures that callers can receive.
const (
	CodeUnauthenticated    Code = "unauthenticated"
	CodeVersionNotAllowed  Code = "version_not_allowed"
	CodeServiceNotAllowed  Code = "service_not_allowed"
	CodeVersionWithdrawn   Code = "version_withdrawn"
	CodeUnknownKind        Code = "unknown_kind"
	CodeMalformedRequest   Code = "malformed_request"
	CodeBodyTooLarge       Code = "body_too_large"
	CodeBodyTimeout        Code = "body_timeout"
	CodeHeaderTooLarge     Code = "header_too_large"
	CodeKeyRequired        Code = "idempotency_key_required"
	CodeKeyReused          Code = "idempotency_key_reused"
	CodeInProgress         Code = "request_in_progress"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeDeadlinePassed     Code = "deadline_passed"
	CodeNoCapacity         Code = "no_capacity"
	CodeLimitExceeded      Code = "limit_exceeded"
	CodeSpendExceeded      Code = "spend_exceeded"
	CodeTargetUnreachable  Code = "quality_target_unreachable"
	CodeNoConfiguration    Code = "no_configuration"
	CodeConfigurationStale Code = "configuration_stale"
	CodeLedgerUnavailable  Code = "ledger_unavailable"
	CodeDaemonLeaving      Code = "daemon_leaving"
	CodeEngineFailed       Code = "engine_failed"
	CodeAnswerBroken       Code = "answer_broken"
	CodeNotFound           Code = "not_found"
	CodeCanceled           Code = "canceled"
	CodeAnswerNotKept      Code = "answer_not_kept"
	// CodeQuarantined is for a request that is refused because it crashes the
	// engines that run it.
	CodeQuarantined Code = "quarantined"
	// CodeVersionStopped is for a request whose session ran on a version that has
	// stopped. Such requests are refused until the session expires.
	CodeVersionStopped Code = "version_stopped"

	// CodeOverloaded is for a request that finds no memory, because other clients use what the
	// host has for them.
	CodeOverloaded Code = "overloaded"

	CodeInternal Code = "internal"
)

// Ran tells whether the request ran on a backend server.
type Ran string

// Values of Ran. RanNo guarantees that nothing was executed.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is a failure with a stable code. A zero RetryAfter means that the caller
// is not told when to retry.
type Error struct {
	Code       Code
	Ran        Ran
	Message    string
	RetryAfter time.Duration
	// Entries are addresses of other daemons to use instead, if any.
	Entries []string
	cause   error
}

// New returns an Error without a cause.
func New(code Code, ran Ran, format string, args ...any) *Error {
	return &Error{Code: code, Ran: ran, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with the cause err. The text of err is not sent to callers.
func Wrap(err error, code Code, ran Ran, format string, args ...any) *Error {
	e := New(code, ran, format, args...)
	e.cause = err
	return e
}

// WithRetryAfter sets the time after which the caller should retry and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// From returns the *Error in err's chain. If there is none, it wraps err as
// CodeInternal with RanUnknown, since it cannot tell whether the request ran.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, CodeInternal, RanUnknown, "internal error")
}

// statusClientClosedRequest is the customary non-standard status for a caller
// that closed the connection before the response.
const statusClientClosedRequest = 499

// statuses maps codes to HTTP statuses.
var statuses = map[Code]int{
	CodeUnauthenticated:    http.StatusUnauthorized,
	CodeVersionNotAllowed:  http.StatusForbidden,
	CodeServiceNotAllowed:  http.StatusForbidden,
	CodeVersionWithdrawn:   http.StatusGone,
	CodeUnknownKind:        http.StatusBadRequest,
	CodeMalformedRequest:   http.StatusBadRequest,
	CodeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	CodeBodyTimeout:        http.StatusRequestTimeout,
	CodeHeaderTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	CodeKeyRequired:        http.StatusBadRequest,
	CodeKeyReused:          http.StatusUnprocessableEntity,
	CodeInProgress:         http.StatusConflict,
	CodeOutcomeUnknown:     http.StatusBadGateway,
	CodeDeadlinePassed:     http.StatusGatewayTimeout,
	CodeNoCapacity:         http.StatusServiceUnavailable,
	CodeLimitExceeded:      http.StatusTooManyRequests,
	CodeSpendExceeded:      http.StatusPaymentRequired,
	CodeTargetUnreachable:  http.StatusServiceUnavailable,
	CodeNoConfiguration:    http.StatusServiceUnavailable,
	CodeConfigurationStale: http.StatusServiceUnavailable,
	CodeLedgerUnavailable:  http.StatusServiceUnavailable,
	CodeDaemonLeaving:      http.StatusServiceUnavailable,
	CodeEngineFailed:       http.StatusBadGateway,
	CodeAnswerBroken:       http.StatusBadGateway,
	CodeNotFound:           http.StatusNotFound,
	CodeCanceled:           statusClientClosedRequest,
	CodeAnswerNotKept:      http.StatusGone,
	CodeQuarantined:        http.StatusServiceUnavailable,
	CodeVersionStopped:     http.StatusServiceUnavailable,
	CodeOverloaded:         http.StatusServiceUnavailable,
	CodeInternal:           http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status of the code, or 500 for an unknown code.
func (e *Error) HTTPStatus() int {
	if s, ok := statuses[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}
