package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/canary"
	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/gateway"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/rendezvous"
	"github.com/bronzeturn/bronzeturn/tally"
)

// orderWait is how long engines of a version that was never seen wait for an order
// that explains them.
const orderWait = 5 * time.Second

// introductions keep the version that each service's sessions run on.
type introductions struct {
	daemon *Daemon
	// tally adds up what all daemons count.
	tally *tally.Tally

	mu        sync.Mutex
	byService map[string]*introduction
	// versions are those seen of each service, with the time of the first sight.
	versions map[string]map[string]time.Time
	// retired are the versions that earlier orders have ended: their engines stop by
	// and by, and must not count as the version before of the next order.
	retired map[string]map[string]struct{}
	// recent are the sessions of late that a trial would move.
	recent map[string]map[uint64]time.Time
	// sessions remember the version that the sessions of each service last ran on.
	sessions map[string]*canary.Sessions
	// waiting tells that some engine waits for an order.
	waiting bool
	// ranks order the engines of the versions being introduced, for introductions limited to
	// some of them.
	ranks map[string]int
}

// introduction is one order with what this daemon has done about it.
type introduction struct {
	*canary.Introduction
	revision uint64
	driver   canary.Driver
	// told tells that the verdict against the version was flooded; the reviews alone
	// use it.
	told bool
	// engines is on how many engines the new version runs.
	engines int
	// ended is when this daemon learnt that the order had come to its end.
	ended time.Time
}

func newIntroductions(d *Daemon) *introductions {
	i := &introductions{
		daemon: d, byService: make(map[string]*introduction),
		versions: make(map[string]map[string]time.Time), recent: make(map[string]map[uint64]time.Time),
		retired:  make(map[string]map[string]struct{}),
		sessions: make(map[string]*canary.Sessions),
		ranks:    make(map[string]int),
	}
	i.tally = tally.New(tally.Options{
		Self: d.Settings.Name, Place: d.fleet.tallyPlace, Client: d.fleet.tallyOf,
		Own: i.counted, Others: i.othersCounted, Log: d.part("tally"),
	})
	return i
}

// ordersChanged takes in the orders of the store.
func (d *Daemon) ordersChanged(u follow.Update) {
	i := d.introductions
	for item := range u.Snapshot.All() {
		order, state, err := d.Documents.Order(item)
		if err != nil {
			d.log.Error().Err(err).Msg("order refused")
			continue
		}
		i.ordered(order, state, item.Revision)
	}
	i.cancelled(u.Snapshot)
	if d.copies.engines.Snapshot() != nil {
		d.compileEngines(d.engines.View())
	}
}

// ordered takes in one order and its state.
func (i *introductions) ordered(order canary.Order, state canary.State, revision uint64) {
	view := i.daemon.engines.View() // Lock order: the inventory's lock before mu.
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	known := i.byService[order.Service]
	if known == nil || known.Order().ID != order.ID || known.Order().Target != order.Target {
		i.retire(known, order)
		known = &introduction{
			Introduction: canary.New(i.daemon.Settings.Introductions, order, state, now),
			engines:      1,
		}
		i.byService[order.Service] = known
		i.rank(view)
		for session, at := range i.recent[order.Service] {
			if now.Sub(at) < i.daemon.Settings.Introductions.SessionGap {
				known.Pin(session)
			}
		}
		i.daemon.log.Info().Str("service", order.Service).Str("target", order.Target).Uint64("order", order.ID).
			Dur("duration_ms", order.Duration).Stringer("state", state).Msg("introduction ordered")
	}
	if before := known.State(); before != state {
		known.SetState(state)
		if known.State() >= canary.Done {
			known.ended = now
		}
		i.daemon.log.Info().Str("service", order.Service).Str("target", order.Target).
			Stringer("before", before).Stringer("state", known.State()).Uint64("revision", revision).Msg("introduction changed its state")
	}
	known.revision = revision
}

// retire notes the versions that the order before has ended, when the next one
// comes. The caller holds mu.
func (i *introductions) retire(before *introduction, next canary.Order) {
	retired := i.retired[next.Service]
	if retired == nil {
		retired = make(map[string]struct{})
		i.retired[next.Service] = retired
	}
	if before != nil {
		for version := range i.versions[next.Service] {
			if before.ends(version) {
				retired[version] = struct{}{}
			}
		}
	}
	delete(retired, next.Target)
}

// cancelled drops the orders that are gone from the store.
func (i *introductions) cancelled(s *follow.Snapshot) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for service := range i.byService {
		if _, ok := s.Item(service); !ok {
			delete(i.byService, service)
		}
	}
}

// sawEngines notes the versions that are about.
func (i *introductions) sawEngines(v *inventory.View) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	first := make(map[string]bool)
	var service, version string
	for _, e := range v.Engines {
		if e.Service == service && e.Version == version {
			continue // Skips the lookups for runs of the same version.
		}
		service, version = e.Service, e.Version
		if i.versions[service] == nil {
			i.versions[service] = make(map[string]time.Time)
			first[service] = true
		}
		if _, ok := i.versions[service][version]; !ok {
			at := now
			if first[service] {
				at = time.Time{}
			}
			i.versions[service][version] = at
		}
	}
	i.rank(v)
}

// rank orders the engines of each version being introduced by a hash that is the same on
// every daemon. The caller holds mu.
func (i *introductions) rank(v *inventory.View) {
	clear(i.ranks)
	for service, known := range i.byService {
		if known.State() < canary.Done {
			i.rankVersion(v, service, known.Order().Target)
		}
	}
}

