package canary

import "time"

const (
	// rankDelay is the delay between the writes of daemons of consecutive rank, so that usually
	// only one of them writes a state.
	rankDelay = 700 * time.Millisecond
	// doneDelay replaces rankDelay when a version is to be declared complete: the deadline is
	// near, and a second write does no harm.
	doneDelay = 50 * time.Millisecond
	// minWriteInterval is the least time between two attempts of one daemon.
	minWriteInterval = 300 * time.Millisecond
)

// Driver decides when a daemon writes the state of an introduction to the store. Every daemon
// has a Driver. A write succeeds only under the revision that its writer knows, so that a
// daemon that was paused, or did not receive the store's answer, cannot undo what others have
// decided meanwhile. It is not safe for concurrent use.
type Driver struct {
	// wanted is the state to write, wantedSince the time since which it is the same.
	wanted      State
	wantedSince time.Time
	tried       time.Time
}

// Due reports whether the daemon of the given rank should write the verdict now, if the store
// has the state have. isNew is set if the verdict differs from the last one that the store did
// not have.
func (d *Driver) Due(have, verdict State, rank int, now time.Time) (due, isNew bool) {
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
	if now.Sub(d.wantedSince) < time.Duration(max(rank, 0))*delay || now.Sub(d.tried) < minWriteInterval {
		return false, isNew
	}
	d.tried = now
	return true, isNew
}
