package follow

import (
	"context"
	"errors"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
)

// RunPulls pulls changes from other daemons until ctx ends. A daemon that does not watch,
// whose store calls fail, or whose first list is slow, always has a pull waiting at its parent
// in the tree. Any daemon makes an immediate pull if it has no copy and its store calls fail,
// or if an announced revision did not arrive by watch or regular pull in time.
func (f *Follower) RunPulls(ctx context.Context) error {
	for ctx.Err() == nil {
		switch {
		case f.behind():
			if !f.pull(ctx, 0) || f.behind() {
				_ = backoff.Sleep(ctx, pullRetryPause) // The loop ends with ctx.
			}
		case f.snapshot.Load() == nil && f.awaitingPeerCopy.Load(),
			f.snapshot.Load() != nil && (f.Failing() || !f.Peers.Watching()):
			if !f.pull(ctx, pullWait) {
				_ = backoff.Sleep(ctx, pullRetryPause) // The loop ends with ctx.
			}
		default:
			_ = backoff.TickOrWake(ctx, idlePoll, f.pullsWake) // The loop ends with ctx.
		}
	}
	return nil
}

// behind reports whether an immediate pull from other daemons is needed: an announced revision
// is overdue, or the store does not answer a daemon without a copy. A daemon that starts reads
// the store first; awaitPeerCopy handles a store that is slow to list.
func (f *Follower) behind() bool {
	s := f.snapshot.Load()
	if s == nil {
		return f.Failing()
	}
	return f.overdue.Load() > s.Revision
}

// pull makes one request to another daemon and reports whether it succeeded.
func (f *Follower) pull(ctx context.Context, wait time.Duration) bool {
	requestCtx, cancel := context.WithTimeout(ctx, wait+pullTimeout)
	defer cancel()
	f.cancelPull.Store(&cancel)
	defer f.cancelPull.Store(nil)
	after := uint64(0)
	if s := f.snapshot.Load(); s != nil {
		after = s.Revision
	}
	p, err := f.Peers.Pull(requestCtx, f.Kind, after, wait)
	answered := time.Now()
	if err == nil {
		err = f.fetchParts(ctx, p)
	}
	if err != nil {
		f.Log.Debug().Err(err).Str("kind", f.Kind).Msg("pull from another daemon failed")
		return false
	}
	f.peerAnsweredAt.Store(time.Now().UnixNano())
	if !p.Failing {
		f.confirm(answered.Add(-p.Age))
		f.clearFailure()
	}
	if p.Names != nil {
		f.reconcile(p)
		return true
	}
	if p.Full {
		f.applySnapshot((&Snapshot{}).with(&p.Changes), true, p.AfterOutage)
		return true
	}
	f.applyChanges(&p.Changes, true, p.AfterOutage)
	return true
}

// clearFailure ends the failing state of a daemon that does not watch the store, after another
// daemon has confirmed that the store answers. Such a daemon makes no store calls that could end
// the state, and daemons that take changes from it would avoid it indefinitely.
func (f *Follower) clearFailure() {
	if f.Peers.Watching() {
		return
	}
	since := f.failingSince.Swap(0)
	if since == 0 {
		return
	}
	f.failureReported.Store(false)
	f.Log.Info().Str("kind", f.Kind).Dur("failed_for_ms", time.Duration(time.Now().UnixNano()-since)).
		Msg("failing state cleared: another daemon confirmed that the store answers")
}

// errOlderPart reports a part that is older than the first one, because the other daemon has
// restarted in the meantime.
var errOlderPart = errors.New("part of the copy is older than its first part")

// fetchParts requests the remaining parts of a copy and appends their objects to p. The
// timeout applies to each part, since a large copy can take longer as a whole. An
// announced revision does not interrupt the transfer.
func (f *Follower) fetchParts(ctx context.Context, p *PullResponse) error {
	for fetch := p.FetchNext; fetch != nil; {
		requestCtx, cancel := context.WithTimeout(ctx, partTimeout)
		part, err := fetch(requestCtx)
		cancel()
		if err != nil {
			return err
		}
		if part.Changes.Revision < p.Changes.Revision {
			return errOlderPart
		}
		for _, item := range part.Changes.Changed {
			// Objects created since the first part are included in the next incremental
			// response, which also includes their removal.
			if item.Created <= p.Changes.Revision {
				p.Changes.Changed = append(p.Changes.Changed, item)
			}
		}
		fetch = part.FetchNext
	}
	return nil
}
