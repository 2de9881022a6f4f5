package caller

import (
	"fmt"
	"time"

	"github.com/bronzeturn/bronzeturn/callerapi"
)

// OptionError reports an invalid option.
type OptionError struct {
	Option string
	Reason string
}

// Error implements error.
func (e *OptionError) Error() string { return e.Option + " " + e.Reason }

// RefusalError is the error that a daemon answered with: it refused the request, or the
// request failed.
type RefusalError struct {
	Status  int
	Address string
	Detail  callerapi.ErrorDetail
}

// Error implements error.
func (e *RefusalError) Error() string {
	text := fmt.Sprintf("%s refused with %s: %s (ran: %s)", e.Address, e.Detail.Code, e.Detail.Message, e.Detail.Ran)
	if e.Detail.RetryAfterMillis > 0 {
		text += fmt.Sprintf(", retry after %v", time.Duration(e.Detail.RetryAfterMillis)*time.Millisecond)
	}
	return text
}

// UnavailableError reports that no answer was received. If Sent is false, no connection
// could be opened and the request was not sent.
type UnavailableError struct {
	Address string
	Sent    bool
	Cause   error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer from %s, the request may have run: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("no connection to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// BrokenAnswerError reports an answer that began but is incomplete or invalid.
type BrokenAnswerError struct {
	Reason string
	// Detail is the error that the daemon put into the answer, or nil.
	Detail *callerapi.ErrorDetail
	Cause  error
}

// Error implements error.
func (e *BrokenAnswerError) Error() string {
	text := "answer broken: " + e.Reason
	if e.Detail != nil {
		text += fmt.Sprintf(": %s: %s (ran: %s)", e.Detail.Code, e.Detail.Message, e.Detail.Ran)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *BrokenAnswerError) Unwrap() error { return e.Cause }

// dialError marks an error of opening a connection.
type dialError struct{ cause error }

// Error implements error.
func (e *dialError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.cause }
