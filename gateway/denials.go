package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// mismatchThreshold is the number of consecutive mismatches at a location from which on
	// its list of engines is suspected to be outdated.
	mismatchThreshold = 2
	// suspectDuration is how long a location stays suspect without a further mismatch. It is
	// about the time that a newer list takes to arrive while the store answers.
	suspectDuration = time.Second
)

// location identifies the engines of one service in one data centre.
type location struct{ service, dataCentre string }

// mismatches records the locations at which engines answered as other instances than the
// list of engines says. If the engines of a data centre restart together while the store
// does not answer, daemons learn of it from such answers only. After a few of them the
// other engines of the location are avoided, instead of trying one after the other.
type mismatches struct {
	// any is set if byLocation is not empty, so that the usual case takes no lock.
	any atomic.Bool

	mu         sync.Mutex
	byLocation map[location]mismatch
}

// mismatch counts the consecutive mismatches at a location and holds the time of the last.
type mismatch struct {
	engines int
	at      time.Time
}

func newMismatches() *mismatches { return &mismatches{byLocation: make(map[location]mismatch)} }

// recordMismatch records that an engine answered as another instance, and reports whether
// the location has just become suspect.
func (m *mismatches) recordMismatch(l location, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.any.Store(true)
	engines := m.byLocation[l].engines + 1
	m.byLocation[l] = mismatch{engines: engines, at: now}
	return engines == mismatchThreshold
}

// recordMatch records that an engine answered as the expected instance.
func (m *mismatches) recordMatch(l location) {
	if !m.any.Load() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.byLocation, l)
	m.any.Store(len(m.byLocation) > 0)
}

// suspect reports whether engines at the location should be avoided while there are others.
func (m *mismatches) suspect(l location, now time.Time) bool {
	if !m.any.Load() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.byLocation[l]
	return known.engines >= mismatchThreshold && now.Sub(known.at) < suspectDuration
}
