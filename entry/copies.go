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
	"github.com/bronzeturn/bronzeturn/route"
)

// copies follow the store's objects.
type copies struct {
	config, engines, orders, quarantine *follow.Follower
	// evacuations is nil where data centres are not evacuated.
	evacuations *follow.Follower
}

// newCopies builds the followers.
func newCopies(d *Daemon) *copies {
	c := &copies{}
	c.config = d.follower(d.Documents.ConfigKind(), nil, randConfig, d.configChanged)
	c.engines = d.follower(d.Documents.EngineKind(), c.config, randEngines, d.enginesListed)
	c.orders = d.follower(d.Documents.OrderKind(), c.config, randOrders, d.ordersChanged)
	c.quarantine = d.follower(quarantine.Kind, c.config, randQuarantine, d.quarantineChanged)
	if d.Settings.Evacuations {
		c.evacuations = d.follower(d.Documents.EvacuationKind(), c.config, randEvacuations, d.evacuationsChanged)
	}
	return c
}

// follower builds one. The lead, if any, asks a store that does not answer.
func (d *Daemon) follower(kind string, lead *follow.Follower, random uint64, apply func(follow.Update)) *follow.Follower {
	return follow.New(follow.Options{
		Kind: kind, Source: d.Store, Peers: d.fleet, Apply: apply, Lead: lead,
		Announce:       func(revision uint64) { d.fleet.announce(kind, revision) },
		OnWatchFailure: func() { d.copies.relistOthers(kind) },
		Random:         d.rand(random), Log: d.part("follow"),
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

// of returns the follower of a kind.
func (c *copies) of(kind string) (*follow.Follower, bool) {
	for _, f := range c.all() {
		if f.Kind == kind {
			return f, true
		}
	}
	return nil, false
}

// relistOthers lists all other kinds anew.
func (c *copies) relistOthers(kind string) {
	for _, f := range c.all() {
		if f.Kind != kind {
			f.Relist()
		}
	}
}

// start begins to follow.
func (c *copies) start(d *Daemon) {
	for _, f := range c.all() {
		d.goLoop("follow "+f.Kind, f.Run)
		d.goLoop("pull "+f.Kind, f.RunPulls)
	}
}

// complete tells whether there is a copy of everything that requests need.
func (c *copies) complete() bool {
	for _, f := range c.all() {
		if f.Snapshot() == nil {
			return false
		}
	}
	return true
}

// configChanged puts a configuration in force. A wrong one is refused whole.
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
		d.log.Error().Err(err).Uint64("revision", config.Revision).Msg("configuration refused, the one before stays in force")
		return
	}
	old := d.tables.Load()
	if old != nil && old.Routes != nil && old.Routes.Revision >= table.Revision {
		return
	}
	d.update(func(t *gateway.Tables) { t.Routes = table })
	d.log.Info().Int64("version", table.Version).Uint64("revision", table.Revision).Int("routes", table.Routes()).
		Bool("from_daemon", u.FromPeer).Msg("configuration in force")
}

// failingFor returns how long the store has not answered for the kind that failed first,
// zero while it answers for all of them.
func (c *copies) failingFor(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, f := range c.all() {
		longest = max(longest, f.FailingFor(now))
	}
	return longest
}

// enginesListed applies changes to the registrations. Calls must not overlap. An entry that
// cannot be decoded is logged and counts as removed; the others are applied.
func (d *Daemon) enginesListed(u follow.Update) {
	change := inventory.Change{Removed: u.Changes.Removed, Outage: u.AfterOutage}
	var told []inventory.Registration
	for _, item := range u.Changes.Changed {
		reg, err := d.Documents.Engine(item)
		if err != nil {
			d.log.Error().Err(err).Str("key", item.Name).Uint64("revision", item.Revision).Msg("registration names no engine")
			change.Removed = append(change.Removed, item.Name)
			continue
		}
		change.Registered = append(change.Registered, reg.Engine)
		told = append(told, reg)
	}
	now := time.Now()
	d.toldCold(told, now)
	for _, e := range change.Registered {
		d.quarantine.Registered(e, now)
	}
	d.engines.Apply(change, now)
}

// mostLines bounds the lines that one change of the engines writes: when a whole service
// comes or goes, one line names them all.
const mostLines = 8

// enginesChanged logs what came and went, and compiles the tables anew.
func (d *Daemon) enginesChanged(old, now *inventory.View) {
	came, went := difference(now, old), difference(old, now)
	if len(came)+len(went) > mostLines {
		d.log.Info().Int("came_count", len(came)).Strs("came", logging.FirstNames(keysOf(came))).
			Int("went_count", len(went)).Strs("went", logging.FirstNames(keysOf(went))).
			Int("engines", len(now.Engines)).Uint64("engines_view", now.Generation).Msg("many engines changed")
		came, went = nil, nil
	}
	for _, e := range came {
		d.log.Info().Str("engine", e.Key()).Str("service", e.Service).Str("address", e.Address).Str("version", e.Version).
			Uint64("engines_view", now.Generation).Msg("engine takes work")
	}
	for _, e := range went {
		d.log.Info().Str("engine", e.Key()).Str("service", e.Service).Uint64("engines_view", now.Generation).Msg("engine takes no work")
	}
	d.introductions.sawEngines(now)
	d.compileEngines(now)
}

// difference returns the engines of one view whose keys another does not have. Both views
// are sorted by key.
func difference(of, without *inventory.View) []*inventory.Engine {
	var list []*inventory.Engine
	rest := without.Engines
	for _, e := range of.Engines {
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

// assign implements gateway.Assign. Engines of an evacuated data centre get no work.
func (d *Daemon) assign(e inventory.Engine) []string {
	if d.evacuated.includes(e.DataCentre) {
		return nil
	}
	return d.introductions.assign(e)
}

// compileEngines puts a view of the engines in force, with the newest orders and
// evacuations. A view that is older than the one in force does not replace it: changes
// of different kinds come at the same time, and each has the engines compiled.
func (d *Daemon) compileEngines(v *inventory.View) {
	d.compiling.Lock()
	defer d.compiling.Unlock()
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

// update swaps the tables for changed ones.
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

// expirePoll is the time between two looks at engines that lapsed.
const expirePoll = 200 * time.Millisecond

// expireEngines drops the engines that did not come back after an outage.
func (d *Daemon) expireEngines(ctx context.Context) error {
	interval := expirePoll
	for backoff.Tick(ctx, interval) == nil {
		expiryPending := !d.engines.Expire(time.Now()).IsZero()
		d.introductions.release()
		d.logSlowStarts("engine is warm", d.slowStarts.Expire(time.Now()))
		d.reviewEngines()
		interval = expirePoll
		if !expiryPending && d.gateway.InProgress() == 0 && len(d.introductions.active()) == 0 {
			interval = backoff.IdleInterval
		}
	}
	return nil
}

// reviewEngines judges the engines' speed and logs what changed.
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
