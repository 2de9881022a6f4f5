package admission

import (
	"context"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
)

// waitResult is the outcome of a request's wait for a slot.
type waitResult int

const (
	resultStarted waitResult = iota
	resultEvicted
)

// group guards the queue for the engines of one pool that serve one version.
type group struct {
	mu    sync.Mutex
	queue *Queue
}

// offer decides on a new request and wakes the request evicted for it, if any.
func (g *group) offer(now, deadline time.Time, it *Item) (Decision, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, after, evicted := g.queue.Offer(now, deadline, it)
	if d == WaitTurn {
		it.ready = make(chan waitResult, 1)
	}
	if evicted != nil {
		evicted.ready <- resultEvicted
	}
	return d, after
}

// wait blocks until the request has a slot, and returns nil then, or the refusal.
// It ends at the latest start that was set when the request was queued.
func (g *group) wait(ctx context.Context, it *Item) *failure.Error {
	timer := time.NewTimer(time.Until(it.latestStart))
	defer timer.Stop()
	select {
	case result := <-it.ready:
		return g.waitOutcome(result, it)
	case <-timer.C:
		if !g.cancelWait(it) {
			return g.waitOutcome(<-it.ready, it)
		}
		return failure.New(failure.CodeNoCapacity, failure.RanNo, "no capacity became free in time").
			WithRetryAfter(g.retryAfter(time.Now(), it))
	case <-ctx.Done():
		if !g.cancelWait(it) && <-it.ready == resultStarted {
			g.release(time.Now(), it, 0, 0)
		}
		return failure.Wrap(ctx.Err(), failure.CodeDeadlinePassed, failure.RanNo, "caller stopped waiting for capacity")
	}
}

// waitOutcome converts the result of a wait to an error, nil for a start.
func (g *group) waitOutcome(result waitResult, it *Item) *failure.Error {
	if result == resultStarted {
		return nil
	}
	return failure.New(failure.CodeNoCapacity, failure.RanNo, "queue is full").WithRetryAfter(g.retryAfter(time.Now(), it))
}

// cancelWait removes a request from the queue. It reports false when the request
// has been started or evicted meanwhile.
func (g *group) cancelWait(it *Item) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Remove(it)
}

// retryAfter estimates the wait of an identical request, for the Retry-After of a
// refusal.
func (g *group) retryAfter(now time.Time, it *Item) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return clampRetry(g.queue.expectedWait(now, it.organisation, it.class, it.tokens))
}

// release frees a slot and starts the requests whose turn it is.
func (g *group) release(now time.Time, it *Item, tokens float64, held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Release(it, tokens, held)
	g.startLocked(now)
}

// setSlots changes the number of slots and starts the requests that now fit.
func (g *group) setSlots(now time.Time, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.slots = slots
	g.startLocked(now)
}

// setLoad changes the bound on bulk requests and starts those that now fit.
func (g *group) setLoad(now time.Time, l GroupLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetBulkLimit(l)
	g.startLocked(now)
}

// startLocked starts the requests that may start now. The caller holds mu.
func (g *group) startLocked(now time.Time) {
	for it := g.queue.Next(now); it != nil; it = g.queue.Next(now) {
		it.ready <- resultStarted
	}
}
