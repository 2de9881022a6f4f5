package router

import (
	"context"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/failure"
)

// leavingRetryAfter is what callers of a leaving daemon are told. The other
// addresses can be used at once.
const leavingRetryAfter = 100 * time.Millisecond

// startupRetryAfter is what callers are told before the first configuration.
const startupRetryAfter = time.Second

// unknownKindLabel labels requests that failed before their kind was known.
const unknownKindLabel = "none"

// prepare reads the headers and the body of a request into the call.
type prepare func(req *http.Request, a *answer, c *call) *failure.Error

// run carries out a request after the checks that all requests share. It
// returns nil when the caller got a whole answer.
type run func(ctx context.Context, a *answer, c *call) *failure.Error

// serve does what all requests share: admission to this daemon, identity, the
// answer to failures, metrics.
func (r *Router) serve(w http.ResponseWriter, req bunrouter.Request, prepare prepare, run run) error {
	c := &call{requestID: newRequestID(), received: time.Now()}
	a := newAnswer(w, c)
	w.Header().Set(callerapi.HeaderRequestID, c.requestID)
	f := r.process(req.Request, a, c, prepare, run)
	kind := unknownKindLabel
	if c.kind != nil {
		kind = c.kind.GetName()
	}
	r.metrics.ended(kind, f, time.Since(c.received))
	if f == nil {
		return nil
	}
	r.logFailure(c, f)
	a.fail(f)
	return nil
}

// process checks and runs one request.
func (r *Router) process(req *http.Request, a *answer, c *call, prepare prepare, run run) *failure.Error {
	if !r.gate.enter() {
		return r.leavingFailure()
	}
	defer r.gate.leave()
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
	if f := r.stale(failure.RanNo); f != nil {
		return f
	}
	org, f := authenticate(c.tables.Snapshot, req.Header)
	c.organisation = org
	return f
}

// stale refuses work while the configuration may be out of date, and names
// other addresses. It is asked for each request and again before each attempt;
// ran is what is known of the attempts before.
func (r *Router) stale(ran failure.Ran) *failure.Error {
	f := r.Fresh(time.Now())
	if f == nil {
		return nil
	}
	refusal := *f
	refusal.Ran = ran
	refusal.Entries, _ = r.otherEntries()
	return &refusal
}

// leavingFailure tells a caller which addresses to use instead.
func (r *Router) leavingFailure() *failure.Error {
	f := failure.New(failure.CodeDaemonLeaving, failure.RanNo, "this address takes no new requests").WithRetryAfter(leavingRetryAfter)
	f.Entries, _ = r.otherEntries()
	return f
}
