package follow

import (
	"context"
	"errors"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
)

// step lists or watches once.
func (f *Follower) step(ctx context.Context) error {
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
// page received. The first list may be stale: the watch goes on from its revision, and
// a daemon that does not watch then asks another one.
func (f *Follower) list(ctx context.Context, cause Cause) error {
	first := f.snapshot.Load() == nil
	began := time.Now()
	f.partial.resumeOrRestart(cause, began)
	for more := true; more; {
		asked := time.Now()
		page, err := f.Source.List(ctx, f.Kind, ListOptions{
			After: f.partial.next, Stale: first, ResponseTimeout: f.jittered(f.patience), Cause: cause,
		})
		if err != nil {
			f.patience = min(patienceGrowth*f.patience/2, mostPatience)
			f.relist.set(CauseRetry)
			return err
		}
		f.patience = min(max(firstPatience, 2*time.Since(asked)), mostPatience)
		more = f.partial.addPage(page)
		if first && more && f.partial.exceedsSlowLimit(time.Now()) && f.awaitPeerCopy(ctx) {
			f.partial = partialList{}
			f.answered()
			return nil
		}
	}
	next := f.partial.snapshot()
	f.Log.Info().Str("kind", f.Kind).Stringer("cause", cause).Uint64("revision", next.Revision).Int("objects", next.Len()).
		Int("pages", f.partial.pages).Dur("took_ms", time.Since(began)).Msg("objects listed")
	f.partial = partialList{}
	f.answered()
	f.take(next, false, f.echo())
	if first {
		f.wake()
	}
	return nil
}

// jittered returns a patience that differs from other daemons'.
func (f *Follower) jittered(patience time.Duration) time.Duration {
	return time.Duration(float64(patience) * (1 + patienceJitter*f.Random.Float64()))
}

// watch waits for changes once.
func (f *Follower) watch(ctx context.Context) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	f.interrupt.Store(&cancel)
	defer f.interrupt.Store(nil)
	if f.relist.isSet() {
		return nil // Asked for just before the call could be ended.
	}
	old := f.snapshot.Load()
	wait := time.Duration(float64(watchWait) * (1 - waitJitter*f.Random.Float64()))
	began := time.Now()
	changes, err := f.Source.Watch(inner, f.Kind, old.Revision, wait)
	switch {
	case err == nil:
		f.answered()
		f.change(changes, false, f.echo())
		f.gatherChanges(inner, len(changes.Changed)+len(changes.Removed), time.Since(began))
		return nil
	case errors.Is(err, ErrHistoryGone):
		f.Log.Info().Str("kind", f.Kind).Uint64("revision", old.Revision).Msg("history gone, listing again")
		f.relist.set(CauseHistoryGone)
		f.OnWatchFailure()
		// A store that keeps saying so must not be asked without a pause.
		_ = backoff.Sleep(ctx, retryBase) // The loop ends with ctx.
		return nil
	case inner.Err() != nil:
		return nil // Relist has ended the watch, or the daemon stops.
	}
	f.relist.set(CauseNoAnswer)
	f.OnWatchFailure()
	if errors.Is(err, context.DeadlineExceeded) {
		// The store may have been silent since its last answer.
		f.failingSince.CompareAndSwap(0, f.answeredAt.Load())
	}
	return err
}

// gatherChanges pauses after a watch that found changes, for longer in a storm of them. It
// does not pause if there were gatherLimit changes or more: the store limits the size of a
// response, so further changes may already be available. The pause ends with ctx.
func (f *Follower) gatherChanges(ctx context.Context, count int, took time.Duration) {
	if count == 0 || took > gatherTime {
		f.busyWatches = 0
	}
	if count == 0 || count >= gatherLimit {
		return
	}
	f.busyWatches++
	pause := gatherTime
	if f.busyWatches > stormAfter {
		pause = stormGather
	}
	_ = backoff.Sleep(ctx, pause) // The next watch begins sooner when it is ended.
}

// answered notes an answer of the store.
func (f *Follower) answered() {
	now := time.Now().UnixNano()
	f.confirmed.Store(now)
	f.answeredAt.Store(now)
	since := f.failingSince.Swap(0)
	if since == 0 {
		return
	}
	f.reported.Store(false)
	f.Log.Info().Str("kind", f.Kind).Dur("failed_for_ms", time.Duration(now-since)).Msg("store answers again")
	if now-since > int64(outageAfter) {
		f.returned.Store(now)
	}
}

// echo tells whether changes of now may be of an outage's making.
func (f *Follower) echo() bool {
	return time.Now().UnixNano()-f.returned.Load() < int64(outageEcho)
}

// failed notes a call without an answer.
func (f *Follower) failed(err error) {
	if f.reported.CompareAndSwap(false, true) {
		f.failingSince.CompareAndSwap(0, time.Now().UnixNano())
		f.Log.Warn().Err(err).Str("kind", f.Kind).Msg("store does not answer")
	}
	f.wake()
}
