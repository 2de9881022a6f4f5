package quarantine

import (
	"context"
	"time"
)

const (
	// settlePause is the time between two looks at the evidence while a conviction waits,
	// writeRest that between two looks at the records while there is something to write.
	settlePause = 50 * time.Millisecond
	writeRest   = 250 * time.Millisecond
)

// Run reports and judges until ctx ends. It never waits for the store.
func (q *Quarantine) Run(ctx context.Context) error {
	return repeat(ctx, q.wake, func() time.Duration {
		now := time.Now()
		q.flush()
		q.judge(now)
		if q.evidence.unsettled(now) {
			return settlePause
		}
		return 0
	})
}

// RunWrites brings the store's records in line with the verdicts until ctx ends.
func (q *Quarantine) RunWrites(ctx context.Context) error {
	return repeat(ctx, q.toWrite, func() time.Duration {
		if q.write(ctx, time.Now()) {
			return writeRest
		}
		return 0
	})
}

// repeat calls f after each wake, and again after the time that it returns, zero for at the
// next wake.
func repeat(ctx context.Context, wake <-chan struct{}, f func() time.Duration) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		}
		for pause := f(); pause > 0; pause = f() {
			rest(ctx, wake, pause)
			if ctx.Err() != nil {
				return nil
			}
		}
	}
}

// rest waits for a pause, a wake or the end of ctx.
func rest(ctx context.Context, wake <-chan struct{}, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// rouse wakes who waits on a channel.
func rouse(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
