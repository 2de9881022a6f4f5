package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// fault brings about one failure and returns how to end it, nil when it ends by
// itself.
type fault struct {
	name string
	make func(r *run) (end func())
}

// pauseBetween bounds the time between two failures; each lasts lasting at most.
const (
	pauseBetween = 1200 * time.Millisecond
	lasting      = 2500 * time.Millisecond
)

// faults are all failures that a run draws from. They may overlap.
var faults = []fault{
	{"daemon killed", func(r *run) func() { return r.restart(r.daemon(), syscall.SIGKILL) }},
	{"daemon stopped", func(r *run) func() { return r.restart(r.daemon(), syscall.SIGTERM) }},
	{"daemon frozen", func(r *run) func() {
		d := r.daemon()
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGCONT) }
	}},
	{"settings signal", func(r *run) func() { r.daemon().signal(syscall.SIGHUP); return nil }},
	{"link to the store changed", func(r *run) func() {
		link := r.relays[r.random.IntN(len(r.relays))]
		link.set(mode(1 + r.random.IntN(int(modes)-1)))
		return func() { link.set(pass); link.reset() }
	}},
	{"links to the store reset", func(r *run) func() {
		for _, link := range r.relays {
			link.reset()
		}
		return nil
	}},
	{"store down", func(r *run) func() {
		r.store.SetFaults(emulator.StoreFaults{Refuse: true})
		return func() { r.store.SetFaults(emulator.StoreFaults{}) }
	}},
	{"store loses answers and is slow", func(r *run) func() {
		r.store.SetFaults(emulator.StoreFaults{LoseWrites: 3, Delay: 80 * time.Millisecond})
		return func() { r.store.SetFaults(emulator.StoreFaults{}) }
	}},
	{"history forgotten", func(r *run) func() { r.store.Forget(); return nil }},
	{"configuration changed", func(r *run) func() {
		r.version++
		_, _ = r.store.Put("config", "main", emulator.Config(r.version)) // The emulated store takes every document.
		return nil
	}},
	{"engine fails", engineFault(emulator.EngineFaults{Fail: true})},
	{"engine hangs", engineFault(emulator.EngineFaults{Hang: true})},
	{"engine loses answers", engineFault(emulator.EngineFaults{Lose: true})},
	{"engine gives foreign answers", engineFault(emulator.EngineFaults{Foreign: true})},
	{"engine breaks streams", engineFault(emulator.EngineFaults{BreakAfter: 3, Short: true})},
	{"engine full", engineFault(emulator.EngineFaults{Full: true})},
	{"engine crashes", func(r *run) func() { r.engine().CrashAndReturn(); return nil }},
	{"request crashes engines", func(r *run) func() { return r.insist() }},
	{"engine replaced", func(r *run) func() {
		e := r.engine()
		if r.addEngine(e.Spec.Service, coldFor) != nil {
			return nil
		}
		e.Vanish()
		return func() { e.Crash() }
	}},
	{"data centre evacuated", func(r *run) func() {
		zone := r.engine().Spec.Zone
		if err := r.store.Evacuate(zone); err != nil {
			r.checks.broke("evacuation of %s not written: %v", zone, err)
		}
		return func() { r.store.TakeBack(zone) }
	}},
}

// daemon picks a random daemon.
func (r *run) daemon() *daemon { return r.daemons[r.random.IntN(len(r.daemons))] }

// engine picks a random engine.
func (r *run) engine() *emulator.Engine { return r.engines[r.random.IntN(len(r.engines))] }

// engineFault sets the faults of a random engine.
func engineFault(f emulator.EngineFaults) func(r *run) func() {
	return func(r *run) func() {
		e := r.engine()
		e.SetFaults(f)
		return func() { e.SetFaults(emulator.EngineFaults{}) }
	}
}

// restart ends a daemon with a signal; its end starts it again.
func (r *run) restart(d *daemon, s syscall.Signal) func() {
	d.mu.Lock()
	already := d.stopped
	d.stopped = true
	d.mu.Unlock()
	if already {
		return nil
	}
	d.signal(syscall.SIGCONT)
	d.signal(s)
	return func() {
		d.signal(syscall.SIGCONT) // It may have been frozen while it stopped.
		<-d.ended
		if err := r.launch(d); err != nil {
			r.checks.broke("daemon %s does not start again: %v", d.Name, err)
		}
	}
}

// disturb brings about failures until ctx ends, and ends all of them.
func (r *run) disturb(ctx context.Context) int {
	type ending struct {
		at  time.Time
		end func()
	}
	var open []ending
	count := 0
	for ctx.Err() == nil {
		pause := time.Duration(r.random.Int64N(int64(pauseBetween)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
			f := faults[r.random.IntN(len(faults))]
			count++
			_, _ = fmt.Fprintf(r.FaultLog, "%8.3f %s\n", time.Since(r.started).Seconds(), f.name)
			if end := f.make(r); end != nil {
				open = append(open, ending{time.Now().Add(time.Duration(r.random.Int64N(int64(lasting)))), end})
			}
		}
		kept := open[:0]
		for _, o := range open {
			if time.Now().After(o.at) {
				o.end()
				continue
			}
			kept = append(kept, o)
		}
		open = kept
	}
	for _, o := range open {
		o.end()
	}
	return count
}

// heal ends whatever is still wrong.
func (r *run) heal() {
	for _, link := range r.relays {
		link.set(pass)
		link.reset()
	}
	r.store.SetFaults(emulator.StoreFaults{})
	for _, e := range r.engines {
		e.SetFaults(emulator.EngineFaults{})
	}
	for _, d := range r.daemons {
		d.signal(syscall.SIGCONT)
	}
}
