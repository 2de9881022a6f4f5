// Package attempt sends an HTTP request at most once and reports how far it got. The
// clients of the engines and of the plain services use it: they conclude from Stage
// that a request did not run.
package attempt

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Stage says how far a request got before it failed.
type Stage int

// The stages. NotSent means that certainly no complete request left this process,
// Sent that the peer may have received the request, and Answered that the header of
// the answer was received.
const (
	NotSent Stage = iota
	Sent
	Answered
)

// Reason says why an attempt ended without a complete answer.
type Reason int

// The reasons. Network means that the connection failed, Silent that the peer made no
// progress within the timeout, and Canceled that the caller's context ended or the
// exchange was closed.
const (
	Network Reason = iota
	Silent
	Canceled
)

// Error is the failure of an attempt.
type Error struct {
	Stage  Stage
	Reason Reason
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("attempt failed at stage %d, reason %d: %v", e.Stage, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

var (
	errSilent      = errors.New("no progress within the timeout")
	errClosed      = errors.New("exchange closed")
	errNotReplayed = errors.New("connection failed before the request was written; request not repeated")
)

// Request is the request of one attempt. ProgressTimeout bounds the time without
// progress by the peer; zero means no bound. If PauseTimeout is not zero, it replaces
// ProgressTimeout once the header of the answer has been received.
type Request struct {
	Method string
	URL    string
	// Host is the value of the Host header. If it is empty, the host of the URL is sent.
	Host            string
	Header          http.Header
	Body            []byte
	ProgressTimeout time.Duration
	PauseTimeout    time.Duration
	// GiveUp is called when one of these timeouts expires. If it returns false, the
	// timeout starts again; otherwise, or if GiveUp is nil, the attempt is canceled.
	// It is called from another goroutine, and may block: progress made meanwhile keeps the
	// attempt. In that case Kept is called if GiveUp has returned true.
	GiveUp func() bool
	Kept   func()
}

// pause returns the timeout that applies after the header of the answer.
func (r *Request) pause() time.Duration {
	if r.PauseTimeout > 0 {
		return r.PauseTimeout
	}
	return r.ProgressTimeout
}

// Exchange is an attempt whose answer has begun and whose body is still to be read.
// Read and Close must not be called concurrently.
type Exchange struct {
	Status int
	Header http.Header
	// Length is the content length of the answer, or -1 if it is unknown.
	Length int64
	// UntilClose is set if the body has neither a length nor chunks and ends with the connection.
	// Its end then looks the same as that of a peer whose process ends. A Transport tells it from a
	// connection that ended before the whole request had been written.
	UntilClose bool
	// Closes is set if the connection ends after the answer.
	Closes bool

	transport http.RoundTripper
	host      string

	body     io.ReadCloser
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *progressTimer
	progress time.Duration
	ended    bool
}

// trace records how far the transport got with a request.
type trace struct {
	started atomic.Bool
	gotConn atomic.Bool
	wrote   atomic.Bool
}

func (t *trace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn:      func(string) { t.started.Store(true) },
		GotConn:      func(httptrace.GotConnInfo) { t.gotConn.Store(true) },
		WroteHeaders: func() { t.wrote.Store(true) },
	}
}

// stage returns the stage of a request that failed with err. It returns Sent for a
// transport that does not call the hooks, since the request may have been sent.
func (t *trace) stage(err error, canceled bool) Stage {
	switch {
	case errors.Is(err, errNotReplayed):
		return NotSent
	case !t.started.Load():
		return Sent
	case !t.gotConn.Load():
		return NotSent
	case !canceled && !t.wrote.Load():
		return NotSent
	default:
		return Sent
	}
}

// Send sends the request once over transport, which should be one of this package, and waits
// for the header of the answer. It never follows redirects and never repeats the request. It
// also prevents the transport from trying another connection when no byte was written. The
// error is an *Error, also for a malformed request.
func Send(ctx context.Context, transport http.RoundTripper, r Request) (*Exchange, error) {
	inner, cancel := context.WithCancelCause(ctx)
	seen := &trace{}
	req, err := newRequest(httptrace.WithClientTrace(inner, seen.hooks()), r)
	if err != nil {
		cancel(errClosed)
		return nil, &Error{Stage: NotSent, Reason: Network, Cause: err}
	}
	timer := newProgressTimer(r.ProgressTimeout, r, cancel)
	resp, err := transport.RoundTrip(req)
	timer.stop()
	if err != nil {
		reason := reasonOf(inner)
		failed := &Error{Stage: seen.stage(err, reason != Network), Reason: reason, Cause: err}
		cancel(errClosed)
		dropIdle(transport, req.URL.Host, reason)
		return nil, failed
	}
	pause := r.pause()
	if timer == nil || pause != r.ProgressTimeout {
		timer = newProgressTimer(pause, r, cancel)
	}
	return &Exchange{
		transport: transport, host: req.URL.Host,
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		UntilClose: endsWithConnection(req, resp), Closes: resp.Close,
		body: resp.Body, ctx: inner, cancel: cancel,
		timer: timer, progress: pause,
	}, nil
}

// idleDropper is a transport that can close its idle connections to one host,
// such as Transports.
type idleDropper interface {
	DropIdle(host string)
}

// dropIdle closes the idle connections to a host that went silent. If the host or the
// network between has lost the state of one connection, it has often lost that of the
// others too.
func dropIdle(transport http.RoundTripper, host string, reason Reason) {
	if d, ok := transport.(idleDropper); ok && reason == Silent {
		d.DropIdle(host)
	}
}

// reasonOf returns the reason for which ctx ended, or Network if it has not ended.
func reasonOf(ctx context.Context) Reason {
	switch {
	case ctx.Err() == nil:
		return Network
	case errors.Is(context.Cause(ctx), errSilent):
		return Silent
	default:
		return Canceled
	}
}

// newRequest returns a request that http.Transport does not replay. Its GetBody always
// fails with errNotReplayed: the transport calls it to repeat a request of which nothing
// was written, and returns this error instead.
func newRequest(ctx context.Context, r Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Host = r.Host
	hideIdempotencyKeys(req.Header)
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	if replayedByTransport(r.Method) {
		// The transport does not replay requests that have a body but no GetBody. It
		// sends no body if this one is empty.
		if req.Body == nil {
			req.Body = io.NopCloser(bytes.NewReader(nil))
		}
		return req, nil
	}
	if req.Body != nil {
		req.GetBody = func() (io.ReadCloser, error) { return nil, errNotReplayed }
	}
	return req, nil
}

// replayedByTransport reports whether http.Transport replays requests of a method.
func replayedByTransport(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// hideIdempotencyKeys writes in lower case the names of the headers that make
// http.Transport replay a request. They are the same headers to the peer, but the
// transport does not recognise them.
func hideIdempotencyKeys(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		values, ok := h[name]
		if !ok {
			continue
		}
		delete(h, name)
		h[lowerCaseNames[name]] = values
	}
}

var lowerCaseNames = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// Read implements io.Reader for the body. It returns io.EOF only after a complete body;
// any other error is an *Error of stage Answered.
func (x *Exchange) Read(p []byte) (int, error) {
	x.timer.start(x.progress)
	n, err := x.body.Read(p)
	x.timer.stop()
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		x.ended = true
		return n, io.EOF
	}
	reason := reasonOf(x.ctx)
	dropIdle(x.transport, x.host, reason)
	return n, &Error{Stage: Answered, Reason: reason, Cause: err}
}

// drainTimeout bounds how long Drain waits for the end of a body.
const drainTimeout = 200 * time.Millisecond

// Drain reads the few bytes that may follow the part of the body that the caller needs,
// so that the connection can be reused. It stops after drainTimeout.
func (x *Exchange) Drain() {
	timer := time.AfterFunc(drainTimeout, func() { x.cancel(errClosed) })
	defer timer.Stop()
	var rest [512]byte
	for i := 0; i < 2 && !x.ended; i++ {
		if _, err := x.Read(rest[:]); err != nil {
			return
		}
	}
}

// Close ends the exchange. If the body has not been read to its end, the connection is
// closed, so that the peer can stop its work.
func (x *Exchange) Close() error {
	x.timer.stop()
	x.cancel(errClosed)
	return x.body.Close()
}
