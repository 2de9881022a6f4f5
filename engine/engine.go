// Package engine is the client of the model engines: it sends a request to an engine,
// returns the streamed answer event by event without decoding it, and reports after a
// failure whether the request ran. It never retries a request.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/overload"
)

// URL paths that engines serve.
const (
	PathChatCompletions = "/v1/chat/completions"
	PathLoad            = "/v1/load"
	PathOrders          = "/v1/orders"
)

// Headers between the router and an engine.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	HeaderFencing   = "X-Fencing"
	// HeaderNotRun is "true" in the refusal of a request that was not executed.
	HeaderNotRun = "X-Not-Run"
)

// Error types in the error bodies of engines.
const (
	ErrorTypeNotRun = "not_run"
	ErrorTypeFenced = "fenced"
)

// ErrorKind classifies a failure of an engine.
type ErrorKind string

// The kinds of errors. Each comment ends with the values that Error.Ran can have.
const (
	// KindUnreachable: no connection was made, or nothing was written to it. Not run.
	KindUnreachable ErrorKind = "unreachable"
	// KindRefused: the engine refused to run the request. Not run.
	KindRefused ErrorKind = "refused"
	// KindFailed: the engine reported an internal error. Unknown, or run when the
	// error was reported inside an answer.
	KindFailed ErrorKind = "failed"
	// KindRejected: the engine reported the request as invalid. Not run.
	KindRejected ErrorKind = "rejected"
	// KindFenced: the engine has seen a higher fencing number. Not run.
	KindFenced ErrorKind = "fenced"
	// KindBroken: the connection ended before the answer was complete, or the answer
	// is malformed. Unknown, or run when part of the answer arrived.
	KindBroken ErrorKind = "broken"
	// KindSilent: nothing arrived within the progress timeout. Unknown, or run when
	// the answer had begun.
	KindSilent ErrorKind = "silent"
	// KindCanceled: the context ended or the stream was closed. Any value.
	KindCanceled ErrorKind = "canceled"
)

// Error is a failure of a request to an engine.
type Error struct {
	Kind ErrorKind
	Ran  failure.Ran
	// Status is the HTTP status, zero if there was no answer.
	Status int
	// RetryAfter is the delay that the engine asked for, zero if it did not.
	RetryAfter time.Duration
	cause      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("engine %s (status %d, ran %s): %v", e.Kind, e.Status, e.Ran, e.cause)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// NewError returns an Error for a failure that did not arise in the exchange with an
// engine.
func NewError(kind ErrorKind, ran failure.Ran, cause error) *Error {
	return &Error{Kind: kind, Ran: ran, cause: cause}
}

// Request is a request to an engine.
type Request struct {
	// Address is the IP address and port of the engine.
	Address   string
	RequestID string
	Version   string
	// Priority is higher for more urgent work.
	Priority int
	// Fencing is the number of the claim or lease behind the request, zero for none.
	Fencing uint64
	// Body is the caller's JSON with "model" set to the version. For a stream it must
	// ask for usage by stream_options.include_usage.
	Body []byte
	// Stream reports whether the body asks for server-sent events.
	Stream bool
	// ProgressTimeout bounds the time for which nothing arrives from the engine,
	// including the time to the first byte. Zero means no bound.
	ProgressTimeout time.Duration
	// Memory is that of the caller's request, which the answer is part of. Nil means
	// that the memory is not bounded.
	Memory *overload.Request
}

// Client sends requests to engines. It is safe for concurrent use.
type Client struct {
	transport http.RoundTripper
}

// New returns a Client that uses the transport, which should bound the time to
// connect. With an *http.Transport, errors report exactly whether a request was sent.
func New(transport http.RoundTripper) *Client {
	return &Client{transport: transport}
}

// Open sends the request and waits until the engine starts to answer. The error is an
// *Error. The caller must Close the stream. Closing it, or ending ctx, before the answer
// is complete cancels the request at the engine.
func (c *Client) Open(ctx context.Context, r Request) (*Stream, error) {
	x, err := attempt.Send(ctx, c.transport, attempt.Request{
		Method:          http.MethodPost,
		URL:             "http://" + r.Address + PathChatCompletions,
		Header:          header(r),
		Body:            r.Body,
		ProgressTimeout: r.ProgressTimeout,
	})
	if err != nil {
		return nil, errorFromAttempt(err)
	}
	if x.Status != http.StatusOK {
		defer x.Close()
		return nil, errorFromStatus(x)
	}
	return newStream(x, r.Stream, r.Memory), nil
}

func header(r Request) http.Header {
	h := http.Header{
		"Content-Type": {"application/json"},
		// A compressed stream could not be passed on event by event.
		"Accept-Encoding": {"identity"},
		HeaderRequestID:   {r.RequestID},
		HeaderPriority:    {strconv.Itoa(r.Priority)},
	}
	if r.Fencing > 0 {
		h[HeaderFencing] = []string{strconv.FormatUint(r.Fencing, 10)}
	}
	return h
}

// errorFromAttempt converts the error of an attempt.
func errorFromAttempt(err error) *Error {
	var a *attempt.Error
	if !asAttempt(err, &a) {
		return &Error{Kind: KindBroken, Ran: failure.RanUnknown, cause: err}
	}
	e := &Error{Kind: KindBroken, Ran: ranAtStage(a.Stage), cause: err}
	switch {
	case a.Reason == attempt.Canceled:
		e.Kind = KindCanceled
	case a.Stage == attempt.NotSent:
		e.Kind = KindUnreachable
	case a.Reason == attempt.Silent:
		e.Kind = KindSilent
	}
	return e
}

// ranAtStage returns whether a request ran that failed at the stage without being
// refused.
func ranAtStage(s attempt.Stage) failure.Ran {
	switch s {
	case attempt.NotSent:
		return failure.RanNo
	case attempt.Answered:
		return failure.RanYes
	default:
		return failure.RanUnknown
	}
}

// errorBody is the usual error object of language model APIs.
type errorBody struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

// maxErrorBytes bounds how much of an error body is read.
const maxErrorBytes = 16 << 10

// errorFromStatus converts an answer with a status other than 200.
func errorFromStatus(x *attempt.Exchange) *Error {
	body, cause := io.ReadAll(io.LimitReader(x, maxErrorBytes))
	var parsed errorBody
	_ = json.Unmarshal(body, &parsed) // An unreadable body leaves the type empty.
	e := &Error{Status: x.Status, Kind: KindFailed, Ran: failure.RanUnknown, RetryAfter: attempt.RetryAfter(x.Header)}
	e.cause = cause
	if cause == nil {
		e.cause = &StatusError{Status: x.Status, Type: parsed.Error.Type, Message: parsed.Error.Message}
	}
	notRun := x.Header.Get(HeaderNotRun) == "true" || parsed.Error.Type == ErrorTypeNotRun
	switch {
	case parsed.Error.Type == ErrorTypeFenced:
		e.Kind, e.Ran = KindFenced, failure.RanNo
	case x.Status == http.StatusTooManyRequests, notRun:
		e.Kind, e.Ran = KindRefused, failure.RanNo
	case x.Status >= http.StatusBadRequest && x.Status < http.StatusInternalServerError:
		e.Kind, e.Ran = KindRejected, failure.RanNo
	}
	return e
}

// StatusError is an error answer of an engine.
type StatusError struct {
	Status  int
	Type    string
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d, type %q: %s", e.Status, e.Type, e.Message)
}
