package entry

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/gateway"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/revision"
	"github.com/bronzeturn/bronzeturn/route"
)

// copies holds the followers that keep this daemon's copies of the store's objects up to date.
type copies struct {
	config, engines, orders, quarantine *follow.Follower
	// evacuations is nil unless Settings.Evacuations is set.
	evacuations *follow.Follower
}

// newCopies creates the followers.
func newCopies(d *Daemon) *copies {
	c := &copies{}
	c.config = d.follower(d.Documents.ConfigKind(), nil, randConfig, d.configChanged)
	c.engines = d.follower(d.Documents.EngineKind(), c.config, randEngines, d.registrationsChanged)
	c.orders = d.follower(d.Documents.OrderKind(), c.config, randOrders, d.ordersChanged)
	c.quarantine = d.follower(quarantine.Kind, c.config, randQuarantine, d.quarantineChanged)
	if d.Settings.Evacuations {
		c.evacuations = d.follower(d.Documents.EvacuationKind(), c.config, randEvacuations, d.evacuationsChanged)
	}
	return c
}

// follower creates the follower of a kind. While the store answers neither it nor lead, only
// lead goes on asking the store. A nil lead means that the follower asks for itself.
func (d *Daemon) follower(kind string, lead *follow.Follower, random uint64, apply func(follow.Update)) *follow.Follower {
	return follow.New(follow.Options{
		Kind: kind, Source: d.Store, Peers: d.fleet, Apply: func(u follow.Update) {
			apply(u)
			if u.Restored {
				d.fleet.registrar.StoreRestored()
			}
		}, Lead: lead,
		Announce:       func(revision uint64) { d.fleet.announce(kind, revision) },
		OnWatchFailure: func() { d.copies.relistOthers(kind) },
		Random:         d.rand(random), Log: d.logger("follow"),
	})
}

// all returns the followers.
func (c *copies) all() []*follow.Follower {
	followers := []*follow.Follower{c.config, c.engines, c.orders, c.quarantine}
	if c.evacuations != nil {
		followers = append(followers, c.evacuations)
	}
	return followers
}

// of returns the follower of a kind, and whether there is one.
func (c *copies) of(kind string) (*follow.Follower, bool) {
	for _, f := range c.all() {
		if f.Kind == kind {
			return f, true
		}
	}
	return nil, false
}

// relistOthers makes the followers of all other kinds list their objects again.
func (c *copies) relistOthers(kind string) {
	for _, f := range c.all() {
		if f.Kind != kind {
			f.Relist()
		}
	}
}

// start runs the followers.
func (c *copies) start(d *Daemon) {
	for _, f := range c.all() {
		d.goLoop("follow "+f.Kind, f.Run)
		d.goLoop("pull "+f.Kind, f.RunPulls)
	}
}

// complete reports whether there is a copy of every kind, as serving requests requires.
func (c *copies) complete() bool {
	for _, f := range c.all() {
		if f.Snapshot() == nil {
			return false
		}
	}
	return true
}

// configChanged puts a new configuration in force. An invalid configuration is rejected as a
// whole.
func (d *Daemon) configChanged(u follow.Update) {
	config, ok, err := d.Documents.Config(u.Snapshot)
	if err == nil && !ok {
		return
	}
	var table *route.Table
	if err == nil {
		table, err = route.Compile(config)
	}
	if err != nil {
		d.log.Error().Err(err).Uint64("revision", revision.Counter(config.Revision)).Msg("configuration refused, the previous one stays in force")
		return
	}
	d.putInForce(table, u)
}

