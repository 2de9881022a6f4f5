package entry

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/rendezvous"
)

// centres returns the branches of a fleet of a size whose daemons are divided among data
// centres, and the daemons that watch the store.
func centres(size, count int) (branches [][]membership.Member, watching []string) {
	branches = make([][]membership.Member, count)
	for i := range size {
		name := fmt.Sprint("d-", i)
		if i < mostWatchers {
			watching = append(watching, name)
			continue
		}
		branches[i%count] = append(branches[i%count], membership.Member{Name: name, Capacity: 1})
	}
	return branches, watching
}

// TestEveryDaemonHasAWayToTheStore follows the usual parents of each daemon up to one
// that watches, and counts how many daemons each one passes changes on to.
func TestEveryDaemonHasAWayToTheStore(t *testing.T) {
	for _, test := range []struct{ size, centres, longest int }{
		{1, 1, 1}, {4, 4, 1}, {7, 4, 1}, {30, 3, 2}, {91, 4, 3}, {295, 5, 3}, {410, 4, 3},
	} {
		t.Run(fmt.Sprint(test.size), func(t *testing.T) {
			c := qt.New(t)
			branches, watching := centres(test.size, test.centres)
			children := make(map[string]int)
			for _, branch := range branches {
				places := make(map[string]*treePlace)
				for _, name := range namesOf(branch) {
					places[name] = placeInTree(name, branch, watching)
				}
				for name, p := range places {
					children[p.parents[0]]++
					c.Check(p.depth <= test.longest, qt.IsTrue, qt.Commentf("%s is %d steps away", name, p.depth))
					c.Check(slices.Contains(p.parents, name), qt.IsFalse)
					steps := 1
					for at := p; places[at.parents[0]] != nil; at = places[at.parents[0]] {
						steps++
					}
					c.Check(steps, qt.Equals, p.depth)
				}
			}
			for name, n := range children {
				c.Check(n <= 2*treeFanout, qt.IsTrue, qt.Commentf("%s passes on to %d", name, n))
			}
		})
	}
}

// TestDaemonsWithoutTheirUsualParentHaveOthers takes each daemon's usual parent away: the
// next ones get changes no later than it did, so that nobody waits for one behind him.
func TestDaemonsWithoutTheirUsualParentHaveOthers(t *testing.T) {
	c := qt.New(t)
	branches, watching := centres(295, 5)
	for _, branch := range branches {
		for _, name := range namesOf(branch) {
			p := placeInTree(name, branch, watching)
			c.Assert(len(p.parents) >= 2, qt.IsTrue)
			for _, other := range p.parents[1:] {
				if slices.Contains(watching, other) {
					continue
				}
				c.Check(placeInTree(other, branch, watching).depth < p.depth, qt.IsTrue, qt.Commentf("%s behind %s", name, other))
			}
		}
	}
}

// TestLossOfADaemonMovesFewOthers counts the daemons whose usual parent changes when one
// goes: its children, those of the daemons that move up a level in turn, and these.
func TestLossOfADaemonMovesFewOthers(t *testing.T) {
	c := qt.New(t)
	branches, watching := centres(410, 4)
	branch, total := branches[0], 0
	for i, gone := range namesOf(branch) {
		rest := slices.Delete(slices.Clone(branch), i, i+1)
		moved := 0
		for _, name := range namesOf(rest) {
			if placeInTree(name, branch, watching).parents[0] != placeInTree(name, rest, watching).parents[0] {
				moved++
			}
		}
		total += moved
		c.Check(moved <= 4*treeFanout, qt.IsTrue, qt.Commentf("%s at place %d: %d moved", gone, i, moved))
	}
	c.Check(total <= 2*treeFanout*len(branch), qt.IsTrue, qt.Commentf("%d moved for %d losses", total, len(branch)))
}

// TestStrongHostsPassChangesOn has 3 of 59 hosts carry forty times what the others can:
// mostly they are the heads of their data centre, and when all of them are lost at once,
// the others are ranked as they were among themselves.
func TestStrongHostsPassChangesOn(t *testing.T) {
	c := qt.New(t)
	heads, rounds := 0, 200
	for round := range rounds {
		capacities := make(map[string]float64)
		for i := range 59 {
			capacities[fmt.Sprint("weak-", round, "-", i)] = 0.192 * 20
		}
		weak := rendezvous.NewWeighted(capacities).Top(treeKey, 59)
		for i := range 3 {
			capacities[fmt.Sprint("strong-", round, "-", i)] = 0.8 * 200
		}
		ranked := rendezvous.NewWeighted(capacities).Top(treeKey, 62)
		for _, name := range ranked[:treeHeads] {
			if capacities[name] > 100 {
				heads++
			}
		}
		left := slices.DeleteFunc(ranked, func(n string) bool { return capacities[n] > 100 })
		c.Check(left, qt.DeepEquals, weak)
	}
	c.Check(float64(heads) >= 0.6*float64(treeHeads*rounds), qt.IsTrue, qt.Commentf("%d heads are strong", heads))
}
