package orders

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// KeyPrefix is the prefix of lease keys in the object store and of the keys
// passed to Owner. The name of the pool follows it.
const KeyPrefix = "orders/"

// Runner reconciles the engines of the pools that this daemon owns with their
// desired state.
type Runner struct {
	deps    Dependencies
	options Options
	metrics *metrics
	// holder identifies this run of the daemon, so that a restarted daemon does
	// not mistake its previous run's lease for its own.
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

// Run reconciles all pools until t is dying. Each pool's goroutine, which t
// tracks, then releases its lease.
func (r *Runner) Run(t *tomb.Tomb) error {
	for {
		for _, name := range r.deps.Source.Pools() {
			r.startPool(t, name)
		}
		if !sleep(t, r.options.Interval) {
			return nil
		}
	}
}

// startPool starts the goroutine of a pool that has none yet.
func (r *Runner) startPool(t *tomb.Tomb, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.pools[name]; ok {
		return
	}
	r.pools[name] = struct{}{}
	p := newPool(r, name)
	t.Go(func() error { return p.run(t) })
}

// removePool removes a pool whose goroutine has ended.
func (r *Runner) removePool(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pools, name)
}

// roundDelay returns the time to the next round, a random value between 0.5 and
// 1.5 intervals, so that the calls of different daemons and pools spread out.
func (r *Runner) roundDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Interval/2 + time.Duration(r.rng.Int64N(int64(r.options.Interval)+1))
}

// sleep waits for d and returns true, or returns false as soon as t is dying.
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
