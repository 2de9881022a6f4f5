package soak

import (
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

const (
	// statedLimit is the limit in requests per second that engines state, statedPause the
	// pause that they ask for when they refuse a request.
	statedLimit = 1.0
	statedPause = 5 * time.Second

	// toldAfter is the time after an answer from which its daemon must know what it states.
	toldAfter = 500 * time.Millisecond
	// limitKnownAfter is the time after its first statement from which a limit must be kept,
	// limitWindow the time over which requests are counted. limitOverage and limitSlack are
	// the bound: limitOverage times what the limit allows, plus limitSlack.
	limitKnownAfter = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitOverage    = 1.5
	limitSlack      = 5
	// maxInPause is the maximum number of requests of one daemon in a pause, drainTime the
	// time after which an engine that leaves must get no more requests.
	maxInPause = 2
	drainTime  = 2 * time.Second

	// statedTolerance is the number of refusals per second that brittle engines tolerate.
	// brittleKnownAfter is the time after which daemons must spare them. toleratedFalls and
	// toleratedFallShare bound the crashes of a service's engines.
	statedTolerance    = 4
	brittleKnownAfter  = 3 * time.Second
	toleratedFalls     = 2
	toleratedFallShare = 0.1
)

// setBrittle makes the engines of a service brittle.
func (r *run) setBrittle(service string) {
	for _, e := range r.engines {
		if e.Spec.Service == service {
			e.SetFaults(emulator.EngineFaults{Brittle: statedTolerance})
		}
	}
	r.brittleSince[service] = time.Now()
}

// checkFalls checks the crashes of brittle engines. Those within a short time after a daemon was
// started or signalled do not count.
func (c *checks) checkFalls() {
	for service, since := range c.run.brittleSince {
		engines := 0
		for _, e := range c.run.engines {
			if e.Spec.Service == service {
				engines++
			}
		}
		falls := 0
		for _, f := range c.run.record.Falls(service) {
			if f.At.Sub(since) >= brittleKnownAfter && c.run.undisturbed(f.At.Add(-brittleKnownAfter), f.At) {
				falls++
			}
		}
		if allowed := toleratedFalls + toleratedFallShare*float64(engines); float64(falls) > allowed {
			c.reportViolation("%d of the %d brittle engines of %s crashed, allowed %.1f", falls, engines, service, allowed)
		}
	}
}

// undisturbed reports whether no daemon was started or signalled in a time.
func (r *run) undisturbed(from, to time.Time) bool {
	for _, d := range r.daemons {
		if !d.undisturbed(from, to) {
			return false
		}
	}
	return true
}

// engineArrival is a request that reached an engine, with the daemon that sent it.
type engineArrival struct {
	emulator.Arrival
	daemon *daemon
}

// undisturbed reports whether a daemon was neither started nor signalled in a time.
func (d *daemon) undisturbed(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !slices.ContainsFunc(d.disturbed, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// checkBackpressure checks at each engine that daemons keep what its answers ask for. A daemon
// that was restarted or frozen since an answer owes it nothing.
func (c *checks) checkBackpressure() {
	byEngine := make(map[string][]engineArrival)
	for _, a := range c.run.record.Arrivals(func(emulator.Arrival) bool { return true }) {
		byEngine[a.Engine] = append(byEngine[a.Engine], engineArrival{a, c.sentTo(a.RequestID)})
	}
	for _, arrivals := range byEngine {
		slices.SortFunc(arrivals, func(a, b engineArrival) int { return a.At.Compare(b.At) })
		c.checkPauses(arrivals)
		c.checkLeaving(arrivals)
		for len(arrivals) > 0 {
			limited := arrivals[0].Limit > 0
			end := slices.IndexFunc(arrivals, func(a engineArrival) bool { return a.Limit > 0 != limited })
			if end < 0 {
				end = len(arrivals)
			}
			if limited {
				c.checkLimit(arrivals[:end])
			}
			arrivals = arrivals[end:]
		}
	}
}

// sentTo returns the daemon that a request was sent to.
func (c *checks) sentTo(id string) *daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemonOf[id]
}

// checkLimit checks the arrivals at one engine while it states a limit.
func (c *checks) checkLimit(arrivals []engineArrival) {
	var counted []time.Time
	told := make(map[*daemon]time.Time)
	for _, a := range arrivals {
		since, known := told[a.daemon]
		if known && a.At.Sub(since) >= toldAfter && a.At.Sub(arrivals[0].At) >= limitKnownAfter && a.daemon.undisturbed(since, a.At) {
			counted = append(counted, a.At)
		}
		if !known || !a.daemon.undisturbed(since, a.At) {
			told[a.daemon] = a.At
		}
	}
	allowed := int(limitOverage*statedLimit*limitWindow.Seconds() + limitSlack)
	if got := emulator.MostWithin(counted, limitWindow); got > allowed {
		c.reportViolation("%s stated a limit of %v a second and got %d requests in %v, allowed %d", arrivals[0].Engine, statedLimit, got, limitWindow, allowed)
	}
}

// checkPauses checks the arrivals at one engine after refusals that ask for a pause.
func (c *checks) checkPauses(arrivals []engineArrival) {
	for i, refused := range arrivals {
		if refused.RetryAfter == 0 {
			continue
		}
		got := 0
		for _, a := range arrivals[i+1:] {
			after := a.At.Sub(refused.At)
			if a.daemon == refused.daemon && after >= toldAfter && after < refused.RetryAfter && a.daemon.undisturbed(refused.At, a.At) {
				got++
			}
		}
		if got > maxInPause {
			c.reportViolation("%s asked %s for a pause of %v and got %d requests from it in that time", refused.Engine, refused.daemon.Name, refused.RetryAfter, got)
			return
		}
	}
}

// checkLeaving checks the arrivals at one engine after answers that state that it leaves.
func (c *checks) checkLeaving(arrivals []engineArrival) {
	told := make(map[*daemon]time.Time)
	for _, a := range arrivals {
		since, known := told[a.daemon]
		switch {
		case known && !a.daemon.undisturbed(since, a.At):
			delete(told, a.daemon)
			known = false
		case known && a.At.Sub(since) >= drainTime:
			c.reportViolation("%s told %s that it leaves and got a request from it %v later", a.Engine, a.daemon.Name, a.At.Sub(since))
			return
		}
		if a.Leaving && !known {
			told[a.daemon] = a.At
		}
	}
}
