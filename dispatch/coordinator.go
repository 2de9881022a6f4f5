package dispatch

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

const (
	// enginesInterval is how often the engines of a service are read while it is contended.
	enginesInterval = 100 * time.Millisecond
	// busyShare is the share of the capacity in use from which a service stays contended.
	busyShare = 0.8
	// tickInterval is the greatest time between two decisions. It is less than the time that a
	// daemon waits for an answer, so that it is left out before it decides alone.
	tickInterval = 50 * time.Millisecond
	// expireInterval is how often a coordinator looks for daemons that have become silent.
	expireInterval = 10 * time.Millisecond
	// settleTime is how long a coordinator that takes over waits for the first calls of all
	// daemons before it decides. They notice the change within ownerInterval. Grants of its
	// predecessor would otherwise be unknown to it.
	settleTime = 2 * ownerInterval
	// minShare is the least share of the capacity that a coordinator uses. It gives room for one
	// request, since the room is rounded up.
	minShare = 1e-6
	// maxHold limits the time that a caller may have its call held.
	maxHold = time.Second
	// maxFree is the number of free engines that an answer names.
	maxFree = 4
)

// coordinator decides on the requests of all daemons to a service. Its queue is nil while this
// daemon does not coordinate the service, or no daemon has called recently.
type coordinator struct {
	service *service

	mu        sync.Mutex
	queue     *queue
	enginesAt time.Time
	// settled is when it decides even if some daemons have not called.
	settled time.Time
	timer   *time.Timer
}

// Sync implements bronzeturnv1connect.DispatchServiceHandler.
func (d *Dispatcher) Sync(ctx context.Context, r *connect.Request[bronzeturnv1.SyncRequest]) (*connect.Response[bronzeturnv1.SyncResponse], error) {
	if !d.knows(r.Msg.GetService()) {
		return connect.NewResponse(&bronzeturnv1.SyncResponse{}), nil
	}
	return connect.NewResponse(d.service(r.Msg.GetService()).coordinator.sync(ctx, r.Msg)), nil
}

// sync applies a message and holds the call until there is a decision.
func (c *coordinator) sync(ctx context.Context, m *bronzeturnv1.SyncRequest) *bronzeturnv1.SyncResponse {
	held, answer, announce := c.apply(m, time.Now())
	if announce {
		c.service.announce(time.Now())
	}
	if held == nil {
		return answer
	}
	timer := time.NewTimer(min(time.Duration(m.GetHoldMs())*time.Millisecond, maxHold))
	defer timer.Stop()
	select {
	case answer := <-held:
		return answer
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.abandon(m.GetDaemon(), held)
}

// apply applies a message and decides. It returns an answer, or a channel that receives it.
// announce is set if the service is still contended.
func (c *coordinator) apply(m *bronzeturnv1.SyncRequest, now time.Time) (held chan *bronzeturnv1.SyncResponse, answer *bronzeturnv1.SyncResponse, announce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.coordinates() {
		c.stop()
		return nil, &bronzeturnv1.SyncResponse{}, false
	}
	if c.queue == nil {
		c.queue = newQueue(c.service.d.NewScheduler())
		c.enginesAt, c.settled = time.Time{}, time.Time{}
		if m.GetMoved() {
			c.settled = now.Add(settleTime)
		}
	}
	c.readEngines(now)
	mb := c.queue.apply(m, now)
	if mb == nil {
		return nil, outdated(), false
	}
	mb.release(outdated())
	announce = c.decide(now)
	answer, decided := c.queue.answer(mb, now)
	if decided || m.GetHoldMs() == 0 {
		return nil, answer, announce
	}
	mb.held = make(chan *bronzeturnv1.SyncResponse, 1)
	return mb.held, nil, announce
}

// abandon ends a call that is held. It returns its answer.
func (c *coordinator) abandon(daemon string, held chan *bronzeturnv1.SyncResponse) *bronzeturnv1.SyncResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case answer := <-held:
		return answer
	default:
	}
	if c.queue != nil {
		if mb := c.queue.members[daemon]; mb != nil && mb.held == held {
			mb.held = nil
			answer, _ := c.queue.answer(mb, time.Now())
			return answer
		}
	}
	return outdated()
}

func (c *coordinator) coordinates() bool {
	return c.service.d.Coordinator(c.service.name) == c.service.d.Self
}

// readEngines reads the engines, at most once per enginesInterval.
func (c *coordinator) readEngines(now time.Time) {
	if now.Sub(c.enginesAt) >= enginesInterval {
		c.enginesAt = now
		c.queue.setEngines(c.service.d.Engines(c.service.name), now)
	}
}

// decide has the Scheduler decide, and answers held calls that have decisions. It reports
// whether the service is still contended.
func (c *coordinator) decide(now time.Time) bool {
	live := c.service.d.live()
	c.queue.expire(heardIntervals*keepInterval(live), live, now)
	share := c.queue.share
	if c.queue.members[c.service.d.Self] == nil {
		share += 1 / float64(live)
	}
	c.queue.sched.SetShare(now, min(max(share, minShare), 1))
	if now.Before(c.settled) && len(c.queue.members) < live {
		c.setTimer(now)
		return true
	}
	for _, mb := range c.queue.decide(now) {
		if mb.held == nil {
			continue
		}
		if answer, decided := c.queue.answer(mb, now); decided {
			mb.release(answer)
		}
	}
	c.setTimer(now)
	return c.queue.undecided > 0 || float64(c.queue.inProgress) > busyShare*float64(c.queue.slots)
}

// setTimer has tick called when time alone changes something.
func (c *coordinator) setTimer(now time.Time) {
	next := now.Add(tickInterval)
	if wake := c.queue.sched.Wake(now); !wake.IsZero() && wake.Before(next) {
		next = wake
	}
	after := max(next.Sub(now), time.Millisecond)
	if c.timer == nil {
		c.timer = time.AfterFunc(after, c.tick)
		return
	}
	c.timer.Reset(after)
}

// tick decides again after time has passed. It stops when no daemon is known any more.
func (c *coordinator) tick() {
	now := time.Now()
	if c.tickLocked(now) {
		c.service.announce(now)
	}
}

func (c *coordinator) tickLocked(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue == nil {
		return false
	}
	if !c.coordinates() || len(c.queue.members) == 0 || c.service.d.stopped.Load() {
		c.stop()
		return false
	}
	c.readEngines(now)
	return c.decide(now)
}

// stop forgets all daemons.
func (c *coordinator) stop() {
	if c.queue == nil {
		return
	}
	for _, mb := range c.queue.members {
		mb.release(&bronzeturnv1.SyncResponse{})
	}
	c.queue = nil
	if c.timer != nil {
		c.timer.Stop()
	}
}

// status returns the state of the service in the fleet, false if another daemon coordinates it.
func (c *coordinator) status() (scheduler.Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue == nil {
		return scheduler.Status{}, false
	}
	return c.queue.sched.Status(time.Now()), true
}
