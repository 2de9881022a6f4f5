package orders

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// KeyPrefix is the prefix of the leases in the object store and of the keys
// given to Owner. The name of the pool follows.
const KeyPrefix = "orders/"

// Runner keeps the engines of the pools that this daemon owns at their desired
// state.
type Runner struct {
	deps    Dependencies
	options Options
	metrics *metrics
	// holder names this run of the daemon, so that a restart does not take its
	// predecessor's lease for its own.
	holder string

	mu    sync.Mutex
	rng   *rand.Rand
	pools map[string]struct{}
}

// New returns a Runner, or an OptionError.
func New(deps Dependencies, o Options) (*Runner, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return &Runner{
		deps:    deps,
		options: o,
		metrics: newMetrics(deps.Registerer),
		holder:  fmt.Sprintf("%s/%016x", o.Self, deps.Rand.Uint64()),
		rng:     deps.Rand,
		pools:   make(map[string]struct{}),
	}, nil
}

// Run watches over the pools until t is dying. Leases are released then.
func (r *Runner) Run(t *tomb.Tomb) error {
	for {
		for _, name := range r.deps.Source.Pools() {
			r.start(t, name)
		}
		if !sleep(t, r.options.Interval) {
			return nil
		}
	}
}

// start begins to watch over a pool that is not watched yet.
func (r *Runner) start(t *tomb.Tomb, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.pools[name]; ok {
		return
	}
	r.pools[name] = struct{}{}
	p := newPool(r, name)
	t.Go(func() error { return p.run(t) })
}

// stopped forgets a pool that is not in the configuration any more.
func (r *Runner) stopped(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pools, name)
}

// pause returns the time to the next round, between half and one and a half
// intervals, so that the daemons' calls spread out.
func (r *Runner) pause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Interval/2 + time.Duration(r.rng.Int64N(int64(r.options.Interval)+1))
}

// sleep waits and returns false when t is dying.
func sleep(t *tomb.Tomb, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.Dying():
		return false
	}
}
