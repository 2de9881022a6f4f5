// Package orders reconciles the engines of each pool with the configuration:
// which versions they have loaded and which role they have. One daemon per pool
// sends orders, under a lease in the object store.
//
// Correctness does not depend on the lease. A holder that was paused may send
// one order after another daemon has taken over. Engines that check fencing
// numbers refuse it. On other engines the harm is bounded: orders are idempotent
// and derived from the desired state of a configuration generation, at most one
// is in flight per pool, and the next holder reads the engines' state and
// corrects it.
package orders

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/weightstore"
)

// Store is the subset of the object store API that leases use.
type Store interface {
	Get(ctx context.Context, key string) (objectstore.Object, error)
	Create(ctx context.Context, key string, value []byte) (objectstore.Object, error)
	Update(ctx context.Context, key string, value []byte, revision uint64) (objectstore.Object, error)
}

// Engines reads the state of engines and sends them orders. Calls must return
// when the context is done.
type Engines interface {
	Load(ctx context.Context, address string) (engine.LoadReport, error)
	Order(ctx context.Context, address string, o engine.Order) (engine.State, error)
}

// Weights requests transfers from the weight store. A
// *weightstore.RateLimitError tells when to retry.
type Weights interface {
	Fetch(ctx context.Context, version string) (weightstore.Transfer, error)
}

// Source provides the desired state from the configuration in force on this daemon.
type Source interface {
	// Pools returns the names of all pools.
	Pools() []string
	// DesiredState returns the desired state of the pool, or false when the
	// daemon's configuration is missing or too old to act upon.
	DesiredState(pool string) (DesiredState, bool)
}

// Owner returns the preferred owner of a key and whether it is this daemon. Two
// daemons may both consider themselves the owner: the lease decides between them.
type Owner func(key string) (name string, self bool)

// Dependencies are the collaborators of a Runner. All but Registerer are required.
type Dependencies struct {
	Store      Store
	Engines    Engines
	Weights    Weights
	Source     Source
	Owner      Owner
	Log        zerolog.Logger
	Rand       *rand.Rand
	Registerer prometheus.Registerer
}

// Options sets the intervals, timeouts and limits of a Runner.
type Options struct {
	// Self names this daemon.
	Self string
	// Interval is the time between two reconciliation rounds of a pool, before
	// jitter.
	Interval time.Duration
	// Lease is how long a lease lasts without renewal.
	Lease time.Duration
	// Margin is the time, beyond OrderTimeout, for which the lease must remain
	// valid before an order is sent. It allows for clocks that run at different
	// rates.
	Margin time.Duration
	// OrderTimeout bounds the call that sends one order.
	OrderTimeout time.Duration
	// ReadTimeout bounds the reading of all engines of a pool in one round.
	ReadTimeout time.Duration
	// LoadTimeout is the time after which a load order is sent again if the
	// engine's report does not show the version.
	LoadTimeout time.Duration
	// SettleTime is the same for unload and role orders, and for orders whose
	// outcome is unknown. It must exceed the delay of the engines' reports.
	SettleTime time.Duration
	// MaxLoading bounds the concurrent loads in a pool.
	MaxLoading int
}

// DefaultOptions returns the documented defaults for the daemon.
func DefaultOptions(self string) Options {
	return Options{
		Self:         self,
		Interval:     2 * time.Second,
		Lease:        15 * time.Second,
		Margin:       time.Second,
		OrderTimeout: 5 * time.Second,
		ReadTimeout:  3 * time.Second,
		LoadTimeout:  2 * time.Minute,
		SettleTime:   15 * time.Second,
		MaxLoading:   2,
	}
}

// OptionError reports an option outside its bounds.
type OptionError struct {
	Option string
	Bound  string
}

// Error implements error.
func (e *OptionError) Error() string {
	return "option " + e.Option + " must be " + e.Bound
}

// Validate returns an OptionError for the first option outside its bounds.
func (o Options) Validate() error {
	checks := []struct {
		ok     bool
		option string
		bound  string
	}{
		{o.Self != "", "Self", "set"},
		{o.Interval > 0, "Interval", "above 0"},
		{o.Margin >= 0, "Margin", "at least 0"},
		{o.OrderTimeout > 0, "OrderTimeout", "above 0"},
		{o.ReadTimeout > 0, "ReadTimeout", "above 0"},
		{o.Lease >= 2*(o.Interval+o.ReadTimeout) && o.Lease > o.OrderTimeout+o.Margin, "Lease",
			"at least two rounds and above OrderTimeout and Margin"},
		{o.LoadTimeout > 0, "LoadTimeout", "above 0"},
		{o.SettleTime > 0, "SettleTime", "above 0"},
		{o.MaxLoading > 0, "MaxLoading", "above 0"},
	}
	for _, c := range checks {
		if !c.ok {
			return &OptionError{Option: c.option, Bound: c.bound}
		}
	}
	return nil
}
