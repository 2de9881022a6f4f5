package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Conviction is how many ends of engines convict a request that was at all of them.
	Conviction = 3
	// settleFor is how long after the first end that a request was at daemons may still tell
	// that it ended well there before; no conviction comes earlier.
	settleFor = 150 * time.Millisecond
	// vouchFor is how long before the end of an engine a request that ended well counts as
	// harmless there: popular requests run at many engines, of which several may end at
	// once for reasons of their own.
	vouchFor = time.Minute
	// togetherFor is within how long ends count as one event: daemons find and tell them with
	// that much difference, and a request that crashes one engine after the other takes longer.
	togetherFor = 100 * time.Millisecond
	// evidenceFor is how long ends of engines are remembered.
	evidenceFor = 10 * time.Minute
	// mostEnds bounds the ends remembered, mostHeld the requests of all of them together,
	// mostVouched the requests that ended well here.
	mostEnds    = 1024
	mostHeld    = 32768
	mostVouched = 8192
)

// Evidence is what this daemon knows of engines that ended and of the requests that they
// worked on, from all daemons. It is safe for concurrent use.
type Evidence struct {
	// any tells that there are suspects, so that requests without any take no lock.
	any atomic.Bool

	mu sync.Mutex
	// ends are by the key of the engine.
	ends     map[string]*end
	suspects map[Hash]*suspect
	// accused are the suspects that were at enough ends for a conviction.
	accused map[Hash]*suspect
	// vouched is when requests ended well, here or as other daemons told.
	vouched map[Hash]time.Time
	// count is the number of requests of all ends.
	count int
}

// end is the end of one engine.
type end struct {
	engine, service, version string
	at                       time.Time
	requests                 map[Hash]struct{}
}

// suspect is a request that was at the end of engines.
type suspect struct {
	ends map[string]*end
	// since is when the first of them was told.
	since time.Time
}

// NewEvidence returns what is known of nothing.
func NewEvidence() *Evidence {
	return &Evidence{ends: make(map[string]*end), suspects: make(map[Hash]*suspect), accused: make(map[Hash]*suspect), vouched: make(map[Hash]time.Time)}
}

// Add takes in the end of an engine and returns the requests among those cut that this
// daemon knows to be harmless.
func (e *Evidence) Add(told End, now time.Time) (harmless []Hash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := told.Engine.Key()
	known := e.ends[key]
	if known == nil {
		e.forget(now, len(told.Requests))
		known = &end{
			engine: key, service: told.Engine.Service, version: told.Engine.Version, at: now,
			requests: make(map[Hash]struct{}),
		}
		e.ends[key] = known
	}
	for _, h := range told.Requests {
		if _, again := known.requests[h]; again || e.count >= mostHeld {
			continue
		}
		if e.isVouched(h, known.at) {
			harmless = append(harmless, h)
			continue
		}
		known.requests[h] = struct{}{}
		e.count++
		e.accuse(h, known, now)
	}
	e.any.Store(len(e.suspects) > 0)
	return harmless
}

// accuse notes that a request was at an end. The caller holds mu.
func (e *Evidence) accuse(h Hash, known *end, now time.Time) {
	s := e.suspects[h]
	if s == nil {
		s = &suspect{ends: make(map[string]*end), since: now}
		e.suspects[h] = s
	}
	s.ends[known.engine] = known
	if len(s.ends) >= Conviction {
		e.accused[h] = s
	}
}

// isVouched tells whether a request ended well shortly before a moment, or after it. The
// caller holds mu.
func (e *Evidence) isVouched(h Hash, at time.Time) bool {
	good, ok := e.vouched[h]
	return ok && good.After(at.Add(-vouchFor))
}

// Completed takes in that a request ended well here, and returns at how many ends it was.
func (e *Evidence) Completed(h Hash, now time.Time) (ends int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.vouch(h, now)
}

// Cleared takes in that a request ended well at another daemon.
func (e *Evidence) Cleared(h Hash, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vouch(h, now)
}

// vouch notes that a request ended well. The caller holds mu.
func (e *Evidence) vouch(h Hash, now time.Time) (ends int) {
	if len(e.vouched) >= mostVouched {
		e.dropVouched(now)
	}
	e.vouched[h] = now
	return e.acquit(h)
}

// dropVouched makes room for requests that ended well: old ones go, and a part of the
// others where none is old. The caller holds mu.
func (e *Evidence) dropVouched(now time.Time) {
	maps.DeleteFunc(e.vouched, func(_ Hash, at time.Time) bool { return now.Sub(at) > vouchFor })
	for h := range e.vouched {
		if len(e.vouched) < mostVouched*3/4 {
			return
		}
		delete(e.vouched, h)
	}
}

// Forget drops all that is held against a request, as an operator asks for.
func (e *Evidence) Forget(h Hash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acquit(h)
}

// acquit drops all that is held against a request and returns at how many ends it was. The
// caller holds mu.
func (e *Evidence) acquit(h Hash) (ends int) {
	s, ok := e.suspects[h]
	if !ok {
		return 0
	}
	ends = len(s.ends)
	for _, known := range s.ends {
		delete(known.requests, h)
		e.count--
	}
	delete(e.suspects, h)
	delete(e.accused, h)
	e.any.Store(len(e.suspects) > 0)
	return ends
}

// forget drops ends that are old, and the oldest while there is no room for another one
// with so many requests. The caller holds mu.
func (e *Evidence) forget(now time.Time, requests int) {
	for _, known := range e.ends {
		if now.Sub(known.at) > evidenceFor {
			e.dropEnd(known)
		}
	}
	for len(e.ends) > 0 && (len(e.ends) >= mostEnds || e.count+requests > mostHeld) {
		e.dropEnd(slices.MinFunc(slices.Collect(maps.Values(e.ends)), func(a, b *end) int { return a.at.Compare(b.at) }))
	}
}

// dropEnd forgets one end. The caller holds mu.
func (e *Evidence) dropEnd(known *end) {
	delete(e.ends, known.engine)
	e.count -= len(known.requests)
	for h := range known.requests {
		s := e.suspects[h]
		delete(s.ends, known.engine)
		if len(s.ends) < Conviction {
			delete(e.accused, h)
		}
		if len(s.ends) == 0 {
			delete(e.suspects, h)
		}
	}
}

// Ends returns at how many ends of engines a request was.
func (e *Evidence) Ends(h Hash) int {
	if !e.any.Load() {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.suspects[h]
	if !ok {
		return 0
	}
	return len(s.ends)
}

// Suspects returns how many requests there is something against.
func (e *Evidence) Suspects() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.suspects)
}
