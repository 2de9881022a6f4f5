package router

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/bronzeturn/bronzeturn/admission"
	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/ledger"
	"github.com/bronzeturn/bronzeturn/plainservice"
	"github.com/bronzeturn/bronzeturn/retry"
)

// serviceMethods are the HTTP methods that plain services may be called with.
var serviceMethods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// serviceHeaders are the request headers that are passed on to a plain service. The
// Authorization header, which holds the caller's key, must not be among them.
var serviceHeaders = []string{"Accept", "Content-Type", "Accept-Language"}

// serveService calls a plain service.
func (r *Router) serveService(w http.ResponseWriter, req bunrouter.Request) error {
	name := req.Param("name")
	prepare := func(h *http.Request, a *answer, c *call) *failure.Error { return r.prepareService(h, a, c, name) }
	run := func(ctx context.Context, a *answer, c *call) *failure.Error {
		return r.runService(ctx, a, c, req.Request)
	}
	return r.serve(w, req, prepare, run)
}

// prepareService checks that the organisation may call the service and reads the
// request. The failure is the same for an unknown service and one that is not allowed,
// so that it does not disclose which services exist.
func (r *Router) prepareService(req *http.Request, a *answer, c *call, name string) *failure.Error {
	f := r.prepareKind(req.Header, c, req.Header.Get(callerapi.HeaderKind))
	if f != nil {
		return f
	}
	s := c.tables.Snapshot
	service, ok := s.Service(name)
	if !ok || !s.ServiceAllowed(c.organisation.GetName(), name) {
		return failure.New(failure.CodeServiceNotAllowed, failure.RanNo, "the organisation may not use this service")
	}
	c.service = service
	c.body, f = r.readBody(c)
	return f
}

// runService admits a call of a plain service, takes its claim and makes it.
func (r *Router) runService(ctx context.Context, a *answer, c *call, req *http.Request) *failure.Error {
	if f := c.requireKey(); f != nil {
		return f
	}
	reservation, err := r.Ledger.ReserveBuffer()
	if err != nil {
		return failure.From(err)
	}
	ticket, err := r.Admission.Acquire(ctx, admission.Request{
		Organisation: c.organisation.GetName(), Priority: c.priority, Deadline: c.deadline,
		Group: "service/" + c.service.GetName(), CostMicros: c.service.GetCallPriceMicros(),
	})
	if err != nil {
		reservation.Release()
		return failure.From(err)
	}
	g := &grant{reservation: reservation, ticket: ticket}
	defer g.release()
	held, f := r.claim(ctx, a, c, g)
	if f != nil || held.replayed {
		return f
	}
	s := &settlement{router: r, call: c, claim: held, grant: g}
	if f := r.answerService(ctx, a, c, req, s); f != nil {
		s.settleFailed(f)
		return f
	}
	return nil
}

// answerService calls instances until one answers, and sends the answer once the bill
// is recorded.
func (r *Router) answerService(ctx context.Context, a *answer, c *call, req *http.Request, s *settlement) *failure.Error {
	response, f := r.callService(ctx, c, req)
	if f != nil {
		return f
	}
	s.version = c.service.GetName()
	s.costMicros = c.service.GetCallPriceMicros()
	contentType := response.Header.Get("Content-Type")
	var outcome *ledger.Outcome
	if s.claim.held {
		outcome = ledger.NewOutcome(response.Status, contentType, s.version, response.Body)
	}
	if f := s.settle(outcome); f != nil {
		return f
	}
	a.stallTimeout = c.kind.GetProgressTimeout().AsDuration()
	a.begin(response.Status, contentType, s.version, len(response.Body))
	if err := a.write(response.Body); err != nil {
		return callerWriteFailure(err, failure.RanYes)
	}
	return nil
}

// callService tries the instances of a service in turn.
func (r *Router) callService(ctx context.Context, c *call, req *http.Request) (*plainservice.Response, *failure.Error) {
	r.Budget.Request(time.Now())
	ran := failure.RanNo
	for number := 1; ; number++ {
		if f := r.staleFailure(ran); f != nil {
			return nil, f
		}
		newest := r.Tables().Snapshot
		if !newest.ServiceAllowed(c.organisation.GetName(), c.service.GetName()) {
			return nil, failure.New(failure.CodeServiceNotAllowed, ran, "the organisation may not use this service")
		}
		instance, f := r.chooseInstance(c, number, ran)
		if f != nil {
			return nil, f
		}
		response, err := r.callInstance(ctx, c, req, instance)
		if err == nil {
			return response, nil
		}
		ran = worstRan(ran, err.Ran)
		if f := r.retryServiceOrFail(ctx, c, err, number, ran); f != nil {
			return nil, f
		}
	}
}

