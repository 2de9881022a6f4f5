package membership

import (
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeturn/bronzeturn/rendezvous"
)

// The neighbours of a daemon are its predecessor and successor on three rings: one of the
// daemons in its data centre, and two of the whole fleet in different orders. Every daemon thus
// has at most six neighbours and is monitored by as many, the overlay is connected by
// construction, and a daemon that joins or leaves changes only the neighbours of the daemons
// next to it. A daemon whose neighbours are all in its own data centre gets one more.

// fleetSeeds are the hash seeds of the fleet-wide rings.
var fleetSeeds = []string{"fleet-1/", "fleet-2/"}

// centreSeed is the hash seed of the ring of each data centre.
const centreSeed = "centre/"

// position is the position of a daemon on a ring.
type position struct {
	hash uint64
	name string
}

func (p position) before(q position) bool {
	return p.hash < q.hash || p.hash == q.hash && p.name < q.name
}

// ring is a set of daemons ordered by the hash of seed and name.
type ring struct {
	seed      string
	positions []position
}

func positionOf(seed, name string) position {
	return position{hash: xxhash.Sum64String(seed + name), name: name}
}

func newRing(seed string, names []string) ring {
	r := ring{seed: seed, positions: make([]position, len(names))}
	for i, name := range names {
		r.positions[i] = positionOf(seed, name)
	}
	slices.SortFunc(r.positions, func(p, q position) int {
		if p.before(q) {
			return -1
		}
		return 1
	})
	return r
}

// appendAdjacent appends to the list the predecessor and the successor of a name on the ring.
// The name itself need not be on the ring.
func (r ring) appendAdjacent(name string, to []string) []string {
	n := len(r.positions)
	me := positionOf(r.seed, name)
	at := sort.Search(n, func(i int) bool { return !r.positions[i].before(me) })
	next := at
	if at < n && r.positions[at].name == name {
		next++
	}
	if n == 0 || n == 1 && next == 1 {
		return to
	}
	return append(to, r.positions[(at+n-1)%n].name, r.positions[next%n].name)
}

// rings holds the rings of a set of daemons.
type rings struct {
	fleet   []ring
	centres map[string]ring
	// members are sorted by name.
	members []Member
}

func newRings(members []Member) *rings {
	r := &rings{centres: make(map[string]ring), members: members}
	var all []string
	byCentre := make(map[string][]string)
	for _, m := range members {
		all = append(all, m.Name)
		byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m.Name)
	}
	for _, seed := range fleetSeeds {
		r.fleet = append(r.fleet, newRing(seed, all))
	}
	for centre, names := range byCentre {
		r.centres[centre] = newRing(centreSeed, names)
	}
	return r
}

// neighbours returns the sorted names of the daemons that the named daemon keeps links to. If
// all of them are in its own data centre, one in another data centre is added.
func (r *rings) neighbours(name, dataCentre string) []string {
	var chosen []string
	chosen = r.centres[dataCentre].appendAdjacent(name, chosen)
	for _, fleet := range r.fleet {
		chosen = fleet.appendAdjacent(name, chosen)
	}
	if outside := r.outside(dataCentre); len(outside) > 0 && !intersects(chosen, outside) {
		chosen = append(chosen, rendezvous.Owner(name, outside))
	}
	slices.Sort(chosen)
	return slices.Compact(chosen)
}

// outside returns the sorted names of the daemons in other data centres.
func (r *rings) outside(dataCentre string) []string {
	var names []string
	for _, m := range r.members {
		if m.DataCentre != dataCentre {
			names = append(names, m.Name)
		}
	}
	return names
}

func intersects(a, b []string) bool {
	return slices.ContainsFunc(a, func(s string) bool {
		_, found := slices.BinarySearch(b, s)
		return found
	})
}

// Key prefixes of the table.
const (
	daemonPrefix  = "daemon/"
	hostPrefix    = "host/"
	suspectPrefix = "suspect/"
)

// suspectKey returns the table key of a suspicion.
func suspectKey(target, reporter string) string {
	return suspectPrefix + target + "/" + reporter
}

// parseSuspectKey returns the target and the reporter from the table key of a suspicion.
func parseSuspectKey(key string) (target, reporter string, ok bool) {
	return strings.Cut(strings.TrimPrefix(key, suspectPrefix), "/")
}
