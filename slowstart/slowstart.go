// Package slowstart bounds what the daemons of a fleet together send to engines that
// are cold: just started, or cold again. Many daemons see such an engine idle at the
// same moment; if each went by that, all of them would send to it.
//
// Each daemon waits a random, exponentially distributed time between two requests to one
// cold engine. The mean is the number of daemons over the rate wanted, so the requests of
// all of them come like a Poisson process of at most that rate, whatever the traffic is
// and however it is divided, and no daemon has to ask another.
package slowstart

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Limit is what the cold engines of a service bear.
type Limit struct {
	// For is how long an engine is cold after its start.
	For time.Duration
	// PerSecond is the most requests that one of them may get within any second, from
	// all daemons together. Zero means that nothing is bounded.
	PerSecond float64
}

// Options are what a Pacer needs. All fields are required.
type Options struct {
	// Limit returns the limit of a service.
	Limit func(service string) Limit
	// Daemons is the number of live daemons of the fleet, zero while this daemon does
	// not know them yet: it then sends nothing to cold engines.
	Daemons func() int
	// Random is used by one goroutine at a time.
	Random     *rand.Rand
	Registerer prometheus.Registerer
}

// Pacer keeps which engines are cold and when this daemon may send to each of them. It
// is safe for concurrent use.
type Pacer struct {
	Options
	metrics *metrics
	// cold is the number of cold engines. Without any, a choice takes no lock.
	cold atomic.Int64

	mu      sync.RWMutex
	engines map[string]coldEngine
	// most is the highest number of daemons seen: one that is cut off from the others
	// must not take their shares.
	most int
}

// coldEngine is the state of one.
type coldEngine struct {
	service string
	// until is when it is warm.
	until time.Time
	// next is when this daemon may send to it, zero while it cannot tell.
	next time.Time
}

// New returns a Pacer that knows of no cold engine.
func New(o Options) *Pacer {
	p := &Pacer{Options: o, engines: make(map[string]coldEngine)}
	p.metrics = newMetrics(o.Registerer, func() float64 { return float64(p.cold.Load()) })
	return p
}

// SetCold takes in that an engine says it is cold for so long, or warm if not above zero. It
// reports whether that is news.
func (p *Pacer) SetCold(engine, service string, left time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, wasCold := p.engines[engine]
	if left <= 0 {
		p.forget(engine)
		return wasCold
	}
	known.service, known.until = service, now.Add(left)
	if !wasCold {
		known.next = p.draw(service, now)
	}
	p.engines[engine] = known
	p.cold.Store(int64(len(p.engines)))
	return !wasCold
}

// Unreachable takes in that an engine did not take a connection: it counts as cold, since
// it may be back under the same name before its entry tells so. It reports whether that is
// news.
func (p *Pacer) Unreachable(engine, service string, now time.Time) bool {
	cold := p.Limit(service).For
	return cold > 0 && p.SetCold(engine, service, cold, now)
}

// Throttled tells whether an engine is cold and this daemon may not send to it now.
func (p *Pacer) Throttled(engine string, now time.Time) bool {
	if p.cold.Load() == 0 {
		return false
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	e, cold := p.engines[engine]
	if !cold || !now.Before(e.until) {
		return false
	}
	if e.next.IsZero() {
		return p.bounded(e.service) && p.daemons() == 0
	}
	return e.next.After(now)
}

// Take takes the right to send one request to an engine now, and tells whether there was
// one. A warm engine always gives it.
func (p *Pacer) Take(engine string, now time.Time) bool {
	if p.cold.Load() == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e, cold := p.engines[engine]
	if !cold || !now.Before(e.until) || !p.bounded(e.service) {
		return true
	}
	if e.next.IsZero() {
		e.next = p.draw(e.service, now)
	}
	allowed := !e.next.IsZero() && !e.next.After(now)
	if allowed {
		e.next = p.draw(e.service, now)
	}
	p.engines[engine] = e
	p.metrics.asked(allowed)
	return allowed
}

// Expire forgets the engines that are warm by now, and returns their names.
func (p *Pacer) Expire(now time.Time) (warm []string) {
	if p.cold.Load() == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for engine, e := range p.engines {
		if !now.Before(e.until) {
			p.forget(engine)
			warm = append(warm, engine)
		}
	}
	slices.Sort(warm)
	return warm
}

// forget takes an engine for warm. The caller holds mu.
func (p *Pacer) forget(engine string) {
	delete(p.engines, engine)
	p.cold.Store(int64(len(p.engines)))
}

// bounded tells whether there is a limit for a service. It may become known after the
// engines.
func (p *Pacer) bounded(service string) bool { return p.Limit(service).PerSecond > 0 }

// draw returns when this daemon may send to a cold engine of a service next, or zero while
// the fleet or the limit is not known. The caller holds mu.
func (p *Pacer) draw(service string, now time.Time) time.Time {
	daemons := p.daemons()
	if daemons == 0 || !p.bounded(service) {
		return time.Time{}
	}
	p.most = max(p.most, daemons)
	mean := float64(p.most) / rate(p.Limit(service).PerSecond)
	return now.Add(time.Duration(p.Random.ExpFloat64() * mean * float64(time.Second)))
}

// daemons returns how many daemons share the rate, as far as this one has seen, or zero.
func (p *Pacer) daemons() int {
	if live := p.Daemons(); live > 0 {
		return max(live, p.most)
	}
	return 0
}

// deviations is how many standard deviations of the rate aimed at lie below the bound.
// With six, a second of a bound between 5 and 1,000 is exceeded less than once in 400,000
// independent ones.
const deviations = 6

// rate returns the rate to aim at so that a Poisson process of it stays within a bound a
// second: its mean and so many standard deviations, which are its root, make up the bound.
func rate(bound float64) float64 {
	root := (math.Sqrt(deviations*deviations+4*bound) - deviations) / 2
	return root * root
}
