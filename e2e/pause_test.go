package e2e

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

const (
	// pauseKnownAfter is the time after which a daemon must keep a pause that an engine asked
	// for, maxInPause the maximum number of requests that it may still send until the end.
	pauseKnownAfter = 500 * time.Millisecond
	maxInPause      = 2
)

// TestEngineGetsThePauseThatItAsksFor guards against requests to an engine that has refused one
// and asked for none for some time.
func TestEngineGetsThePauseThatItAsksFor(t *testing.T) {
	f := newEntryFleet(t, 1, 2, 2, defaultBounds)
	refusing := []*emulator.Engine{f.engines[0], f.engines[2]}
	const pause = 6 * time.Second
	for _, e := range refusing {
		e.SetFaults(emulator.EngineFaults{Full: true, RetryAfter: pause})
	}
	began := time.Now()
	f.sendUntil(began.Add(pause), 16)
	for _, e := range refusing {
		arrivals := f.arrivalsAt(e.Spec.ID, began)
		f.c.Assert(len(arrivals) > 0, qt.IsTrue)
		first, inPause := arrivals[0], 0
		for _, at := range arrivals {
			if after := at.Sub(first); after >= pauseKnownAfter && after < pause {
				inPause++
			}
		}
		f.c.Check(inPause <= maxInPause, qt.IsTrue, qt.Commentf("%s got %d requests in a pause of %v, allowed %d", e.Spec.ID, inPause, pause, maxInPause))
	}
}
