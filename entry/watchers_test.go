package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// awayOf tells of a list of daemons that they are turned away.
func awayOf(names ...string) func(string) bool {
	return func(name string) bool { return slices.Contains(names, name) }
}

func TestOthersWatchInThePlaceOfThoseTurnedAway(t *testing.T) {
	first, ranked := []string{"a", "b"}, []string{"c", "b", "d", "a", "e", "f", "g", "h", "i", "j", "k", "l"}
	for _, test := range []struct {
		name string
		away []string
		want []string
	}{
		{"nobody", nil, []string{"a", "b"}},
		{"one", []string{"a"}, []string{"b", "c"}},
		{"all whose turn it is", []string{"a", "b"}, []string{"c", "d"}},
		{"substitutes too", []string{"a", "b", "c"}, []string{"d", "e"}},
		{"somebody who does not watch", []string{"e"}, []string{"a", "b"}},
		{"everybody: no more are tried than the bound", ranked, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := chooseWatchers(first, ranked, awayOf(test.away...))
			qt.Check(t, got, qt.DeepEquals, test.want)
		})
	}
}

// TestStoreThatTurnsAThirdAwayIsStillWatched draws fleets of the users' sizes in which a
// third of the daemons are turned away, those that watch first among them, as a store
// does that refuses whoever asks most. Some daemon watches nearly always.
func TestStoreThatTurnsAThirdAwayIsStillWatched(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	const rounds = 2000
	for _, size := range []int{6, 30, 91, 410} {
		first := []string{"d-0", "d-1", "d-2"}
		unwatched := 0
		for range rounds {
			ranked := make([]string, size)
			for i := range ranked {
				ranked[i] = fmt.Sprint("d-", i)
			}
			random.Shuffle(size, func(i, j int) { ranked[i], ranked[j] = ranked[j], ranked[i] })
			away := slices.Clone(first)
			for _, name := range ranked {
				if random.Float64() < 1.0/3 {
					away = append(away, name)
				}
			}
			if len(chooseWatchers(first, ranked, awayOf(away...))) == 0 {
				unwatched++
			}
		}
		c.Check(unwatched <= rounds/20, qt.IsTrue, qt.Commentf("%d daemons: unwatched %d of %d", size, unwatched, rounds))
	}
}

// TestStoreThatIsDownIsTriedByFew counts the daemons that try in an outage for all.
func TestStoreThatIsDownIsTriedByFew(t *testing.T) {
	c := qt.New(t)
	ranked := make([]string, 410)
	for i := range ranked {
		ranked[i] = fmt.Sprint("d-", i)
	}
	first := ranked[:4:4]
	away := slices.Clone(first)
	for {
		trying := chooseWatchers(first, ranked, awayOf(away...))
		if len(trying) == 0 {
			break
		}
		away = append(away, trying...)
	}
	c.Check(len(away), qt.Equals, len(first)+mostSubstitutes*len(first))
}
