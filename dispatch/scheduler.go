package dispatch

import (
	"fmt"
	"time"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

// Scheduler orders the requests of one service. It is called with a lock held, and not
// concurrently. A grant counts as running until Returned or Requeue.
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
	// SetRunning replaces the running requests of a daemon by the hash of their engine, without
	// its grants. Hash 0 stands for requests whose engine is not chosen yet. The map is not kept.
	SetRunning(now time.Time, daemon string, running map[uint32]int)
	// Ended reports a finished run, to learn from it. It does not change the running counts.
	Ended(now time.Time, f scheduler.Finished)
	// Next returns the next grant, or false if there is none at this time.
	Next(now time.Time) (scheduler.Grant, bool)
	// Refusals returns the refusals since the last call.
	Refusals(now time.Time) []scheduler.Refusal
	// Requeue returns a granted request that was not started to its old position. It does
	// not count as running any more.
	Requeue(now time.Time, id scheduler.ID)
	// Returned ends a grant whose request is among the running ones of its daemon from now on, or
	// was not sent.
	Returned(now time.Time, id scheduler.ID)
	// RemoveDaemon removes the waiting and running requests of a daemon.
	RemoveDaemon(now time.Time, daemon string)
	// Wake returns when time alone may lead to a grant or refusal, zero for never.
	Wake(now time.Time) time.Time
	Status(now time.Time) scheduler.Status
}

// NewScheduler returns a function that creates Schedulers of package scheduler with the given
// options. It returns an error if they are not valid.
func NewScheduler(o scheduler.Options) (func() Scheduler, error) {
	if err := o.Validate(); err != nil {
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	return func() Scheduler {
		s, err := scheduler.New(o)
		if err != nil {
			panic(err) // The options are valid.
		}
		return &ordering{s: s}
	}, nil
}

// ordering implements Scheduler by package scheduler.
type ordering struct {
	s *scheduler.Scheduler
	// refused holds requests that were refused when they were offered.
	refused []scheduler.Refusal
}

func (o *ordering) SetEngines(now time.Time, engines []scheduler.Engine) {
	o.s.SetEngines(now, engines)
}

func (o *ordering) SetShare(_ time.Time, share float64) { o.s.SetShare(share) }

func (o *ordering) Offer(now time.Time, r scheduler.Request) {
	if refusal, refused := o.s.Offer(now, r); refused {
		o.refused = append(o.refused, refusal)
	}
}

func (o *ordering) Withdraw(_ time.Time, id scheduler.ID) { o.s.Withdraw(id) }

// noGrant is a serial number below that of any grant, by which SetRunning leaves all grants of the
// daemon in place.
const noGrant = 0

func (o *ordering) SetRunning(_ time.Time, daemon string, running map[uint32]int) {
	o.s.SetRunning(daemon, running, noGrant)
}

// Ended implements Scheduler. The daemon is not named, as its running requests are replaced next.
func (o *ordering) Ended(now time.Time, f scheduler.Finished) { o.s.Ended(now, "", f) }

func (o *ordering) Next(now time.Time) (scheduler.Grant, bool) { return o.s.Next(now) }

func (o *ordering) Refusals(now time.Time) []scheduler.Refusal {
	refused := append(o.refused, o.s.Refusals(now)...)
	o.refused = nil
	return refused
}

func (o *ordering) Requeue(now time.Time, id scheduler.ID) { o.s.Requeue(now, id) }

func (o *ordering) Returned(_ time.Time, id scheduler.ID) { o.s.Returned(id) }

func (o *ordering) RemoveDaemon(_ time.Time, daemon string) { o.s.RemoveDaemon(daemon) }

func (o *ordering) Wake(now time.Time) time.Time {
	if len(o.refused) > 0 {
		return now
	}
	return o.s.Wake(now)
}

func (o *ordering) Status(now time.Time) scheduler.Status { return o.s.Status(now) }
