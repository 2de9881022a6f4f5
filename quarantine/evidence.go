package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// CrashThreshold is the number of engine crashes after which a request that was in progress at
	// all of them is put into quarantine.
	CrashThreshold = 3
	// minSuspectAge is the time after the first crash of a suspect within which other daemons
	// may still report that it completed there before. No verdict is given earlier.
	minSuspectAge = 150 * time.Millisecond
	// harmlessWindow is the time before a crash within which a completed request counts as
	// harmless there. Popular requests run at many engines, several of which may crash at once
	// for unrelated reasons.
	harmlessWindow = time.Minute
	// simultaneousWindow is the time within which crashes count as one event. Detection and
	// reporting differ by that much between daemons, and a request that crashes one engine
	// after the other takes longer.
	simultaneousWindow = 100 * time.Millisecond
	// evidenceTTL is how long crashes are kept.
	evidenceTTL = 10 * time.Minute
	// maxCrashes bounds the crashes kept, maxCrashRequests the total of their requests,
	// maxCompleted the completed requests.
	maxCrashes       = 1024
	maxCrashRequests = 32768
	maxCompleted     = 8192
)

// Evidence holds the engine crashes that all daemons have detected and the requests that were
// in progress at them. It is safe for concurrent use.
type Evidence struct {
	// hasSuspects is set while there are suspects. Without any, requests take no lock.
	hasSuspects atomic.Bool

	mu sync.Mutex
	// crashes are by the key of the engine.
	crashes  map[string]*crash
	suspects map[Hash]*suspect
	// overThreshold are the suspects of at least as many crashes as a verdict needs.
	overThreshold map[Hash]*suspect
	// completed is when requests completed, here or as reported by other daemons.
	completed map[Hash]time.Time
	// count is the total number of requests of all crashes.
	count int
}

// crash is the crash of one engine.
type crash struct {
	engine, service, version string
	at                       time.Time
	requests                 map[Hash]struct{}
}

// suspect is a request that was in progress at crashes and has not completed since.
type suspect struct {
	crashes map[string]*crash
	// since is when the first of them became known.
	since time.Time
}

// NewEvidence returns an empty Evidence.
func NewEvidence() *Evidence {
	return &Evidence{crashes: make(map[string]*crash), suspects: make(map[Hash]*suspect), overThreshold: make(map[Hash]*suspect), completed: make(map[Hash]time.Time)}
}

// Add records the crash of an engine. It returns those of the interrupted requests that this
// daemon knows to be harmless.
func (e *Evidence) Add(reported Crash, now time.Time) (harmless []Hash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := reported.Engine.Key()
	known := e.crashes[key]
	if known == nil {
		e.evict(now, len(reported.Requests))
		known = &crash{
			engine: key, service: reported.Engine.Service, version: reported.Engine.Version, at: now,
			requests: make(map[Hash]struct{}),
		}
		e.crashes[key] = known
	}
	for _, h := range reported.Requests {
		if _, again := known.requests[h]; again || e.count >= maxCrashRequests {
			continue
		}
		if e.recentlyCompleted(h, known.at) {
			harmless = append(harmless, h)
			continue
		}
		known.requests[h] = struct{}{}
		e.count++
		e.addSuspect(h, known, now)
	}
	e.hasSuspects.Store(len(e.suspects) > 0)
	return harmless
}

// addSuspect records that a request was in progress at a crash. The caller holds mu.
func (e *Evidence) addSuspect(h Hash, known *crash, now time.Time) {
	s := e.suspects[h]
	if s == nil {
		s = &suspect{crashes: make(map[string]*crash), since: now}
		e.suspects[h] = s
	}
	s.crashes[known.engine] = known
	if len(s.crashes) >= CrashThreshold {
		e.overThreshold[h] = s
	}
}

// recentlyCompleted reports whether a request completed within harmlessWindow before the given
// time, or after it. The caller holds mu.
func (e *Evidence) recentlyCompleted(h Hash, at time.Time) bool {
	good, ok := e.completed[h]
	return ok && good.After(at.Add(-harmlessWindow))
}

// Completed records that a request completed here. It returns the number of crashes that it was
// suspected of.
func (e *Evidence) Completed(h Hash, now time.Time) (crashes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recordCompletion(h, now)
}

// CompletedByPeer records that a request completed at another daemon.
func (e *Evidence) CompletedByPeer(h Hash, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordCompletion(h, now)
}

// recordCompletion records that a request completed. The caller holds mu.
func (e *Evidence) recordCompletion(h Hash, now time.Time) (crashes int) {
	if len(e.completed) >= maxCompleted {
		e.evictCompleted(now)
	}
	e.completed[h] = now
	return e.removeSuspect(h)
}

// evictCompleted makes room for completed requests: it drops expired ones, and arbitrary others
// until a quarter of the table is free. The caller holds mu.
func (e *Evidence) evictCompleted(now time.Time) {
	maps.DeleteFunc(e.completed, func(_ Hash, at time.Time) bool { return now.Sub(at) > harmlessWindow })
	for h := range e.completed {
		if len(e.completed) < maxCompleted*3/4 {
			return
		}
		delete(e.completed, h)
	}
}

// Forget discards all evidence against a request, on behalf of an operator.
func (e *Evidence) Forget(h Hash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeSuspect(h)
}

// removeSuspect discards all evidence against a request and returns the number of crashes that
// it was suspected of. The caller holds mu.
func (e *Evidence) removeSuspect(h Hash) (crashes int) {
	s, ok := e.suspects[h]
	if !ok {
		return 0
	}
	crashes = len(s.crashes)
	for _, known := range s.crashes {
		delete(known.requests, h)
		e.count--
	}
	delete(e.suspects, h)
	delete(e.overThreshold, h)
	e.hasSuspects.Store(len(e.suspects) > 0)
	return crashes
}

// evict drops expired crashes, and the oldest ones until there is room for another one with the
// given number of requests. The caller holds mu.
func (e *Evidence) evict(now time.Time, requests int) {
	for _, known := range e.crashes {
		if now.Sub(known.at) > evidenceTTL {
			e.removeCrash(known)
		}
	}
	for len(e.crashes) > 0 && (len(e.crashes) >= maxCrashes || e.count+requests > maxCrashRequests) {
		e.removeCrash(slices.MinFunc(slices.Collect(maps.Values(e.crashes)), func(a, b *crash) int { return a.at.Compare(b.at) }))
	}
}

// removeCrash drops one crash. The caller holds mu.
func (e *Evidence) removeCrash(known *crash) {
	delete(e.crashes, known.engine)
	e.count -= len(known.requests)
	for h := range known.requests {
		s := e.suspects[h]
		delete(s.crashes, known.engine)
		if len(s.crashes) < CrashThreshold {
			delete(e.overThreshold, h)
		}
		if len(s.crashes) == 0 {
			delete(e.suspects, h)
		}
	}
}

// Crashes returns the number of crashes that a request is suspected of.
func (e *Evidence) Crashes(h Hash) int {
	if !e.hasSuspects.Load() {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.suspects[h]
	if !ok {
		return 0
	}
	return len(s.crashes)
}

// Suspects returns the number of suspects.
func (e *Evidence) Suspects() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.suspects)
}
