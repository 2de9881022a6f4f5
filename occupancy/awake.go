package occupancy

import (
	"sync"
	"time"
)

const (
	// lateTick is how late a tick may be in a process that runs all the time: a round of reports
	// may take reportTimeout before it.
	lateTick = reportTimeout + 250*time.Millisecond
	// resumeTime is the time after a pause of the process in which the other daemons report their
	// requests in progress again.
	resumeTime = 2 * slotRefreshInterval
)

// wakefulness tells whether the process has run without a pause, as one that was frozen for a
// while has missed reports. The zero value has not begun to run.
type wakefulness struct {
	mu sync.Mutex
	// due is when the next tick is due, resumedAt when the process last went on after a pause.
	due, resumedAt time.Time
}

// tick records that the process runs. The next tick follows after the interval.
func (w *wakefulness) tick(interval time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused(now) {
		w.resumedAt = now
	}
	w.due = now.Add(interval)
}

// paused reports whether a tick is missing. The caller holds mu.
func (w *wakefulness) paused(now time.Time) bool {
	return !w.due.IsZero() && now.Sub(w.due) > lateTick
}

// running reports whether the process has run without a pause for resumeTime.
func (w *wakefulness) running(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.paused(now) && now.Sub(w.resumedAt) >= resumeTime
}

// MayGrant reports whether this daemon is a keeper of an engine that knows the requests in progress
// there.
func (c *Client) MayGrant(engine string) bool {
	return c.awake.running(time.Now()) && c.Settled(engine)
}
