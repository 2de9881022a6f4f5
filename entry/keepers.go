package entry

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/rendezvous"
)

const (
	// Keepers are the daemons that count the work in progress of all daemons at some engines.
	// There is one keeper per daemonsPerKeeper daemons, which limits the connections of each
	// daemon. The number of keepers does not exceed maxKeepers, because each keeper costs every
	// other daemon a connection and its keep-alive pings. Engines are assigned to keepers in
	// proportion to the capacity of their hosts.
	minKeepers       = 3
	daemonsPerKeeper = 4
	maxKeepers       = 24
	// keeperRankKey is the key by which daemons are ranked to select the keepers.
	keeperRankKey = "occupancy"
	// keepersPerEngine is the number of daemons that count the requests at an engine whose slots are
	// reserved. Each of them can grant slots when those before it are gone, or have just started.
	keepersPerEngine = 3
	// settleTime is the time for which a daemon must have been one of an engine's slot keepers before
	// it grants slots: by then the other daemons know it and have reported their requests in
	// progress.
	settleTime = 750 * time.Millisecond
	// aloneTime is the time after its start from which a daemon that has seeds and finds no other
	// daemon assumes that there is none.
	aloneTime = 10 * time.Second
)

// rankedFleet ranks the live daemons for keys. *membership.View implements it.
type rankedFleet interface {
	Live() int
	Top(key string, n int) []string
	Member(name string) (membership.Member, bool)
}

// keepers maps engines to their keepers. It is safe for concurrent use.
type keepers struct {
	// self is the name of this daemon.
	self string
	// view returns the current view of the fleet, another value for another view.
	view     func() rankedFleet
	hasSeeds bool
	started  time.Time

	mu   sync.Mutex // guards changes of last
	last atomic.Pointer[keeperSet]
}

// keeperSet is the set of keepers for one view of the fleet.
type keeperSet struct {
	view    rankedFleet
	members []membership.Member
	set     *rendezvous.Set
	// since is when the members became keepers. earlier are the sets before that were in force
	// within settleTime before, the last one first.
	since   time.Time
	earlier []*keeperSet
}

func newKeepers(self string, view func() rankedFleet, hasSeeds bool, started time.Time) *keepers {
	return &keepers{self: self, view: view, hasSeeds: hasSeeds, started: started}
}

// of returns the name of the keeper of an engine, or "" while no daemon is known.
func (k *keepers) of(engine string) string { return k.update(k.view()).owner(engine) }

// backups returns the daemons that grant slots of an engine while its keeper does not.
func (k *keepers) backups(engine string) []string {
	all := k.update(k.view()).slotKeepers(engine)
	return all[min(1, len(all)):]
}

// slotKeepers returns the daemons that may grant slots of an engine, the keeper first.
func (s *keeperSet) slotKeepers(engine string) []string { return s.set.Top(engine, keepersPerEngine) }

// owner returns the keeper of an engine, or "" if there is none.
func (s *keeperSet) owner(engine string) string {
	if s.set.Len() == 0 {
		return ""
	}
	return s.set.Owner(engine)
}

// update returns the keepers for a view.
func (k *keepers) update(view rankedFleet) *keeperSet {
	if last := k.last.Load(); last != nil && last.view == view {
		return last
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	last := k.last.Load()
	next := newKeeperSet(view, last, time.Now())
	k.last.Store(next)
	return next
}

// newKeeperSet returns the keepers for a view, after another set or nil.
func newKeeperSet(view rankedFleet, last *keeperSet, now time.Time) *keeperSet {
	n := min(max(minKeepers, view.Live()/daemonsPerKeeper), maxKeepers)
	next := &keeperSet{view: view, since: now}
	for _, name := range view.Top(keeperRankKey, min(n, view.Live())) {
		m, _ := view.Member(name)
		next.members = append(next.members, m)
	}
	if last != nil && slices.EqualFunc(last.members, next.members, sameKeeper) {
		next.set, next.since, next.earlier = last.set, last.since, last.earlier
		return next
	}
	next.set = weightedSet(next.members)
	for set, ended := last, now; set != nil && now.Sub(ended) < settleTime; {
		next.earlier = append(next.earlier, set)
		ended = set.since
		set = last.before(len(next.earlier))
	}
	return next
}

// before returns the nth set before this one, nil if it is not known.
func (s *keeperSet) before(n int) *keeperSet {
	if n > len(s.earlier) {
		return nil
	}
	return s.earlier[n-1]
}

// sameKeeper reports whether a keeper is the same process with the same weight.
func sameKeeper(a, b membership.Member) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation && a.Capacity == b.Capacity
}

// settled reports whether this daemon has been one of the slot keepers of an engine for settleTime, so
// that it knows the requests in progress there.
func (k *keepers) settled(engine string) bool {
	now := time.Now()
	set := k.update(k.view())
	if up := now.Sub(k.started); up < fleetKnownAfter || up < aloneTime && k.hasSeeds && set.view.Live() == 1 {
		return false
	}
	for _, s := range append([]*keeperSet{set}, set.earlier...) {
		if !slices.Contains(s.slotKeepers(engine), k.self) {
			return false
		}
		if now.Sub(s.since) >= settleTime {
			return true
		}
	}
	return false
}

// weightedSet returns a rendezvous set of daemons that is weighted by the capacity of their hosts.
func weightedSet(members []membership.Member) *rendezvous.Set {
	capacities := make(map[string]float64, len(members))
	for _, m := range members {
		capacities[m.Name] = m.Capacity
	}
	return rendezvous.NewWeighted(capacities)
}
