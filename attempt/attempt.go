// Package attempt sends one HTTP request at most once and tells how far it got.
// The adapters of the model engines and the plain services are built on it:
// their promise "the request did not run" rests on Stage.
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

// Stage tells how far a request got before it failed.
type Stage int

// The stages. NotSent is certain: no complete request left this process.
const (
	NotSent Stage = iota
	Sent
	Answered
)

// Reason tells why an attempt ended without a whole answer.
type Reason int

// The reasons. Silent means that the peer made no progress within the progress
// timeout, Canceled that the caller's context ended or the exchange was closed.
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
	errSilent       = errors.New("no progress within the timeout")
	errClosed       = errors.New("exchange closed")
	errNotRewinding = errors.New("nothing was written")
)

// Request is what one attempt sends. ProgressTimeout bounds the time without
// any progress of the peer; zero means no bound. PauseTimeout replaces it once
// the header has come, unless it is zero.
type Request struct {
	Method string
	URL    string
	// Host replaces that of the URL in the Host header, unless it is empty.
	Host            string
	Header          http.Header
	Body            []byte
	ProgressTimeout time.Duration
	PauseTimeout    time.Duration
	// GiveUp is asked when one of these bounds is reached; the attempt goes on for
	// as long again when it returns false. Nil gives up. It is called from another
	// goroutine.
	GiveUp func() bool
}

// pause returns the bound after the header.
func (r *Request) pause() time.Duration {
	if r.PauseTimeout > 0 {
		return r.PauseTimeout
	}
	return r.ProgressTimeout
}

// Exchange is an answered attempt whose body is still to be read. Read and
// Close must be called from one goroutine at a time.
type Exchange struct {
	Status int
	Header http.Header
	// Length is the announced length of the body, or -1.
	Length int64

	transport http.RoundTripper
	host      string

	body     io.ReadCloser
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	progress time.Duration
	ended    bool
}

// progressTimer cancels with errSilent when it runs out and giveUp agrees. It is
// nil for zero.
func progressTimer(d time.Duration, giveUp func() bool, cancel context.CancelCauseFunc) *time.Timer {
	if d <= 0 {
		return nil
	}
	var timer atomic.Pointer[time.Timer]
	expired := func() {
		if giveUp == nil || giveUp() {
			cancel(errSilent)
			return
		}
		if t := timer.Load(); t != nil {
			t.Reset(d)
		}
	}
	timer.Store(time.AfterFunc(d, expired))
	return timer.Load()
}

// trace records how far the transport got.
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

// stage derives the stage of a request that failed with err. A transport that
// reports no trace gets the careful reading.
func (t *trace) stage(err error, canceled bool) Stage {
	switch {
	case errors.Is(err, errNotRewinding):
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

// Send sends the request once over transport and waits for the answer's
// header. It never follows redirects and never repeats the request: the
// transport may only try another connection when no byte was written, and is
// kept from even that. The error is an *Error or a malformed request.
func Send(ctx context.Context, transport http.RoundTripper, r Request) (*Exchange, error) {
	inner, cancel := context.WithCancelCause(ctx)
	seen := &trace{}
	req, err := newRequest(httptrace.WithClientTrace(inner, seen.hooks()), r)
	if err != nil {
		cancel(errClosed)
		return nil, &Error{Stage: NotSent, Reason: Network, Cause: err}
	}
	timer := progressTimer(r.ProgressTimeout, r.GiveUp, cancel)
	resp, err := transport.RoundTrip(req)
	if timer != nil {
		timer.Stop()
	}
	if err != nil {
		reason := reasonOf(inner)
		failed := &Error{Stage: seen.stage(err, reason != Network), Reason: reason, Cause: err}
		cancel(errClosed)
		dropIdle(transport, req.URL.Host, reason)
		return nil, failed
	}
	pause := r.pause()
	if timer == nil || pause != r.ProgressTimeout {
		timer = progressTimer(pause, r.GiveUp, cancel)
	}
	return &Exchange{
		transport: transport, host: req.URL.Host,
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		body: resp.Body, ctx: inner, cancel: cancel,
		timer: timer, progress: pause,
	}, nil
}

// idleDropper is a transport that can close its idle connections to one host,
// such as Transports.
type idleDropper interface {
	DropIdle(host string)
}

// dropIdle closes the idle connections to a host that went silent, since what
// lost track of one connection has often lost track of the others.
func dropIdle(transport http.RoundTripper, host string, reason Reason) {
	if d, ok := transport.(idleDropper); ok && reason == Silent {
		d.DropIdle(host)
	}
}

// reasonOf reads why ctx ended; a live context means a network failure.
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

// newRequest builds a request that net/http.Transport does not replay. Its
// GetBody always fails, which stops the transport where it would otherwise
// repeat a request of which nothing was written, and tells us so.
func newRequest(ctx context.Context, r Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Host = r.Host
	hideKeys(req.Header)
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	if lacksBody(r.Method) {
		// A body of unknown type makes the transport treat the request as one
		// that cannot be replayed. It sends none when the body is empty.
		if req.Body == nil {
			req.Body = io.NopCloser(bytes.NewReader(nil))
		}
		return req, nil
	}
	if req.Body != nil {
		req.GetBody = func() (io.ReadCloser, error) { return nil, errNotRewinding }
	}
	return req, nil
}

// lacksBody names the methods that the transport replays by itself.
func lacksBody(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// hideKeys writes the headers by which the transport takes a request for
// replayable in lower case: the same header to the peer, none to the transport.
func hideKeys(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		values, ok := h[name]
		if !ok {
			continue
		}
		delete(h, name)
		h[lowerKeys[name]] = values
	}
}

var lowerKeys = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// Read implements io.Reader over the body. It returns io.EOF only after a
// complete body, otherwise an *Error of stage Answered.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.timer != nil {
		x.timer.Reset(x.progress)
	}
	n, err := x.body.Read(p)
	if x.timer != nil {
		x.timer.Stop()
	}
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

// drainTimeout bounds how long Close waits for the end of a body, so that the
// connection can be used again.
const drainTimeout = 200 * time.Millisecond

// Drain reads the few bytes that may follow the useful part of the body, so
// that the connection can be reused. It gives up after a short while.
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

// Close ends the exchange. The connection of an unfinished body is closed, so
// that the peer can stop its work.
func (x *Exchange) Close() error {
	if x.timer != nil {
		x.timer.Stop()
	}
	x.cancel(errClosed)
	return x.body.Close()
}
