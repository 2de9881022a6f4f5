package dispatch

import (
	"time"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

// Schedulers returns a function that creates Schedulers of package scheduler with the given
// options. An error means that the options are invalid.
func Schedulers(o scheduler.Options) (func() Scheduler, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return func() Scheduler {
		s, err := scheduler.New(o)
		if err != nil {
			panic(err) // The options have been validated.
		}
		return &adapter{
			s: s, waiting: make(map[scheduler.ID]scheduler.Request),
			granted: make(map[string]map[uint64]granted), running: make(map[string]map[uint32]int),
		}
	}, nil
}

// adapter implements Scheduler. The scheduler forgets a grant when the running counts of its
// daemon include it, while a grant that was not sent may still be returned to it. So the adapter
// keeps the requests that it needs for that.
type adapter struct {
	s       *scheduler.Scheduler
	waiting map[scheduler.ID]scheduler.Request
	// granted holds the granted requests by daemon and number until they could not start any
	// more.
	granted map[string]map[uint64]granted
	// running is what each daemon runs, grants included. serial is that of the last grant.
	running map[string]map[uint32]int
	serial  uint64
	// refused holds the refusals of offers until the next call of Refusals.
	refused []scheduler.Refusal
	now     time.Time // of the last call
}

// granted is a granted request and its engine.
type granted struct {
	request scheduler.Request
	engine  uint32
}

// SetEngines implements Scheduler.
func (a *adapter) SetEngines(now time.Time, engines []scheduler.Engine) {
	a.now = now
	a.s.SetEngines(now, engines)
}

// SetShare implements Scheduler.
func (a *adapter) SetShare(now time.Time, share float64) {
	a.now = now
	a.s.SetShare(share)
}

// Offer implements Scheduler.
func (a *adapter) Offer(now time.Time, r scheduler.Request) {
	a.now = now
	if refusal, refused := a.s.Offer(now, r); refused {
		a.refused = append(a.refused, refusal)
		return
	}
	a.waiting[r.ID] = r
}

// Withdraw implements Scheduler.
func (a *adapter) Withdraw(now time.Time, id scheduler.ID) {
	a.now = now
	delete(a.waiting, id)
	a.s.Withdraw(id)
}

// SetRunning implements Scheduler.
func (a *adapter) SetRunning(now time.Time, daemon string, running map[uint32]int) {
	a.now = now
	counts := make(map[uint32]int, len(running))
	for engine, n := range running {
		counts[engine] = n
	}
	a.running[daemon] = counts
	a.s.SetRunning(daemon, counts, a.serial)
	for number, g := range a.granted[daemon] {
		if g.request.StartBy.Before(now) {
			delete(a.granted[daemon], number)
		}
	}
}

// Ended implements Scheduler. Without the name of a daemon, the scheduler leaves the running
// counts as they are.
func (a *adapter) Ended(now time.Time, f scheduler.Finished) {
	a.now = now
	a.s.Ended(now, "", f)
}

// Next implements Scheduler.
func (a *adapter) Next(now time.Time) (scheduler.Grant, bool) {
	a.now = now
	g, ok := a.s.Next(now)
	if !ok {
		return g, false
	}
	a.serial = max(a.serial, g.Serial)
	daemon := g.ID.Daemon
	if a.granted[daemon] == nil {
		a.granted[daemon] = make(map[uint64]granted)
	}
	if a.running[daemon] == nil {
		a.running[daemon] = make(map[uint32]int)
	}
	a.granted[daemon][g.ID.Number] = granted{request: a.waiting[g.ID], engine: g.Engine}
	a.running[daemon][g.Engine]++
	delete(a.waiting, g.ID)
	return g, true
}

// Refusals implements Scheduler.
func (a *adapter) Refusals(now time.Time) []scheduler.Refusal {
	a.now = now
	refused := append(a.refused, a.s.Refusals(now)...)
	a.refused = nil
	for _, r := range refused {
		delete(a.waiting, r.ID)
	}
	return refused
}

// Requeue implements Scheduler. A grant that the scheduler does not know any more ends in the
// running counts, and its request is offered again.
func (a *adapter) Requeue(now time.Time, id scheduler.ID) {
	a.now = now
	g, known := a.granted[id.Daemon][id.Number]
	if !known {
		return
	}
	delete(a.granted[id.Daemon], id.Number)
	if running := a.running[id.Daemon]; running[g.engine] > 0 {
		running[g.engine]--
	}
	if a.s.Requeue(now, id) {
		a.waiting[id] = g.request
		return
	}
	a.s.SetRunning(id.Daemon, a.running[id.Daemon], a.serial)
	a.Offer(now, g.request)
}

// RemoveDaemon implements Scheduler.
func (a *adapter) RemoveDaemon(now time.Time, daemon string) {
	a.now = now
	delete(a.granted, daemon)
	delete(a.running, daemon)
	for id := range a.waiting {
		if id.Daemon == daemon {
			delete(a.waiting, id)
		}
	}
	a.s.RemoveDaemon(daemon)
}

// Wake implements Scheduler.
func (a *adapter) Wake(now time.Time) time.Time {
	if len(a.refused) > 0 {
		return now
	}
	return a.s.Wake(now)
}

// Status implements Scheduler.
func (a *adapter) Status() scheduler.Status { return a.s.Status(a.now) }
