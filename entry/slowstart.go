package entry

import (
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/slowstart"
)

// newSlowStarts returns what paces the requests to cold engines.
func newSlowStarts(d *Daemon) *slowstart.Pacer {
	return slowstart.New(slowstart.Options{
		Limit: d.coldLimit, Daemons: d.daemonsForSlowStarts, Random: d.rand(randSlowStarts), Registerer: d.registry,
	})
}

// coldLimit returns what the cold engines of a service bear by the configuration in force.
func (d *Daemon) coldLimit(service string) slowstart.Limit {
	t := d.tables.Load()
	if t == nil || t.Routes == nil {
		return slowstart.Limit{}
	}
	s, known := t.Routes.Service(service)
	if !known || s.ColdPerSecond == 0 {
		return slowstart.Limit{}
	}
	settings := d.current.Load()
	return slowstart.Limit{For: s.ColdFor, PerSecond: s.ColdPerSecond*settings.ColdOverage + settings.ColdSlack}
}

// acquaintTime is how long after its start a daemon may take the daemons that it sees for
// the fleet: in a common start of 295, all but a few see the others by then.
const acquaintTime = 2 * joinTime

// daemonsForSlowStarts returns how many daemons share what a cold engine bears, zero while
// this one has just started.
func (d *Daemon) daemonsForSlowStarts() int {
	if time.Since(d.started) < acquaintTime {
		return 0
	}
	return d.fleet.Live()
}

// toldCold takes in what engines say of themselves.
func (d *Daemon) toldCold(told []inventory.Registration, now time.Time) {
	var cold, warm []string
	for _, r := range told {
		if !d.slowStarts.SetCold(r.Engine.Key(), r.Engine.Service, r.ColdFor, now) {
			continue
		}
		if r.ColdFor > 0 {
			cold = append(cold, r.Engine.Key())
		} else {
			warm = append(warm, r.Engine.Key())
		}
	}
	d.logSlowStarts("engine is cold", cold)
	d.logSlowStarts("engine is warm", warm)
}

// logSlowStarts writes one line for the engines that turned cold or warm.
func (d *Daemon) logSlowStarts(text string, engines []string) {
	if len(engines) == 0 {
		return
	}
	slices.Sort(engines)
	d.log.Info().Int("count", len(engines)).Strs("engines", logging.FirstNames(engines)).Int("daemons", d.fleet.Live()).Msg(text)
}

// unreachable takes in that an engine did not take a connection. Back under the same name
// it is cold, and its entry may tell so late.
func (b *sharedBalancer) unreachable(ev *balance.Failed) {
	d := b.daemon
	engine, known := d.engines.View().Engine(ev.Engine)
	if known && d.slowStarts.Unreachable(ev.Engine, engine.Service, ev.At) {
		d.logSlowStarts("engine took no connection and counts as cold", []string{ev.Engine})
	}
}
