package entry

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/rendezvous"
)

// centres returns the branches of a fleet of the given size that is spread evenly over count data
// centres, and the daemons that watch the store.
func centres(size, count int) (branches [][]membership.Member, watching []string) {
	branches = make([][]membership.Member, count)
	for i := range size {
		name := fmt.Sprint("d-", i)
		if i < maxWatchers {
			watching = append(watching, name)
			continue
		}
		branches[i%count] = append(branches[i%count], membership.Member{Name: name, Capacity: 1})
	}
	return branches, watching
}

// TestEveryDaemonHasAPathToTheStore guards against cycles and long paths in the tree, and against
// daemons with too many children. It follows the preferred parents of each daemon up to one that
// watches the store.
func TestEveryDaemonHasAPathToTheStore(t *testing.T) {
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
				c.Check(n <= 2*treeFanout, qt.IsTrue, qt.Commentf("%s has %d children", name, n))
			}
		})
	}
}

// TestAlternativeParentsAreUpstream guards against daemons that pull changes from one at their own
// depth or below when their preferred parent fails, and wait for each other: the alternative
// parents must be nearer to the store than the daemon itself.
func TestAlternativeParentsAreUpstream(t *testing.T) {
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
				c.Check(placeInTree(other, branch, watching).depth < p.depth, qt.IsTrue, qt.Commentf("%s is not below its parent %s", name, other))
			}
		}
	}
}

// TestLossOfADaemonChangesFewParents guards against a reorganisation of the whole tree when one
// daemon is lost. The preferred parent may change only for its children, for the daemons that
// move up a level in its place, and for the children of these.
func TestLossOfADaemonChangesFewParents(t *testing.T) {
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

// TestHostsOfHighCapacityAreHeads checks that hosts of high capacity are usually the heads of their
// data centre, with 3 such hosts of about forty times the capacity of the 59 others. When all of
// them are lost at once, the order of the others must not change.
func TestHostsOfHighCapacityAreHeads(t *testing.T) {
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
	c.Check(float64(heads) >= 0.6*float64(treeHeads*rounds), qt.IsTrue, qt.Commentf("%d heads have a high capacity", heads))
}
