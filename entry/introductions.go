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
	"github.com/bronzeturn/bronzeturn/revision"
	"github.com/bronzeturn/bronzeturn/tally"
)

// orderWait is how long engines of a version that was not seen before wait for an order to
// introduce the version. Without an order they receive requests after that time.
const orderWait = 5 * time.Second

// introductions decides on which version of its service each session runs.
type introductions struct {
	daemon *Daemon
	// tally sums the counts of all daemons.
	tally *tally.Tally

	mu        sync.Mutex
	byService map[string]*introduction
	// versions maps the versions of each service to the time at which they were first seen.
	versions map[string]map[string]time.Time
	// retired holds the versions of each service that earlier orders have ended. Their engines
	// stop gradually, and must not count as the base version of the next order.
	retired map[string]map[string]struct{}
	// sessions records the sessions of each service in progress and the versions that they last
	// ran on.
	sessions map[string]*canary.Sessions
	// waiting is set if an engine waits for an order.
	waiting bool
	// ranks holds the rank of each engine of the versions being introduced, by engine key. An
	// introduction that is limited to some engines uses those with the lowest ranks.
	ranks map[string]int
}

// introduction is the state of one order on this daemon.
type introduction struct {
	*canary.Introduction
	// id is the ID of the order in the store, revision that of the order's last change there,
	// and stored its state there.
	id       uint64
	revision uint64
	stored   canary.State
	driver   canary.Driver
	// verdictPublished is set once the verdict against the version has been published. Only
	// the goroutine of run uses it.
	verdictPublished bool
	// doubted is set once it has been logged that the version is doubted. Only the goroutine of run
	// uses it.
	doubted bool
	// load is this daemon's load at the engines of all versions. Only the goroutine of run uses it.
	load meanLoad
	// engines is the number of engines on which the new version runs.
	engines int
	// ended is when this daemon learnt that the order had reached a final state.
	ended time.Time
}

func newIntroductions(d *Daemon) *introductions {
	i := &introductions{
		daemon: d, byService: make(map[string]*introduction),
		versions: make(map[string]map[string]time.Time),
		retired:  make(map[string]map[string]struct{}),
		sessions: make(map[string]*canary.Sessions),
		ranks:    make(map[string]int),
	}
	i.tally = tally.New(tally.Options{
		Self: d.Settings.Name, Place: d.fleet.tallyPlace, Client: d.fleet.tallyClient,
		Own: i.localReports, Others: i.receiveFleetReport, Log: d.logger("tally"),
	})
	return i
}

// ordersChanged applies the orders in the store. An order that cannot be decoded is logged and
// ignored.
func (d *Daemon) ordersChanged(u follow.Update) {
	i := d.introductions
	for item := range u.Snapshot.All() {
		order, state, err := d.Documents.Order(item)
		if err != nil {
			d.log.Error().Err(err).Msg("order cannot be decoded and is ignored")
			continue
		}
		i.applyOrder(order, state, item.Revision)
	}
	i.dropCancelled(u.Snapshot)
	if d.copies.engines.Snapshot() != nil {
		d.compileEngines(d.engines.View())
	}
}

// applyOrder applies one order and its state.
func (i *introductions) applyOrder(order canary.Order, state canary.State, at uint64) {
	view := i.daemon.engines.View() // Lock order: the inventory's lock before mu.
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	intro := i.byService[order.Service]
	if intro == nil || !intro.continues(order, at) {
		i.retire(intro, order)
		intro = &introduction{
			id:           order.ID,
			Introduction: canary.New(i.daemon.Settings.Introductions, order, state, now),
			engines:      1,
		}
		i.byService[order.Service] = intro
		i.rankEngines(view)
		i.pinRecentSessions(intro, now)
		i.daemon.log.Info().Str("service", order.Service).Str("target", order.Target).Uint64("order", order.ID).
			Dur("duration_ms", order.Duration).Stringer("state", state).Msg("introduction ordered")
	}
	if before := intro.State(); before != state {
		intro.SetState(state)
		if intro.State() >= canary.Done {
			intro.ended = now
		}
		i.daemon.log.Info().Str("service", order.Service).Str("target", order.Target).
			Stringer("before", before).Stringer("state", intro.State()).Uint64("revision", revision.Counter(at)).Msg("introduction changed its state")
	}
	intro.id, intro.revision, intro.stored = order.ID, at, state
}

// continues reports whether an order in the store is the one that the introduction belongs to. An
// order that the operators have written again, because the store was restored from a copy that
// lacked it, has another ID.
func (intro *introduction) continues(order canary.Order, at uint64) bool {
	if intro.Order().Target != order.Target {
		return false
	}
	return intro.id == order.ID || revision.Era(at) > revision.Era(intro.revision)
}

// retire records the versions that the previous order has ended, when the next order arrives.
// The caller must hold mu.
func (i *introductions) retire(previous *introduction, next canary.Order) {
	retired := i.retired[next.Service]
	if retired == nil {
		retired = make(map[string]struct{})
		i.retired[next.Service] = retired
	}
	if previous != nil {
		for version := range i.versions[next.Service] {
			if previous.hasEnded(version) {
				retired[version] = struct{}{}
			}
		}
	}
	delete(retired, next.Target)
}

