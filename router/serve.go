package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/overload"
)

// leavingRetryAfter is the Retry-After of a daemon that is shutting down. It is short
// because the other addresses can be used at once.
const leavingRetryAfter = 100 * time.Millisecond

// startupRetryAfter is the Retry-After before the first configuration is loaded.
const startupRetryAfter = time.Second

// unknownKindLabel is the label value of requests that failed before their task kind
// was known.
const unknownKindLabel = "none"

// prepareFunc reads the headers and the body of a request into the call.
type prepareFunc func(req *http.Request, a *answer, c *call) *failure.Error

// runFunc processes a request after the checks common to all requests. It returns nil
// if the caller got a complete answer.
type runFunc func(ctx context.Context, a *answer, c *call) *failure.Error

// serve processes one request. It does what is common to all requests: it checks that
// the daemon accepts requests, authenticates the caller, sends failures and updates the
// metrics.
func (r *Router) serve(w http.ResponseWriter, req bunrouter.Request, prepare prepareFunc, run runFunc) error {
	c := &call{requestID: newRequestID(), received: time.Now()}
	c.memory = r.Memory.OpenRequest(w, req.Request)
	defer c.memory.Close()
	a := newAnswer(w, c)
	w.Header().Set(callerapi.HeaderRequestID, c.requestID)
	if req.ProtoMajor == 1 && overload.Crowded(req.Context()) {
		w.Header().Set("Connection", "close")
	}
	f := r.process(req.Request, a, c, prepare, run)
	kind := unknownKindLabel
	if c.kind != nil {
		kind = c.kind.GetName()
	}
	r.metrics.observeRequest(kind, f, time.Since(c.received))
	if f == nil {
		return nil
	}
	f = r.ifStopping(req.Context(), f)
	r.logFailure(c, f)
	a.fail(f)
	return nil
}

// process checks and runs one request.
func (r *Router) process(req *http.Request, a *answer, c *call, prepare prepareFunc, run runFunc) *failure.Error {
	if !r.gate.enter() {
		return r.leavingFailure()
	}
	defer r.gate.leave()
	var full *overload.FullError
	if errors.As(c.memory.ReserveHead(), &full) {
		return r.overloadFailure(full)
	}
	if f := r.identify(req, c); f != nil {
		return f
	}
	if f := prepare(req, a, c); f != nil {
		return f
	}
	ctx, cancel := context.WithDeadline(req.Context(), c.deadline)
	defer cancel()
	return run(ctx, a, c)
}

// identify sets the configuration and the organisation of a call.
func (r *Router) identify(req *http.Request, c *call) *failure.Error {
	c.tables = r.Tables()
	if c.tables == nil {
		return failure.New(failure.CodeNoConfiguration, failure.RanNo, "no configuration is in force yet").WithRetryAfter(startupRetryAfter)
	}
	if f := r.staleFailure(failure.RanNo); f != nil {
		return f
	}
	org, f := authenticate(c.tables.Snapshot, req.Header)
	c.organisation = org
	return f
}

// staleFailure returns a failure that names other addresses while the configuration may
// be out of date. It must be called for each request and again before each attempt. ran
// says whether earlier attempts ran the request.
func (r *Router) staleFailure(ran failure.Ran) *failure.Error {
	f := r.CheckFresh(time.Now())
	if f == nil {
		return nil
	}
	refusal := *f
	refusal.Ran = ran
	refusal.Entries, _ = r.otherEntries()
	return &refusal
}

// ErrStopping is the cause with which the contexts of requests end that are still in progress at the end
// of a stop.
var ErrStopping = errors.New("the daemon is stopping")

// ifStopping returns the failure of a request that the end of a stop has ended, which says whether it may
// have run, and other failures as they are.
func (r *Router) ifStopping(ctx context.Context, f *failure.Error) *failure.Error {
	switch {
	case f.Code != failure.CodeCanceled || !errors.Is(context.Cause(ctx), ErrStopping):
		return f
	case f.Ran == failure.RanNo:
		return r.leavingFailure()
	}
	return failure.Wrap(f, failure.CodeDaemonLeaving, f.Ran, "the daemon stopped before the answer was complete")
}

// leavingFailure returns the refusal of a daemon that is shutting down, with the
// addresses to use instead.
func (r *Router) leavingFailure() *failure.Error {
	f := failure.New(failure.CodeDaemonLeaving, failure.RanNo, "this address takes no new requests").WithRetryAfter(leavingRetryAfter)
	f.Entries, _ = r.otherEntries()
	return f
}