// putInForce puts a configuration in force unless that would revert a newer one. Within an era of
// the store its revisions tell which is newer. A restored store may have an older configuration
// than the one in force, which the operators write again; their version numbers never decrease.
func (d *Daemon) putInForce(table *route.Table, u follow.Update) {
	d.configMu.Lock()
	defer d.configMu.Unlock()
	if old := d.tables.Load(); old != nil && old.Routes != nil {
		switch {
		case old.Routes.Revision >= table.Revision:
			return
		case revision.Era(old.Routes.Revision) < revision.Era(table.Revision) && old.Routes.Version > table.Version:
			d.log.Warn().Int64("version", table.Version).Int64("in_force", old.Routes.Version).Uint64("era", revision.Era(table.Revision)).
				Msg("the restored store has an older configuration; the newer one stays in force")
			return
		}
	}
	d.install(table, u)
}

// install puts a configuration in force. The caller holds configMu.
func (d *Daemon) install(table *route.Table, u follow.Update) {
	if old := d.tables.Load(); old != nil && old.Routes != nil && old.Routes.NeedsKeys() && !table.NeedsKeys() {
		d.log.Warn().Int64("version", table.Version).Msg("requests no longer need a key: the configuration has no list of organisations")
	}
	d.update(func(t *gateway.Tables) { t.Routes = table })
	d.log.Info().Int64("version", table.Version).Uint64("era", revision.Era(table.Revision)).Uint64("revision", revision.Counter(table.Revision)).
		Int("routes", table.Routes()).Bool("needs_keys", table.NeedsKeys()).Bool("from_daemon", u.FromPeer).Msg("configuration in force")
	d.confirmed.configInForce(table.Version, u)
}

// failingFor returns how long the store has not answered for the kind that has been failing
// longest, or zero if it answers for all kinds.
func (c *copies) failingFor(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, f := range c.all() {
		longest = max(longest, f.FailingFor(now))
	}
	return longest
}

// registrationsChanged applies changes to the registrations of engines. Calls must not overlap.
// An entry that cannot be decoded is logged and counts as removed; the others are applied.
func (d *Daemon) registrationsChanged(u follow.Update) {
	change := inventory.Change{Removed: u.Changes.Removed, Outage: u.AfterOutage || u.Restored, Restored: u.Restored}
	var registrations []inventory.Registration
	for _, item := range u.Changes.Changed {
		reg, err := d.Documents.Engine(item)
		if err != nil {
			d.log.Error().Err(err).Str("key", item.Name).Uint64("revision", revision.Counter(item.Revision)).Msg("registration names no engine")
			change.Removed = append(change.Removed, item.Name)
			continue
		}
		change.Registered = append(change.Registered, reg.Engine)
		registrations = append(registrations, reg)
	}
	now := time.Now()
	d.updateSlowStarts(registrations, now)
	for _, e := range change.Registered {
		d.quarantine.Registered(e, now)
	}
	d.engines.Apply(change, now)
	if u.Restored {
		d.confirmed.shareLeaving()
	}
}

// maxEngineLines is the maximum number of log lines for one change of the engines. Larger
// changes, such as a whole service that starts or stops, are logged in a single line.
const maxEngineLines = 8

// enginesChanged logs the engines that were added and removed, and recompiles the tables.
func (d *Daemon) enginesChanged(old, now *inventory.View) {
	added, removed := difference(now, old), difference(old, now)
	if len(added)+len(removed) > maxEngineLines {
		d.log.Info().Int("came_count", len(added)).Strs("came", logging.FirstNames(keysOf(added))).
			Int("went_count", len(removed)).Strs("went", logging.FirstNames(keysOf(removed))).
			Int("engines", len(now.Engines)).Uint64("engines_view", now.Generation).Msg("many engines changed")
		added, removed = nil, nil
	}
	for _, e := range added {
		d.log.Info().Str("engine", e.Key()).Str("service", e.Service).Str("address", e.Address).Str("version", e.Version).
			Uint64("engines_view", now.Generation).Msg("engine takes work")
	}
	for _, e := range removed {
		d.log.Info().Str("engine", e.Key()).Str("service", e.Service).Uint64("engines_view", now.Generation).Msg("engine takes no work")
	}
	d.introductions.enginesChanged(now)
	d.compileEngines(now)
}

