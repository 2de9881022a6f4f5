package e2e

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

const (
	// brittleKnownAfter is the time after which daemons must spare engines that state that they
	// are brittle.
	brittleKnownAfter = 3 * time.Second
	// toleratedFalls and toleratedFallShare bound the crashes of the brittle engines of a
	// service: toleratedFalls plus toleratedFallShare of their number.
	toleratedFalls     = 2
	toleratedFallShare = 0.1
	// minBrittleShare is the least share of the requests that ran before which must still run.
	minBrittleShare = 0.5
)

// TestBrittleEnginesDoNotFallOver guards against overload that crashes engines which have stated
// how many requests per second they can refuse, and against sparing them by leaving them idle.
func TestBrittleEnginesDoNotFallOver(t *testing.T) {
	const engines, slots = 3, 6
	f := newEntryFleet(t, 6, 0, 0, defaultBounds)
	restarts := emulator.CrashSpec{RestartAfter: 3 * time.Second}
	for i := range engines {
		f.startEngine(t, emulator.EngineSpec{ID: "desk-" + zoneOf(i), Service: "desk", Zone: zoneOf(i), Version: "v1", Slots: slots, Crashes: restarts})
		f.startEngine(t, emulator.EngineSpec{ID: "llm-" + zoneOf(i), Service: "llm", Zone: zoneOf(i), Version: "v1", Slots: slots, Events: 10, EventGap: 20 * time.Millisecond, Crashes: restarts})
	}
	t.Cleanup(f.record.Close)
	set := func(brittle int) {
		for _, e := range f.engines {
			e.SetFaults(emulator.EngineFaults{Brittle: brittle, Delay: 30 * time.Millisecond})
		}
	}
	// Callers want twice as many requests of each kind in progress as the engines run at a time.
	const callers = 2 * 2 * engines * slots
	const measured = 4 * time.Second
	set(0)
	f.sendUntil(time.Now().Add(brittleKnownAfter), callers)
	warm := len(f.record.Runs(""))
	f.sendUntil(time.Now().Add(measured), callers)
	before := len(f.record.Runs("")) - warm

	set(4)
	f.sendUntil(time.Now().Add(brittleKnownAfter), callers)
	known := time.Now()
	earlier := len(f.record.Runs(""))
	f.sendUntil(known.Add(measured), callers)
	after := len(f.record.Runs("")) - earlier
	for _, service := range []string{"desk", "llm"} {
		falls := 0
		for _, fall := range f.record.Falls(service) {
			if fall.At.After(known) {
				falls++
			}
		}
		allowed := toleratedFalls + toleratedFallShare*engines
		f.c.Check(float64(falls) <= allowed, qt.IsTrue, qt.Commentf("%d brittle engines of %s crashed, allowed %.1f", falls, service, allowed))
	}
	f.c.Check(float64(after) >= minBrittleShare*float64(before), qt.IsTrue, qt.Commentf("%d requests ran, %d before", after, before))
	t.Logf("%d requests ran, %d before; falls %d and %d", after, before, len(f.record.Falls("desk")), len(f.record.Falls("llm")))
}
