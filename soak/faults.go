package soak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// fault is a kind of fault. inject returns a function that ends the fault, or nil
// if the fault needs no end.
type fault struct {
	name   string
	inject func(r *run) (end func())
}

// maxFaultPause is the longest time between two faults, maxFaultDuration the longest
// time after which the end of a fault is due.
const (
	maxFaultPause    = 1200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// maxRewriteDelay is the longest time after which what a restored store has lost is written again.
const maxRewriteDelay = 500 * time.Millisecond

// faults are the faults from which a run selects at random. They may overlap.
var faults = []fault{
	{"daemon killed", func(r *run) func() { return r.restart(r.randomDaemon(), syscall.SIGKILL) }},
	{"daemon stopped", func(r *run) func() { return r.restart(r.randomDaemon(), syscall.SIGTERM) }},
	{"daemon frozen", func(r *run) func() {
		d := r.randomDaemon()
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGCONT) }
	}},
	{"settings signal", func(r *run) func() { r.randomDaemon().signal(syscall.SIGHUP); return nil }},
	{"link to the store changed", func(r *run) func() {
		link := r.relays[r.random.IntN(len(r.relays))]
		link.set(mode(1 + r.random.IntN(int(modeCount)-1)))
		return func() { link.set(passThrough); link.reset() }
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
		r.store.SetFaults(emulator.StoreFaults{LoseWriteAnswers: 3, Delay: 80 * time.Millisecond})
		return func() { r.store.SetFaults(emulator.StoreFaults{}) }
	}},
	{"history forgotten", func(r *run) func() { r.store.DropHistory(); return nil }},
	{"store restored from a copy", func(r *run) func() {
		r.store.Save()
		return func() { r.store.RestoreAndRewrite(time.Duration(r.random.Int64N(int64(maxRewriteDelay)))) }
	}},
	{"configuration changed", func(r *run) func() {
		r.configVersion++
		_, _ = r.store.Put("config", "main", r.config()) // The emulated store accepts every document.
		return nil
	}},
	{"engine fails", engineFault(emulator.EngineFaults{Fail: true})},
	{"engine hangs", engineFault(emulator.EngineFaults{Hang: true})},
	{"engine loses answers", engineFault(emulator.EngineFaults{LoseAnswer: true})},
	{"engine gives foreign answers", engineFault(emulator.EngineFaults{WrongRequestID: true})},
	{"engine breaks streams", engineFault(emulator.EngineFaults{BreakAfter: 3, TruncateBody: true})},
	{"engine answers without end", func(r *run) func() {
		return engineFault(emulator.EngineFaults{Endless: emulator.EndlessKinds[r.random.IntN(len(emulator.EndlessKinds))]})(r)
	}},
	{"odd entry among the engines", func(r *run) func() { return r.writeOddEntry("servers") }},
	{"odd entry among the orders", func(r *run) func() { return r.writeOddEntry("rollouts") }},
	{"engine full", engineFault(emulator.EngineFaults{Full: true})},
	{"engine limits requests", func(r *run) func() {
		r.randomEngine().SetFaults(emulator.EngineFaults{Limit: statedLimit}) // Until its next fault ends.
		return nil
	}},
	{"engine asks for pauses", func(r *run) func() {
		r.randomEngine().SetFaults(emulator.EngineFaults{Full: true, RetryAfter: statedPause}) // Until its next fault ends.
		return nil
	}},
	{"engines are brittle", func(r *run) func() {
		r.setBrittle(r.randomEngine().Spec.Service)
		return nil // Until the next fault of each engine ends.
	}},
	{"engine leaves unannounced", func(r *run) func() {
		e := r.randomEngine()
		if r.addEngine(e.Spec.Service, coldDuration) != nil {
			return nil
		}
		e.SetFaults(emulator.EngineFaults{Leaving: true})
		return func() { e.Deregister(); e.Crash() }
	}},
	{"engine crashes", func(r *run) func() { r.randomEngine().CrashAndRestart(); return nil }},
	{"unruly clients", func(r *run) func() { return r.startUnrulyClients(r.randomDaemon()) }},
	{"request crashes engines", func(r *run) func() { return r.startCrashRequests() }},
	{"engine replaced", func(r *run) func() {
		e := r.randomEngine()
		if r.addEngine(e.Spec.Service, coldDuration) != nil {
			return nil
		}
		e.Deregister()
		return func() { e.Crash() }
	}},
	{"data centre evacuated", func(r *run) func() {
		zone := r.randomEngine().Spec.Zone
		if err := r.store.Evacuate(zone); err != nil {
			r.checks.reportViolation("writing the evacuation of %s failed: %v", zone, err)
		}
		return func() { r.store.EndEvacuation(zone) }
	}},
}

// writeOddEntry writes an entry that can't be read. The returned function removes it.
func (r *run) writeOddEntry(kind string) func() {
	names := slices.Sorted(maps.Keys(emulator.OddSpecs))
	name := names[r.random.IntN(len(names))]
	if _, err := r.store.PutRaw(kind, name, emulator.OddSpecs[name]); err != nil {
		r.checks.reportViolation("writing an odd entry failed: %v", err)
	}
	return func() { r.store.Remove(kind, name) }
}

// randomDaemon returns a random daemon.
func (r *run) randomDaemon() *daemon { return r.daemons[r.random.IntN(len(r.daemons))] }

// randomEngine returns a random engine.
func (r *run) randomEngine() *emulator.Engine { return r.engines[r.random.IntN(len(r.engines))] }

// engineFault returns an inject function that sets the faults of a random engine.
func engineFault(f emulator.EngineFaults) func(r *run) func() {
	return func(r *run) func() {
		e := r.randomEngine()
		e.SetFaults(f)
		return func() { e.SetFaults(emulator.EngineFaults{}) }
	}
}

// restart stops a daemon with a signal. The returned function starts it again; it is
// nil if the daemon was already stopped.
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
		d.signal(syscall.SIGCONT) // It may have been frozen while it was stopping.
		<-d.ended
		if err := r.startDaemon(d); err != nil {
			r.checks.reportViolation("restarting daemon %s failed: %v", d.Name, err)
		}
	}
}

// injectFaults injects random faults until ctx ends, then ends all of them. It
// returns the number of faults.
func (r *run) injectFaults(ctx context.Context) int {
	type ending struct {
		at  time.Time
		end func()
	}
	var open []ending
	count := 0
	for ctx.Err() == nil {
		pause := time.Duration(r.random.Int64N(int64(maxFaultPause)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
			f := faults[r.random.IntN(len(faults))]
			count++
			_, _ = fmt.Fprintf(r.FaultLog, "%8.3f %s\n", time.Since(r.started).Seconds(), f.name)
			if end := f.inject(r); end != nil {
				open = append(open, ending{time.Now().Add(time.Duration(r.random.Int64N(int64(maxFaultDuration)))), end})
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

// clearFaults resets the relays, the store and the engines, and resumes frozen
// daemons, whatever overlapping faults have left.
func (r *run) clearFaults() {
	for _, link := range r.relays {
		link.set(passThrough)
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
