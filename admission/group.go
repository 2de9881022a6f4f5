package admission

import (
	"context"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
)

// startResult tells a waiting request how its wait ended.
type startResult int

const (
	started startResult = iota
	pushedOut
)

// group is the queue of the engines of one pool that serve one version.
type group struct {
	mu    sync.Mutex
	queue *Queue
}

// offer decides on a new request and wakes the one it pushed out, if any.
func (g *group) offer(now, deadline time.Time, it *Item) (Decision, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, after, evicted := g.queue.Offer(now, deadline, it)
	if d == WaitTurn {
		it.ready = make(chan startResult, 1)
	}
	if evicted != nil {
		evicted.ready <- pushedOut
	}
	return d, after
}

// wait returns when the request has its slot, or with the refusal. The wait
// ends at the latest start that was set when the request was queued.
func (g *group) wait(ctx context.Context, it *Item) *failure.Error {
	timer := time.NewTimer(time.Until(it.latest))
	defer timer.Stop()
	select {
	case result := <-it.ready:
		return g.waited(result, it)
	case <-timer.C:
		if !g.withdraw(it) {
			return g.waited(<-it.ready, it)
		}
		return failure.New(failure.CodeNoCapacity, failure.RanNo, "no capacity became free in time").
			WithRetryAfter(g.waitAdvice(time.Now(), it))
	case <-ctx.Done():
		if !g.withdraw(it) && <-it.ready == started {
			g.release(time.Now(), it, 0, 0)
		}
		return failure.Wrap(ctx.Err(), failure.CodeDeadlinePassed, failure.RanNo, "caller stopped waiting for capacity")
	}
}

// waited turns the end of a wait into its outcome.
func (g *group) waited(result startResult, it *Item) *failure.Error {
	if result == started {
		return nil
	}
	return failure.New(failure.CodeNoCapacity, failure.RanNo, "queue is full").WithRetryAfter(g.waitAdvice(time.Now(), it))
}

// withdraw takes a request out that gives up waiting. It reports false when
// the request has been started or pushed out meanwhile.
func (g *group) withdraw(it *Item) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Remove(it)
}

// waitAdvice estimates the wait of a request like it, as advice to its caller.
func (g *group) waitAdvice(now time.Time, it *Item) time.Duration {
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

// setSlots changes the capacity and starts the requests that now fit.
func (g *group) setSlots(now time.Time, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.slots = slots
	g.startLocked(now)
}

// setRoom changes the bound on bulk requests and starts those that now fit.
func (g *group) setRoom(now time.Time, r Room) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetBulkLimit(r)
	g.startLocked(now)
}

func (g *group) startLocked(now time.Time) {
	for it := g.queue.Next(now); it != nil; it = g.queue.Next(now) {
		it.ready <- started
	}
}
