package bronzeturn

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/rendezvous"
)

// Bounds on the distribution of parts in a fleet of the target size.
const (
	targetDaemons  = 410
	targetWatchers = 4
	// maxClients bounds the daemons that fetch from the same one: its children in
	// each tree, and a few that replace a source because two of their trees have
	// the same parent.
	maxClients = partTrees*partChildren + 4
	// maxHops bounds the hops of a part until all daemons have it.
	maxHops = 3
)

func TestPartsReachTheFleetOverFewConnections(t *testing.T) {
	c := qt.New(t)
	var names []string
	for i := range targetDaemons {
		names = append(names, fmt.Sprintf("entry-%03d", i))
	}
	live, watchers := rendezvous.NewSet(names), names[:targetWatchers]
	clients := make(map[string]int)
	sources := make(map[string][]string)
	for _, name := range names {
		sources[name] = partSourcesOf(name, watchers, len(names), live)
		c.Assert(sources[name], qt.HasLen, partTrees)
		for _, source := range sources[name] {
			c.Assert(source, qt.Not(qt.Equals), name)
			clients[source]++
		}
	}
	for name, n := range clients {
		c.Check(n <= maxClients, qt.IsTrue, qt.Commentf("%s serves %d daemons", name, n))
	}
	c.Assert(countHops(names, watchers, sources) <= maxHops, qt.IsTrue)
}

// countHops returns the number of hops until all daemons have a part, or one more
// than there are names if it does not reach all.
func countHops(names, watchers []string, sources map[string][]string) int {
	has := make(map[string]bool)
	for _, name := range watchers {
		has[name] = true
	}
	for n := range len(names) {
		if len(has) == len(names) {
			return n
		}
		before := maps.Clone(has)
		for _, name := range names {
			if slices.ContainsFunc(sources[name], func(s string) bool { return before[s] }) {
				has[name] = true
			}
		}
	}
	return len(names) + 1
}

func TestSourcesOfPartsInSmallFleets(t *testing.T) {
	three := rendezvous.NewSet([]string{"a", "b", "c"})
	for _, tt := range []struct {
		name     string
		self     string
		watchers []string
		live     *rendezvous.Set
		want     int
	}{
		{"watcher", "b", []string{"a", "b", "c"}, three, 2},
		{"no watcher known", "b", nil, three, 2},
		{"daemon that the others do not know yet", "new", []string{"a"}, three, 3},
		{"only daemon", "a", []string{"a"}, rendezvous.NewSet([]string{"a"}), 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			sources := partSourcesOf(tt.self, tt.watchers, tt.live.Len(), tt.live)
			qt.Assert(t, sources, qt.HasLen, tt.want)
			qt.Assert(t, slices.Contains(sources, tt.self), qt.IsFalse)
		})
	}
}
