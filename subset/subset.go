// Package subset selects the engines that one daemon sees. At the target size
// a daemon keeps state and connections for about 65 of 5,300 engines. Every
// daemon computes the whole assignment from the same lists and reads its own
// part of it, so nothing has to be agreed. Daemons whose lists differ for a
// while see slightly different engines, which does no harm.
package subset

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Least numbers kept whatever the size asked for.
const (
	// minPerGroup is the number of engines of one group that a daemon sees, so
	// that two can be compared.
	minPerGroup = 2
	// minDaemons is the number of daemons that see an engine.
	minDaemons = 2
)

// Selection is the set of engines that one daemon sees.
type Selection struct {
	all   bool
	names map[string]struct{}
}

// Contains tells whether the daemon sees the engine.
func (s Selection) Contains(e *bronzeturnv1.Engine) bool {
	if s.all {
		return true
	}
	_, ok := s.names[e.GetName()]
	return ok
}

// All tells whether the daemon sees every engine.
func (s Selection) All() bool { return s.all }

// Len returns the number of engines selected, zero when all are.
func (s Selection) Len() int { return len(s.names) }

// Choose selects the engines for the daemon self among the live daemons. About
// size engines are selected: each daemon gets the same number, each engine
// goes to the same number of daemons, and engines that serve the same versions
// are spread over the data centres in proportion. When there are no more than
// size engines, all are selected.
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

// withSelf returns the daemons in order, each once, self included.
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

// group holds the engines that serve the same versions, in order of name.
type group struct {
	key     string
	engines []*bronzeturnv1.Engine
	// size is the number of them that each daemon sees.
	size int
}

// groups splits the engines by the versions that they serve.
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

// groupKey names the set of versions that the engine serves.
func groupKey(e *bronzeturnv1.Engine) string {
	versions := slices.Clone(e.GetVersions())
	slices.Sort(versions)
	return strings.Join(versions, "\x00")
}

// groupSize returns how many engines of a group a daemon sees: the group's
// share of size, but enough to compare two and to reach every engine.
func groupSize(members, engines, daemons, size int) int {
	share := int(math.Round(float64(size) * float64(members) / float64(engines)))
	reach := (min(minDaemons, daemons)*members + daemons - 1) / daemons
	return min(members, max(share, reach, minPerGroup))
}