// difference returns the engines of view whose keys other does not have. Both views are sorted
// by key.
func difference(view, other *inventory.View) []*inventory.Engine {
	var list []*inventory.Engine
	rest := other.Engines
	for _, e := range view.Engines {
		if len(rest) > 0 && rest[0] == e {
			rest = rest[1:]
			continue
		}
		key := e.Key()
		for len(rest) > 0 && rest[0].Key() < key {
			rest = rest[1:]
		}
		if len(rest) > 0 && rest[0].Key() == key {
			rest = rest[1:]
			continue
		}
		list = append(list, e)
	}
	return list
}

// keysOf returns the keys of engines.
func keysOf(engines []*inventory.Engine) []string {
	keys := make([]string, len(engines))
	for i, e := range engines {
		keys[i] = e.Key()
	}
	return keys
}

// assign implements gateway.Assign. Engines of evacuated data centres receive no requests.
func (d *Daemon) assign(e inventory.Engine) []string {
	if d.evacuated.includes(e.DataCentre) {
		return nil
	}
	return d.introductions.assign(e)
}

// compileEngines compiles the tables from a view of the engines, the latest orders and the
// latest evacuations, and puts them in force. If v is older than the view in force, the latter
// is compiled instead: changes of several kinds may arrive concurrently, and each of them calls
// compileEngines with the view that it has read.
func (d *Daemon) compileEngines(v *inventory.View) {
	d.compileMu.Lock()
	defer d.compileMu.Unlock()
	if t := d.tables.Load(); t != nil && t.Engines != nil && t.Engines.View.Generation > v.Generation {
		v = t.Engines.View
	}
	var previous *gateway.Engines
	if t := d.tables.Load(); t != nil {
		previous = t.Engines
	}
	engines := previous.Recompile(d.balancer, v, d.assigner())
	d.update(func(t *gateway.Tables) { t.Engines = engines })
}

// update atomically replaces the tables with a changed copy.
func (d *Daemon) update(change func(t *gateway.Tables)) {
	for {
		old := d.tables.Load()
		next := &gateway.Tables{}
		if old != nil {
			*next = *old
		}
		change(next)
		next.Changed = time.Now()
		if d.tables.CompareAndSwap(old, next) {
			return
		}
	}
}

// expirePollInterval is the interval between checks for engines whose registrations have expired.
const expirePollInterval = 200 * time.Millisecond

// expireEngines periodically removes the engines that did not register again after an outage of
// the store, recompiles the tables while engines wait for an order, ends slow starts, drops the
// request limits of engines that are gone and reviews the engines' speed, until ctx is done. It
// runs less often while there is nothing to do.
func (d *Daemon) expireEngines(ctx context.Context) error {
	interval := expirePollInterval
	for backoff.Tick(ctx, interval) == nil {
		expiryPending := !d.engines.Expire(time.Now()).IsZero()
		d.introductions.recompileWaiting()
		d.logSlowStarts("engine is warm", d.slowStarts.Expire(time.Now()))
		d.limits.Retain(d.isUsed, time.Now())
		if d.evacuated.expire(time.Now()) {
			d.recompileEngines()
		}
		d.reviewEngines()
		interval = expirePollInterval
		if !expiryPending && d.gateway.InProgress() == 0 && len(d.introductions.active()) == 0 {
			interval = backoff.IdleInterval
		}
	}
	return nil
}

// reviewEngines has the balancer reassess the engines' speed, and logs each change.
func (d *Daemon) reviewEngines() {
	t := d.tables.Load()
	if t == nil || t.Engines == nil {
		return
	}
	for _, change := range d.balancer.Review(t.Engines.Plan, time.Now()) {
		d.log.Info().Str("engine", change.Engine).Str("phase", change.Phase).Float64("slowness", change.Ratio).
			Msg("belief about an engine changed")
	}
}
