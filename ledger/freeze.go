package ledger

import (
	"sync"
	"time"
)

// pulseEvery is how often a running daemon notes that it runs.
const pulseEvery = 5 * time.Second

// freezeGuard notices that the process was stopped for long, by either clock.
// A record that is held across a freeze longer than its class is remembered
// must not be written again: others have settled it, and it may be forgotten.
type freezeGuard struct {
	limit time.Duration

	mu   sync.Mutex
	last time.Time
}

// pulse notes that the process runs. It reports whether it was frozen for
// longer than the limit since the last pulse; it does so once.
func (f *freezeGuard) pulse(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.last
	f.last = now
	if last.IsZero() {
		return false
	}
	monotonic := now.Sub(last)
	wall := now.Round(0).Sub(last.Round(0))
	return max(monotonic, wall) > f.limit
}

// thaw drops, after a long freeze, the copies held for others and the own
// records that a second daemon has: these were written by others meanwhile, and
// too long ago for the ledger to recognise a repetition.
func (l *Ledger) thaw() {
	if !l.freeze.pulse(time.Now()) {
		return
	}
	copies := l.copies.clear()
	own := l.outbox.dropCopied()
	l.logger.Error().Int("copies", copies).Int("records", own).Msg("was frozen for long, dropped what others have settled")
}

// keepPulse notes that the process runs.
func (l *Ledger) keepPulse() error {
	for l.sleep(pulseEvery) {
		l.thaw()
	}
	return nil
}
