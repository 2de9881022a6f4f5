package gateway

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/dispatch"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/retry"
	"github.com/bronzeturn/bronzeturn/route"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// Dispatcher orders the attempts at contended services, whose demand is near or above the
// capacity of their engines. All methods are safe for concurrent use.
type Dispatcher interface {
	// Acquire waits for the ticket of one attempt. The failure of a refused request states
	// that it has not run.
	Acquire(ctx context.Context, r dispatch.Request) (dispatch.Ticket, dispatch.Wait, *failure.Error)
	// NoEngine records that an attempt found no engine because all were busy.
	NoEngine(service string)
	// Contended reports whether a service is contended.
	Contended(service string) bool
	// FreeEngine reports whether an engine other than those in except has a free slot.
	FreeEngine(service string, except []string) bool
}

// dispatcher returns the Dispatcher, or nil if load is not scheduled.
func (g *Gateway) dispatcher() Dispatcher {
	if !g.schedulesLoad() {
		return nil
	}
	return g.Dispatcher
}

// attemptTicket is the ticket of one attempt. A nil *attemptTicket is the ticket of a gateway
// without a Dispatcher. It must not be used concurrently.
type attemptTicket struct {
	ticket dispatch.Ticket
	// contended is set if the attempt waited for its turn.
	contended bool
	// requeued is set if the request went back to the queue before.
	requeued bool
	ended    bool
}

// engine returns the key of the engine that the ticket names, "" for none.
func (a *attemptTicket) engine() string {
	if a == nil {
		return ""
	}
	return a.ticket.Engine()
}

// sent records the engine that the attempt is sent to.
func (a *attemptTicket) sent(engine string) {
	if a != nil {
		a.ticket.Sent(engine)
	}
}

// setRequeued sets whether the request went back to the queue before.
func (a *attemptTicket) setRequeued(requeued bool) {
	if a != nil {
		a.requeued = requeued
	}
}

// end records the end of the attempt. Calls after the first have no effect.
func (a *attemptTicket) end(o scheduler.Outcome) {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	a.ticket.Done(o)
}

// maxRequeues bounds how often an attempt goes back to the Dispatcher because the balancer
// found all engines busy.
const maxRequeues = 2

// attemptOnce makes one attempt: it waits for a ticket, chooses an engine and sends the
// request. The failure is set if the request ends without an attempt.
func (g *Gateway) attemptOnce(ctx context.Context, t *task) (*target, *attemptError, *failure.Error) {
	to, f := g.chooseInTurn(ctx, t)
	if f != nil {
		return nil, nil, f
	}
	defer to.ticket.end(scheduler.Canceled) // If the attempt panics.
	failed := g.sendOnce(ctx, t, to)
	to.ticket.end(outcomeOf(ctx, t, to, failed))
	return to, failed, nil
}

// chooseInTurn waits for a ticket and chooses an engine. If all engines are busy, the request
// goes back to the queue of its service rather than compete with requests behind it.
func (g *Gateway) chooseInTurn(ctx context.Context, t *task) (*target, *failure.Error) {
	for requeues := 0; ; requeues++ {
		ticket, f := g.acquire(ctx, t)
		if f != nil {
			return nil, f
		}
		ticket.setRequeued(requeues > 0)
		to, busy, f := g.choose(ctx, t, ticket)
		if f == nil {
			to.ticket = ticket
			return to, nil
		}
		ticket.end(scheduler.Canceled)
		if !busy || ticket == nil || requeues == maxRequeues {
			return nil, g.withoutCapacity(t, f)
		}
	}
}

// acquire waits for the ticket of the next attempt.
func (g *Gateway) acquire(ctx context.Context, t *task) (*attemptTicket, *failure.Error) {
	dispatcher := g.dispatcher()
	if dispatcher == nil {
		return nil, nil
	}
	if spare, wait := t.spare.take(); spare != nil {
		t.request.trace.recordWait(&wait)
		return spare, nil
	}
	ticket, wait, f := dispatcher.Acquire(ctx, g.dispatchRequest(t, time.Now()))
	t.request.trace.recordWait(&wait)
	if f == nil {
		return &attemptTicket{ticket: ticket, contended: wait.Contended}, nil
	}
	if ended := g.checkTimeLeft(ctx, t); ended != nil && ctx.Err() != nil {
		return nil, ended
	}
	return nil, g.withoutCapacity(t, f)
}

// withoutCapacity returns the failure of a request that no engine can take. If an earlier
// attempt may have run, the request fails with that attempt: a refusal would state that it
// has not run.
func (g *Gateway) withoutCapacity(t *task, f *failure.Error) *failure.Error {
	if g.dispatcher() == nil || f.Code != failure.CodeNoCapacity || t.ran == failure.RanNo || t.lastError == nil {
		return f
	}
	return failure.Wrap(t.lastError, failure.CodeEngineFailed, t.ran, "the engine did not answer; the request may have run")
}

