package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"
)

var (
	errNoRoute = errors.New("connection refused")
	errCut     = errors.New("connection cut")
)

// network is an http.RoundTripper that passes requests to handlers in this process. It uses
// no sockets, so that it works with the virtual time of synctest. Like *http.Transport, it
// calls the hooks of httptrace, from which package attempt derives how far a request got.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	// reached lists the host of each request received, in order.
	reached []string
	// active counts the running handlers.
	active int
	// aborted holds for each host when a handler last aborted its answer.
	aborted map[string]time.Time
}

// restartDelay is how long a host refuses probe connections after its handler has aborted,
// like a crashed engine that restarts.
const restartDelay = 500 * time.Millisecond

func newNetwork() *network {
	return &network{handlers: make(map[string]http.Handler), aborted: make(map[string]time.Time)}
}

// set sets the handler of a host. A nil handler refuses connections.
func (n *network) set(host string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[host] = h
}

// hosts returns the host of each request received so far, in order.
func (n *network) hosts() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.reached...)
}

// dial returns ECONNREFUSED if a host has no handler or is restarting.
func (n *network) dial(_ context.Context, host string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at, ok := n.aborted[host]; n.handlers[host] == nil || ok && time.Since(at) < restartDelay {
		return syscall.ECONNREFUSED
	}
	return nil
}

// busy returns the number of running handlers.
func (n *network) busy() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.active
}

// RoundTrip implements http.RoundTripper.
func (n *network) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	trace := httptrace.ContextClientTrace(ctx)
	trace.GetConn(req.URL.Host)
	n.mu.Lock()
	handler := n.handlers[req.URL.Host]
	n.mu.Unlock()
	if handler == nil {
		return nil, errNoRoute
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	trace.GotConn(httptrace.GotConnInfo{})
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	trace.WroteHeaders()
	n.mu.Lock()
	n.reached = append(n.reached, req.URL.Host)
	n.mu.Unlock()
	x := newExchange(req, body)
	go n.run(handler, x)
	select {
	case r := <-x.response:
		return r, nil
	case <-x.done:
		// Both channels are ready if the handler has already finished.
		select {
		case r := <-x.response:
			return r, nil
		default:
			return nil, errCut
		}
	case <-ctx.Done():
		x.cancel()
		return nil, ctx.Err()
	}
}

// run runs the handler. A handler that aborts breaks the connection.
func (n *network) run(h http.Handler, x *exchange) {
	n.count(1)
	err := errCut
	defer func() {
		n.count(-1)
		recovered := recover()
		if recovered != nil && recovered != http.ErrAbortHandler {
			panic(recovered)
		}
		if recovered != nil {
			n.mu.Lock()
			n.aborted[x.request.URL.Host] = time.Now()
			n.mu.Unlock()
		}
		_ = x.writer.CloseWithError(err)
		close(x.done)
	}()
	h.ServeHTTP(x, x.request)
	x.WriteHeader(http.StatusOK)
	if x.request.Context().Err() == nil {
		err = io.EOF
	}
}

func (n *network) count(by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.active += by
}

// exchange is one request to a handler. It implements http.ResponseWriter.
type exchange struct {
	request  *http.Request
	cancel   context.CancelFunc
	response chan *http.Response
	done     chan struct{}
	header   http.Header
	writer   *io.PipeWriter
	body     *exchangeBody
	started  bool
}

func newExchange(req *http.Request, body []byte) *exchange {
	ctx, cancel := context.WithCancel(context.WithoutCancel(req.Context()))
	context.AfterFunc(req.Context(), cancel)
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = reader.CloseWithError(context.Canceled) })
	inner := req.Clone(ctx)
	inner.Body = io.NopCloser(bytes.NewReader(body))
	return &exchange{
		request: inner, cancel: cancel, header: make(http.Header), writer: writer,
		response: make(chan *http.Response, 1), done: make(chan struct{}),
		body: &exchangeBody{PipeReader: reader, cancel: cancel},
	}
}

// exchangeBody is the response body. Closing it cancels the handler's context, as when a
// client disconnects.
type exchangeBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *exchangeBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.started {
		return
	}
	x.started = true
	x.response <- &http.Response{StatusCode: status, Header: x.header.Clone(), Body: x.body, ContentLength: -1}
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	return x.writer.Write(p)
}

// Flush implements http.Flusher.
func (x *exchange) Flush() { x.WriteHeader(http.StatusOK) }
