package balance

import (
	"sync"
	"sync/atomic"
	"time"
)

// activityTTL is how long the activity of an idle engine is kept after its last event. It
// is much longer than the decay of the failure share and the delay of load reports.
const activityTTL = 5 * time.Minute

// activity is the health and load state of an engine. It is allocated on the engine's first
// event, so that memory use depends on the engines in use rather than on the fleet size.
type activity struct {
	health health
	_      cacheLine
	load   load
	_      cacheLine
	// lastEventAt is the time of the last event in Unix nanoseconds.
	lastEventAt atomic.Int64
}

// zeroActivity is returned to readers of engines without an activity. It must not be modified.
var zeroActivity activity

// poolConfig is the part of the configuration that an engine's health depends on.
type poolConfig struct {
	pool *pool
	// nominal is the registered rate of one stream in tokens per second.
	nominal float64
}

// activity returns the engine's activity for reading, or zeroActivity if it has none.
func (e *engine) activity() *activity {
	if a := e.active.Load(); a != nil {
		return a
	}
	return &zeroActivity
}

// activeEngines is the set of engines that have an activity.
type activeEngines struct {
	mu      sync.Mutex
	engines map[*engine]struct{}
}

// getOrCreate returns the engine's activity for an event at the given time, allocating it
// if needed.
func (t *activeEngines) getOrCreate(e *engine, at time.Time) *activity {
	if a := e.active.Load(); a != nil {
		storeMax(&a.lastEventAt, at.UnixNano())
		return a
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := e.active.Load(); a != nil {
		return a
	}
	a := &activity{}
	a.lastEventAt.Store(at.UnixNano())
	a.health.warmFrom = &e.warmFrom
	// A concurrent assignPools stores poolConfig before it loads active. Holding health.mu
	// until the pool is set orders its call of setPool after this initialization.
	a.health.mu.Lock()
	defer a.health.mu.Unlock()
	e.active.Store(a)
	if config := e.poolConfig.Load(); config != nil {
		a.health.pool, a.health.nominal = config.pool, config.nominal
	}
	t.engines[e] = struct{}{}
	return a
}

// storeMax stores at if it is greater than the current value.
func storeMax(v *atomic.Int64, at int64) {
	if v.Load() < at {
		v.Store(at)
	}
}

// list returns the engines with an activity in unspecified order.
func (t *activeEngines) list() []*engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*engine, 0, len(t.engines))
	for e := range t.engines {
		all = append(all, e)
	}
	return all
}

// evictIdle drops the activities of engines that are admitted and not paused or not in the
// plan, have no work in flight and have had no event for activityTTL.
func (t *activeEngines) evictIdle(p *Plan, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for e := range t.engines {
		a := e.active.Load()
		_, planned := p.indexOf(e)
		inUse := planned && (phase(a.health.phase.Load()) != admitted || a.health.paused(now))
		if inUse || now.UnixNano()-a.lastEventAt.Load() < int64(activityTTL) {
			continue
		}
		if a.load.retire() {
			e.active.Store(nil)
			delete(t.engines, e)
		}
	}
}
