package scheduler

import (
	"errors"
	"math"
	"slices"
	"time"
)

// Errors for settings that are out of range.
var (
	ErrDefaultWork = errors.New("default work is negative or above the limit")
	ErrDefaultWait = errors.New("default wait is negative or above the limit")
	ErrTurnaround  = errors.New("turnaround is negative or above one second")
	ErrMaxWaiting  = errors.New("maximum of waiting requests is negative")
)

// The defaults of Options and the limits of what requests may state.
const (
	defaultWork = 100 * time.Millisecond
	defaultWait = 400 * time.Millisecond
	// defaultTurnaround is the time from the end of a run until the next request of the queue
	// reaches the engine: one batch of calls in each direction.
	defaultTurnaround = 15 * time.Millisecond
	defaultMaxWaiting = 10_000
	maxTurnaround     = time.Second
	// maxWork and maxWait bound the effect of a wrong value on sums.
	maxWork = 10 * time.Minute
	maxWait = 10 * time.Minute
	// minWeight and maxWeight keep sums of flow tags exact enough in a float64.
	minWeight = 1e-3
	maxWeight = 1e3
	maxSlots  = 4096
)

// Options are the settings of a Scheduler. A zero value selects the default.
type Options struct {
	// DefaultWork is the work of a request that states none, and the mean work until
	// requests have been seen. The default is 100 ms.
	DefaultWork time.Duration
	// DefaultWait is how long a request without StartBy may wait. The default is 400 ms.
	DefaultWait time.Duration
	// Turnaround is the time from the end of a run until the next request reaches the
	// engine. The default is 15 ms.
	Turnaround time.Duration
	// MaxWaiting is the number of requests that may wait. The default is 10,000.
	MaxWaiting int
	// Seed decides between equally good engines. Schedulers that share engines without
	// knowing of each other need different seeds, or they choose the same engines.
	Seed uint32
}

// Validate returns an error that joins every fault.
func (o Options) Validate() error {
	var faults []error
	check := func(bad bool, err error) {
		if bad {
			faults = append(faults, err)
		}
	}
	check(o.DefaultWork < 0 || o.DefaultWork > maxWork, ErrDefaultWork)
	check(o.DefaultWait < 0 || o.DefaultWait > maxWait, ErrDefaultWait)
	check(o.Turnaround < 0 || o.Turnaround > maxTurnaround, ErrTurnaround)
	check(o.MaxWaiting < 0, ErrMaxWaiting)
	return errors.Join(faults...)
}

func (o Options) withDefaults() Options {
	if o.DefaultWork == 0 {
		o.DefaultWork = defaultWork
	}
	if o.DefaultWait == 0 {
		o.DefaultWait = defaultWait
	}
	if o.Turnaround == 0 {
		o.Turnaround = defaultTurnaround
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	return o
}

// work returns the stated work in seconds, or the default for an invalid one.
func (o *Options) work(stated time.Duration) float64 {
	if stated <= 0 {
		stated = o.DefaultWork
	}
	return min(stated, maxWork).Seconds()
}

// normalise replaces invalid values of a request by defaults.
func (o *Options) normalise(now time.Time, r *Request) {
	r.Work = time.Duration(o.work(r.Work) * float64(time.Second))
	r.Weight = validWeight(r.Weight)
	if r.Class < Resumed || r.Class > Repeated || r.Class == Returning {
		r.Class = First
	}
	if r.Arrived.IsZero() || r.Arrived.After(now) {
		r.Arrived = now
	}
	if r.StartBy.IsZero() {
		r.StartBy = now.Add(o.DefaultWait)
	}
	if latest := now.Add(maxWait); r.StartBy.After(latest) {
		r.StartBy = latest
	}
	if len(r.Excluded) > 1 {
		r.Excluded = slices.Compact(slices.Sorted(slices.Values(r.Excluded)))
	}
	if r.Deadline.IsZero() {
		r.Deadline = r.StartBy.Add(r.Work)
	}
}

func validWeight(w float64) float64 {
	if !(w > 0) || math.IsInf(w, 0) {
		return 1
	}
	return min(max(w, minWeight), maxWeight)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}
