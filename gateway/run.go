package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/retry"
	"github.com/bronzeturn/bronzeturn/route"
)

// errDeadline is why a request ends at its deadline.
var errDeadline = errors.New("the deadline has passed")

const (
	// maxSends bounds the sends of one request, those included that an engine
	// refused unseen or that never left this daemon.
	maxSends = 6
	// minAttempt is the least time worth an attempt.
	minAttempt = 10 * time.Millisecond
	// busyRetry is the advice when no engine takes a request now.
	busyRetry = 400 * time.Millisecond
	// emptyWait is how long a request waits for an engine to come back when a
	// service has none, and emptyPoll the time between two looks.
	emptyWait = 40 * time.Millisecond
	emptyPoll = 10 * time.Millisecond
)

// task is a request on its way through engines.
type task struct {
	*request
	answer *answer
	// model is the size it runs on, "" when the caller named one, and sized what its
	// choice goes by.
	model string
	sized *sizedRequest
	// doubted is the confidence of the answer that the model is to replace, or
	// noConfidence.
	doubted int
	// group of engines, and whether it is the version being introduced.
	group string
	trial bool
	tried []string
	// prefixHomes is how many engines read the request's prefix.
	prefixHomes int
	// runs counts the sends after which the request may have run.
	runs int
	// ran is the worst that is known of all attempts.
	ran failure.Ran
	// last is an engine's answer that tells of a failure, passed on when no
	// better one comes.
	last *wholeAnswer
	// stream is the state of a stream that has begun.
	stream streamState
	// prepaid tells that the next send was taken from the budget already.
	prepaid atomic.Bool
}

// target is the engine chosen for one attempt.
type target struct {
	engine inventory.Engine
	work   balance.Work
	// expected is the time to the first token.
	expected time.Duration
	sent     time.Time
	// firstSeen tells whether the first token was reported.
	firstSeen bool
}

// attemptError tells why an attempt gave no answer that can be passed on.
type attemptError struct {
	Kind  retry.Kind
	Ran   failure.Ran
	Cause error
	// comeBack is the engine's advice.
	comeBack time.Duration
}

