package ledger

import (
	"context"
	"errors"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Backoff of a lane whose records could not be settled.
const (
	laneBackoffMin = 100 * time.Millisecond
	laneBackoffMax = 5 * time.Second
	laneTimeout    = 10 * time.Second
)

// drain settles the records of one lane until the ledger stops.
func (l *Ledger) drain(ln *lane) error {
	ctx := l.tomb.Context(context.Background())
	backoff := laneBackoffMin
	for {
		l.thaw()
		items := l.outbox.peek(ln)
		if len(items) == 0 {
			select {
			case <-ln.wake:
				continue
			case <-l.tomb.Dying():
				return nil
			}
		}
		if l.settleItems(ctx, ln.shard, items) {
			l.outbox.settled(ln, items)
			l.copies.queueRelease(items)
			for _, item := range items {
				if item.onDone != nil {
					item.onDone()
				}
			}
			backoff = laneBackoffMin
			continue
		}
		if !l.sleep(backoff/2 + l.jitter(backoff/2)) {
			return nil
		}
		backoff = min(2*backoff, laneBackoffMax)
	}
}

// settleItems tells whether all records are settled.
func (l *Ledger) settleItems(ctx context.Context, shard uint32, items []*outItem) bool {
	ctx, cancel := context.WithTimeout(ctx, laneTimeout)
	defer cancel()
	records := make([]*bronzeturnv1.LedgerRecord, len(items))
	for i, item := range items {
		records[i] = item.record
	}
	_, err := l.appendAll(ctx, shard, records, patient)
	if err != nil && !errors.Is(err, context.Canceled) {
		l.logger.Debug().Err(err).Uint32("shard", shard).Int("records", len(items)).Msg("records wait for the store")
	}
	return err == nil
}

// sleep waits, and returns false when the ledger stops.
func (l *Ledger) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.tomb.Dying():
		return false
	}
}
