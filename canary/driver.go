package canary

import "time"

const (
	// rankDelay is how much longer each daemon waits than the one before it in order
	// of preference until it writes a state, so that usually one does.
	rankDelay = 700 * time.Millisecond
	// doneDelay stands in for rankDelay when a version is to be declared complete: the
	// deadline is near, and a second write does no harm.
	doneDelay = 50 * time.Millisecond
	// writePause is the least time between two tries of one daemon.
	writePause = 300 * time.Millisecond
)

// Driver decides when one daemon writes the state of an introduction into the store.
// All daemons drive; a write counts only under the revision that its writer knows, so
// that one that was frozen, or whose answer was lost, changes nothing that others have
// decided meanwhile. It is for one goroutine.
type Driver struct {
	// wanted is the state that should be written, since wantedSince.
	wanted      State
	wantedSince time.Time
	tried       time.Time
}

// Due tells whether the daemon should write the verdict now, when the store has the
// state have and the daemon stands at a place in the order of preference. New tells
// that the verdict is not the one of before.
func (d *Driver) Due(have, verdict State, place int, now time.Time) (due, isNew bool) {
	if verdict == have {
		return false, false
	}
	if isNew = verdict != d.wanted; isNew {
		d.wanted, d.wantedSince = verdict, now
	}
	delay := rankDelay
	if verdict == Done {
		delay = doneDelay
	}
	if now.Sub(d.wantedSince) < time.Duration(max(place, 0))*delay || now.Sub(d.tried) < writePause {
		return false, isNew
	}
	d.tried = now
	return true, isNew
}
