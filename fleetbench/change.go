package fleetbench

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// changedSlots is the number of slot counts between which the changes of an engine
// alternate.
const changedSlots = 2

// publisher makes configuration changes directly in the stand-in's store, so that its
// calls are not counted as object API calls of the daemons.
type publisher struct {
	config     *config.Publisher
	register   *bronzeturnv1.Register
	rules      *bronzeturnv1.Rules
	generation uint64
}

func newPublisher(p *platform) *publisher {
	return &publisher{
		config:   config.NewPublisher(config.PublisherOptions{Store: p.store.Store()}),
		register: p.register, rules: p.rules,
	}
}

// publishInitial publishes the whole configuration.
func (p *publisher) publishInitial(ctx context.Context) (config.Result, error) {
	return p.apply(ctx, config.Change{Register: proto.CloneOf(p.register), Rules: proto.CloneOf(p.rules)})
}

// publishNextChange publishes a change of the slots of one engine, another one with each
// generation.
func (p *publisher) publishNextChange(ctx context.Context) (config.Result, error) {
	e := p.register.GetEngines()[int(p.generation)*7%len(p.register.GetEngines())]
	e.Slots += 1 - 2*int32(p.generation/uint64(len(p.register.GetEngines()))%changedSlots)
	return p.apply(ctx, config.Change{Register: proto.CloneOf(p.register)})
}

func (p *publisher) apply(ctx context.Context, c config.Change) (config.Result, error) {
	result, err := p.config.Apply(ctx, c)
	if err != nil {
		return config.Result{}, fmt.Errorf("change the configuration: %w", err)
	}
	p.generation = result.Generation
	return result, nil
}

// pendingChange is a published change that is not yet in force on all daemons.
type pendingChange struct {
	expected   *expectation
	acceptedAt time.Time
}

// startChange publishes a change and records when the store accepted it.
func (b *bench) startChange(ctx context.Context) (pendingChange, error) {
	c := pendingChange{expected: b.progress.expect(b.publisher.generation + 1)}
	_, err := b.publisher.publishNextChange(ctx)
	c.acceptedAt = time.Now()
	return c, err
}

// waitInForce waits until a change is in force on all daemons. It returns, for each daemon,
// the time from acceptance to in force.
func (b *bench) waitInForce(ctx context.Context, c pendingChange) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	reached, err := b.progress.wait(ctx, c.expected)
	if err != nil {
		return nil, fmt.Errorf("generation %d not in force everywhere: %w", c.expected.generation, err)
	}
	var all []time.Duration
	for _, at := range reached {
		all = append(all, max(0, at.Sub(c.acceptedAt)))
	}
	return all, nil
}

// delays are the times from acceptance of a change until it is in force.
type delays struct {
	mu sync.Mutex
	// everywhere has one value per change, that of its slowest daemon; perDaemon has one
	// value per change and daemon.
	everywhere, perDaemon []time.Duration
}

func (d *delays) add(all []time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.everywhere = append(d.everywhere, slices.Max(all))
	d.perDaemon = append(d.perDaemon, all...)
}

// measureSequentialChanges makes changes, each after the one before is in force.
func (b *bench) measureSequentialChanges(ctx context.Context) error {
	if b.options.Changes == 0 {
		return nil
	}
	var d delays
	err := b.measurePhase(ctx, fmt.Sprintf("%d changes, one by one", b.options.Changes), func(ctx context.Context) error {
		for range b.options.Changes {
			c, err := b.startChange(ctx)
			if err != nil {
				return err
			}
			all, err := b.waitInForce(ctx, c)
			if err != nil {
				return err
			}
			d.add(all)
			if err := backoff.Sleep(ctx, changePause); err != nil {
				return err
			}
		}
		return nil
	})
	b.reportDelays(&d)
	return err
}

// measureChangesAtRate makes changes at a fixed rate.
func (b *bench) measureChangesAtRate(ctx context.Context) error {
	if b.options.Rate <= 0 || b.options.RateTime == 0 {
		return nil
	}
	var d delays
	err := b.measurePhase(ctx, fmt.Sprintf("%g changes a second", b.options.Rate), func(ctx context.Context) error {
		return b.makeChangesAtRate(ctx, &d)
	})
	b.reportDelays(&d)
	return err
}

func (b *bench) makeChangesAtRate(ctx context.Context, d *delays) error {
	var waiting sync.WaitGroup
	defer waiting.Wait()
	failed := make(chan error, 1)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / b.options.Rate))
	defer ticker.Stop()
	end := time.Now().Add(b.options.RateTime)
	for time.Now().Before(end) {
		c, err := b.startChange(ctx)
		if err != nil {
			return err
		}
		waiting.Go(func() {
			all, err := b.waitInForce(ctx, c)
			if err == nil {
				d.add(all)
				return
			}
			select {
			case failed <- err:
			default:
			}
		})
		select {
		case <-ticker.C:
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	waiting.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// percentile returns the smallest of the durations that is at least as long as the
// given share of them (nearest rank), or zero if there are none.
func percentile(all []time.Duration, share float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[max(0, int(math.Ceil(share*float64(len(sorted))))-1)]
}