// rankVersion orders the engines of one version. The caller holds mu.
func (i *introductions) rankVersion(v *inventory.View, service, version string) {
	var keys []string
	for _, e := range v.Engines {
		// Engines of evacuated data centres get no work and must not take up ranks.
		if e.Service == service && e.Version == version && !i.daemon.evacuated.includes(e.DataCentre) {
			keys = append(keys, e.Key())
		}
	}
	for place, key := range rendezvous.Top(service+"/"+version, keys, len(keys)) {
		i.ranks[key] = place
	}
}

// width returns on how many engines the new version should run now. The caller must
// not hold mu, which is taken after the lock of the engines.
func (i *introductions) width(known *introduction, now time.Time) int {
	order := known.Order()
	var before []string
	slots := 0
	for _, e := range i.daemon.engines.View().Engines {
		if e.Service != order.Service || e.Version == order.Target || i.daemon.evacuated.includes(e.DataCentre) {
			continue
		}
		before = append(before, e.Key())
		slots += max(e.Slots, 1)
	}
	return known.EngineCount(len(before), i.daemon.busyShare(before, float64(slots)), now)
}

// assign implements gateway.Assign.
func (i *introductions) assign(e inventory.Engine) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.assignment(e.Service, e.Version).groupsOf(e.Key(), i.ranks)
}

// assignment holds the groups that the engines of one version serve.
type assignment struct {
	// groups is empty for a version that gets no work.
	groups []string
	// limited restricts the groups to the engines with a rank below width.
	limited bool
	width   int
}

// groupsOf returns the groups that the engine with the key serves.
func (a assignment) groupsOf(key string, ranks map[string]int) []string {
	if a.limited && ranks[key] >= a.width {
		return nil
	}
	return a.groups
}

// assignment returns the assignment of a version. The caller holds mu.
func (i *introductions) assignment(service, version string) assignment {
	base := assignment{groups: []string{gateway.Group(service, false)}}
	known := i.byService[service]
	if known == nil {
		if since := i.versions[service][version]; time.Since(since) < orderWait {
			i.waiting = true
			return assignment{}
		}
		return base
	}
	isTarget := version == known.Order().Target
	switch known.State() {
	case canary.Done:
		if isTarget {
			return base
		}
		return assignment{}
	case canary.RolledBack:
		if isTarget {
			return assignment{}
		}
		return base
	}
	switch {
	case !isTarget && !i.isRetired(service, version):
		return base
	case isTarget:
		return assignment{groups: []string{gateway.Group(service, true)}, limited: true, width: known.engines}
	}
	return assignment{}
}

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }

// assigner returns a gateway.Assign for a single compilation. It computes the assignment of
// each version once.
func (d *Daemon) assigner() gateway.Assign {
	evacuated := d.evacuated.list()
	i := d.introductions
	var versions []versionKey
	var assignments []assignment
	return func(e inventory.Engine) []string {
		if slices.Contains(evacuated, e.DataCentre) {
			return nil
		}
		key := versionKey{e.Service, e.Version}
		index := slices.Index(versions, key)
		if index < 0 {
			i.mu.Lock()
			index = len(versions)
			versions, assignments = append(versions, key), append(assignments, i.assignment(e.Service, e.Version))
			i.mu.Unlock()
		}
		a := assignments[index]
		if !a.limited {
			return a.groups
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		return a.groupsOf(e.Key(), i.ranks)
	}
}

// isRetired reports whether an earlier order has ended a version. The caller holds mu.
func (i *introductions) isRetired(service, version string) bool {
	_, ok := i.retired[service][version]
	return ok
}

// release compiles the tables anew while engines wait for an order.
func (i *introductions) release() {
	i.mu.Lock()
	waiting := i.waiting
	i.waiting = false
	i.mu.Unlock()
	if waiting {
		i.daemon.compileEngines(i.daemon.engines.View())
	}
}

// Choose implements gateway.Introductions.
func (i *introductions) Choose(service string, session uint64, now time.Time) (trial bool) {
	i.mu.Lock()
	known := i.byService[service]
	running := known != nil && known.State() < canary.Done
	if !running && i.daemon.Settings.Introductions.InTrial(session) {
		i.remember(service, session, now)
	}
	i.mu.Unlock()
	if !running {
		return false
	}
	return known.Choose(session, now)
}

// maxRecent bounds the sessions remembered for each service.
const maxRecent = 4096

// remember notes a session. The caller holds mu.
func (i *introductions) remember(service string, session uint64, now time.Time) {
	sessions := i.recent[service]
	if sessions == nil {
		sessions = make(map[uint64]time.Time)
		i.recent[service] = sessions
	}
	if len(sessions) >= maxRecent {
		for s, at := range sessions {
			if now.Sub(at) > i.daemon.Settings.Introductions.SessionGap {
				delete(sessions, s)
			}
		}
	}
	if len(sessions) < maxRecent {
		sessions[session] = now
	}
}

// Observe implements gateway.Introductions.
func (i *introductions) Observe(service, route, version string, bad bool, latency time.Duration) {
	if known, trial := i.judged(service, version); known != nil {
		known.Observe(route, trial, bad, latency)
	}
}

// ObservePace implements gateway.Introductions.
func (i *introductions) ObservePace(service, route, version string, pace time.Duration) {
	if known, trial := i.judged(service, version); known != nil {
		known.ObservePace(route, trial, pace)
	}
}

// judged returns the introduction in progress that answers of a version count for, nil for
// none, and whether it is the version being introduced. Streams outlast orders: those of
// versions that an earlier order has ended do not count, and those that began in the trial of
// an earlier order count for the version before.
func (i *introductions) judged(service, version string) (known *introduction, trial bool) {
	known = i.known(service)
	if known == nil || known.State() >= canary.Done {
		return nil, false
	}
	if version == known.Order().Target {
		return known, true
	}
	if i.stoppedVersions(service)(version) {
		return nil, false
	}
	return known, false
}
