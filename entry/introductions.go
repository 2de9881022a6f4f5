package entry

import (
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
	// waiting tells that some engine waits for an order.
	waiting bool
	// ranks order the engines of each version, for introductions on a few.
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
}

func newIntroductions(d *Daemon) *introductions {
	i := &introductions{
		daemon: d, byService: make(map[string]*introduction),
		versions: make(map[string]map[string]time.Time), recent: make(map[string]map[uint64]time.Time),
		retired: make(map[string]map[string]struct{}),
		ranks:   make(map[string]int),
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
	for _, item := range u.Snapshot.Items {
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
		for session, at := range i.recent[order.Service] {
			if now.Sub(at) < i.daemon.Settings.Introductions.SessionGap {
				known.Hold(session)
			}
		}
		i.daemon.log.Info().Str("service", order.Service).Str("target", order.Target).Uint64("order", order.ID).
			Dur("duration_ms", order.Duration).Stringer("state", state).Msg("introduction ordered")
	}
	if before := known.State(); before != state {
		known.SetState(state)
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
		target := before.Order().Target
		for version := range i.versions[next.Service] {
			switch before.State() {
			case canary.Done:
				if version != target {
					retired[version] = struct{}{}
				}
			case canary.RolledBack:
				if version == target {
					retired[version] = struct{}{}
				}
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
		if _, ok := s.Items[service]; !ok {
			delete(i.byService, service)
		}
	}
}

// sawEngines notes the versions that are about.
func (i *introductions) sawEngines(v *inventory.View) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.rank(v)
	first := make(map[string]bool)
	for _, e := range v.Engines {
		if i.versions[e.Service] == nil {
			i.versions[e.Service] = make(map[string]time.Time)
			first[e.Service] = true
		}
		if _, ok := i.versions[e.Service][e.Version]; !ok {
			at := now
			if first[e.Service] {
				at = time.Time{}
			}
			i.versions[e.Service][e.Version] = at
		}
	}
}

// rank orders the engines of each version by a hash, the same on every daemon. The
// caller holds mu.
func (i *introductions) rank(v *inventory.View) {
	byVersion := make(map[string][]string)
	for _, e := range v.Engines {
		if i.daemon.evacuated.includes(e.DataCentre) {
			continue // A new version's few engines must be among those that get work.
		}
		key := e.Service + "/" + e.Version
		byVersion[key] = append(byVersion[key], e.Key())
	}
	clear(i.ranks)
	for version, keys := range byVersion {
		for place, key := range rendezvous.Top(version, keys, len(keys)) {
			i.ranks[key] = place
		}
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
	return known.Width(len(before), i.daemon.busyShare(before, float64(slots)), now)
}

// assign implements gateway.Assign.
func (i *introductions) assign(e inventory.Engine) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	base, trial := []string{gateway.Group(e.Service, false)}, []string{gateway.Group(e.Service, true)}
	known := i.byService[e.Service]
	if known == nil {
		if since := i.versions[e.Service][e.Version]; time.Since(since) < orderWait {
			i.waiting = true
			return nil
		}
		return base
	}
	isTarget := e.Version == known.Order().Target
	switch known.State() {
	case canary.Done:
		if isTarget {
			return base
		}
		return nil
	case canary.RolledBack:
		if isTarget {
			return nil
		}
		return base
	}
	switch {
	case !isTarget && !i.isRetired(e):
		return base
	case isTarget && i.ranks[e.Key()] < known.engines:
		return trial
	}
	return nil
}

// isRetired tells whether an earlier order has ended the engine's version. The
// caller holds mu.
func (i *introductions) isRetired(e inventory.Engine) bool {
	_, ok := i.retired[e.Service][e.Version]
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
	if !running && i.daemon.Settings.Introductions.Trialled(session) {
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
func (i *introductions) Observe(service, route string, trial, bad bool, latency time.Duration) {
	if known := i.known(service); known != nil && known.State() < canary.Done {
		known.Observe(route, trial, bad, latency)
	}
}

// ObservePace implements gateway.Introductions.
func (i *introductions) ObservePace(service, route string, trial bool, pace time.Duration) {
	if known := i.known(service); known != nil && known.State() < canary.Done {
		known.ObservePace(route, trial, pace)
	}
}
