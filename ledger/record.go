package ledger

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// record puts a record on its way to the store and waits until it is there or,
// after BillPatience, until a second daemon has a copy. It goes on when ctx
// ends: the work that the record stands for has been done.
func (l *Ledger) record(ctx context.Context, rec *bronzeturnv1.LedgerRecord) (Durability, error) {
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

// copyItem gives a copy to a second daemon.
func (l *Ledger) copyItem(ctx context.Context, item *outItem) Durability {
	if l.hold(ctx, []*outItem{item}) {
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
