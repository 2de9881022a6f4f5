package ledger

import (
	"sync"
	"time"
)

// freezeCheckInterval is how often a running daemon updates its freezeDetector.
const freezeCheckInterval = 5 * time.Second

// freezeDetector detects that the process was suspended for longer than limit,
// by either the monotonic or the wall clock. A record held across such a
// freeze must not be written again: other daemons have settled it, and the
// ledger may have dropped the entry by which it would recognise the repetition.
type freezeDetector struct {
	limit time.Duration

	mu        sync.Mutex
	lastCheck time.Time
}

// check reports whether the process was frozen for longer than the limit since
// the previous check. It reports each freeze once.
func (f *freezeDetector) check(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.lastCheck
	f.lastCheck = now
	if last.IsZero() {
		return false
	}
	monotonic := now.Sub(last)
	wall := now.Round(0).Sub(last.Round(0))
	return max(monotonic, wall) > f.limit
}

// dropAfterFreeze drops records after a long freeze: the copies held for other
// daemons, and own records of which a second daemon has a copy. Others have
// written them meanwhile, and the ledger may no longer recognise them as
// repetitions.
func (l *Ledger) dropAfterFreeze() {
	if !l.freeze.check(time.Now()) {
		return
	}
	copies := l.copies.clear()
	own := l.outbox.dropCopied()
	l.logger.Error().Int("copies", copies).Int("records", own).Msg("was frozen for long, dropped what others have settled")
}

// detectFreezes checks for freezes at regular intervals.
func (l *Ledger) detectFreezes() error {
	for l.sleep(freezeCheckInterval) {
		l.dropAfterFreeze()
	}
	return nil
}
