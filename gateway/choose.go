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

// noEngineWait is how long a request that has not been answered in part waits for an engine if
// none can take it, and noEnginePoll the interval between two tries.
const (
	noEngineWait = 40 * time.Millisecond
	noEnginePoll = 10 * time.Millisecond
)

// choose picks the engine for the next attempt, by the current tables. busy is set if there is
// none because all engines are busy.
func (g *Gateway) choose(ctx context.Context, t *task, ticket *attemptTicket) (to *target, busy bool, f *failure.Error) {
	waited := time.Duration(0)
	for {
		if f := g.checkTimeLeft(ctx, t); f != nil {
			return nil, false, f
		}
		to, decision, ok := g.pickEngine(t, ticket.engine())
		if ok {
			return to, false, nil
		}
		if f := g.refuseThrottled(t, t.waitForEngine()-waited); f != nil {
			return nil, false, f
		}
		if g.noteBusy(t, ticket, decision.Reason) || waited >= t.waitForEngine() || backoff.Sleep(ctx, noEnginePoll) != nil {
			f := failure.New(failure.CodeNoCapacity, t.ran, "no engine takes the request now: %s", decision.Reason)
			return nil, decision.Reason == balance.ReasonNoEngine, f.WithRetryAfter(min(max(decision.RetryAfter, busyRetryAfter/4), busyRetryAfter))
		}
		waited += noEnginePoll
	}
}

// pickEngine picks an engine by the current tables, without waiting. The fallbacks are the
// version in force if no engine of the new version is available, and then, where
// repeating is safe, the engines that were tried before. preferred is the key of the engine to
// use if possible, "" for none.
func (g *Gateway) pickEngine(t *task, preferred string) (*target, balance.Decision, bool) {
	now := time.Now()
	engines := g.Tables().Engines
	if engines == nil {
		return nil, balance.Decision{Reason: balance.ReasonNotServed}, false
	}
	g.chooseGroup(t, engines, now)
	r := t.balanceRequest(g.DataCentre, engines, g.Models)
	if s := g.Quarantine.Suspicion(t.content); s.Crashes > 0 {
		r.Candidates[0] = engines.forSuspect(t.group, s.Key, t.tried)
	}
	preferEngine(r, preferred)
	decision, ok := g.chooseUnsuspected(t, engines, r, now)
	if !ok && t.trial && t.runs == 0 {
		// The new version runs on few engines, and none of them is available.
		t.useBaseVersion()
		r.Version = t.group
		decision, ok = g.chooseUnsuspected(t, engines, r, now)
	}
	if !ok && len(t.tried) > 0 && decision.Reason == balance.ReasonNoEngine && t.mayReuseEngines() {
		r.Exclude = [balance.MaxExclude]string{}
		decision, ok = g.chooseUnsuspected(t, engines, r, now)
	}
	if !ok {
		return nil, decision, false
	}
	engine, known := engines.View.Engine(decision.Engine.GetName())
	if !known {
		return nil, decision, false
	}
	t.request.trace.reasons = append(t.request.trace.reasons, decision.Reason.String())
	t.request.trace.recordDecision(&decision)
	return &target{engine: engine, work: r.Work, expected: decision.ExpectedFirstToken}, decision, true
}

// chooseGroup sets the version that the request runs on. Once the request may have run,
// the version is kept, also if another order has come meanwhile: the version that was being
// introduced may be the one in force then, and another one be introduced.
func (g *Gateway) chooseGroup(t *task, engines *Engines, now time.Time) {
	if t.runs == 0 {
		t.trial = g.Introductions.Choose(t.service, t.session, now)
	} else {
		t.trial = !engines.serves(Group(t.service, false), t.ranVersion) && engines.serves(Group(t.service, true), t.ranVersion)
	}
	if t.trial && !t.answer.begun() && g.Quarantine.Suspicion(t.content).Crashes > 0 {
		// The version in force shows whether the request or the new version crashes engines.
		t.trial = false
	}
	t.group = Group(t.service, t.trial)
	if t.trial && engines.Plan.Serving(t.group) == 0 {
		t.useBaseVersion()
	}
}

