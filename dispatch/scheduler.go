package dispatch

import (
	"time"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

// Scheduler is the part of package scheduler that this package uses. It is called with a lock
// held, and not concurrently. A grant counts as running until SetRunning of its daemon.
type Scheduler interface {
	// SetEngines replaces the engines of the service.
	SetEngines(now time.Time, engines []scheduler.Engine)
	// SetShare sets the share of the capacity that may be used, above 0 and at most 1. The room
	// is rounded up, so it is at least 1 if there is any capacity.
	SetShare(now time.Time, share float64)
	// Offer adds a request that waits. An ID is offered once, unless it was withdrawn.
	Offer(now time.Time, r scheduler.Request)
	// Withdraw removes a request that waits. It has no effect on an unknown one.
	Withdraw(now time.Time, id scheduler.ID)
	// SetRunning replaces the running requests of a daemon by the hash of their engine. Hash 0
	// stands for requests whose engine is not chosen yet. The map is not kept.
	SetRunning(now time.Time, daemon string, running map[uint32]int)
	// Ended reports a finished run, to learn from it. It does not change the running counts.
	Ended(now time.Time, f scheduler.Finished)
	// Next returns the next grant, or false if there is none at this time.
	Next(now time.Time) (scheduler.Grant, bool)
	// Refusals returns the refusals since the last call.
	Refusals(now time.Time) []scheduler.Refusal
	// Requeue returns a granted request that was not started to its old position. Its running
	// count ends.
	Requeue(now time.Time, id scheduler.ID)
	// RemoveDaemon removes the waiting and running requests of a daemon.
	RemoveDaemon(now time.Time, daemon string)
	// Wake returns when time alone may lead to a grant or refusal, zero for never.
	Wake(now time.Time) time.Time
	Status() scheduler.Status
}
