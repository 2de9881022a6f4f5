package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Verdict is the decision that requests crash engines: one request, or all that have certain keys in
// common.
type Verdict struct {
	// Hash is the key of these requests. With are further keys that a request must have as well,
	// while the evidence does not tell which of them matters.
	Hash Hash
	With []Hash
	// Shared is set if different requests may have the key.
	Shared bool
	// Service and Versions are what they crashed, Engines the keys of the engines in the order of
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

// covers reports whether the verdict is on a request.
func (v *Verdict) covers(c Content) bool { return c.has(v.Hash) && c.hasAll(v.With) }

// Evaluate returns the verdicts on requests that crash engines, in the order of their hashes.
//
// A key gets a verdict by the crashes that no other key explains better: the key whose requests were
// in progress at most crashes is taken first, and the crashes that it explains do not count against
// the others. The evidence cannot distinguish keys that occurred at the same crashes. If one request
// at each of them had all these keys, the verdict is on requests that have them all: the others show
// which of the keys matters, by completing or by crashing another engine. If different requests had
// different ones of them, the verdicts are tied.
func (e *Evidence) Evaluate(now time.Time) []Verdict {
	if !e.hasSuspects.Load() {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, known := range e.crashes {
		known.explained = false
	}
	candidates := e.candidates(now)
	explained := make(map[string]bool)
	var verdicts []Verdict
	for {
		leading := mostUnexplained(candidates, explained)
		if len(leading) == 0 {
			break
		}
		sole, tied := partition(e.groupByCrashes(leading, explained))
		for _, g := range sole {
			verdicts = append(verdicts, e.verdictsOn(g, false)...)
		}
		for _, g := range tied {
			verdicts = append(verdicts, e.verdictsOn(g, true)...)
		}
		for _, h := range leading {
			for key := range candidates[h].crashes {
				explained[key] = true
			}
			delete(candidates, h)
		}
	}
	e.convict(verdicts)
	slices.SortFunc(verdicts, func(a, b Verdict) int { return bytes.Compare(a.Hash[:], b.Hash[:]) })
	return verdicts
}

// convict records the verdicts that are not tied, and which crashes they explain. The caller holds mu.
func (e *Evidence) convict(verdicts []Verdict) {
	e.convictions = nil
	for _, v := range verdicts {
		if v.Tied {
			continue
		}
		e.convictions = append(e.convictions, v)
		for _, engine := range v.Engines {
			e.crashes[engine].explained = true
		}
	}
}

// verdictsOn returns the verdicts on the keys of a group: one for each of the largest sets of them
// that an interrupted request had. The caller holds mu.
func (e *Evidence) verdictsOn(g *group, tied bool) (verdicts []Verdict) {
	sets := largestSets(g)
	for _, keys := range sets {
		s := e.suspects[keys[0]]
		if s.shared && !isNarrow(g.crashes, keys) && (len(g.crashes) < wideThreshold || duration(g.crashes) < simultaneousWindow) {
			continue // The engines may as well have crashed for another reason.
		}
		if !s.shared {
			keys = keys[:1] // One request has all of its keys.
		}
		verdicts = append(verdicts, s.verdict(keys, tied || len(sets) > 1))
	}
	return verdicts
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

// verdict returns the Verdict on requests with all of the given keys, of which the suspect's is the
// first.
func (s *suspect) verdict(keys []Hash, tied bool) Verdict {
	crashes := slices.SortedFunc(maps.Values(s.crashes), func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.engine, b.engine))
	})
	v := Verdict{
		Hash: keys[0], Shared: s.shared, Service: crashes[0].service, First: crashes[0].at, Last: crashes[len(crashes)-1].at,
	}
	if len(keys) > 1 {
		v.With = slices.Clone(keys[1:])
	}
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
func (e *Evidence) Explains(engine string, isHeld func(Content) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.crashes[engine]
	if !ok {
		return false
	}
	for _, content := range known.contents {
		if isHeld(content) {
			return true
		}
	}
	return false
}

// verdictTime returns when the verdict on a request is due that, or a part of which, is suspected of
// enough crashes, or the zero time for any other request.
func (e *Evidence) verdictTime(c Content) (due time.Time) {
	if !e.hasSuspects.Load() {
		return time.Time{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for key := range c.keys() {
		if s, overThreshold := e.overThreshold[key]; overThreshold && due.Before(s.since.Add(minSuspectAge)) {
			due = s.since.Add(minSuspectAge)
		}
	}
	return due
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
