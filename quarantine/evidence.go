package quarantine

import (
	"bytes"
	"cmp"
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
	// evidenceFor is how long ends of engines are remembered.
	evidenceFor = 10 * time.Minute
	// mostEnds bounds the ends remembered, mostHeld the requests of all of them together,
	// mostVouched the requests that ended well here.
	mostEnds    = 1024
	mostHeld    = 32768
	mostVouched = 8192
)

// Verdict is the conviction of a request.
type Verdict struct {
	Hash Hash
	// Service and Versions are what it crashed, Engines the keys of the engines in order.
	Service  string
	Versions []string
	Engines  []string
	// First and Last are when the first and the last of them ended.
	First, Last time.Time
	// Tied tells that others were at all the same ends, so that one of them may have
	// crashed the engines in its place.
	Tied bool
}

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

// Judge returns the requests that crash engines, in the order of their hashes. A request
// is convicted by the ends that no other one explains better: the request that was at most
// of them goes first, and what it explains is not held against the rest. Requests at all
// the same ends are tied, since nothing tells them apart.
func (e *Evidence) Judge(now time.Time) []Verdict {
	if !e.any.Load() {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	candidates := e.candidates(now)
	explained := make(map[string]bool)
	var verdicts []Verdict
	for {
		worst := mostUnexplained(candidates, explained)
		if len(worst) == 0 {
			break
		}
		sole, tied := e.divide(worst, explained)
		for _, h := range sole {
			verdicts = append(verdicts, candidates[h].verdict(h, false))
		}
		for _, h := range tied {
			verdicts = append(verdicts, candidates[h].verdict(h, true))
		}
		for _, h := range worst {
			for key := range candidates[h].ends {
				explained[key] = true
			}
			delete(candidates, h)
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return bytes.Compare(a.Hash[:], b.Hash[:]) })
	return verdicts
}

// divide returns those of some suspects that were at an end where none of the others was,
// and of the rest those that these do not explain, which are tied. The caller holds mu.
func (e *Evidence) divide(worst []Hash, explained map[string]bool) (sole, tied []Hash) {
	present := make(map[string]int)
	for _, h := range worst {
		for key := range e.suspects[h].ends {
			present[key]++
		}
	}
	bySole := maps.Clone(explained)
	var rest []Hash
	for _, h := range worst {
		if !e.suspects[h].any(func(key string) bool { return present[key] == 1 && !explained[key] }) {
			rest = append(rest, h)
			continue
		}
		sole = append(sole, h)
		for key := range e.suspects[h].ends {
			bySole[key] = true
		}
	}
	for _, h := range rest {
		if e.suspects[h].any(func(key string) bool { return !bySole[key] }) {
			tied = append(tied, h)
		}
	}
	return sole, tied
}

// any tells whether something holds for one of the ends.
func (s *suspect) any(holds func(engine string) bool) bool {
	for key := range s.ends {
		if holds(key) {
			return true
		}
	}
	return false
}

// candidates are the suspects that were at enough ends and have been suspect for long
// enough. The caller holds mu.
func (e *Evidence) candidates(now time.Time) map[Hash]*suspect {
	found := make(map[Hash]*suspect)
	for h, s := range e.accused {
		if now.Sub(s.since) >= settleFor {
			found[h] = s
		}
	}
	return found
}

// mostUnexplained returns the suspects with most ends that are not explained, none when all
// ends are.
func mostUnexplained(candidates map[Hash]*suspect, explained map[string]bool) (worst []Hash) {
	most := 1
	for h, s := range candidates {
		count := 0
		for key := range s.ends {
			if !explained[key] {
				count++
			}
		}
		switch {
		case count > most:
			most, worst = count, []Hash{h}
		case count == most:
			worst = append(worst, h)
		}
	}
	return worst
}

// verdict describes a conviction.
func (s *suspect) verdict(h Hash, tied bool) Verdict {
	ends := slices.SortedFunc(maps.Values(s.ends), func(a, b *end) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.engine, b.engine))
	})
	v := Verdict{Hash: h, Service: ends[0].service, First: ends[0].at, Last: ends[len(ends)-1].at, Tied: tied}
	for _, known := range ends {
		v.Engines = append(v.Engines, known.engine)
		if !slices.Contains(v.Versions, known.version) {
			v.Versions = append(v.Versions, known.version)
		}
	}
	return v
}

// Explains tells whether one of the requests was at the end of an engine.
func (e *Evidence) Explains(engine string, convicted func(Hash) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.ends[engine]
	if !ok {
		return false
	}
	for h := range known.requests {
		if convicted(h) {
			return true
		}
	}
	return false
}

// settlesAt returns when it is known whether a request that was at enough ends is
// convicted, the zero time when there is nothing to wait for.
func (e *Evidence) settlesAt(h Hash) time.Time {
	if !e.any.Load() {
		return time.Time{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, accused := e.accused[h]
	if !accused {
		return time.Time{}
	}
	return s.since.Add(settleFor)
}

// unsettled tells whether a conviction waits for daemons that saw its request end well.
func (e *Evidence) unsettled(now time.Time) bool {
	if !e.any.Load() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.accused {
		if now.Sub(s.since) < settleFor {
			return true
		}
	}
	return false
}
