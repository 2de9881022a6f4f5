// Package plainservice is the adapter of the plain services that stand beside
// the model engines. It sends a call once and tells after a failure whether
// the call ran.
package plainservice

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/failure"
)

// HeaderNotRun is "true" on a refusal of a call that was not executed.
const HeaderNotRun = "X-Not-Run"

// Kind classifies a failure of a plain service.
type Kind string

// The kinds. The comment names the value of Ran.
const (
	// KindUnreachable: no connection, or nothing was written to it. Not run.
	KindUnreachable Kind = "unreachable"
	// KindRefused: the service declined with a mark that it did not run. Not run.
	KindRefused Kind = "refused"
	// KindBroken: the connection ended before the whole answer came. Unknown, or
	// run when part of the answer came.
	KindBroken Kind = "broken"
	// KindSilent: no progress within the progress timeout. Unknown, or run.
	KindSilent Kind = "silent"
	// KindCanceled: the caller's context ended.
	KindCanceled Kind = "canceled"
)

// Error is a failure of a call. An answer with any status is not a failure,
// unless the service marks it as not run.
type Error struct {
	Kind Kind
	Ran  failure.Ran
	// Status is the HTTP status, zero when none came.
	Status int
	cause  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("plain service %s (status %d, ran %s): %v", e.Kind, e.Status, e.Ran, e.cause)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Call is one call of one instance of a service.
type Call struct {
	// Address is IP and port of the instance.
	Address string
	Method  string
	// Path is the path with the query, beginning with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent tells that the call may be repeated. It is never repeated
	// here, whatever it says; the field is for the service's own information.
	Idempotent bool
	// ProgressTimeout bounds the time in which nothing comes from the service.
	// Zero means no bound.
	ProgressTimeout time.Duration
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls plain services. It may be used concurrently.
type Client struct {
	transport http.RoundTripper
}

// New returns a Client over transport, which should bound the time to connect.
func New(transport http.RoundTripper) *Client {
	return &Client{transport: transport}
}

// MaxBodyBytes bounds an answer.
const MaxBodyBytes = 16 << 20

var (
	errTooLong = errors.New("answer exceeds its bound")
	errNotRun  = errors.New("service declined the call")
	errPath    = errors.New("path does not begin with a slash")
)

// Call sends the call once and reads its whole answer. The error is an *Error.
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
	body, err := io.ReadAll(io.LimitReader(x, MaxBodyBytes+1))
	if err != nil {
		return nil, translate(err, x.Status)
	}
	if len(body) > MaxBodyBytes {
		return nil, &Error{Kind: KindBroken, Ran: failure.RanYes, Status: x.Status, cause: errTooLong}
	}
	if x.Status >= http.StatusBadRequest && x.Header.Get(HeaderNotRun) == "true" {
		return nil, &Error{Kind: KindRefused, Ran: failure.RanNo, Status: x.Status, cause: errNotRun}
	}
	return &Response{Status: x.Status, Header: endToEnd(x.Header), Body: body}, nil
}

// hopByHop names the headers that belong to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns the headers of h that may be passed on.
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

// translate types a failed attempt.
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
