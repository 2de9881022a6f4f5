package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/route"
)

// emptyWait is how long a request waits for an engine to come back when a service has
// none, and emptyPoll the time between two looks.
const (
	emptyWait = 40 * time.Millisecond
	emptyPoll = 10 * time.Millisecond
)

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
			return nil, f.WithRetryAfter(min(max(decision.RetryAfter, busyRetry/4), busyRetry))
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
	if g.Quarantine.Ends(t.hash) > 0 {
		r.Among[0] = engines.forSuspect(t.group, t.hash, t.tried)
	}
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
	if t.trial && !t.answer.begun() && g.Quarantine.Ends(t.hash) > 0 {
		// The version before tells whether the request or the new version ends engines.
		t.trial = false
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

// askSure asks the balancer for an engine where the list of engines is not doubted, or for
// any when there is none.
func (g *Gateway) askSure(t *task, engines *Engines, r *balance.Request, now time.Time) (balance.Decision, bool) {
	r.Skip = g.skips(t, engines, now)
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

// skips tells which engines must not get the request now: those that are cold and have had
// what this daemon may send them, and those outside the request's homes.
func (g *Gateway) skips(t *task, engines *Engines, now time.Time) func(engine string) bool {
	return func(engine string) bool {
		if g.SlowStarts.Passed(engine, now) {
			return true
		}
		if !t.homes.Bound {
			return false
		}
		e, known := engines.View.Engine(engine)
		return !known || !t.homes.Allow(g.Regions[e.DataCentre])
	}
}

// mostTakes bounds how often a choice is made again because a request before it took
// what this daemon may send to the cold engine that was chosen.
const mostTakes = 4

// ask asks the balancer for an engine that may be sent to now.
func (g *Gateway) ask(engines *Engines, r *balance.Request, now time.Time) (decision balance.Decision, ok bool) {
	for range mostTakes {
		decision, ok = g.compare(engines, r, now)
		if !ok || g.SlowStarts.Take(decision.Engine.GetName(), now) {
			return decision, ok
		}
	}
	decision.Reason = balance.ReasonNoEngine
	return decision, false
}

// compare asks the balancer which engine would be best, for a request that is not sent yet.
func (g *Gateway) compare(engines *Engines, r *balance.Request, now time.Time) (decision balance.Decision, ok bool) {
	g.withRand(func(rng *rand.Rand) { decision, ok = g.Engines.Choose(engines.Plan, r, now, rng) })
	return decision, ok
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
