package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

// fifo is a simple Scheduler for tests: requests start in the order of their arrival, at the
// engine with the most free slots.
type fifo struct {
	engines map[uint32]int
	share   float64
	waiting []scheduler.Request
	running map[string]map[uint32]int
	granted map[scheduler.ID]scheduler.Request
	at      map[scheduler.ID]uint32 // engines of granted requests
	refused []scheduler.Refusal
}

const fifoRetryAfter = 300 * time.Millisecond

func newFIFO() Scheduler {
	return &fifo{share: 1, running: map[string]map[uint32]int{}, granted: map[scheduler.ID]scheduler.Request{}, at: map[scheduler.ID]uint32{}}
}

func (f *fifo) SetEngines(_ time.Time, engines []scheduler.Engine) {
	f.engines = map[uint32]int{}
	for _, e := range engines {
		f.engines[e.Hash] = e.Slots
	}
}

func (f *fifo) SetShare(_ time.Time, share float64) { f.share = share }

func (f *fifo) Offer(_ time.Time, r scheduler.Request) {
	i, _ := slices.BinarySearchFunc(f.waiting, r, func(a, b scheduler.Request) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID.Daemon, b.ID.Daemon), cmp.Compare(a.ID.Number, b.ID.Number))
	})
	f.waiting = slices.Insert(f.waiting, i, r)
}

func (f *fifo) Withdraw(_ time.Time, id scheduler.ID) {
	f.waiting = slices.DeleteFunc(f.waiting, func(r scheduler.Request) bool { return r.ID == id })
}

func (f *fifo) SetRunning(_ time.Time, daemon string, running map[uint32]int) {
	f.running[daemon] = map[uint32]int{}
	for engine, n := range running {
		f.running[daemon][engine] = n
	}
}

func (f *fifo) Ended(time.Time, scheduler.Finished) {}

// count returns the running requests at an engine and in total.
func (f *fifo) count(engine uint32) (at, all int) {
	for id := range f.granted {
		all++
		if f.at[id] == engine {
			at++
		}
	}
	for _, running := range f.running {
		for e, n := range running {
			all += n
			if e == engine {
				at += n
			}
		}
	}
	return at, all
}

func (f *fifo) room() int {
	slots := 0
	for _, n := range f.engines {
		slots += n
	}
	return int(math.Ceil(float64(slots)*f.share - 1e-9))
}

func (f *fifo) Next(now time.Time) (scheduler.Grant, bool) {
	f.drop(now)
	if _, all := f.count(0); all >= f.room() {
		return scheduler.Grant{}, false
	}
	for i, r := range f.waiting {
		best, most := uint32(0), 0
		for engine, slots := range f.engines {
			at, _ := f.count(engine)
			if free := slots - at; free > most && !slices.Contains(r.Excluded, engine) {
				best, most = engine, free
			}
		}
		if most == 0 {
			continue
		}
		f.waiting = slices.Delete(f.waiting, i, i+1)
		f.granted[r.ID], f.at[r.ID] = r, best
		return scheduler.Grant{ID: r.ID, Engine: best, Ahead: i}, true
	}
	return scheduler.Grant{}, false
}

// drop refuses requests that can't start in time any more.
func (f *fifo) drop(now time.Time) {
	f.waiting = slices.DeleteFunc(f.waiting, func(r scheduler.Request) bool {
		late := r.StartBy.Before(now)
		if late {
			f.refused = append(f.refused, scheduler.Refusal{ID: r.ID, RetryAfter: fifoRetryAfter, Cause: scheduler.CauseBacklog})
		}
		return late
	})
}

func (f *fifo) Refusals(now time.Time) []scheduler.Refusal {
	f.drop(now)
	refused := f.refused
	f.refused = nil
	return refused
}

func (f *fifo) Requeue(now time.Time, id scheduler.ID) {
	if r, ok := f.granted[id]; ok {
		delete(f.granted, id)
		f.Offer(now, r)
	}
}

func (f *fifo) Returned(_ time.Time, id scheduler.ID) { delete(f.granted, id) }

func (f *fifo) RemoveDaemon(_ time.Time, daemon string) {
	delete(f.running, daemon)
	maps.DeleteFunc(f.granted, func(id scheduler.ID, _ scheduler.Request) bool { return id.Daemon == daemon })
	f.waiting = slices.DeleteFunc(f.waiting, func(r scheduler.Request) bool { return r.ID.Daemon == daemon })
}

func (f *fifo) Wake(time.Time) time.Time {
	wake := time.Time{}
	for _, r := range f.waiting {
		if wake.IsZero() || r.StartBy.Before(wake) {
			wake = r.StartBy.Add(time.Millisecond)
		}
	}
	return wake
}

func (f *fifo) Status(time.Time) scheduler.Status {
	_, all := f.count(0)
	return scheduler.Status{Room: f.room(), Running: all, Waiting: len(f.waiting)}
}
