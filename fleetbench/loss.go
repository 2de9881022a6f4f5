package fleetbench

import (
	"context"
	"fmt"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
)

const (
	// livePollInterval is the time between two requests for the number of live daemons.
	livePollInterval = 20 * time.Millisecond
	// viewsTimeout bounds the wait until the membership views of all daemons agree.
	viewsTimeout = 2 * time.Minute
	// lossPhaseDuration is the time over which the cost of a loss is measured.
	lossPhaseDuration = 20 * time.Second
)

// measureLoss terminates daemons at the same time, and measures how long the membership
// views of the others take to agree.
func (b *bench) measureLoss(ctx context.Context) error {
	if b.options.Loss == 0 {
		return nil
	}
	remaining := b.options.Daemons - b.options.Loss
	numbers := indexes(b.options.Daemons)
	name := fmt.Sprintf("%d of %d daemons lost at once", b.options.Loss, b.options.Daemons)
	var agreed time.Duration
	err := b.measurePhase(ctx, name, func(ctx context.Context) error {
		begun := time.Now()
		b.fleet.terminate(numbers[remaining:])
		limited, cancel := context.WithTimeout(ctx, viewsTimeout)
		defer cancel()
		if err := b.waitLive(limited, numbers[:remaining], remaining); err != nil {
			return err
		}
		agreed = time.Since(begun)
		return backoff.Sleep(ctx, max(0, lossPhaseDuration-agreed))
	})
	b.printf("  views of the others agree after %s\n", rounded(agreed))
	return err
}

// waitLive waits until each of the numbered daemons knows exactly want live daemons.
func (b *bench) waitLive(ctx context.Context, numbers []int, want int) error {
	for _, i := range numbers {
		for {
			live, err := b.fleet.liveCount(ctx, i)
			if err == nil && live == want {
				break
			}
			if waitErr := backoff.Sleep(ctx, livePollInterval); waitErr != nil {
				return fmt.Errorf("%s knows %d live daemons, not %d: %w", daemonName(i), live, want, waitErr)
			}
		}
	}
	return nil
}
