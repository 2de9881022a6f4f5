// Package plainservice is the client of plain services, which run no models. It sends each
// call once and reports for a failure whether the call ran.
package plainservice

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/overload"
)

// HeaderNotRun is the header that a service sets to "true" if it refuses a call without running
// it.
const HeaderNotRun = "X-Not-Run"

// Kind classifies a failure of a plain service.
type Kind string

// The kinds of failures. Each comment ends with the possible values of Ran.
const (
	// KindUnreachable: there was no connection, or nothing was written to it. Not run.
	KindUnreachable Kind = "unreachable"
	// KindRefused: the service refused the call with HeaderNotRun. Not run.
	KindRefused Kind = "refused"
	// KindBroken: the connection was closed before the complete answer had arrived, or the
	// answer is too long. Unknown, or run if the answer has begun.
	KindBroken Kind = "broken"
	// KindSilent: no data arrived within the progress timeout. Unknown, or run if
	// the answer has begun.
	KindSilent Kind = "silent"
	// KindCanceled: the caller's context ended. Any value, depending on the
	// progress of the call.
	KindCanceled Kind = "canceled"
)

// Error is a failure of a call. An answer with an error status is not a failure, unless the
// service states with HeaderNotRun that the call did not run.
type Error struct {
	Kind Kind
	Ran  failure.Ran
	// Status is the HTTP status, zero if none was received.
	Status int
	// RetryAfter is the time for which the instance asked for no calls, zero if it did not ask.
	RetryAfter time.Duration
	cause      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("plain service %s (status %d, ran %s): %v", e.Kind, e.Status, e.Ran, e.cause)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Call is a call to one instance of a service.
type Call struct {
	// Address is the IP and port of the instance.
	Address string
	Method  string
	// Path is the path with the query. It begins with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent is set if the call may be repeated. This package does not use it and never
	// repeats a call.
	Idempotent bool
	// ProgressTimeout limits the time without data from the service. Zero means no limit.
	ProgressTimeout time.Duration
	// Memory is that of the caller's request, which the answer is part of. Nil means that the memory
	// is not bounded.
	Memory *overload.Request
}

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter is the time for which the instance asked for no calls, zero if it did not ask.
	RetryAfter time.Duration
}

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	transport http.RoundTripper
}

// New returns a Client over transport, which should have a connect timeout.
func New(transport http.RoundTripper) *Client {
	return &Client{transport: transport}
}

// MaxBodyBytes is the maximum size of the body of an answer. It is less if the memory for answers is
// small.
const MaxBodyBytes = 16 << 20

var (
	errTooLong = errors.New("answer exceeds the size limit")
	errNotRun  = errors.New("service refused the call without running it")
	errPath    = errors.New("path does not begin with a slash")
)

// Call sends the call once and reads the complete answer. The error is an *Error.
func (c *Client) Call(ctx context.Context, call Call) (*Response, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, &Error{Kind: KindUnreachable, Ran: failure.RanNo, cause: errPath}
	}
	x, err := attempt.Send(ctx, c.transport, attempt.Request{
		Method: call.Method, URL: "http://" + call.Address + call.Path,
		Header: endToEnd(call.Header), Body: call.Body, ProgressTimeout: call.ProgressTimeout,
	})
	if err != nil {
		return nil, translate(err, 0)
	}
	defer x.Close()
	body, err := readBody(x, call.Memory)
	var full *overload.FullError
	switch {
	case errors.Is(err, overload.ErrTooLarge):
		return nil, &Error{Kind: KindBroken, Ran: failure.RanYes, Status: x.Status, cause: errTooLong}
	case errors.As(err, &full):
		return nil, &Error{Kind: KindBroken, Ran: failure.RanYes, Status: x.Status, cause: err}
	case err != nil:
		return nil, translate(err, x.Status)
	}
	if x.Status >= http.StatusBadRequest && x.Header.Get(HeaderNotRun) == "true" {
		return nil, &Error{Kind: KindRefused, Ran: failure.RanNo, Status: x.Status, RetryAfter: retryAfter(x), cause: errNotRun}
	}
	return &Response{Status: x.Status, Header: endToEnd(x.Header), Body: body, RetryAfter: retryAfter(x)}, nil
}

// readBody reads the body of an answer into memory.
func readBody(x *attempt.Exchange, memory *overload.Request) ([]byte, error) {
	if memory == nil {
		return overload.ReadAnswer(x, overload.NewAccount(0).Open(nil), x.Length, MaxBodyBytes)
	}
	return memory.ReadAnswer(x, x.Length, memory.MaxAnswer(MaxBodyBytes))
}

// retryAfter returns the time for which the instance asks for no calls. Other statuses use the
// header for the time until a result is ready or a page has moved.
func retryAfter(x *attempt.Exchange) time.Duration {
	if x.Status != http.StatusTooManyRequests && x.Status != http.StatusServiceUnavailable {
		return 0
	}
	return attempt.RetryAfter(x.Header)
}

// hopByHop lists the headers that apply to a single connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without the hop-by-hop headers.
func endToEnd(h http.Header) http.Header {
	kept := h.Clone()
	for _, listed := range h["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}

// translate converts the error of an attempt to an *Error.
func translate(err error, status int) *Error {
	e := &Error{Kind: KindBroken, Ran: failure.RanUnknown, Status: status, cause: err}
	var a *attempt.Error
	if !errors.As(err, &a) {
		return e
	}
	switch a.Stage {
	case attempt.NotSent:
		e.Kind, e.Ran = KindUnreachable, failure.RanNo
	case attempt.Answered:
		e.Ran = failure.RanYes
	}
	switch {
	case a.Reason == attempt.Canceled:
		e.Kind = KindCanceled
	case a.Reason == attempt.Silent && a.Stage != attempt.NotSent:
		e.Kind = KindSilent
	}
	return e
}