// Error implements error.
func (e *attemptError) Error() string { return "attempt: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.Cause }

// run sends the request to engines until one answers it whole.
func (g *Gateway) run(ctx context.Context, q *request, a *answer) *failure.Error {
	g.budgets.of(q.service).Request(time.Now())
	t := &task{request: q, answer: a, ran: failure.RanNo, doubted: noConfidence}
	t.stream.lastID = q.meta.LastEvent
	g.chooseModel(t)
	t.prefixHomes = g.countHomes(t)
	for {
		to, f := g.choose(ctx, t)
		if f != nil {
			return g.settle(t, f)
		}
		err := g.try(ctx, t, to)
		if err == nil {
			return nil
		}
		if f := g.again(ctx, t, to, err); f != nil {
			return g.settle(t, f)
		}
	}
}

// settle passes on an engine's own answer rather than a failure of ours.
func (g *Gateway) settle(t *task, f *failure.Error) *failure.Error {
	if t.last == nil || t.answer.begun() {
		return f
	}
	return t.last.deliver(t.answer)
}

// choose picks the engine for the next attempt, from the newest tables.
func (g *Gateway) choose(ctx context.Context, t *task) (*target, *failure.Error) {
	waited := time.Duration(0)
	for {
		if f := g.ended(ctx, t); f != nil {
			return nil, f
		}
		to, decision, ok := g.pick(t)
		if ok {
			return to, nil
		}
		if waited >= emptyWait || backoff.Sleep(ctx, emptyPoll) != nil {
			f := failure.New(failure.CodeNoCapacity, t.ran, "no engine takes the request now: %s", decision.Reason)
			return nil, f.After(min(max(decision.RetryAfter, busyRetry/4), busyRetry))
		}
		waited += emptyPoll
	}
}

// pick asks the balancer once.
func (g *Gateway) pick(t *task) (*target, balance.Decision, bool) {
	now := time.Now()
	engines := g.Tables().Engines
	if engines == nil {
		return nil, balance.Decision{Reason: balance.ReasonNotServed}, false
	}
	g.chooseGroup(t, engines, now)
	r := t.balanceRequest(g.DataCentre, engines, g.Models)
	decision, ok := g.askSure(t, engines, r, now)
	if !ok && t.trial && t.runs == 0 {
		// The new version runs on a few engines; none of them takes it now.
		t.leaveTrial()
		r.Version = t.group
		decision, ok = g.askSure(t, engines, r, now)
	}
	if !ok && len(t.tried) > 0 && decision.Reason == balance.ReasonNoEngine && t.mayRepeat() {
		r.Exclude = [balance.MaxExclude]string{}
		decision, ok = g.askSure(t, engines, r, now)
	}
	if !ok {
		return nil, decision, false
	}
	engine, known := engines.View.Engine(decision.Engine.GetName())
	if !known {
		return nil, decision, false
	}
	t.request.trace.reasons = append(t.request.trace.reasons, decision.Reason.String())
	t.request.trace.noteChoice(&decision)
	return &target{engine: engine, work: r.Work, expected: decision.ExpectedFirstToken}, decision, true
}

// chooseGroup settles which version the request runs on, once nothing has run of
// it yet.
func (g *Gateway) chooseGroup(t *task, engines *Engines, now time.Time) {
	if t.runs == 0 {
		t.trial = g.Introductions.Choose(t.service, t.session, now)
	}
	t.group = Group(t.service, t.trial)
	if t.trial && engines.Plan.Serving(t.group) == 0 {
		t.leaveTrial()
	}
}

// leaveTrial keeps the request on the version before.
func (t *task) leaveTrial() {
	t.trial = false
	t.group = Group(t.service, false)
}

// mostTakes bounds how often a choice is made again because a request before it took
// what this daemon may send to the cold engine that was chosen.
const mostTakes = 4

// askSure asks the balancer for an engine where the list of engines is not doubted, or for
// any when there is none.
func (g *Gateway) askSure(t *task, engines *Engines, r *balance.Request, now time.Time) (balance.Decision, bool) {
	r.Skip = func(engine string) bool { return g.mayNot(t, engines, engine, now) }
	if !g.denials.any.Load() {
		return g.ask(engines, r, now)
	}
	sure := *r
	sure.Skip = func(engine string) bool {
		e, known := engines.View.Engine(engine)
		return r.Skip(engine) || known && g.denials.doubted(place{t.service, e.DataCentre}, now)
	}
	if decision, ok := g.ask(engines, &sure, now); ok {
		return decision, true
	}
	return g.ask(engines, r, now)
}

// mayNot tells whether an engine must not get the request now: it is cold and has had what
// this daemon may send it, or it stands outside the request's homes.
func (g *Gateway) mayNot(t *task, engines *Engines, engine string, now time.Time) bool {
	if g.SlowStarts.Passed(engine, now) {
		return true
	}
	if !t.homes.Bound {
		return false
	}
	e, known := engines.View.Engine(engine)
	return !known || !t.homes.Allow(g.Regions[e.DataCentre])
}

// ask asks the balancer for an engine that may be sent to now.
func (g *Gateway) ask(engines *Engines, r *balance.Request, now time.Time) (decision balance.Decision, ok bool) {
	for range mostTakes {
		g.withRand(func(rng *rand.Rand) { decision, ok = g.Engines.Choose(engines.Plan, r, now, rng) })
		if !ok || g.SlowStarts.Take(decision.Engine.GetName(), now) {
			return decision, ok
		}
	}
	decision.Reason = balance.ReasonNoEngine
	return decision, false
}

// mayRepeat tells whether an engine that was tried may be tried again: only
// when nothing can have run twice by it.
func (t *task) mayRepeat() bool { return t.ran == failure.RanNo || t.route.Repeatable() }

// balanceRequest describes the request to the balancer.
func (t *task) balanceRequest(dataCentre string, engines *Engines, models *ModelChoice) *balance.Request {
	r := &balance.Request{
		Version: t.group, DataCentre: dataCentre, Work: t.work(models),
		PrefixHash: t.prefixHash, PrefixWorth: time.Duration(t.prefixTokens) * prefixTokenWorth, NoProbe: t.route.Kind == route.Once,
	}
	if home, ok := engines.home(t.group, t.prefix, t.prefixHomes, t.session); ok {
		r.Homes[0] = home
	}
	first := max(0, len(t.tried)-balance.MaxExclude)
	copy(r.Exclude[:], t.tried[first:])
	return r
}

// ended tells why no further attempt makes sense, nil while one does.
func (g *Gateway) ended(ctx context.Context, t *task) *failure.Error {
	switch {
	case ctx.Err() == nil && time.Until(t.deadline) > minAttempt:
		return nil
	case ctx.Err() == nil || errors.Is(context.Cause(ctx), errDeadline):
		return failure.New(failure.CodeDeadlinePassed, t.ran, "the deadline passed before an answer came")
	default:
		return failure.New(failure.CodeCanceled, t.ran, "the caller went away")
	}
}

// deliver checks the head of an answer and passes the answer on.
func (g *Gateway) deliver(t *task, to *target, x *attempt.Exchange) *attemptError {
	receipt := g.Codec.Receipt(x.Status, x.Header)
	if receipt.Genuine {
		g.denials.kept(t.placeOf(to))
	}
	switch {
	case receipt.Instance != "" && receipt.Instance != to.engine.ID:
		g.misdirected(t, to)
		return &attemptError{Kind: retry.KindMisdirected, Ran: failure.RanNo, Cause: errOtherInstance}
	case receipt.NotRun:
		return &attemptError{Kind: retry.KindRefused, Ran: failure.RanNo, Cause: errEngineRefused}
	case receipt.RequestID != t.meta.ID:
		return &attemptError{Kind: retry.KindBroken, Ran: failure.RanUnknown, Cause: errForeignAnswer}
	case !receipt.Genuine:
		return &attemptError{Kind: retry.KindBroken, Ran: failure.RanUnknown, Cause: errUnsignedAnswer}
	case x.Status < http.StatusOK || x.Status >= http.StatusMultipleChoices:
		return g.deliverFailure(t, to, x)
	case g.escalates(t, to, receipt.Confidence):
		return &attemptError{Kind: retry.KindDoubted, Ran: failure.RanYes, Cause: errDoubted}
	case t.route.Kind == route.Stream:
		return g.deliverStream(t, to, x)
	default:
		return g.deliverWhole(t, to, x)
	}
}

// misdirected takes in that another engine answered than the one that was meant.
func (g *Gateway) misdirected(t *task, to *target) {
	g.Misdirected(to.engine.Key())
	p := t.placeOf(to)
	if g.denials.denied(p, time.Now()) {
		g.Log.Info().Str("request", t.meta.ID).Str("service", p.service).Str("data_centre", p.dataCentre).
			Dur("tables_age_ms", time.Since(g.Tables().Changed)).Msg("the list of engines is doubted")
	}
}

// placeOf returns where a target is.
func (t *task) placeOf(to *target) place { return place{t.service, to.engine.DataCentre} }

// Reasons why an answer is not passed on.
var (
	errOtherInstance  = errors.New("another engine answers at this address")
	errEngineRefused  = errors.New("the engine refused the request unseen")
	errForeignAnswer  = errors.New("the answer belongs to another request")
	errUnsignedAnswer = errors.New("the answer bears no mark of the engine")
	errDoubted        = errors.New("the model doubts its answer")
	errEngineFailure  = errors.New("the engine answered with a failure")
)
