package follow

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
)

// Run lists and watches the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pauses := &backoff.Backoff{Base: retryBase, Max: retryMax, Random: f.Random}
	f.relist.set(CauseStart)
	f.stagger = f.Random.Float64()
	for ctx.Err() == nil {
		if now := time.Now(); !f.mayRead(now) {
			f.waitIdle(ctx, now)
			continue
		}
		if f.waitsForLead(time.Now()) {
			_ = backoff.Tick(ctx, leadPoll) // The loop ends with ctx.
			continue
		}
		pauses.Base, pauses.Max = f.pauses(time.Now())
		f.lastCall = time.Now()
		f.stagger = f.Random.Float64()
		err := f.readOnce(ctx)
		if err == nil {
			pauses.Reset()
			continue
		}
		f.recordFailure(err)
		_ = backoff.Sleep(ctx, pauses.Next()) // The loop ends with ctx.
	}
	return nil
}

// waitIdle waits for the next tick, a call to WatchersChanged or the end of ctx. The ticks are
// more frequent once the copy has been unconfirmed for more than half of orphanLimit.
func (f *Follower) waitIdle(ctx context.Context, now time.Time) {
	interval := backoff.IdleInterval
	if 2*f.UnconfirmedFor(now) > f.orphanLimit() {
		interval = idlePoll
	}
	_ = backoff.TickOrWake(ctx, interval, f.watchersChanged) // The loop ends with ctx.
}

// WatchersChanged wakes an idle Run, because this daemon may have started or stopped watching
// the store.
func (f *Follower) WatchersChanged() {
	select {
	case f.watchersChanged <- struct{}{}:
	default:
	}
}

// orphanLimit returns how long the copy of a daemon that does not watch the store may remain
// unconfirmed before the daemon may read the store.
func (f *Follower) orphanLimit() time.Duration {
	return time.Duration(max(f.Peers.Depth(), 1))*pullWait + orphanMargin
}

// waitsForLead reports whether this Follower relies on its lead to notice the store's recovery.
func (f *Follower) waitsForLead(now time.Time) bool {
	return f.Lead != nil && f.Failing() && f.Lead.Failing() && now.Sub(f.lastCall) < leadTimeout
}

// pauses returns the first and the longest pause after failed calls.
func (f *Follower) pauses(now time.Time) (first, longest time.Duration) {
	live := time.Duration(f.Peers.Live())
	switch {
	case f.snapshot.Load() == nil:
		return retryBase, retryMax + live*emptyRetryPerDaemon
	case f.Peers.Watching() && now.UnixNano()-f.confirmedAt.Load() < int64(recentAnswerWindow):
		return retryBase, rejectedRetryMax
	case f.Peers.Watching():
		return retryBase, retryMax
	case f.peersAnswer(now):
		longest = max(retryMax, live*standbyRetryPerDaemon)
		return longest, longest
	}
	return retryBase, max(retryMax, live*orphanRetryPerDaemon)
}

// peersAnswer reports whether another daemon has answered recently.
func (f *Follower) peersAnswer(now time.Time) bool {
	return now.UnixNano()-f.peerAnsweredAt.Load() < int64(recentAnswerWindow)
}

// mayRead reports whether this daemon reads the store itself now. If other daemons answer but
// do not confirm the copy either, stagger spreads the reads of the fleet's daemons.
func (f *Follower) mayRead(now time.Time) bool {
	if f.snapshot.Load() == nil || f.Peers.Watching() {
		return true
	}
	limit := f.orphanLimit()
	if f.peersAnswer(now) {
		limit += time.Duration(f.stagger * float64(f.Peers.Live()) * float64(standbyRetryPerDaemon))
	}
	return f.UnconfirmedFor(now) > limit
}

// Relist ends the watch in progress, if any, and starts a list.
func (f *Follower) Relist() {
	f.relist.set(CauseOtherWatch)
	if cancel := f.cancelWatch.Load(); cancel != nil {
		(*cancel)()
	}
}
