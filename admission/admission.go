package admission

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Request describes a request to be admitted.
type Request struct {
	// Organisation is the authenticated caller.
	Organisation string
	Priority     bronzeturnv1.Priority
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Tokens is the expected number of prompt and completion tokens.
	Tokens int64
	// Group names the engines that can serve the request, see GroupName.
	Group string
	// CostMicros is the expected cost in micro-units of currency.
	CostMicros int64
}

// ActualUsage is what a finished request used. It replaces the estimates in the
// Request. The zero value is that of a request that never ran.
type ActualUsage struct {
	Tokens     int64
	CostMicros int64
}

// GroupName returns the name of the group of a pool's engines that serve a
// version.
func GroupName(pool, version string) string { return pool + "/" + version }

// Controller admits requests on one daemon. Its methods may be called from
// many goroutines.
type Controller struct {
	options Options
	shards  []accountShard
	live    atomic.Int64
	groups  sync.Map // group name to *group
	metrics *metrics
	fleet   *fleet
}

// New returns a Controller without limits and groups. The error lists every
// invalid option.
func New(options Options) (*Controller, error) {
	options = options.withDefaults()
	if err := options.validate(); err != nil {
		return nil, fmt.Errorf("admission options: %w", err)
	}
	c := &Controller{options: options, shards: newAccountShards()}
	c.live.Store(1)
	c.metrics = newMetrics(options.Registerer)
	c.fleet = newFleet(c)
	return c, nil
}

// SetCapacity sets how many requests of the group this daemon may have in
// progress. A group whose capacity was never set is not bounded; with zero slots
// every request is refused.
func (c *Controller) SetCapacity(groupName string, slots int) {
	if g, ok := c.groups.Load(groupName); ok {
		g.(*group).setSlots(time.Now(), max(slots, 0))
		return
	}
	fresh := &group{queue: NewQueue(max(slots, 0), c.options.SlotTokensPerSecond)}
	if g, loaded := c.groups.LoadOrStore(groupName, fresh); loaded {
		g.(*group).setSlots(time.Now(), max(slots, 0))
	}
}

// SetGroupLoad sets the load that the engines of a group last reported, which
// bounds this daemon's bulk requests. Call it about once a second. Until the first
// call, the bulk requests of a group are bounded by its slots alone.
func (c *Controller) SetGroupLoad(groupName string, l GroupLoad) {
	if g, ok := c.groups.Load(groupName); ok {
		g.(*group).setLoad(time.Now(), l)
	}
}

// RemoveGroup removes a group that no engine serves any more. Requests that wait
// in its queue stay there until they start or time out.
func (c *Controller) RemoveGroup(groupName string) { c.groups.Delete(groupName) }

// Acquire admits a request, or refuses it with a *failure.Error that carries a
// retry time: limit_exceeded, spend_exceeded, no_capacity or deadline_passed. A
// refused request did not run. A request may wait for a slot, but never longer
// than half of the time to its deadline.
//
// Every Ticket must be released exactly once.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Ticket, error) {
	now := time.Now()
	if !now.Before(r.Deadline) {
		return nil, c.refuse(failure.New(failure.CodeDeadlinePassed, failure.RanNo, "deadline passed before admission"))
	}
	t := &Ticket{
		controller: c,
		charge:     charge{tokens: float64(max(r.Tokens, 0)), cost: float64(max(r.CostMicros, 0))},
	}
	if err := c.chargeLimits(now, r.Organisation, t); err != nil {
		return nil, c.refuse(err)
	}
	if err := c.enterGroup(ctx, now, r, t); err != nil {
		t.refund(time.Now())
		return nil, c.refuse(err)
	}
	return t, nil
}

// chargeLimits charges the organisation's account, if it has a limit.
func (c *Controller) chargeLimits(now time.Time, organisation string, t *Ticket) *failure.Error {
	shard := c.shard(organisation)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	a := shard.accounts[organisation]
	if a == nil {
		return nil
	}
	if err := a.admit(now, t.charge); err != nil {
		a.schedule(now)
		return err
	}
	t.shard, t.account = shard, a
	a.schedule(now)
	return nil
}

// enterGroup takes a slot of the group, waiting for one if necessary.
func (c *Controller) enterGroup(ctx context.Context, now time.Time, r Request, t *Ticket) *failure.Error {
	value, ok := c.groups.Load(r.Group)
	if !ok {
		t.started = now
		return nil
	}
	g := value.(*group)
	it := &t.item
	it.organisation = r.Organisation
	it.class = classOf(r.Priority)
	it.tokens = t.charge.tokens
	d, after := g.offer(now, r.Deadline, it)
	switch d {
	case Refuse:
		return failure.New(failure.CodeNoCapacity, failure.RanNo, "no capacity before the deadline").WithRetryAfter(after)
	case WaitTurn:
		if err := g.wait(ctx, it); err != nil {
			return err
		}
		now = time.Now()
	}
	t.group = g
	t.started = now
	return nil
}

// refuse counts a refusal and returns it.
func (c *Controller) refuse(err *failure.Error) error {
	c.metrics.refused(err.Code)
	return err
}