// chooseInstance chooses the instance for the given attempt: one whose host is not
// leaving and whose circuit breaker allows calls. Instances in the router's data centre
// come first.
func (r *Router) chooseInstance(c *call, number int, ran failure.Ran) (*bronzeturnv1.ServiceInstance, *failure.Error) {
	now := time.Now()
	var usable []*bronzeturnv1.ServiceInstance
	for _, local := range []bool{true, false} {
		for _, i := range c.service.GetInstances() {
			matches := (i.GetDataCentre() == r.DataCentre) == local
			if matches && !r.Members.BackendLeaving(i.GetHost()) {
				usable = append(usable, i)
			}
		}
	}
	retryAfter := time.Duration(0)
	for offset := range usable {
		instance := usable[(number-1+offset)%len(usable)]
		breaker := r.Breakers.Target(instance.GetAddress())
		if wait := breaker.NextCall().Sub(now); offset == 0 || wait < retryAfter {
			retryAfter = wait
		}
		if breaker.Allow(now) {
			withRequestFields(r.Log.Info(), c).Str("service", c.service.GetName()).Str("instance", instance.GetAddress()).
				Int("attempt", number).Int("candidates", len(usable)).Msg("instance chosen")
			return instance, nil
		}
	}
	return nil, failure.New(failure.CodeNoCapacity, ran, "no instance of the service takes calls").WithRetryAfter(max(retryAfter, busyRetryAfter))
}

// callInstance calls one instance once and reports the result to its circuit breaker.
func (r *Router) callInstance(ctx context.Context, c *call, req *http.Request, i *bronzeturnv1.ServiceInstance) (*plainservice.Response, *plainservice.Error) {
	header := http.Header{}
	for _, name := range serviceHeaders {
		if value := req.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set(engine.HeaderRequestID, c.requestID)
	response, err := r.ServiceClient.Call(ctx, plainservice.Call{
		Address: i.GetAddress(), Method: req.Method, Path: servicePath(req),
		Header: header, Body: c.body, Idempotent: c.idempotent(),
		ProgressTimeout: c.kind.GetProgressTimeout().AsDuration(), Memory: c.memory,
	})
	breaker := r.Breakers.Target(i.GetAddress())
	if err == nil {
		breaker.Success()
		breaker.Pause(time.Now(), response.RetryAfter)
		return response, nil
	}
	var typed *plainservice.Error
	if !errors.As(err, &typed) {
		typed = &plainservice.Error{Kind: plainservice.KindBroken, Ran: failure.RanUnknown}
	}
	if typed.Kind == plainservice.KindCanceled {
		breaker.Abandon(time.Now())
	} else {
		breaker.Failure(time.Now())
		breaker.Pause(time.Now(), typed.RetryAfter)
	}
	return nil, typed
}

// servicePath returns the path below the service's name, with the query.
func servicePath(req *http.Request) string {
	rest := strings.TrimPrefix(req.URL.EscapedPath(), callerapi.PathServices)
	_, below, _ := strings.Cut(rest, "/")
	path := "/" + below
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	return path
}

// serviceKinds maps failures of plain services to those of the retry policy.
var serviceKinds = map[plainservice.Kind]retry.Kind{
	plainservice.KindUnreachable: retry.KindConnect,
	plainservice.KindRefused:     retry.KindRefused,
	plainservice.KindBroken:      retry.KindBroken,
	plainservice.KindSilent:      retry.KindSilent,
	plainservice.KindCanceled:    retry.KindCancelled,
}

// retryServiceOrFail decides whether to retry a failed call, and waits for the backoff
// if so. Otherwise it returns the failure that ends the request.
func (r *Router) retryServiceOrFail(ctx context.Context, c *call, err *plainservice.Error, number int, ran failure.Ran) *failure.Error {
	again, wait, reason := r.nextAttempt(retry.Attempt{
		Kind: serviceKinds[err.Kind], Ran: err.Ran, Idempotent: c.idempotent(),
		Number: number, Left: time.Until(c.deadline),
	})
	withRequestFields(r.Log.Info(), c).Str("failure", string(err.Kind)).Str("ran", string(err.Ran)).
		Bool("again", again).Stringer("reason", reason).Int("attempt", number).Msg("attempt failed")
	if again && backoff.Sleep(ctx, wait) == nil {
		return nil
	}
	return serviceFailure(ctx, err, ran)
}

// serviceFailure returns the failure for the caller if no further call is made.
func serviceFailure(ctx context.Context, err *plainservice.Error, ran failure.Ran) *failure.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failure.Wrap(err, failure.CodeDeadlinePassed, ran, "the deadline passed before an answer came")
	case err.Kind == plainservice.KindCanceled:
		return failure.Wrap(err, failure.CodeCanceled, ran, "the request was canceled")
	case ran == failure.RanNo:
		return failure.Wrap(err, failure.CodeNoCapacity, ran, "the service did not take the call").WithRetryAfter(max(err.RetryAfter, busyRetryAfter))
	default:
		return failure.Wrap(err, failure.CodeOutcomeUnknown, ran, "the service did not answer; the call may have run")
	}
}