// noteBusy records that no engine takes the request now, and reports whether the request should
// wait in the queue of its service. A request that has been there polls for an engine first, as
// one is about to become free.
func (g *Gateway) noteBusy(t *task, ticket *attemptTicket, reason balance.Reason) bool {
	if ticket == nil || reason != balance.ReasonNoEngine || t.trial || t.regions.Limited {
		return false // The few engines of a new version or a region say nothing about the service.
	}
	if _, throttled := g.awaitedPermits(t, time.Now()); throttled {
		return false // The engines are not busy, but accept only a limited rate.
	}
	g.Dispatcher.NoEngine(t.service)
	return !ticket.contended && !ticket.requeued
}

// dispatchRequest describes the next attempt for the Dispatcher.
func (g *Gateway) dispatchRequest(t *task, now time.Time) dispatch.Request {
	first, whole := g.slotTime(t)
	if t.route.Kind != route.Stream {
		first = whole
	}
	class, key := t.class(), uint64(0)
	if class == scheduler.First {
		key = binary.BigEndian.Uint64(t.content.Request[:]) // Other attempts are not refused to the caller.
	}
	return dispatch.Request{
		Service: t.service, Organisation: t.organisation, Rank: t.priority, Work: whole,
		Key: key, Class: class, MaxWait: t.maxWait(first, whole, now), Deadline: t.deadline,
		Tried: g.failedEngines(t), OwnChoice: t.runsModels || t.regions.Limited || g.Quarantine.Suspicion(t.content).Crashes > 0,
	}
}

// class returns the class of the next attempt. An attempt that an engine refused without
// running it does not make the next one a repetition.
func (t *task) class() scheduler.Class {
	switch {
	case t.route.Kind == route.Stream && t.route.Resumable && t.stream.lastID != "":
		return scheduler.Resumed
	case t.answer.begun():
		return scheduler.Resumed
	case t.runs > 0:
		return scheduler.Repeated
	}
	return scheduler.First
}

// Bounds of the time that a request may wait for its turn. Below minQueueWait, a request to a
// service whose work takes as long as its target would be refused by any short burst. Above
// maxQueueWait, a refused caller would have no time left to return.
const (
	minQueueWait = 50 * time.Millisecond
	maxQueueWait = 400 * time.Millisecond
)

// maxWait returns how long the request may wait for its next turn. first is the expected time
// in a slot until the route's target is met, whole the expected time until the end. The time
// that the request has already waited since it may last have run counts. A request that may
// have run waits as long as it can be answered before its deadline, since it cannot be refused
// any more: it would fail for want of capacity. A stream that has begun waits at least as long as
// a pause may last, rather than break off.
func (t *task) maxWait(first, whole time.Duration, now time.Time) time.Duration {
	if t.queuedSince.IsZero() {
		t.queuedSince = now
	}
	wait := maxQueueWait
	if t.route.Target > 0 {
		wait = min(max(t.route.Target-first, minQueueWait), maxQueueWait)
	}
	wait = max(wait-now.Sub(t.queuedSince), minQueueWait)
	switch {
	case t.answer.begun():
		wait = max(wait, t.route.MaxPause)
	case t.runs > 0:
		wait = t.deadline.Sub(now)
	}
	limit := t.deadline.Sub(now) - whole
	if t.answer.begun() || t.runs > 0 {
		limit = t.deadline.Sub(now) - minAttempt // It cannot be refused, and only a part may be missing.
	}
	return max(min(wait, limit), 0)
}

// failedEngines returns the engines that must not get the request again: those at which it
// failed, unless there is no other engine. Engines that refused it as full may get it again.
func (g *Gateway) failedEngines(t *task) []string {
	if len(t.failedAt) == 0 {
		return nil
	}
	if engines := g.Tables().Engines; engines != nil {
		if set, known := engines.members[t.group]; known && len(t.failedAt) >= set.Len() {
			return nil
		}
	}
	return slices.Clone(t.failedAt)
}

// preferEngine makes the balancer choose the engine that the ticket names, if it is usable.
func preferEngine(r *balance.Request, engine string) {
	if engine == "" || r.Candidates[0] != "" {
		return
	}
	r.Candidates[0] = engine
	for i := range r.Exclude {
		if r.Exclude[i] == engine {
			r.Exclude[i] = "" // It refused the request as full, and has room since.
		}
	}
}

// outcomeOf returns the outcome of an attempt for the Dispatcher.
func outcomeOf(ctx context.Context, t *task, to *target, e *attemptError) scheduler.Outcome {
	switch {
	case e == nil || e.Kind == retry.KindRejected:
		return scheduler.Answered
	case e.Kind == retry.KindRefused && !to.leaving:
		return scheduler.Full
	case e.Kind == retry.KindDoubted || e.Kind == retry.KindCancelled && !silentUntilDeadline(ctx, t, to):
		return scheduler.Canceled
	}
	return scheduler.Failed
}
