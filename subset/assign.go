package subset

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// pair is a daemon and an engine with the weight of the pair.
type pair struct {
	weight uint64
	daemon int32
	engine int32
}

// weight returns the weight of a pair from the hashes of its names, as in
// rendezvous hashing. It does not depend on the other daemons and engines, so that
// most of an assignment is kept when a daemon or engine is added or removed.
func weight(daemon, engine uint64) uint64 {
	x := daemon ^ (engine * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// assignment assigns size engines to each daemon, greedily in descending order of
// the weight of the pairs.
type assignment struct {
	size         int
	dataCentre   []int     // index of the data centre, by engine
	maxPerCentre []int     // maximum number of engines of a daemon, by data centre
	daemonCount  []int     // number of daemons that see an engine, by engine
	assigned     [][]int32 // assigned engines, by daemon
	centreCount  [][]int   // number of assigned engines, by daemon and data centre
	unfilled     int       // number of pairs still to be assigned
}

// assign returns for each daemon the indexes of the engines of the group that it
// sees. The first two passes keep the daemons per engine within one of the mean and
// the data centres in proportion; the last one assigns what these limits leave open.
func assign(daemons []uint64, g *group) [][]int32 {
	a := newAssignment(len(daemons), g)
	engines := make([]uint64, len(g.engines))
	for i, e := range g.engines {
		engines[i] = xxhash.Sum64String(e.GetName())
	}
	w := newWeights(daemons, engines, g.size)
	floor := len(daemons) * g.size / len(engines)
	a.fill(w, floor, true)
	a.fill(w, floor+1, true)
	a.fill(w, math.MaxInt, false)
	return a.assigned
}

func newAssignment(daemons int, g *group) *assignment {
	a := &assignment{
		size:        g.size,
		daemonCount: make([]int, len(g.engines)),
		assigned:    make([][]int32, daemons),
		centreCount: make([][]int, daemons),
		unfilled:    daemons * g.size,
	}
	index := make(map[string]int)
	var members []int
	for _, e := range g.engines {
		i, ok := index[e.GetDataCentre()]
		if !ok {
			i = len(members)
			index[e.GetDataCentre()] = i
			members = append(members, 0)
		}
		members[i]++
		a.dataCentre = append(a.dataCentre, i)
	}
	for _, n := range members {
		a.maxPerCentre = append(a.maxPerCentre, (g.size*n+len(g.engines)-1)/len(g.engines))
	}
	for i := range a.centreCount {
		a.centreCount[i] = make([]int, len(members))
	}
	return a
}

// presortFactor is the number of pairs that are sorted first, as a multiple of the
// pairs needed. Of the other pairs, only those that can still be assigned are
// sorted, which saves most of the time.
const presortFactor = 4

// weights provides the pairs of a group in descending order of weight.
type weights struct {
	daemons, engines []uint64
	// top holds the pairs with a weight of at least limit, in descending order.
	top   []pair
	limit uint64
}

func newWeights(daemons, engines []uint64, size int) *weights {
	w := &weights{daemons: daemons, engines: engines}
	if share := presortFactor * float64(size) / float64(len(engines)); share < 1 {
		w.limit = uint64((1 - share) * math.MaxUint64)
	}
	needed := len(daemons) * size
	w.top = make([]pair, 0, min(needed*(presortFactor+1), len(daemons)*len(engines)))
	for d := range daemons {
		for e := range engines {
			if p := w.pair(d, e); p.weight >= w.limit {
				w.top = append(w.top, p)
			}
		}
	}
	slices.SortFunc(w.top, comparePairs)
	return w
}

func (w *weights) pair(d, e int) pair {
	return pair{weight: weight(w.daemons[d], w.engines[e]), daemon: int32(d), engine: int32(e)}
}

// remaining returns the pairs below w.limit that fit, in descending order of weight.
func (w *weights) remaining(a *assignment, limit int, spread bool) []pair {
	var pairs []pair
	for d := range w.daemons {
		if len(a.assigned[d]) >= a.size {
			continue
		}
		for e := range w.engines {
			if a.daemonCount[e] >= limit {
				continue
			}
			if p := w.pair(d, e); p.weight < w.limit && a.fits(p, limit, spread) {
				pairs = append(pairs, p)
			}
		}
	}
	slices.SortFunc(pairs, comparePairs)
	return pairs
}

func comparePairs(a, b pair) int {
	if a.weight != b.weight {
		return cmp.Compare(b.weight, a.weight)
	}
	return cmp.Or(cmp.Compare(a.daemon, b.daemon), cmp.Compare(a.engine, b.engine))
}

// fill assigns all pairs that fit, in descending order of weight.
func (a *assignment) fill(w *weights, limit int, spread bool) {
	a.assignPairs(w.top, limit, spread)
	if a.unfilled > 0 && w.limit > 0 {
		a.assignPairs(w.remaining(a, limit, spread), limit, spread)
	}
}

func (a *assignment) assignPairs(pairs []pair, limit int, spread bool) {
	for _, p := range pairs {
		if a.unfilled == 0 {
			return
		}
		if !a.fits(p, limit, spread) {
			continue
		}
		a.assigned[p.daemon] = append(a.assigned[p.daemon], p.engine)
		a.centreCount[p.daemon][a.dataCentre[p.engine]]++
		a.daemonCount[p.engine]++
		a.unfilled--
	}
}

// fits reports whether the pair is not assigned yet, the daemon has fewer than size
// engines, the engine is assigned to fewer than limit daemons and, if spread is
// set, the daemon may take another engine of the data centre. A pair that does not
// fit will not fit later with the same limit and spread.
func (a *assignment) fits(p pair, limit int, spread bool) bool {
	if len(a.assigned[p.daemon]) >= a.size || a.daemonCount[p.engine] >= limit {
		return false
	}
	centre := a.dataCentre[p.engine]
	if spread && a.centreCount[p.daemon][centre] >= a.maxPerCentre[centre] {
		return false
	}
	return !slices.Contains(a.assigned[p.daemon], p.engine)
}
