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
	// wideThreshold is the number of crashes that a verdict on a common part of prompts needs. A
	// part is common if crashes interrupted more than narrowCount requests with it each, on average,
	// and more than one in narrowShare of the requests that they interrupted had it.
	wideThreshold = 5
	narrowCount   = 2
	narrowShare   = 4
	// minSharedSuspicion is the number of crashes from which on a part of prompts makes a request
	// suspect. Each crash interrupts many requests, and most of their parts are harmless.
	minSharedSuspicion = 2
	// minSuspectAge is the time after the first crash of a suspect within which other daemons
	// may still report that it completed there before. No verdict is given earlier.
	minSuspectAge = 150 * time.Millisecond
	// harmlessWindow is the time before a crash within which a completed request counts as
	// harmless there. Popular requests run at many engines, several of which may crash at once
	// for unrelated reasons.
	harmlessWindow = time.Minute
	// toldInterval is the least time between two announcements that the same key is harmless.
	toldInterval = harmlessWindow / 3
	// simultaneousWindow is the time within which crashes count as one event. Detection and
	// reporting differ by that much between daemons, and a request that crashes one engine
	// after the other takes longer.
	simultaneousWindow = 100 * time.Millisecond
	// evidenceTTL is how long crashes are kept.
	evidenceTTL = 10 * time.Minute
	// maxCrashes bounds the crashes kept, maxCrashKeys the total of the keys of their requests,
	// maxCompleted the keys of completed requests.
	maxCrashes   = 1024
	maxCrashKeys = 32768
	maxCompleted = 16384
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
	// completed are the keys of requests that completed, here or as reported by other daemons.
	completed map[Hash]completion
	// convictions are the verdicts of the last evaluation that are not tied.
	convictions []Verdict
	// count is the total number of keys of the requests of all crashes.
	count int
}

// crash is the crash of one engine.
type crash struct {
	engine, service, version string
	at                       time.Time
	// contents are the interrupted requests by their hashes.
	contents map[Hash]Content
	// explained is set if one of the convictions explains it.
	explained bool
}

// has reports whether one of the interrupted requests had a key.
func (c *crash) has(key Hash) bool {
	if _, ok := c.contents[key]; ok {
		return true
	}
	for _, content := range c.contents {
		if slices.Contains(content.Shared, key) {
			return true
		}
	}
	return false
}

// suspect is a key of requests that were in progress at crashes, none of which has completed since.
type suspect struct {
	crashes map[string]*crash
	// since is when the first of them became known.
	since time.Time
	// shared is set if different requests may have the key.
	shared bool
}

// NewEvidence returns an empty Evidence.
func NewEvidence() *Evidence {
	return &Evidence{crashes: make(map[string]*crash), suspects: make(map[Hash]*suspect), overThreshold: make(map[Hash]*suspect), completed: make(map[Hash]completion)}
}

// Add records the crash of an engine. It returns those keys of the interrupted requests that this
// daemon knows to be harmless and that have not been announced lately.
func (e *Evidence) Add(reported Crash, now time.Time) (harmless []Hash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := reported.Engine.Key()
	known := e.crashes[key]
	if known == nil {
		keys := 0
		for _, content := range reported.Requests {
			keys += content.size()
		}
		e.evict(now, keys)
		known = &crash{
			engine: key, service: reported.Engine.Service, version: reported.Engine.Version, at: now,
			contents: make(map[Hash]Content, len(reported.Requests)),
		}
		e.crashes[key] = known
	}
	for _, content := range reported.Requests {
		if _, again := known.contents[content.Request]; again || e.count+content.size() > maxCrashKeys {
			continue
		}
		if e.recentlyCompleted(content.Request, known.at) {
			harmless = e.appendUntold(harmless, content.Request, now)
			continue
		}
		known.contents[content.Request] = content
		e.count += content.size()
		for key := range content.keys() {
			if e.recentlyCompleted(key, known.at) {
				harmless = e.appendUntold(harmless, key, now)
				continue
			}
			e.addSuspect(key, key != content.Request, known, now)
		}
	}
	e.hasSuspects.Store(len(e.suspects) > 0)
	return harmless
}

// addSuspect records that a request with a key was in progress at a crash. The caller holds mu.
func (e *Evidence) addSuspect(key Hash, shared bool, known *crash, now time.Time) {
	s := e.suspects[key]
	if s == nil {
		s = &suspect{crashes: make(map[string]*crash), since: now, shared: shared}
		e.suspects[key] = s
	}
	s.crashes[known.engine] = known
	if len(s.crashes) >= CrashThreshold {
		e.overThreshold[key] = s
	}
}

// Forget discards all evidence against the requests with a key.
func (e *Evidence) Forget(key Hash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.suspects[key]
	if !ok {
		return
	}
	for _, known := range maps.Clone(s.crashes) {
		for _, content := range maps.Clone(known.contents) {
			if content.has(key) {
				e.removeContent(known, content)
			}
		}
	}
	e.removeSuspect(key)
}

// ForgetCrashes discards the crashes at which requests with a key were in progress. Otherwise what
// else these requests have in common would be the next suspect.
func (e *Evidence) ForgetCrashes(key Hash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.suspects[key]; ok {
		for _, known := range maps.Clone(s.crashes) {
			e.removeCrash(known)
		}
	}
}

// removeSuspect discards all evidence against a key and returns the number of crashes that it was
// suspected of. The caller holds mu.
func (e *Evidence) removeSuspect(key Hash) (crashes int) {
	s, ok := e.suspects[key]
	if !ok {
		return 0
	}
	crashes = len(s.crashes)
	for _, known := range maps.Clone(s.crashes) {
		if content, whole := known.contents[key]; whole {
			e.removeContent(known, content)
		}
		e.removeCrashOf(key, known)
	}
	return crashes
}

// removeContent removes an interrupted request from a crash, with those of its keys that no other
// interrupted request had. The caller holds mu.
func (e *Evidence) removeContent(known *crash, content Content) {
	delete(known.contents, content.Request)
	e.count -= content.size()
	for key := range content.keys() {
		if !known.has(key) {
			e.removeCrashOf(key, known)
		}
	}
}

// removeCrashOf removes a crash from those that a key is suspected of. The caller holds mu.
func (e *Evidence) removeCrashOf(key Hash, known *crash) {
	s, ok := e.suspects[key]
	if !ok {
		return
	}
	delete(s.crashes, known.engine)
	if len(s.crashes) < CrashThreshold {
		delete(e.overThreshold, key)
	}
	if len(s.crashes) == 0 {
		delete(e.suspects, key)
	}
	e.hasSuspects.Store(len(e.suspects) > 0)
}

// evict drops expired crashes, and the oldest ones until there is room for another one with the
// given number of keys. The caller holds mu.
func (e *Evidence) evict(now time.Time, keys int) {
	for _, known := range e.crashes {
		if now.Sub(known.at) > evidenceTTL {
			e.removeCrash(known)
		}
	}
	for len(e.crashes) > 0 && (len(e.crashes) >= maxCrashes || e.count+keys > maxCrashKeys) {
		e.removeCrash(slices.MinFunc(slices.Collect(maps.Values(e.crashes)), func(a, b *crash) int { return a.at.Compare(b.at) }))
	}
}

// removeCrash drops one crash. The caller holds mu.
func (e *Evidence) removeCrash(known *crash) {
	delete(e.crashes, known.engine)
	for _, content := range known.contents {
		e.count -= content.size()
		for key := range content.keys() {
			e.removeCrashOf(key, known)
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
