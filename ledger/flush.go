package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// flushPoll is how often Flush checks whether all records are settled.
const flushPoll = 20 * time.Millisecond

// handOverReserve is the part of Flush's time, at most half of it, that is
// reserved for copying records to other daemons.
const handOverReserve = 2 * time.Second

// handOverCopies is the number of daemons that receive the records that a
// stopping daemon could not settle.
const handOverCopies = 2

// ErrUnsettled reports that, when Flush ended, records were neither settled nor
// copied to two other daemons.
var ErrUnsettled = errors.New("records are not settled")

// Flush settles all waiting records, including the copies held for other
// daemons. Call it before shutdown, when no requests are running. If the store
// does not answer until shortly before ctx ends, Flush copies the remaining
// records to two other daemons.
func (l *Ledger) Flush(ctx context.Context) error {
	l.queueHeldCopies(l.copies.takeDue(0))
	waitCtx, cancel := ctx, context.CancelFunc(func() {})
	if deadline, ok := ctx.Deadline(); ok {
		waitCtx, cancel = context.WithDeadline(ctx, deadline.Add(-min(handOverReserve, time.Until(deadline)/2)))
	}
	defer cancel()
	if l.waitSettled(waitCtx) {
		l.sendReleases(ctx)
		return nil
	}
	return l.handOver(ctx)
}

func (l *Ledger) waitSettled(ctx context.Context) bool {
	ticker := time.NewTicker(flushPoll)
	defer ticker.Stop()
	for l.outbox.size() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		case <-l.tomb.Dying():
			return false
		}
	}
	return true
}

// handOver copies all unsettled records to two other daemons, which settle them
// when the store answers again.
func (l *Ledger) handOver(ctx context.Context) error {
	var records []*bronzeturnv1.LedgerRecord
	for _, item := range l.outbox.unsettled() {
		if !droppable(item.record) {
			records = append(records, item.record)
		}
	}
	if len(records) == 0 {
		return nil
	}
	copied := 0
	if l.cfg.Holders != nil {
		for _, name := range l.cfg.Holders.Holders() {
			if copied < handOverCopies && l.copyAllTo(ctx, name, records) {
				copied++
			}
		}
	}
	l.logger.Warn().Int("records", len(records)).Int("holders", copied).Msg("handed over unsettled records to other daemons")
	if copied < handOverCopies {
		return fmt.Errorf("%w: %d records copied to %d daemons", ErrUnsettled, len(records), copied)
	}
	return nil
}

// copyAllTo copies the records to one daemon, in order.
func (l *Ledger) copyAllTo(ctx context.Context, name string, records []*bronzeturnv1.LedgerRecord) bool {
	for len(records) > 0 {
		n := min(len(records), copyRequestRecords)
		if _, err := l.sendCopies(ctx, name, records[:n]); err != nil {
			return false
		}
		records = records[n:]
	}
	return true
}
