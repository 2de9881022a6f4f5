package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/dispatch"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// spareTicket holds the ticket for the attempt that is to follow one at a silent engine. It is
// acquired before the silent engine is abandoned: a request that gives up its place and is
// refused another one would fail for want of capacity. It is safe for concurrent use.
type spareTicket struct {
	mu     sync.Mutex
	held   *attemptTicket
	wait   dispatch.Wait
	closed bool
}

// put stores a ticket, and reports whether the request can still use it.
func (s *spareTicket) put(ticket *attemptTicket, wait dispatch.Wait) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.held != nil {
		return false
	}
	s.held, s.wait = ticket, wait
	return true
}

// take removes the ticket, nil if there is none.
func (s *spareTicket) take() (*attemptTicket, dispatch.Wait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ticket := s.held
	s.held = nil
	return ticket, s.wait
}

// keep ends what was acquired for the next attempt, as the present one goes on.
func (t *task) keep() {
	t.budgetTaken.Store(false)
	ticket, _ := t.spare.take()
	ticket.end(scheduler.Canceled)
}

// close ends the ticket if it was not needed, and prevents another one from being stored.
func (s *spareTicket) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	ticket, _ := s.take()
	ticket.end(scheduler.Canceled)
}

// abandonCheck returns the function that decides whether the attempt may be abandoned because
// its engine is silent. Without another engine that can take the request, abandoning it would
// lose the engine's work and end the request. Silence may be the wait in the engine's queue, so
// another engine must have a free slot.
func (g *Gateway) abandonCheck(ctx context.Context, t *task, to *target) func() bool {
	engines, dispatcher := g.Tables().Engines, g.dispatcher()
	if dispatcher == nil || engines == nil {
		return func() bool { return g.mayGiveUp(t) }
	}
	// The function runs in another goroutine, so it must not read what attempts change.
	tried := slices.Clone(t.tried)
	next := g.dispatchRequest(t, time.Now())
	next.Class, next.Key, next.Tried = scheduler.Repeated, 0, append(slices.Clone(t.failedAt), to.engine.Key())
	probe := t.balanceRequest(g.DataCentre, engines, g.Models)
	probe.NoProbe = true
	probe.Exclude = [balance.MaxExclude]string{to.engine.Key()}
	return func() bool {
		if !g.engineUsable(t, *probe) || !dispatcher.FreeEngine(next.Service, tried) {
			return false
		}
		if !dispatcher.Contended(next.Service) {
			return g.mayGiveUp(t)
		}
		return g.reserveNext(ctx, t, next)
	}
}

// reserveNext acquires the ticket and the budget for an attempt after one at a silent engine, and
// reports whether it did. It blocks for minQueueWait and the grace of the Dispatcher at most. It uses only those fields of t that do not change.
func (g *Gateway) reserveNext(ctx context.Context, t *task, next dispatch.Request) bool {
	if !g.budgets.forService(t.service).Ready(time.Now()) {
		return false
	}
	next.MaxWait = minQueueWait
	granted, wait, f := g.Dispatcher.Acquire(ctx, next)
	if f != nil {
		return false
	}
	ticket := &attemptTicket{ticket: granted, contended: wait.Contended}
	if !t.spare.put(ticket, wait) {
		ticket.end(scheduler.Canceled)
		return false
	}
	if !g.mayGiveUp(t) {
		unused, _ := t.spare.take()
		unused.end(scheduler.Canceled)
		return false
	}
	return true
}

// engineUsable reports whether the balancer finds an engine for a request now. It uses only
// those fields of t that do not change.
func (g *Gateway) engineUsable(t *task, r balance.Request) bool {
	engines, now := g.Tables().Engines, time.Now()
	if engines == nil {
		return false
	}
	r.Skip = g.skipFilter(t, engines, now)
	_, ok := g.queryBalancer(engines, &r, now)
	return ok
}
