package ledger

import (
	"context"
	"errors"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Retry delays and timeout of a recordQueue.
const (
	queueBackoffMin = 100 * time.Millisecond
	queueBackoffMax = 5 * time.Second
	queueTimeout    = 10 * time.Second
)

// drain settles the records of one recordQueue until the ledger stops.
func (l *Ledger) drain(q *recordQueue) error {
	ctx := l.tomb.Context(context.Background())
	backoff := queueBackoffMin
	for {
		l.dropAfterFreeze()
		items := l.outbox.peek(q)
		if len(items) == 0 {
			select {
			case <-q.wake:
				continue
			case <-l.tomb.Dying():
				return nil
			}
		}
		if l.settleItems(ctx, q.shard, items) {
			l.outbox.removeSettled(q, items)
			l.copies.queueRelease(items)
			for _, item := range items {
				if item.onDone != nil {
					item.onDone()
				}
			}
			backoff = queueBackoffMin
			continue
		}
		if !l.sleep(backoff/2 + l.jitter(backoff/2)) {
			return nil
		}
		backoff = min(2*backoff, queueBackoffMax)
	}
}

// settleItems reports whether all the records have been settled.
func (l *Ledger) settleItems(ctx context.Context, shard uint32, items []*outItem) bool {
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	records := make([]*bronzeturnv1.LedgerRecord, len(items))
	for i, item := range items {
		records[i] = item.record
	}
	_, err := l.appendAll(ctx, shard, records, retryLater)
	if err != nil && !errors.Is(err, context.Canceled) {
		l.logger.Debug().Err(err).Uint32("shard", shard).Int("records", len(items)).Msg("records wait for the store")
	}
	return err == nil
}

// sleep waits for d. It returns false if the ledger stops first.
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
