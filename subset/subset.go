// Package subset selects the engines that one daemon sees (subsetting). At the
// target size, a daemon keeps state and connections for about 65 of 5,300 engines.
// Each daemon computes the whole assignment from the same lists and uses its own
// part, so no coordination is needed. Daemons whose lists differ temporarily see
// slightly different engines, which is harmless.
package subset

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Lower bounds that hold for any requested size.
const (
	// minPerGroup is the minimum number of engines of a group that a daemon sees,
	// so that two can be compared.
	minPerGroup = 2
	// minDaemons is the minimum number of daemons that see an engine.
	minDaemons = 2
)

// Selection is the set of engines that one daemon sees.
type Selection struct {
	all   bool
	names map[string]struct{}
}

// Contains reports whether the daemon sees the engine.
func (s Selection) Contains(e *bronzeturnv1.Engine) bool {
	if s.all {
		return true
	}
	_, ok := s.names[e.GetName()]
	return ok
}

// All reports whether the daemon sees every engine.
func (s Selection) All() bool { return s.all }

// Len returns the number of selected engines, or zero if All is true.
func (s Selection) Len() int { return len(s.names) }

// Choose selects about size engines for the daemon self, one of the live daemons.
// Each daemon gets the same number of engines, each engine is assigned to about the
// same number of daemons, and engines that serve the same versions are selected
// from the data centres in proportion. If there are no more than size engines, all
// are selected.
func Choose(self string, daemons []string, engines []*bronzeturnv1.Engine, size int) Selection {
	if len(engines) <= size {
		return Selection{all: true}
	}
	names := withSelf(self, daemons)
	own, _ := slices.BinarySearch(names, self)
	selection := Selection{names: make(map[string]struct{}, size+size/4)}
	hashes := hashAll(names)
	for _, g := range groups(engines) {
		g.size = groupSize(len(g.engines), len(engines), len(names), size)
		for _, e := range assign(hashes, g)[own] {
			selection.names[g.engines[e].GetName()] = struct{}{}
		}
	}
	return selection
}

// withSelf returns the daemons and self, sorted and without duplicates.
func withSelf(self string, daemons []string) []string {
	names := append(slices.Clone(daemons), self)
	slices.Sort(names)
	return slices.Compact(names)
}

func hashAll(names []string) []uint64 {
	hashes := make([]uint64, len(names))
	for i, name := range names {
		hashes[i] = xxhash.Sum64String(name)
	}
	return hashes
}

// group holds the engines that serve the same versions, sorted by name.
type group struct {
	key     string
	engines []*bronzeturnv1.Engine
	// size is the number of them that each daemon sees.
	size int
}

// groups groups the engines by the versions that they serve.
func groups(engines []*bronzeturnv1.Engine) []*group {
	byKey := make(map[string]*group)
	var list []*group
	for _, e := range engines {
		key := groupKey(e)
		g, ok := byKey[key]
		if !ok {
			g = &group{key: key}
			byKey[key] = g
			list = append(list, g)
		}
		g.engines = append(g.engines, e)
	}
	for _, g := range list {
		slices.SortFunc(g.engines, func(a, b *bronzeturnv1.Engine) int {
			return strings.Compare(a.GetName(), b.GetName())
		})
	}
	return list
}

// groupKey returns a key for the set of versions that the engine serves.
func groupKey(e *bronzeturnv1.Engine) string {
	versions := slices.Clone(e.GetVersions())
	slices.Sort(versions)
	return strings.Join(versions, "\x00")
}

// groupSize returns the number of engines of a group that a daemon sees: the
// group's share of size, but at least minPerGroup and enough that minDaemons
// daemons see each engine.
func groupSize(members, engines, daemons, size int) int {
	share := int(math.Round(float64(size) * float64(members) / float64(engines)))
	reach := (min(minDaemons, daemons)*members + daemons - 1) / daemons
	return min(members, max(share, reach, minPerGroup))
}
