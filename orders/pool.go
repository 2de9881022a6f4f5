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

// quietRead is the time between two readings of the engines of a pool in which
// nothing has to change. At 331 engines and 424 bytes each, reading them in every
// round would cost 70 KB/s (docs/CAPACITY.md).
const quietRead = 20 * time.Second

// readers bounds the engines read at the same time.
const readers = 16

// pool watches over one pool. Its fields are used by one goroutine.
type pool struct {
	runner *Runner
	name   string
	lease  lease
	log    zerolog.Logger
	seen   map[string]*observed
	// generation is the newest that was acted upon.
	generation  uint64
	weightsFrom time.Time
	// sequence numbers the orders of this run.
	sequence uint64
	// first is the engine at which the next round of reading begins.
	first int
	// held remembers the decisions held back, so that each is logged once.
	held map[string]Reason
	// owned tells whether the last round held the lease.
	owned bool
	// quietUntil is when the engines are read again although nothing has to
	// change, unless what is desired of the pool does.
	quietUntil time.Time
	// readFor is what was desired at the last reading.
	readFor []Target
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
		seen: make(map[string]*observed),
		held: make(map[string]Reason),
	}
}

// run makes rounds until t is dying or the pool is gone.
func (p *pool) run(t *tomb.Tomb) error {
	defer p.runner.stopped(p.name)
	ctx := t.Context(context.Background())
	for slices.Contains(p.runner.deps.Source.Pools(), p.name) {
		p.round(ctx)
		if !sleep(t, p.runner.pause()) {
			break
		}
	}
	// The context of t is over, but the release has to go out.
	ctx, cancel := context.WithTimeout(context.Background(), p.runner.options.OrderTimeout)
	defer cancel()
	p.giveUp(ctx)
	return nil
}

