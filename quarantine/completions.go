package quarantine

import (
	"maps"
	"time"
)

// completion is the last completion of a request with a key.
type completion struct {
	at time.Time
	// told is when all daemons last learned of it, the zero time if they have not.
	told time.Time
}

// appendUntold appends a key that is harmless unless this has been announced lately. The caller
// holds mu.
func (e *Evidence) appendUntold(list []Hash, key Hash, now time.Time) []Hash {
	good := e.completed[key]
	if !good.told.IsZero() && now.Sub(good.told) < toldInterval {
		return list
	}
	good.told = now
	e.completed[key] = good
	return append(list, key)
}

// recentlyCompleted reports whether a request with a key completed within harmlessWindow before the
// given time, or after it. The caller holds mu.
func (e *Evidence) recentlyCompleted(key Hash, at time.Time) bool {
	good, ok := e.completed[key]
	return ok && good.at.After(at.Add(-harmlessWindow))
}

// RecentlyCompleted reports whether a request with a key counts as harmless at a crash at the given
// time.
func (e *Evidence) RecentlyCompleted(key Hash, at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recentlyCompleted(key, at)
}

// CompletionAge returns how long ago a request with a key last completed, as far as is known.
func (e *Evidence) CompletionAge(key Hash, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.completed[key].at)
}

// Completed records that a request with a key completed here. It returns the number of crashes that
// the key was suspected of.
func (e *Evidence) Completed(key Hash, now time.Time) (crashes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recordCompletion(key, completion{at: now, told: e.completed[key].told})
}

// CompletedByPeer records that a request with a key completed at another daemon at the given time,
// as all daemons have learned now.
func (e *Evidence) CompletedByPeer(key Hash, at, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	good := e.completed[key]
	if at.After(good.at) {
		good.at = at
	}
	good.told = now
	e.recordCompletion(key, good)
}

// recordCompletion records that a request with a key completed. The caller holds mu.
func (e *Evidence) recordCompletion(key Hash, good completion) (crashes int) {
	if len(e.completed) >= maxCompleted {
		e.evictCompleted(good.at)
	}
	e.completed[key] = good
	return e.removeSuspect(key)
}

// evictCompleted makes room for completed requests: it drops expired ones, and arbitrary others
// until a quarter of the table is free. The caller holds mu.
func (e *Evidence) evictCompleted(now time.Time) {
	maps.DeleteFunc(e.completed, func(_ Hash, good completion) bool { return now.Sub(good.at) > harmlessWindow })
	for key := range e.completed {
		if len(e.completed) <= maxCompleted*3/4 {
			return
		}
		delete(e.completed, key)
	}
}
