package subset

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// pair is a daemon and an engine with the weight of their match.
type pair struct {
	weight uint64
	daemon int32
	engine int32
}

// weight mixes two hashes. Each pair has its own weight, which does not depend
// on the other daemons and engines; that keeps most of an assignment when one
// of them comes or goes.
func weight(daemon, engine uint64) uint64 {
	x := daemon ^ (engine * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// assignment fills places of daemons with engines, the heaviest pairs first.
type assignment struct {
	size       int
	dataCentre []int // of each engine
	perCentre  []int // most engines of a data centre that a daemon takes
	load       []int // daemons that see the engine
	taken      [][]int32
	centres    [][]int // engines taken, by daemon and data centre
	missing    int     // places not yet filled
}

// assign returns for each daemon the engines of the group that it sees.
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
	return a.taken
}

func newAssignment(daemons int, g *group) *assignment {
	a := &assignment{
		size:    g.size,
		load:    make([]int, len(g.engines)),
		taken:   make([][]int32, daemons),
		centres: make([][]int, daemons),
		missing: daemons * g.size,
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
		a.perCentre = append(a.perCentre, (g.size*n+len(g.engines)-1)/len(g.engines))
	}
	for i := range a.centres {
		a.centres[i] = make([]int, len(members))
	}
	return a
}

// heavyFactor is how many times the places needed are sorted at first. The
// other pairs are only sorted where they can still fill a place, which saves
// most of the time.
const heavyFactor = 4

// weights gives the pairs of a group in order of weight.
type weights struct {
	daemons, engines []uint64
	// heavy holds the pairs from limit on, the heaviest first.
	heavy []pair
	limit uint64
}

func newWeights(daemons, engines []uint64, size int) *weights {
	w := &weights{daemons: daemons, engines: engines}
	if share := heavyFactor * float64(size) / float64(len(engines)); share < 1 {
		w.limit = uint64((1 - share) * math.MaxUint64)
	}
	places := len(daemons) * size
	w.heavy = make([]pair, 0, min(places*(heavyFactor+1), len(daemons)*len(engines)))
	for d := range daemons {
		for e := range engines {
			if p := w.pair(d, e); p.weight >= w.limit {
				w.heavy = append(w.heavy, p)
			}
		}
	}
	slices.SortFunc(w.heavy, comparePairs)
	return w
}

func (w *weights) pair(d, e int) pair {
	return pair{weight: weight(w.daemons[d], w.engines[e]), daemon: int32(d), engine: int32(e)}
}

// light returns the other pairs that fit, the heaviest first.
func (w *weights) light(a *assignment, limit int, spread bool) []pair {
	var pairs []pair
	for d := range w.daemons {
		if len(a.taken[d]) >= a.size {
			continue
		}
		for e := range w.engines {
			if a.load[e] >= limit {
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

// fill takes the pairs that fit, the heaviest first.
func (a *assignment) fill(w *weights, limit int, spread bool) {
	a.take(w.heavy, limit, spread)
	if a.missing > 0 && w.limit > 0 {
		a.take(w.light(a, limit, spread), limit, spread)
	}
}

func (a *assignment) take(pairs []pair, limit int, spread bool) {
	for _, p := range pairs {
		if a.missing == 0 {
			return
		}
		if !a.fits(p, limit, spread) {
			continue
		}
		a.taken[p.daemon] = append(a.taken[p.daemon], p.engine)
		a.centres[p.daemon][a.dataCentre[p.engine]]++
		a.load[p.engine]++
		a.missing--
	}
}

// fits tells whether the daemon has a place left, the engine is seen by fewer
// than limit daemons and, if spread is set, the daemon has not enough engines
// of the data centre. A pair that does not fit never will with these bounds.
func (a *assignment) fits(p pair, limit int, spread bool) bool {
	if len(a.taken[p.daemon]) >= a.size || a.load[p.engine] >= limit {
		return false
	}
	centre := a.dataCentre[p.engine]
	if spread && a.centres[p.daemon][centre] >= a.perCentre[centre] {
		return false
	}
	return !slices.Contains(a.taken[p.daemon], p.engine)
}
