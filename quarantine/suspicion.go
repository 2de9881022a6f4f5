package quarantine

import (
	"maps"
	"slices"
)

// Suspicion is what crashes say against a request, except those that verdicts on others explain.
type Suspicion struct {
	// Crashes is their number at which the request, or one that shares a part with it, was in
	// progress.
	Crashes int
	// Key is what these requests have in common.
	Key Hash
}

// Suspicion returns what speaks against a request, the zero value if nothing does.
func (e *Evidence) Suspicion(c Content) (worst Suspicion) {
	if !e.hasSuspects.Load() {
		return Suspicion{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	convicted := slices.ContainsFunc(e.convictions, func(v Verdict) bool { return v.covers(c) })
	for key := range c.keys() {
		s, ok := e.suspects[key]
		if !ok {
			continue
		}
		crashes := slices.DeleteFunc(slices.Collect(maps.Values(s.crashes)), func(known *crash) bool { return known.explained && !convicted })
		if s.shared && (len(crashes) < minSharedSuspicion || !isNarrow(crashes, []Hash{key})) {
			continue
		}
		if len(crashes) > worst.Crashes {
			worst = Suspicion{Crashes: len(crashes), Key: key}
		}
	}
	return worst
}

// isNarrow reports whether only few of the requests that crashes interrupted had all of the given
// keys.
func isNarrow(crashes []*crash, keys []Hash) bool {
	having, all := 0, 0
	for _, known := range crashes {
		all += len(known.contents)
		for _, content := range known.contents {
			if content.hasAll(keys) {
				having++
			}
		}
	}
	return having <= narrowCount*len(crashes) || having*narrowShare <= all
}
