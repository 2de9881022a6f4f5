package entry

import (
	"slices"

	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/rendezvous"
)

const (
	// treeKey ranks the daemons of a data centre for passing changes on.
	treeKey = "changes/tree"
	// treeHeads is how many daemons of a data centre take changes from those that watch
	// the store: two, so that the loss of one does not cut the others off, and bytes
	// between data centres are those of two daemons, whatever their number.
	treeHeads = 2
	// treeFanout is to how many daemons one passes changes on in the mean. A change of 200
	// engines is about 60 KB: passed on eight times it takes a link of 20 Mbit/s 0.2 s,
	// and 410 daemons in four data centres are at most three steps from one that watches.
	treeFanout = 8
)

// treePlace is where a daemon stands in the tree over which changes of the store's
// objects are passed on. The daemons that watch the store are its roots. Each data centre
// has a branch of its own, whose levels are filled in the order of the daemons' ranks, so
// that hosts that can carry more tend to be near the roots; each daemon has a parent in
// the level above by rendezvous hashing, so that one that comes or goes moves few others.
// All daemons work the tree out alike from their views.
type treePlace struct {
	view     *membership.View
	watching []string
	// parents are the daemons to take changes from, the usual one first.
	parents []string
	// above are all daemons that get changes earlier, of the data centre and the roots.
	above []string
	// depth is the number of steps from the store, at least 1.
	depth int
}

// tree returns this daemon's place.
func (f *fleet) tree() *treePlace {
	view, watching := f.members.View(), f.watchers.names()
	last := f.lastTree.Load()
	if last != nil && last.view == view && slices.Equal(last.watching, watching) {
		return last
	}
	next := placeInTree(view.Self, branchOf(view, watching), watching)
	next.view, next.watching = view, watching
	f.lastTree.Store(next)
	return next
}

// branchOf returns the live daemons of this daemon's data centre that do not watch, in
// the order of their ranks.
func branchOf(view *membership.View, watching []string) []membership.Member {
	self, _ := view.Member(view.Self)
	var branch []membership.Member
	for _, name := range view.Top(treeKey, view.Live()) {
		m, _ := view.Member(name)
		if m.DataCentre == self.DataCentre && !slices.Contains(watching, name) {
			branch = append(branch, m)
		}
	}
	return branch
}

// placeInTree returns the place of a daemon whose data centre has the branch. One that is
// not in it, such as one that leaves, counts as its last.
func placeInTree(self string, branch []membership.Member, watching []string) *treePlace {
	roots := slices.DeleteFunc(slices.Clone(watching), func(name string) bool { return name == self })
	at := slices.IndexFunc(branch, func(m membership.Member) bool { return m.Name == self })
	switch {
	case slices.Contains(watching, self):
		at = 0
	case at < 0:
		at = len(branch)
	}
	p := &treePlace{depth: 1, above: roots}
	first, size := 0, treeHeads // The level that the daemon is compared with.
	for at >= first+size {
		level := branch[first : first+size]
		p.parents = append(weighted(level).Top(self, size), p.parents...)
		p.above = append(p.above, namesOf(level)...)
		first, size = first+size, size*treeFanout
		p.depth++
	}
	p.parents = append(p.parents, rendezvous.Top(self, roots, len(roots))...)
	return p
}

// namesOf returns the names of some daemons.
func namesOf(members []membership.Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	return names
}
