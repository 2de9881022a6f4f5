// Package backoff provides exponential backoff with full jitter, sleeps that end with a
// context, and ticks that the periodic loops of a process share.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes the pauses between attempts: a random time up to a bound that
// doubles with each attempt (exponential backoff with full jitter). It is not
// safe for concurrent use.
type Backoff struct {
	// Base is the upper bound of the first pause, Max that of all pauses.
	Base, Max time.Duration
	// Random must not be used by another goroutine.
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

// Reset sets the bound back to Base. It is called after a success.
func (b *Backoff) Reset() { b.attempt = 0 }

// Sleep waits for d. It returns the cause of ctx if ctx ends first.
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
