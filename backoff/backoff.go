// Package backoff waits between attempts: pauses with full jitter and sleeps that
// end with a context.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff gives the pauses between attempts: a random time up to a bound that
// doubles with each attempt (exponential backoff with full jitter). It is not
// safe for concurrent use.
type Backoff struct {
	// Base bounds the first pause, Max every pause.
	Base, Max time.Duration
	// Random must not be shared with another goroutine.
	Random  *rand.Rand
	attempt int
}

// Next returns the next pause.
func (b *Backoff) Next() time.Duration {
	bound := b.Base << min(b.attempt, 20)
	if bound > b.Max || bound <= 0 {
		bound = b.Max
	}
	b.attempt++
	return time.Duration(b.Random.Int64N(int64(bound) + 1))
}

// Reset begins anew after a success.
func (b *Backoff) Reset() { b.attempt = 0 }

// Sleep waits for d or until ctx ends, in which case it returns its error.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
