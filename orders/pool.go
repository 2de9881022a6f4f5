package orders

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/weightstore"
)

// idleReadInterval is the time between two reads of the engines of a pool that
// is in its desired state. With 331 engines and 424 bytes each, reading them in
// every round would cost 70 KB/s (docs/CAPACITY.md).
const idleReadInterval = 20 * time.Second

// maxConcurrentReads bounds the engines of a pool that are read at the same time.
const maxConcurrentReads = 16

// pool reconciles one pool. It is not safe for concurrent use.
type pool struct {
	runner  *Runner
	name    string
	lease   lease
	log     zerolog.Logger
	engines map[string]*engineState
	// generation is the newest configuration generation acted upon.
	generation     uint64
	weightsRetryAt time.Time
	// sequence is the number of the last order sent.
	sequence uint64
	// readOffset, modulo the number of engines, is the index of the engine that
	// is read first.
	readOffset int
	// loggedHolds holds the logged reasons by decision key, so that an order held
	// back is logged once per reason.
	loggedHolds map[string]Reason
	// owned is true when the last round held the lease.
	owned bool
	// nextRead is when the engines of an idle pool are read again, unless the
	// desired state changes before.
	nextRead time.Time
	// lastDesired is the desired state at the last read.
	lastDesired []Target
}

func newPool(r *Runner, name string) *pool {
	return &pool{
		runner: r,
		name:   name,
		log:    r.deps.Log.With().Str("part", "orders").Str("pool", name).Logger(),
		lease: lease{
			store:    r.deps.Store,
			key:      KeyPrefix + name,
			holder:   r.holder,
			duration: r.options.Lease,
		},
		engines:     make(map[string]*engineState),
		loggedHolds: make(map[string]Reason),
	}
}

// run makes rounds until t is dying or the pool has left the configuration.
func (p *pool) run(t *tomb.Tomb) error {
	defer p.runner.removePool(p.name)
	ctx := t.Context(context.Background())
	for slices.Contains(p.runner.deps.Source.Pools(), p.name) {
		p.round(ctx)
		if !sleep(t, p.runner.roundDelay()) {
			break
		}
	}
	// The context of t may have ended, but the release must still be sent.
	ctx, cancel := context.WithTimeout(context.Background(), p.runner.options.OrderTimeout)
	defer cancel()
	p.releaseLease(ctx)
	return nil
}

