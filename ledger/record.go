package ledger

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// storeOrCopy queues a record and waits until it is in the store or, after
// BillPatience, until a second daemon has a copy. It does not stop when ctx
// ends, since the work that the record accounts for has been done.
func (l *Ledger) storeOrCopy(ctx context.Context, rec *bronzeturnv1.LedgerRecord) (Durability, error) {
	if !l.tomb.Alive() {
		return 0, failure.Wrap(ErrStopped, failure.CodeLedgerUnavailable, failure.RanUnknown, "the ledger has stopped")
	}
	item := l.outbox.add(rec, nil)
	timer := time.NewTimer(l.cfg.BillPatience)
	defer timer.Stop()
	select {
	case <-item.done:
		return DurabilityStore, nil
	case <-timer.C:
	}
	return l.copyItem(context.WithoutCancel(ctx), item), nil
}

// copyItem copies the item to a second daemon and returns the durability
// reached.
func (l *Ledger) copyItem(ctx context.Context, item *outItem) Durability {
	if l.copyToHolder(ctx, []*outItem{item}) {
		return DurabilityCopied
	}
	select {
	case <-item.done:
		return DurabilityStore
	default:
	}
	l.metrics.local.Inc()
	l.logger.Warn().Msg("no second daemon took a copy")
	return DurabilityLocal
}
