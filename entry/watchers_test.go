package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// turnedAway returns a function that reports whether a daemon is among those named.
func turnedAway(names ...string) func(string) bool {
	return func(name string) bool { return slices.Contains(names, name) }
}

func TestSubstitutesWatchForDaemonsTurnedAway(t *testing.T) {
	primary, ranked := []string{"a", "b"}, []string{"c", "b", "d", "a", "e", "f", "g", "h", "i", "j", "k", "l"}
	for _, test := range []struct {
		name string
		away []string
		want []string
	}{
		{"none", nil, []string{"a", "b"}},
		{"one", []string{"a"}, []string{"b", "c"}},
		{"all primary watchers", []string{"a", "b"}, []string{"c", "d"}},
		{"substitutes too", []string{"a", "b", "c"}, []string{"d", "e"}},
		{"a daemon that does not watch", []string{"e"}, []string{"a", "b"}},
		{"all daemons: no more than maxSubstitutes are considered for each", ranked, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := chooseWatchers(primary, ranked, turnedAway(test.away...))
			qt.Check(t, got, qt.DeepEquals, test.want)
		})
	}
}

// TestStoreThatTurnsAwayAThirdIsStillWatched guards against fleets in which no daemon watches the
// store. The store turns away a third of the daemons, including the primary watchers, as a store
// does that limits the clients with the most calls. In at least 95 % of the cases some daemon must
// watch, for fleets of several sizes.
func TestStoreThatTurnsAwayAThirdIsStillWatched(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	const rounds = 2000
	for _, size := range []int{6, 30, 91, 410} {
		primary := []string{"d-0", "d-1", "d-2"}
		unwatched := 0
		for range rounds {
			ranked := make([]string, size)
			for i := range ranked {
				ranked[i] = fmt.Sprint("d-", i)
			}
			random.Shuffle(size, func(i, j int) { ranked[i], ranked[j] = ranked[j], ranked[i] })
			away := slices.Clone(primary)
			for _, name := range ranked {
				if random.Float64() < 1.0/3 {
					away = append(away, name)
				}
			}
			if len(chooseWatchers(primary, ranked, turnedAway(away...))) == 0 {
				unwatched++
			}
		}
		c.Check(unwatched <= rounds/20, qt.IsTrue, qt.Commentf("%d daemons: unwatched %d of %d", size, unwatched, rounds))
	}
}

// TestFewDaemonsTryAStoreThatIsDown guards against calls of the whole fleet during an outage of the
// store: the number of daemons that try to watch is limited.
func TestFewDaemonsTryAStoreThatIsDown(t *testing.T) {
	c := qt.New(t)
	ranked := make([]string, 410)
	for i := range ranked {
		ranked[i] = fmt.Sprint("d-", i)
	}
	primary := ranked[:4:4]
	away := slices.Clone(primary)
	for {
		trying := chooseWatchers(primary, ranked, turnedAway(away...))
		if len(trying) == 0 {
			break
		}
		away = append(away, trying...)
	}
	c.Check(len(away), qt.Equals, len(primary)+maxSubstitutes*len(primary))
}
