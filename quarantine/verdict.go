package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
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
	// Tied tells that something else may have ended the engines: others were at all the same
	// ends, or all of these came together, as when a rack loses power.
	Tied bool
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
	v := Verdict{Hash: h, Service: ends[0].service, First: ends[0].at, Last: ends[len(ends)-1].at}
	v.Tied = tied || v.Last.Sub(v.First) < togetherFor
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
