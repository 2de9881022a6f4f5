package follow

import (
	"context"
	"errors"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/revision"
)

// readOnce makes one list or one watch.
func (f *Follower) readOnce(ctx context.Context) error {
	cause := f.relist.take()
	if f.snapshot.Load() == nil && cause == CauseNone {
		cause = CauseRetry
	}
	if cause != CauseNone {
		return f.list(ctx, cause)
	}
	return f.watch(ctx)
}

// list reads all objects, page by page. After a failed page, a retry resumes after the last
// page received. The first list may be stale: the watch continues from its revision, and
// a daemon that does not watch pulls newer changes from another one.
func (f *Follower) list(ctx context.Context, cause Cause) error {
	first := f.snapshot.Load() == nil
	began := time.Now()
	f.partial.resumeOrRestart(cause, began)
	for more := true; more; {
		asked := time.Now()
		page, err := f.Source.List(ctx, f.Kind, ListOptions{
			After: f.partial.next, Stale: first, ResponseTimeout: f.jittered(f.listTimeout), Cause: cause,
		})
		if err != nil {
			f.listTimeout = min(listTimeoutGrowth*f.listTimeout/2, listTimeoutMax)
			f.relist.set(CauseRetry)
			return err
		}
		f.listTimeout = min(max(listTimeoutMin, 2*time.Since(asked)), listTimeoutMax)
		if f.partial.ofOtherEra(page) {
			f.partial = partialList{began: asked} // The store has been restored in between.
			continue
		}
		more = f.partial.addPage(page)
		if first && more && f.partial.exceedsSlowLimit(time.Now()) && f.awaitPeerCopy(ctx) {
			f.partial = partialList{}
			f.recordAnswer()
			return nil
		}
	}
	next := f.partial.snapshot()
	f.Log.Info().Str("kind", f.Kind).Stringer("cause", cause).Uint64("era", revision.Era(next.Revision)).Uint64("revision", revision.Counter(next.Revision)).Int("objects", next.Len()).
		Int("pages", f.partial.pages).Dur("took_ms", time.Since(began)).Msg("objects listed")
	f.partial = partialList{}
	f.recordAnswer()
	f.applySnapshot(next, false, f.followsOutage())
	if first {
		f.wakePulls()
	}
	return nil
}

// jittered returns the timeout, randomly extended.
func (f *Follower) jittered(timeout time.Duration) time.Duration {
	return time.Duration(float64(timeout) * (1 + listTimeoutJitter*f.Random.Float64()))
}

// watch makes one call that waits for changes.
func (f *Follower) watch(ctx context.Context) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	f.cancelWatch.Store(&cancel)
	defer f.cancelWatch.Store(nil)
	if f.relist.isSet() {
		return nil // Relist was called before cancelWatch was set.
	}
	old := f.snapshot.Load()
	wait := time.Duration(float64(watchWait) * (1 - waitJitter*f.Random.Float64()))
	began := time.Now()
	changes, err := f.Source.Watch(inner, f.Kind, old.Revision, wait)
	switch {
	case err == nil:
		f.recordAnswer()
		f.applyChanges(changes, false, f.followsOutage())
		f.pauseForBatch(inner, len(changes.Changed)+len(changes.Removed), time.Since(began))
		return nil
	case errors.Is(err, ErrHistoryGone):
		f.Log.Info().Str("kind", f.Kind).Uint64("era", revision.Era(old.Revision)).Uint64("revision", revision.Counter(old.Revision)).Msg("history gone, listing again")
		f.relist.set(CauseHistoryGone)
		f.OnWatchFailure()
		// Avoid a busy loop if the store keeps giving this response.
		_ = backoff.Sleep(ctx, retryBase) // The loop ends with ctx.
		return nil
	case inner.Err() != nil:
		return nil // Relist ended the watch, or the daemon is stopping.
	}
	f.relist.set(CauseNoAnswer)
	f.OnWatchFailure()
	if errors.Is(err, context.DeadlineExceeded) {
		// The store may have been unavailable since its last response.
		f.failingSince.CompareAndSwap(0, f.answeredAt.Load())
	}
	return err
}

// pauseForBatch pauses after a watch that returned changes, for longer in a sustained burst. It
// does not pause if there were batchLimit changes or more: the store limits the size of a
// response, so further changes may already be available. The pause ends with ctx.
func (f *Follower) pauseForBatch(ctx context.Context, count int, took time.Duration) {
	if count == 0 || took > batchPause {
		f.busyWatches = 0
	}
	if count == 0 || count >= batchLimit {
		return
	}
	f.busyWatches++
	pause := batchPause
	if f.busyWatches > burstAfter {
		pause = burstPause
	}
	_ = backoff.Sleep(ctx, pause) // Relist can end the pause early.
}

// recordAnswer records a response of the store.
func (f *Follower) recordAnswer() {
	now := time.Now().UnixNano()
	f.confirmedAt.Store(now)
	f.answeredAt.Store(now)
	since := f.failingSince.Swap(0)
	if since == 0 {
		return
	}
	f.failureReported.Store(false)
	f.Log.Info().Str("kind", f.Kind).Dur("failed_for_ms", time.Duration(now-since)).Msg("store answers again")
	if now-since > int64(minOutage) {
		f.recoveredAt.Store(now)
	}
}

// followsOutage reports whether current changes may be the result of an outage.
func (f *Follower) followsOutage() bool {
	return time.Now().UnixNano()-f.recoveredAt.Load() < int64(postOutageWindow)
}

// recordFailure records a failed store call.
func (f *Follower) recordFailure(err error) {
	if f.failureReported.CompareAndSwap(false, true) {
		f.failingSince.CompareAndSwap(0, time.Now().UnixNano())
		f.Log.Warn().Err(err).Str("kind", f.Kind).Msg("store does not answer")
	}
	f.wakePulls()
}
