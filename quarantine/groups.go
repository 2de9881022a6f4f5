package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"time"
)

// group is a set of suspects with the same unexplained crashes.
type group struct {
	keys    []Hash
	crashes []*crash
}

// groupByCrashes divides suspects by their unexplained crashes. The caller holds mu.
func (e *Evidence) groupByCrashes(keys []Hash, explained map[string]bool) []*group {
	slices.SortFunc(keys, func(a, b Hash) int { return bytes.Compare(a[:], b[:]) })
	byCrashes := make(map[string]*group)
	var groups []*group
	for _, key := range keys {
		var engines []string
		for engine := range e.suspects[key].crashes {
			if !explained[engine] {
				engines = append(engines, engine)
			}
		}
		slices.Sort(engines)
		id := strings.Join(engines, " ")
		g := byCrashes[id]
		if g == nil {
			g = &group{}
			for _, engine := range engines {
				g.crashes = append(g.crashes, e.crashes[engine])
			}
			byCrashes[id] = g
			groups = append(groups, g)
		}
		g.keys = append(g.keys, key)
	}
	return groups
}

// partition divides groups with equally many crashes. It returns in sole those with a crash that
// none of the others has, and in tied those of the rest that have crashes which the sole ones do
// not explain.
func partition(groups []*group) (sole, tied []*group) {
	present := make(map[*crash]int)
	for _, g := range groups {
		for _, known := range g.crashes {
			present[known]++
		}
	}
	bySole := make(map[*crash]bool)
	var rest []*group
	for _, g := range groups {
		if !slices.ContainsFunc(g.crashes, func(known *crash) bool { return present[known] == 1 }) {
			rest = append(rest, g)
			continue
		}
		sole = append(sole, g)
		for _, known := range g.crashes {
			bySole[known] = true
		}
	}
	for _, g := range rest {
		if slices.ContainsFunc(g.crashes, func(known *crash) bool { return !bySole[known] }) {
			tied = append(tied, g)
		}
	}
	return sole, tied
}

// largestSets returns the sets of a group's keys that interrupted requests had, without those that
// are contained in others. Keys are in the order of the requests' keys.
func largestSets(g *group) [][]Hash {
	if len(g.keys) == 1 {
		return [][]Hash{g.keys}
	}
	found := make(map[string][]Hash)
	for _, known := range g.crashes {
		for _, content := range known.contents {
			var keys []Hash
			for key := range content.keys() {
				if slices.Contains(g.keys, key) {
					keys = append(keys, key)
				}
			}
			if id := setID(keys); len(keys) > 0 && (found[id] == nil || compareHashes(keys, found[id]) < 0) {
				found[id] = keys
			}
		}
	}
	var largest [][]Hash
	for _, id := range slices.Sorted(maps.Keys(found)) {
		keys := found[id]
		contained := false
		for _, other := range found {
			contained = contained || len(other) > len(keys) && isSubset(keys, other)
		}
		if !contained {
			largest = append(largest, keys)
		}
	}
	return largest
}

// setID identifies a set of keys regardless of their order.
func setID(keys []Hash) string {
	sorted := slices.SortedFunc(slices.Values(keys), func(a, b Hash) int { return bytes.Compare(a[:], b[:]) })
	return strings.Join(Strings(sorted), " ")
}

// compareHashes orders lists of keys.
func compareHashes(a, b []Hash) int {
	return slices.CompareFunc(a, b, func(x, y Hash) int { return bytes.Compare(x[:], y[:]) })
}

// isSubset reports whether all keys are among others.
func isSubset(keys, others []Hash) bool {
	return !slices.ContainsFunc(keys, func(key Hash) bool { return !slices.Contains(others, key) })
}

// duration returns the time from the first to the last crash.
func duration(crashes []*crash) time.Duration {
	first, last := crashes[0].at, crashes[0].at
	for _, known := range crashes {
		if known.at.Before(first) {
			first = known.at
		}
		if known.at.After(last) {
			last = known.at
		}
	}
	return last.Sub(first)
}
