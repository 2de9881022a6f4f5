package follow

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
)

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pauses := &backoff.Backoff{Base: retryBase, Max: retryMax, Random: f.Random}
	f.relist.set(CauseStart)
	f.turn = f.Random.Float64()
	for ctx.Err() == nil {
		if now := time.Now(); !f.reads(now) {
			f.waitIdle(ctx, now)
			continue
		}
		if f.waitsForLead(time.Now()) {
			_ = backoff.Tick(ctx, leadPoll) // The loop ends with ctx.
			continue
		}
		pauses.Base, pauses.Max = f.pauses(time.Now())
		f.tried = time.Now()
		f.turn = f.Random.Float64()
		err := f.step(ctx)
		if err == nil {
			pauses.Reset()
			continue
		}
		f.failed(err)
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
	return time.Duration(max(f.Peers.Depth(), 1))*passWait + orphanMargin
}

// waitsForLead tells whether the lead asks the store for this Follower too.
func (f *Follower) waitsForLead(now time.Time) bool {
	return f.Lead != nil && f.Failing() && f.Lead.Failing() && now.Sub(f.tried) < leadPatience
}

// pauses bounds the first and the longest pause after calls that failed.
func (f *Follower) pauses(now time.Time) (first, longest time.Duration) {
	live := time.Duration(f.Peers.Live())
	switch {
	case f.snapshot.Load() == nil:
		return retryBase, retryMax + live*freshRetry
	case f.Peers.Watching() && now.UnixNano()-f.confirmed.Load() < int64(answeredLately):
		return retryBase, turnedAwayRetry
	case f.Peers.Watching():
		return retryBase, retryMax
	case f.othersAnswer(now):
		longest = max(retryMax, live*spareRetry)
		return longest, longest
	}
	return retryBase, max(retryMax, live*orphanRetry)
}

// othersAnswer tells whether another daemon has answered lately.
func (f *Follower) othersAnswer(now time.Time) bool {
	return now.UnixNano()-f.heardPeer.Load() < int64(answeredLately)
}

// reads tells whether this daemon reads the store itself now. Where others answer, but
// know no more, the daemons of the fleet take turns.
func (f *Follower) reads(now time.Time) bool {
	if f.snapshot.Load() == nil || f.Peers.Watching() {
		return true
	}
	limit := f.orphanLimit()
	if f.othersAnswer(now) {
		limit += time.Duration(f.turn * float64(f.Peers.Live()) * float64(spareRetry))
	}
	return f.UnconfirmedFor(now) > limit
}

// Relist ends a watch in progress and lists instead.
func (f *Follower) Relist() {
	f.relist.set(CauseOtherWatch)
	if cancel := f.interrupt.Load(); cancel != nil {
		(*cancel)()
	}
}
