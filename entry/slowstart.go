package entry

import (
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/slowstart"
)

// newSlowStarts returns the pacer of requests to cold engines.
func newSlowStarts(d *Daemon) *slowstart.Pacer {
	return slowstart.New(slowstart.Options{
		Limit: d.coldLimit, Daemons: d.sharingDaemons, Random: d.rand(randSlowStarts), Registerer: d.registry,
	})
}

// coldLimit returns the limit on requests to a cold engine of a service by the configuration in
// force, or the zero value if there is none.
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

// fleetKnownAfter is the time after the start of a daemon from which it assumes that it knows the
// whole fleet. When 295 daemons start together, all but a few know the others by then.
const fleetKnownAfter = 2 * joinTime

// sharingDaemons returns the number of daemons that share the rate of requests to an engine, or
// zero before fleetKnownAfter, when that number is not known.
func (d *Daemon) sharingDaemons() int {
	if time.Since(d.started) < fleetKnownAfter {
		return 0
	}
	return d.fleet.Live()
}

// updateSlowStarts passes on for how long the registered engines state that they are cold, and
// logs the engines that have become cold or warm.
func (d *Daemon) updateSlowStarts(registrations []inventory.Registration, now time.Time) {
	var cold, warm []string
	for _, r := range registrations {
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

// logSlowStarts writes one log line for all engines that have become cold or warm.
func (d *Daemon) logSlowStarts(text string, engines []string) {
	if len(engines) == 0 {
		return
	}
	slices.Sort(engines)
	d.log.Info().Int("count", len(engines)).Strs("engines", logging.FirstNames(engines)).Int("daemons", d.fleet.Live()).Msg(text)
}

// engineUnreachable treats an engine that did not accept a connection as cold. It may have been
// restarted under the same name, and its entry may report late that it is cold.
func (b *sharedBalancer) engineUnreachable(ev *balance.Failed) {
	d := b.daemon
	engine, known := d.engines.View().Engine(ev.Engine)
	if known && d.slowStarts.Unreachable(ev.Engine, engine.Service, ev.At) {
		d.logSlowStarts("engine took no connection and counts as cold", []string{ev.Engine})
	}
}
