package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// flushPoll is how often Flush looks whether everything is settled.
const flushPoll = 20 * time.Millisecond

// handOverTime is the part of Flush's time kept for copying to others.
const handOverTime = 2 * time.Second

// leavingCopies is how many other daemons get what a leaving daemon could not
// settle.
const leavingCopies = 2

// ErrUnsettled reports that records were neither settled nor copied to two
// other daemons when Flush ended.
var ErrUnsettled = errors.New("records are not settled")

// Flush settles everything that waits, also the copies held for others. Call
// it on leaving, when no more requests run. If the store does not answer until
// shortly before ctx ends, it copies the rest to two other daemons.
func (l *Ledger) Flush(ctx context.Context) error {
	l.drainHeld(l.copies.due(0))
	waitCtx, cancel := ctx, context.CancelFunc(func() {})
	if deadline, ok := ctx.Deadline(); ok {
		waitCtx, cancel = context.WithDeadline(ctx, deadline.Add(-min(handOverTime, time.Until(deadline)/2)))
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

// handOver copies all unsettled records to two other daemons, which settle
// them when the store answers again.
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
	taken := 0
	if l.cfg.Holders != nil {
		for _, name := range l.cfg.Holders.Holders() {
			if taken < leavingCopies && l.copyAll(ctx, name, records) {
				taken++
			}
		}
	}
	l.logger.Warn().Int("records", len(records)).Int("holders", taken).Msg("left unsettled records to others")
	if taken < leavingCopies {
		return fmt.Errorf("%w: %d records copied to %d daemons", ErrUnsettled, len(records), taken)
	}
	return nil
}

// copyAll copies the records to one daemon, in order.
func (l *Ledger) copyAll(ctx context.Context, name string, records []*bronzeturnv1.LedgerRecord) bool {
	for len(records) > 0 {
		n := min(len(records), holdRecords)
		if _, err := l.sendCopies(ctx, name, records[:n]); err != nil {
			return false
		}
		records = records[n:]
	}
	return true
}
