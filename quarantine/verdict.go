package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Verdict is the decision that a request crashes engines.
type Verdict struct {
	Hash Hash
	// Service and Versions are what it crashed, Engines the keys of the engines in the order of
	// their crashes.
	Service  string
	Versions []string
	Engines  []string
	// First and Last are the times of the first and the last crash.
	First, Last time.Time
	// Tied is set if something else may have caused the crashes: other requests were in
	// progress at the same ones, or all of them were simultaneous, as when a rack loses power.
	Tied bool
}

// Evaluate returns the requests that crash engines, in the order of their hashes.
//
// A request gets a verdict by the crashes that no other request explains better: the request
// that was in progress at most crashes is taken first, and the crashes that it explains do not
// count against the others. Requests that were in progress at the same crashes are tied, since
// the evidence cannot distinguish them.
func (e *Evidence) Evaluate(now time.Time) []Verdict {
	if !e.hasSuspects.Load() {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	candidates := e.candidates(now)
	explained := make(map[string]bool)
	var verdicts []Verdict
	for {
		leading := mostUnexplained(candidates, explained)
		if len(leading) == 0 {
			break
		}
		sole, tied := e.partition(leading, explained)
		for _, h := range sole {
			verdicts = append(verdicts, candidates[h].verdict(h, false))
		}
		for _, h := range tied {
			verdicts = append(verdicts, candidates[h].verdict(h, true))
		}
		for _, h := range leading {
			for key := range candidates[h].crashes {
				explained[key] = true
			}
			delete(candidates, h)
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return bytes.Compare(a.Hash[:], b.Hash[:]) })
	return verdicts
}

// partition divides suspects with equally many unexplained crashes. It returns in sole those
// that were in progress at a crash where none of the others was, and in tied those of the rest
// that have crashes which the sole ones do not explain. The caller holds mu.
func (e *Evidence) partition(leading []Hash, explained map[string]bool) (sole, tied []Hash) {
	present := make(map[string]int)
	for _, h := range leading {
		for key := range e.suspects[h].crashes {
			present[key]++
		}
	}
	bySole := maps.Clone(explained)
	var rest []Hash
	for _, h := range leading {
		if !e.suspects[h].anyCrash(func(key string) bool { return present[key] == 1 && !explained[key] }) {
			rest = append(rest, h)
			continue
		}
		sole = append(sole, h)
		for key := range e.suspects[h].crashes {
			bySole[key] = true
		}
	}
	for _, h := range rest {
		if e.suspects[h].anyCrash(func(key string) bool { return !bySole[key] }) {
			tied = append(tied, h)
		}
	}
	return sole, tied
}

// anyCrash reports whether the predicate holds for one of the crashes.
func (s *suspect) anyCrash(holds func(engine string) bool) bool {
	for key := range s.crashes {
		if holds(key) {
			return true
		}
	}
	return false
}

// candidates returns the suspects of enough crashes that have been suspects for at least
// minSuspectAge. The caller holds mu.
func (e *Evidence) candidates(now time.Time) map[Hash]*suspect {
	found := make(map[Hash]*suspect)
	for h, s := range e.overThreshold {
		if now.Sub(s.since) >= minSuspectAge {
			found[h] = s
		}
	}
	return found
}

// mostUnexplained returns the suspects with the most unexplained crashes, or none if all
// crashes are explained.
func mostUnexplained(candidates map[Hash]*suspect, explained map[string]bool) (leading []Hash) {
	most := 1
	for h, s := range candidates {
		count := 0
		for key := range s.crashes {
			if !explained[key] {
				count++
			}
		}
		switch {
		case count > most:
			most, leading = count, []Hash{h}
		case count == most:
			leading = append(leading, h)
		}
	}
	return leading
}

// verdict returns the Verdict on a suspect.
func (s *suspect) verdict(h Hash, tied bool) Verdict {
	crashes := slices.SortedFunc(maps.Values(s.crashes), func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.engine, b.engine))
	})
	v := Verdict{Hash: h, Service: crashes[0].service, First: crashes[0].at, Last: crashes[len(crashes)-1].at}
	v.Tied = tied || v.Last.Sub(v.First) < simultaneousWindow
	for _, known := range crashes {
		v.Engines = append(v.Engines, known.engine)
		if !slices.Contains(v.Versions, known.version) {
			v.Versions = append(v.Versions, known.version)
		}
	}
	return v
}

// Explains reports whether one of the held requests was in progress at the crash of an engine.
func (e *Evidence) Explains(engine string, isHeld func(Hash) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.crashes[engine]
	if !ok {
		return false
	}
	for h := range known.requests {
		if isHeld(h) {
			return true
		}
	}
	return false
}

// verdictTime returns when the verdict on a suspect of enough crashes is due, or the zero time
// for any other request.
func (e *Evidence) verdictTime(h Hash) time.Time {
	if !e.hasSuspects.Load() {
		return time.Time{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, overThreshold := e.overThreshold[h]
	if !overThreshold {
		return time.Time{}
	}
	return s.since.Add(minSuspectAge)
}

// hasPending reports whether a verdict is delayed by minSuspectAge, so that daemons that saw its
// request complete can report that first.
func (e *Evidence) hasPending(now time.Time) bool {
	if !e.hasSuspects.Load() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.overThreshold {
		if now.Sub(s.since) < minSuspectAge {
			return true
		}
	}
	return false
}
