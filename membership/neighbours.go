package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeturn/bronzeturn/rendezvous"
)

// The neighbours of a daemon are the ones beside it on three rings: one of its
// own data centre, and two of the whole fleet in different orders. So every
// daemon has at most six neighbours and as many watch it, the fleet is
// connected by construction, and a daemon that comes or goes changes only the
// neighbours beside it.

// fleetRings are the seeds of the rings of the whole fleet.
var fleetRings = []string{"fleet-1/", "fleet-2/"}

// centreRing is the seed of the ring of one data centre.
const centreRing = "centre/"

// neighbours returns the names that self keeps links to among the members,
// sorted. When all of them are in its own data centre, one outside is added.
func neighbours(self, dataCentre string, members []Member) []string {
	var all, centre, outside []string
	for _, m := range members {
		if m.Name == self {
			continue
		}
		all = append(all, m.Name)
		if m.DataCentre == dataCentre {
			centre = append(centre, m.Name)
		} else {
			outside = append(outside, m.Name)
		}
	}
	chosen := beside(self, centreRing, centre)
	for _, seed := range fleetRings {
		chosen = append(chosen, beside(self, seed, all)...)
	}
	if len(outside) > 0 && !intersects(chosen, outside) {
		chosen = append(chosen, rendezvous.Owner(self, outside))
	}
	slices.Sort(chosen)
	return slices.Compact(chosen)
}

// beside returns the names just before and just after self on the ring of the
// others.
func beside(self, seed string, others []string) []string {
	if len(others) == 0 {
		return nil
	}
	type place struct {
		hash uint64
		name string
	}
	after := func(p, q place) bool {
		return p.hash > q.hash || p.hash == q.hash && p.name > q.name
	}
	me := place{xxhash.Sum64String(seed + self), self}
	var first, last, next, previous *place
	for _, name := range others {
		p := &place{xxhash.Sum64String(seed + name), name}
		if first == nil || after(*first, *p) {
			first = p
		}
		if last == nil || after(*p, *last) {
			last = p
		}
		if after(*p, me) && (next == nil || after(*next, *p)) {
			next = p
		}
		if after(me, *p) && (previous == nil || after(*p, *previous)) {
			previous = p
		}
	}
	if next == nil {
		next = first
	}
	if previous == nil {
		previous = last
	}
	return []string{next.name, previous.name}
}

func intersects(a, b []string) bool {
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}

// key parts of the table.
const (
	daemonPrefix  = "daemon/"
	hostPrefix    = "host/"
	suspectPrefix = "suspect/"
)

// suspectKey returns the key of a suspicion.
func suspectKey(target, reporter string) string {
	return suspectPrefix + target + "/" + reporter
}

// parseSuspectKey returns the target and the reporter of a suspicion.
func parseSuspectKey(key string) (target, reporter string, ok bool) {
	return strings.Cut(strings.TrimPrefix(key, suspectPrefix), "/")
}
