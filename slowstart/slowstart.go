// Package slowstart limits the rate at which all daemons of a fleet together send
// requests to a cold engine, which is one that has just started or reports that it is cold
// again. Many daemons see such an engine idle at the same moment and would all send to it.
//
// Each daemon waits a random, exponentially distributed time between two requests to the
// same cold engine, with a mean of the number of daemons divided by the target rate. The
// requests of all daemons are then a Poisson process of at most the target rate, whatever
// the traffic and its distribution over the daemons, without any coordination.
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

// Limit is the slow start configuration of a service.
type Limit struct {
	// For is how long an engine is cold after its start.
	For time.Duration
	// PerSecond is the maximum number of requests that a cold engine may get within any
	// second from all daemons together. Zero means no limit.
	PerSecond float64
}

// Options configures a Pacer. All fields are required.
type Options struct {
	// Limit returns the limit of a service.
	Limit func(service string) Limit
	// Daemons returns the number of live daemons of the fleet. While it is zero, because
	// this daemon does not know the fleet yet, nothing is sent to cold engines of a service
	// with a limit.
	Daemons func() int
	// Random is used by one goroutine at a time.
	Random     *rand.Rand
	Registerer prometheus.Registerer
}

// Pacer tracks which engines are cold and when this daemon may send to each of them. It
// is safe for concurrent use.
type Pacer struct {
	Options
	metrics *metrics
	// cold is the number of cold engines. While it is zero, Throttled and Take need no lock.
	cold atomic.Int64

	mu      sync.RWMutex
	engines map[string]coldEngine
	// maxDaemons is the highest number of daemons seen. It is used instead of a lower
	// current number, so that a daemon that is partitioned from the others does not use
	// their shares of the rate.
	maxDaemons int
}

// coldEngine is the state of a cold engine.
type coldEngine struct {
	service string
	// until is when the engine is warm.
	until time.Time
	// next is when this daemon may send to the engine, zero while the number of daemons
	// or the limit is unknown.
	next time.Time
}

// New returns a Pacer without cold engines.
func New(o Options) *Pacer {
	p := &Pacer{Options: o, engines: make(map[string]coldEngine)}
	p.metrics = newMetrics(o.Registerer, func() float64 { return float64(p.cold.Load()) })
	return p
}

// SetCold records that an engine is cold for the time left, or warm if left is not above
// zero. It reports whether the engine's state changed.
func (p *Pacer) SetCold(engine, service string, left time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, wasCold := p.engines[engine]
	if left <= 0 {
		p.remove(engine)
		return wasCold
	}
	known.service, known.until = service, now.Add(left)
	if !wasCold {
		known.next = p.nextSend(service, now)
	}
	p.engines[engine] = known
	p.cold.Store(int64(len(p.engines)))
	return !wasCold
}

// Unreachable records that an engine did not accept a connection. It counts as cold, since
// it may restart under the same name before its entry says so. Unreachable reports whether
// the engine's state changed.
func (p *Pacer) Unreachable(engine, service string, now time.Time) bool {
	cold := p.Limit(service).For
	return cold > 0 && p.SetCold(engine, service, cold, now)
}

// Throttled reports whether an engine is cold and this daemon may not send to it now.
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
		return p.limited(e.service) && p.daemons() == 0
	}
	return e.next.After(now)
}

// Take reports whether this daemon may send a request to an engine now and, if so, uses up
// the permission. Warm engines are always permitted.
func (p *Pacer) Take(engine string, now time.Time) bool {
	if p.cold.Load() == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e, cold := p.engines[engine]
	if !cold || !now.Before(e.until) || !p.limited(e.service) {
		return true
	}
	if e.next.IsZero() {
		e.next = p.nextSend(e.service, now)
	}
	allowed := !e.next.IsZero() && !e.next.After(now)
	if allowed {
		e.next = p.nextSend(e.service, now)
	}
	p.engines[engine] = e
	p.metrics.recordTake(allowed)
	return allowed
}

// Expire removes the engines that are warm by now and returns their names.
func (p *Pacer) Expire(now time.Time) (warm []string) {
	if p.cold.Load() == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for engine, e := range p.engines {
		if !now.Before(e.until) {
			p.remove(engine)
			warm = append(warm, engine)
		}
	}
	slices.Sort(warm)
	return warm
}

// remove removes an engine from the cold ones. The caller holds mu.
func (p *Pacer) remove(engine string) {
	delete(p.engines, engine)
	p.cold.Store(int64(len(p.engines)))
}

// limited reports whether a service has a limit. The limit may become known after the
// service's engines.
func (p *Pacer) limited(service string) bool { return p.Limit(service).PerSecond > 0 }

// nextSend draws the time at which this daemon may next send to a cold engine of a service.
// It is zero while the number of daemons or the limit is unknown. The caller holds mu.
func (p *Pacer) nextSend(service string, now time.Time) time.Time {
	daemons := p.daemons()
	if daemons == 0 || !p.limited(service) {
		return time.Time{}
	}
	p.maxDaemons = max(p.maxDaemons, daemons)
	mean := float64(p.maxDaemons) / targetRate(p.Limit(service).PerSecond)
	return now.Add(time.Duration(p.Random.ExpFloat64() * mean * float64(time.Second)))
}

// daemons returns the number of daemons that share the rate, or zero if it is unknown.
func (p *Pacer) daemons() int {
	if live := p.Daemons(); live > 0 {
		return max(live, p.maxDaemons)
	}
	return 0
}

// rateMargin is the distance of the target rate from the limit, in standard deviations of
// the number of requests in a second. With six, and a limit between 5 and 1,000, fewer than
// one in 400,000 independent seconds exceeds the limit.
const rateMargin = 6

// targetRate returns the rate at which a Poisson process stays within a limit per second.
// The mean, plus rateMargin standard deviations, equals the limit; the standard deviation of
// a Poisson distribution is the square root of its mean.
func targetRate(limit float64) float64 {
	root := (math.Sqrt(rateMargin*rateMargin+4*limit) - rateMargin) / 2
	return root * root
}