// round keeps the lease, reads the engines and sends the orders that are due.
func (p *pool) round(ctx context.Context) {
	desired, ok := p.runner.deps.Source.Desired(p.name)
	_, self := p.runner.deps.Owner(p.lease.key)
	if !ok || !self {
		p.giveUp(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, p.runner.options.Lease)
	defer cancel()
	err := p.keep(ctx, desired.Generation)
	p.own(err == nil, err)
	if err != nil {
		return
	}
	if p.quiet(desired.Engines, time.Now()) {
		return
	}
	p.observe(ctx, desired)
	limits := bounds{maxLoading: p.runner.options.MaxLoading, weightsFrom: p.weightsFrom}
	decisions := decide(desired, p.seen, limits, time.Now())
	p.forget(decisions)
	p.rest(desired.Engines, len(decisions) == 0, time.Now())
	p.act(ctx, decisions)
}

// quiet tells whether the last reading still stands.
func (p *pool) quiet(desired []Target, now time.Time) bool {
	return now.Before(p.quietUntil) && slices.EqualFunc(desired, p.readFor, Target.equal)
}

// rest lets the next readings wait when nothing is wanted, nothing is under way
// and every engine answered.
func (p *pool) rest(desired []Target, settled bool, now time.Time) {
	p.readFor = desired
	p.quietUntil = time.Time{}
	for _, o := range p.seen {
		settled = settled && o.fresh && len(o.pending) == 0 && len(o.unwantedSince) == 0
	}
	if settled {
		p.quietUntil = now.Add(quietRead)
	}
}

// act sends the orders decided until the lease is gone.
func (p *pool) act(ctx context.Context, decisions []decision) {
	for _, dec := range decisions {
		if dec.change.op == engine.OpLoad && time.Now().Before(p.weightsFrom) {
			// An earlier load of this round has met the limit.
			dec.reason, dec.hold = ReasonWeightLimit, true
		}
		if dec.hold {
			p.hold(dec)
			continue
		}
		if !p.send(ctx, dec) {
			return
		}
	}
}

// keep keeps the lease. A daemon never acts upon an older configuration than
// it did before.
func (p *pool) keep(ctx context.Context, generation uint64) error {
	if generation < p.generation {
		return ErrStaleGeneration
	}
	if err := p.lease.keep(ctx, generation); err != nil {
		return err
	}
	p.generation = generation
	return nil
}

// own logs and counts a change of ownership.
func (p *pool) own(owned bool, cause error) {
	if owned == p.owned {
		return
	}
	p.owned = owned
	if owned {
		p.runner.metrics.leases.Inc()
		clear(p.seen)
		clear(p.held)
		p.quietUntil = time.Time{}
		p.log.Info().Uint64("fence", p.lease.fence()).Msg("lease taken")
		return
	}
	p.runner.metrics.leases.Dec()
	p.log.Info().AnErr("cause", cause).Msg("lease given up")
}

// giveUp releases the lease if it is held.
func (p *pool) giveUp(ctx context.Context) {
	err := p.lease.release(ctx, p.generation)
	p.own(false, err)
}

// observe reads the engines side by side. Those that do not answer in time are
// left alone in this round; the next one begins with others.
func (p *pool) observe(ctx context.Context, d Desired) {
	ctx, cancel := context.WithTimeout(ctx, p.runner.options.ReadTimeout)
	defer cancel()
	loads := make([]*engine.LoadReport, len(d.Engines))
	var wait sync.WaitGroup
	free := make(chan struct{}, readers)
	for i := range d.Engines {
		at := (p.first + i) % len(d.Engines)
		free <- struct{}{}
		wait.Go(func() {
			defer func() { <-free }()
			if load, err := p.runner.deps.Engines.Load(ctx, d.Engines[at].Address); err == nil {
				loads[at] = &load
			}
		})
	}
	wait.Wait()
	p.first += readers
	p.take(d, loads)
}

// take takes in the reports of one round. What was known of engines that left
// the pool is dropped.
func (p *pool) take(d Desired, loads []*engine.LoadReport) {
	now := time.Now()
	old := p.seen
	p.seen = make(map[string]*observed, len(d.Engines))
	for i, target := range d.Engines {
		o := old[target.Name]
		if o == nil {
			o = newObserved()
		}
		o.fresh = false
		if loads[i] != nil {
			o.see(*loads[i], target, now)
		}
		p.seen[target.Name] = o
	}
}

// send sends one order and returns false when the lease is gone.
func (p *pool) send(ctx context.Context, dec decision) bool {
	if dec.change.op == engine.OpLoad && !p.fetch(ctx, dec) {
		return true
	}
	options := &p.runner.options
	if err := p.lease.confirm(ctx, options.OrderTimeout+options.Margin); err != nil {
		p.outcome(dec, engine.Order{}, "not_sent", err)
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
	p.sent(dec, order, err)
	return true
}

// sent takes in the outcome of an order. An order whose answer was lost is
// waited for as if it had been taken; the report shows whether it was.
func (p *pool) sent(dec decision, order engine.Order, err error) {
	settle := p.runner.options.SettleTime
	if order.Op == engine.OpLoad {
		settle = p.runner.options.LoadTimeout
	}
	var refused *engine.Error
	switch {
	case err == nil:
		p.outcome(dec, order, "taken", nil)
	case errors.As(err, &refused) && refused.Kind == engine.KindFenced:
		p.outcome(dec, order, "fenced", err)
		return
	case errors.As(err, &refused) && refused.Ran == "no":
		p.outcome(dec, order, "refused", err)
		return
	default:
		settle = p.runner.options.SettleTime
		p.outcome(dec, order, "unknown", err)
	}
	p.seen[dec.target.Name].pending[dec.change] = time.Now().Add(settle)
}

// fetch asks the weight store for the transfer and tells whether it was granted.
func (p *pool) fetch(ctx context.Context, dec decision) bool {
	_, err := p.runner.deps.Weights.Fetch(ctx, dec.change.version)
	if err == nil {
		return true
	}
	now := time.Now()
	p.weightsFrom = now.Add(p.runner.options.Interval)
	var limited *weightstore.RateLimitError
	switch {
	case errors.As(err, &limited):
		p.weightsFrom = now.Add(max(limited.RetryAfter, p.runner.options.Interval))
	case errors.Is(err, weightstore.ErrNotFound):
		p.weightsFrom = time.Time{}
		p.seen[dec.target.Name].pending[dec.change] = now.Add(p.runner.options.LoadTimeout)
	}
	p.outcome(dec, engine.Order{}, "no_weights", err)
	return false
}

// outcome writes the log line of a decision that was acted upon.
func (p *pool) outcome(dec decision, order engine.Order, result string, err error) {
	p.runner.metrics.orders.WithLabelValues(string(dec.change.op), result).Inc()
	p.line(dec).Str("order", order.ID).Uint64("fence", order.Fencing).
		Str("result", result).AnErr("cause", err).Msg("order " + result)
}

// hold writes the log line of a decision held back, once.
func (p *pool) hold(dec decision) {
	key := dec.key()
	if p.held[key] == dec.reason {
		return
	}
	p.held[key] = dec.reason
	p.line(dec).Msg("order held back")
}

// forget drops the decisions held back that are not pending any more.
func (p *pool) forget(decisions []decision) {
	still := make(map[string]Reason, len(p.held))
	for _, dec := range decisions {
		if reason, ok := p.held[dec.key()]; ok && dec.hold {
			still[dec.key()] = reason
		}
	}
	p.held = still
}

func (p *pool) line(dec decision) *zerolog.Event {
	return p.log.Info().Str("engine", dec.target.Name).Str("op", string(dec.change.op)).
		Str("version", dec.change.version).Str("role", dec.change.role).
		Str("reason", string(dec.reason)).Uint64("generation", p.generation)
}

// key names a decision among those of its pool.
func (d decision) key() string {
	return d.target.Name + "/" + string(d.change.op) + "/" + d.change.version + d.change.role
}