// dropCancelled removes the introductions whose orders were deleted from the store. Orders that a
// restored store lacks are written again.
func (i *introductions) dropCancelled(s *follow.Snapshot) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for service, intro := range i.byService {
		lost := revision.Era(intro.revision) < revision.Era(s.Revision)
		if _, ok := s.Item(service); !ok && !lost {
			delete(i.byService, service)
		}
	}
}

// enginesChanged records the versions in a view of the engines, and ranks the engines. Versions
// of a service that is seen for the first time do not wait for an order.
func (i *introductions) enginesChanged(v *inventory.View) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	first := make(map[string]bool)
	var service, version string
	for _, e := range v.Engines {
		if e.Service == service && e.Version == version {
			continue // The same version as the engine before: skip the lookups.
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
	i.rankEngines(v)
}

// rankEngines ranks the engines of each version being introduced by a hash that is the same on
// every daemon. The caller must hold mu.
func (i *introductions) rankEngines(v *inventory.View) {
	clear(i.ranks)
	for service, intro := range i.byService {
		if intro.State() < canary.Done {
			i.rankVersion(v, service, intro.Order().Target)
		}
	}
}

// rankVersion ranks the engines of one version. The caller must hold mu.
func (i *introductions) rankVersion(v *inventory.View, service, version string) {
	var keys []string
	for _, e := range v.Engines {
		// Engines of evacuated data centres receive no requests and must not take up ranks.
		if e.Service == service && e.Version == version && !i.daemon.evacuated.includes(e.DataCentre) {
			keys = append(keys, e.Key())
		}
	}
	for rank, key := range rendezvous.Top(service+"/"+version, keys, len(keys)) {
		i.ranks[key] = rank
	}
}

// wantedEngines returns the number of engines on which the new version should run now. The
// caller must not hold mu, because the lock of the set of engines is acquired before mu.
func (i *introductions) wantedEngines(intro *introduction, now time.Time) int {
	order := intro.Order()
	var all []string
	base, slots := 0, 0
	for _, e := range i.daemon.engines.View().Engines {
		if e.Service != order.Service || i.daemon.evacuated.includes(e.DataCentre) {
			continue
		}
		all = append(all, e.Key())
		if e.Version != order.Target {
			base++
			slots += max(e.Slots, 1)
		}
	}
	used := 0.0
	if slots > 0 {
		own := intro.load.observe(i.daemon.ownRequests(all), now)
		used = own * float64(max(i.daemon.fleet.Live(), 1)) / float64(slots)
	}
	return intro.EngineCount(base, used, now)
}

// assign implements gateway.Assign.
func (i *introductions) assign(e inventory.Engine) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.assignment(e.Service, e.Version).groupsOf(e.Key(), i.ranks)
}

// assignment is the assignment of the engines of one version to groups.
type assignment struct {
	// groups is empty for a version that receives no requests.
	groups []string
	// limited restricts the groups to the engines with a rank below engineCount.
	limited     bool
	engineCount int
}

// groupsOf returns the groups that the engine with the key serves.
func (a assignment) groupsOf(key string, ranks map[string]int) []string {
	if a.limited && ranks[key] >= a.engineCount {
		return nil
	}
	return a.groups
}

// assignment returns the assignment of a version. The caller must hold mu.
func (i *introductions) assignment(service, version string) assignment {
	base := assignment{groups: []string{gateway.Group(service, false)}}
	intro := i.byService[service]
	if intro == nil {
		if since := i.versions[service][version]; time.Since(since) < orderWait {
			i.waiting = true
			return assignment{}
		}
		return base
	}
	isTarget := version == intro.Order().Target
	switch intro.State() {
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
		return assignment{groups: []string{gateway.Group(service, true)}, limited: true, engineCount: intro.engines}
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

// isRetired reports whether an earlier order has ended a version. The caller must hold mu.
func (i *introductions) isRetired(service, version string) bool {
	_, ok := i.retired[service][version]
	return ok
}

// recompileWaiting recompiles the tables if engines waited for an order at the last compilation,
// so that they receive requests once orderWait has passed.
func (i *introductions) recompileWaiting() {
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
	intro := i.byService[service]
	i.mu.Unlock()
	if intro == nil || intro.State() >= canary.Done {
		return false
	}
	return intro.Choose(session, now)
}

// Observe implements gateway.Introductions.
func (i *introductions) Observe(service, route, version string, bad bool, latency time.Duration) {
	if intro, trial := i.observedBy(service, version); intro != nil {
		intro.Observe(route, trial, bad, latency)
	}
}

// ObservePace implements gateway.Introductions.
func (i *introductions) ObservePace(service, route, version string, pace time.Duration) {
	if intro, trial := i.observedBy(service, version); intro != nil {
		intro.ObservePace(route, trial, pace)
	}
}

// observedBy returns the introduction in progress to which answers of a version count, or nil if
// there is none, and whether the version is the one being introduced. Streams may outlast the
// order under which they began: streams of versions that an earlier order has ended do not
// count, and streams that began in the trial of an earlier order count to the base version.
func (i *introductions) observedBy(service, version string) (intro *introduction, trial bool) {
	intro = i.get(service)
	if intro == nil || intro.State() >= canary.Done {
		return nil, false
	}
	if version == intro.Order().Target {
		return intro, true
	}
	if i.stoppedVersions(service)(version) {
		return nil, false
	}
	return intro, false
}