// round acquires or renews the lease, reads the engines and sends the orders
// that are due.
func (p *pool) round(ctx context.Context) {
	desired, ok := p.runner.deps.Source.DesiredState(p.name)
	_, self := p.runner.deps.Owner(p.lease.key)
	if !ok || !self {
		p.releaseLease(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, p.runner.options.Lease)
	defer cancel()
	err := p.keepLease(ctx, desired.Generation)
	p.setOwned(err == nil, err)
	if err != nil {
		return
	}
	if p.readNotDue(desired.Engines, time.Now()) {
		return
	}
	p.readEngines(ctx, desired)
	limits := loadLimits{maxLoading: p.runner.options.MaxLoading, weightsRetryAt: p.weightsRetryAt}
	decisions := decide(desired, p.engines, limits, time.Now())
	p.pruneLoggedHolds(decisions)
	p.scheduleRead(desired.Engines, len(decisions) == 0, time.Now())
	p.sendOrders(ctx, decisions)
}

// readNotDue reports whether the engines need not be read in this round.
func (p *pool) readNotDue(desired []Target, now time.Time) bool {
	return now.Before(p.nextRead) && slices.EqualFunc(desired, p.lastDesired, Target.equal)
}

// scheduleRead delays the next read when there are no differences, no pending
// changes and no unwanted versions, and every engine answered.
func (p *pool) scheduleRead(desired []Target, settled bool, now time.Time) {
	p.lastDesired = desired
	p.nextRead = time.Time{}
	for _, e := range p.engines {
		settled = settled && e.fresh && len(e.pending) == 0 && len(e.unwantedSince) == 0
	}
	if settled {
		p.nextRead = now.Add(idleReadInterval)
	}
}

// sendOrders sends the orders that are not held back. It stops when the lease is
// lost.
func (p *pool) sendOrders(ctx context.Context, decisions []decision) {
	for _, dec := range decisions {
		if dec.change.op == engine.OpLoad && time.Now().Before(p.weightsRetryAt) {
			// The weight store granted no transfer for an earlier load in this round.
			dec.reason, dec.held = ReasonWeightLimit, true
		}
		if dec.held {
			p.logHeld(dec)
			continue
		}
		if !p.send(ctx, dec) {
			return
		}
	}
}

// keepLease acquires or renews the lease. It refuses a generation older than one
// that this daemon has already acted upon.
func (p *pool) keepLease(ctx context.Context, generation uint64) error {
	if generation < p.generation {
		return ErrStaleGeneration
	}
	if err := p.lease.acquireOrRenew(ctx, generation); err != nil {
		return err
	}
	p.generation = generation
	return nil
}

// setOwned logs and counts a change of ownership. It resets the state of the
// engines when the lease is acquired.
func (p *pool) setOwned(owned bool, cause error) {
	if owned == p.owned {
		return
	}
	p.owned = owned
	if owned {
		p.runner.metrics.leases.Inc()
		clear(p.engines)
		clear(p.loggedHolds)
		p.nextRead = time.Time{}
		p.log.Info().Uint64("fence", p.lease.fence()).Msg("lease taken")
		return
	}
	p.runner.metrics.leases.Dec()
	p.log.Info().AnErr("cause", cause).Msg("lease given up")
}

// releaseLease releases the lease if it is held.
func (p *pool) releaseLease(ctx context.Context) {
	err := p.lease.release(ctx, p.generation)
	p.setOwned(false, err)
}

// readEngines reads the engines concurrently. Those that do not answer in time
// are skipped in this round; the next round begins with other engines.
func (p *pool) readEngines(ctx context.Context, d DesiredState) {
	ctx, cancel := context.WithTimeout(ctx, p.runner.options.ReadTimeout)
	defer cancel()
	loads := make([]*engine.LoadReport, len(d.Engines))
	var wait sync.WaitGroup
	free := make(chan struct{}, maxConcurrentReads)
	for i := range d.Engines {
		at := (p.readOffset + i) % len(d.Engines)
		free <- struct{}{}
		wait.Go(func() {
			defer func() { <-free }()
			if load, err := p.runner.deps.Engines.Load(ctx, d.Engines[at].Address); err == nil {
				loads[at] = &load
			}
		})
	}
	wait.Wait()
	p.readOffset += maxConcurrentReads
	p.recordLoads(d, loads)
}

// recordLoads stores the load reports of one round and drops the state of
// engines that have left the pool. An entry of loads is nil when the engine did
// not answer.
func (p *pool) recordLoads(d DesiredState, loads []*engine.LoadReport) {
	now := time.Now()
	old := p.engines
	p.engines = make(map[string]*engineState, len(d.Engines))
	for i, target := range d.Engines {
		e := old[target.Name]
		if e == nil {
			e = newEngineState()
		}
		e.fresh = false
		if loads[i] != nil {
			e.update(*loads[i], target, now)
		}
		p.engines[target.Name] = e
	}
}

// send sends one order and returns false when the lease could not be confirmed.
func (p *pool) send(ctx context.Context, dec decision) bool {
	if dec.change.op == engine.OpLoad && !p.requestWeights(ctx, dec) {
		return true
	}
	options := &p.runner.options
	if err := p.lease.confirm(ctx, options.OrderTimeout+options.Margin); err != nil {
		p.logOutcome(dec, engine.Order{}, "not_sent", err)
		return false
	}
	p.sequence++
	order := engine.Order{
		ID:      fmt.Sprintf("%s/%s/%d", p.lease.key, p.lease.holder, p.sequence),
		Op:      dec.change.op,
		Version: dec.change.version,
		Role:    dec.change.role,
		Fencing: p.lease.fence(),
	}
	ctx, cancel := context.WithTimeout(ctx, options.OrderTimeout)
	defer cancel()
	_, err := p.runner.deps.Engines.Order(ctx, dec.target.Address, order)
	p.recordResult(dec, order, err)
	return true
}

// recordResult processes the outcome of an order. An accepted load is pending for
// LoadTimeout, any other accepted order for SettleTime. An order whose answer was
// lost is pending for SettleTime, too; later load reports show whether it took effect.
func (p *pool) recordResult(dec decision, order engine.Order, err error) {
	pendingFor := p.runner.options.SettleTime
	if order.Op == engine.OpLoad {
		pendingFor = p.runner.options.LoadTimeout
	}
	var refused *engine.Error
	switch {
	case err == nil:
		p.logOutcome(dec, order, "taken", nil)
	case errors.As(err, &refused) && refused.Kind == engine.KindFenced:
		p.logOutcome(dec, order, "fenced", err)
		return
	case errors.As(err, &refused) && refused.Ran == "no":
		p.logOutcome(dec, order, "refused", err)
		return
	default:
		pendingFor = p.runner.options.SettleTime
		p.logOutcome(dec, order, "unknown", err)
	}
	p.engines[dec.target.Name].pending[dec.change] = time.Now().Add(pendingFor)
}

// requestWeights asks the weight store for the transfer and reports whether it was
// granted.
func (p *pool) requestWeights(ctx context.Context, dec decision) bool {
	_, err := p.runner.deps.Weights.Fetch(ctx, dec.change.version)
	if err == nil {
		return true
	}
	now := time.Now()
	p.weightsRetryAt = now.Add(p.runner.options.Interval)
	var limited *weightstore.RateLimitError
	switch {
	case errors.As(err, &limited):
		p.weightsRetryAt = now.Add(max(limited.RetryAfter, p.runner.options.Interval))
	case errors.Is(err, weightstore.ErrNotFound):
		p.weightsRetryAt = time.Time{}
		p.engines[dec.target.Name].pending[dec.change] = now.Add(p.runner.options.LoadTimeout)
	}
	p.logOutcome(dec, engine.Order{}, "no_weights", err)
	return false
}

// logOutcome counts and logs the result of a decision that was acted upon.
func (p *pool) logOutcome(dec decision, order engine.Order, result string, err error) {
	p.runner.metrics.orders.WithLabelValues(string(dec.change.op), result).Inc()
	p.logEvent(dec).Str("order", order.ID).Uint64("fence", order.Fencing).
		Str("result", result).AnErr("cause", err).Msg("order " + result)
}

// logHeld logs a decision that was held back, once per reason.
func (p *pool) logHeld(dec decision) {
	key := dec.key()
	if p.loggedHolds[key] == dec.reason {
		return
	}
	p.loggedHolds[key] = dec.reason
	p.logEvent(dec).Msg("order held back")
}

// pruneLoggedHolds removes the entries of decisions that are no longer held back.
func (p *pool) pruneLoggedHolds(decisions []decision) {
	still := make(map[string]Reason, len(p.loggedHolds))
	for _, dec := range decisions {
		if reason, ok := p.loggedHolds[dec.key()]; ok && dec.held {
			still[dec.key()] = reason
		}
	}
	p.loggedHolds = still
}

func (p *pool) logEvent(dec decision) *zerolog.Event {
	return p.log.Info().Str("engine", dec.target.Name).Str("op", string(dec.change.op)).
		Str("version", dec.change.version).Str("role", dec.change.role).
		Str("reason", string(dec.reason)).Uint64("generation", p.generation)
}

// key identifies a decision among those of its pool.
func (d decision) key() string {
	return d.target.Name + "/" + string(d.change.op) + "/" + d.change.version + d.change.role
}
