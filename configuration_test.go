package bronzeturn

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/rendezvous"
)

// Bounds of the exchange of parts in a fleet of the target size.
const (
	targetDaemons = 410
	// maxAskers bounds how many daemons ask the same one.
	maxAskers = 24
	// maxRounds bounds the daemons that a part passes from a watcher to any
	// other, if every daemon had to hear from the same source each time.
	maxRounds = 6
)

func TestPartsReachTheFleetOverFewConnections(t *testing.T) {
	c := qt.New(t)
	var names []string
	for i := range targetDaemons {
		names = append(names, fmt.Sprintf("entry-%03d", i))
	}
	live := rendezvous.NewSet(names)
	asked := make(map[string]int)
	sources := make(map[string][]string)
	for _, name := range names {
		sources[name] = partSourcesOf(name, live)
		c.Assert(sources[name], qt.HasLen, partSources)
		for _, source := range sources[name] {
			c.Assert(source, qt.Not(qt.Equals), name)
			asked[source]++
		}
	}
	for name, n := range asked {
		c.Check(n <= maxAskers, qt.IsTrue, qt.Commentf("%s is asked by %d", name, n))
	}

	has := map[string]bool{names[0]: true}
	rounds := 0
	for len(has) < len(names) && rounds < maxRounds {
		rounds++
		next := make(map[string]bool)
		for _, name := range names {
			for _, source := range sources[name] {
				if has[source] {
					next[name] = true
				}
			}
		}
		for name := range next {
			has[name] = true
		}
	}
	c.Assert(has, qt.HasLen, len(names))
	t.Logf("%d rounds", rounds)
}

func TestSmallFleetAsksAllOthers(t *testing.T) {
	live := rendezvous.NewSet([]string{"a", "b", "c"})
	qt.Assert(t, partSourcesOf("b", live), qt.ContentEquals, []string{"a", "c"})
	qt.Assert(t, partSourcesOf("new", live), qt.HasLen, 3)
	qt.Assert(t, partSourcesOf("a", rendezvous.NewSet([]string{"a"})), qt.HasLen, 0)
}
