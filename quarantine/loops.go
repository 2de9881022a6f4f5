package quarantine

import (
	"context"
	"time"
)

const (
	// evaluateInterval is the time between two evaluations of the evidence while a verdict is
	// pending, writeInterval that between two passes over the records while there is something
	// to write.
	evaluateInterval = 50 * time.Millisecond
	writeInterval    = 250 * time.Millisecond
)

// Run publishes reports and evaluates the evidence until ctx ends. It never waits for the
// store.
func (q *Quarantine) Run(ctx context.Context) error {
	return runOnWake(ctx, q.wake, func() time.Duration {
		now := time.Now()
		q.flush()
		q.evaluate(now)
		if q.evidence.hasPending(now) {
			return evaluateInterval
		}
		return 0
	})
}

// RunWrites brings the store's records in line with the verdicts until ctx ends.
func (q *Quarantine) RunWrites(ctx context.Context) error {
	return runOnWake(ctx, q.wakeWrites, func() time.Duration {
		if q.writeRecords(ctx, time.Now()) {
			return writeInterval
		}
		return 0
	})
}

// runOnWake calls f after each wake, and again after the time that it returns. If that is zero,
// the next call follows the next wake.
func runOnWake(ctx context.Context, wake <-chan struct{}, f func() time.Duration) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		}
		for pause := f(); pause > 0; pause = f() {
			waitForWake(ctx, wake, pause)
			if ctx.Err() != nil {
				return nil
			}
		}
	}
}

// waitForWake waits until pause has passed, wake is signalled or ctx ends.
func waitForWake(ctx context.Context, wake <-chan struct{}, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// notify signals wake without blocking.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
