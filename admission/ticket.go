package admission

import (
	"sync/atomic"
	"time"
)

// Ticket is the admission of one request. Until Release, it counts against the
// limits of its organisation and occupies a slot of its group.
type Ticket struct {
	controller *Controller
	shard      *accountShard
	account    *account
	group      *group
	item       Item
	charge     charge
	started    time.Time
	released   atomic.Bool
}

// WaitTime returns the time from since until the request got its slot.
func (t *Ticket) WaitTime(since time.Time) time.Duration { return t.started.Sub(since) }

// Release ends the admission and settles the actual usage of the request. Only the
// first call has an effect.
func (t *Ticket) Release(used ActualUsage) {
	if !t.released.CompareAndSwap(false, true) {
		return
	}
	now := time.Now()
	tokens := float64(max(used.Tokens, 0))
	if t.account != nil {
		t.shard.mu.Lock()
		t.account.settle(now, t.charge, tokens, float64(max(used.CostMicros, 0)))
		t.shard.mu.Unlock()
	}
	if t.group != nil {
		t.group.release(now, &t.item, tokens, now.Sub(t.started))
	}
}

// refund reverses the charge of a request that got no slot.
func (t *Ticket) refund(now time.Time) {
	if t.account == nil {
		return
	}
	t.shard.mu.Lock()
	defer t.shard.mu.Unlock()
	t.account.refund(now, t.charge)
}
