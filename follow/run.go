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
		if !f.reads(time.Now()) {
			_ = backoff.Tick(ctx, idlePoll) // The loop ends with ctx.
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
	unconfirmed := time.Duration(now.UnixNano() - f.confirmed.Load())
	limit := time.Duration(max(f.Peers.Depth(), 1))*passWait + orphanMargin
	if f.othersAnswer(now) {
		limit += time.Duration(f.turn * float64(f.Peers.Live()) * float64(spareRetry))
	}
	return unconfirmed > limit
}

// Relist ends a watch in progress and lists instead.
func (f *Follower) Relist() {
	f.relist.set(CauseOtherWatch)
	if cancel := f.interrupt.Load(); cancel != nil {
		(*cancel)()
	}
}