// useBaseVersion moves the request to the version in force.
func (t *task) useBaseVersion() {
	t.trial = false
	t.group = Group(t.service, false)
}

// chooseUnsuspected chooses an engine at a location whose list of engines is not suspected
// to be outdated. If there is none, it chooses among all engines.
func (g *Gateway) chooseUnsuspected(t *task, engines *Engines, r *balance.Request, now time.Time) (balance.Decision, bool) {
	r.Skip = g.skipFilter(t, engines, now)
	if !g.mismatches.any.Load() {
		return g.chooseSendable(engines, r, now)
	}
	unsuspected := *r
	unsuspected.Skip = func(engine string) bool {
		e, known := engines.View.Engine(engine)
		return r.Skip(engine) || known && g.mismatches.suspect(location{t.service, e.DataCentre}, now)
	}
	if decision, ok := g.chooseSendable(engines, &unsuspected, now); ok {
		return decision, true
	}
	return g.chooseSendable(engines, r, now)
}

// skipFilter returns a filter of the engines that must not get the request now: cold ones
// and ones with a request limit that have had their share of this daemon's requests, and those
// outside the request's regions.
func (g *Gateway) skipFilter(t *task, engines *Engines, now time.Time) func(engine string) bool {
	return func(engine string) bool {
		if g.SlowStarts.Throttled(engine, now) || g.Limits.Throttled(engine, now) {
			return true
		}
		if !t.regions.Limited {
			return false
		}
		e, known := engines.View.Engine(engine)
		return !known || !t.regions.Allows(g.Regions[e.DataCentre])
	}
}

// maxTakes bounds how often an engine is chosen anew because a concurrent request took the
// last permit for the engine that was chosen.
const maxTakes = 4

// chooseSendable chooses an engine and acquires the permit to send to it, if it needs one.
func (g *Gateway) chooseSendable(engines *Engines, r *balance.Request, now time.Time) (decision balance.Decision, ok bool) {
	for range maxTakes {
		decision, ok = g.queryBalancer(engines, r, now)
		if !ok || g.takePermit(decision.Engine.GetName(), now) {
			return decision, ok
		}
	}
	decision.Reason = balance.ReasonNoEngine
	return decision, false
}

// takePermit acquires the permits to send one request to an engine. The permit of a slow start
// is lost if the engine's request limit allows no request.
func (g *Gateway) takePermit(engine string, now time.Time) bool {
	return g.SlowStarts.Take(engine, now) && g.Limits.Take(engine, now)
}

// queryBalancer returns the balancer's choice. It acquires no permit and sends nothing.
func (g *Gateway) queryBalancer(engines *Engines, r *balance.Request, now time.Time) (decision balance.Decision, ok bool) {
	g.withRand(func(rng *rand.Rand) { decision, ok = g.Engines.Choose(engines.Plan, r, now, rng) })
	return decision, ok
}

// mayReuseEngines reports whether engines that were tried may be tried again. This is the
// case if the request cannot have run yet or may run twice.
func (t *task) mayReuseEngines() bool { return t.ran == failure.RanNo || t.route.Repeatable() }

// balanceRequest returns the description of the request for the balancer.
func (t *task) balanceRequest(dataCentre string, engines *Engines, models *ModelChoice) *balance.Request {
	r := &balance.Request{
		Version: t.group, DataCentre: dataCentre, Work: t.work(models),
		PrefixHash: t.prefixHash, PrefixWorth: time.Duration(t.prefixTokens) * prefixTokenWorth, NoProbe: t.route.Kind == route.AtMostOnce,
	}
	if home, ok := engines.home(t.group, t.prefix, t.prefixHomes, t.session); ok {
		r.Homes[0] = home
	}
	first := max(0, len(t.tried)-balance.MaxExclude)
	copy(r.Exclude[:], t.tried[first:])
	return r
}
