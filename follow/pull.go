package follow

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
)

// RunPulls takes changes from other daemons until ctx ends. A daemon that does not watch,
// or that the store fails, always has a question waiting at the one that passes changes on
// to it; any daemon asks another at once when it has no copy and the store fails it, or
// when news did not come by their usual way.
func (f *Follower) RunPulls(ctx context.Context) error {
	for ctx.Err() == nil {
		switch {
		case f.behind():
			if !f.pull(ctx, 0) || f.behind() {
				_ = backoff.Sleep(ctx, pullPause) // The loop ends with ctx.
			}
		case f.snapshot.Load() != nil && (f.Failing() || !f.Peers.Watching()):
			if !f.pull(ctx, passWait) {
				_ = backoff.Sleep(ctx, pullPause) // The loop ends with ctx.
			}
		default:
			f.rest(ctx)
		}
	}
	return nil
}

// rest waits until there may be something to ask.
func (f *Follower) rest(ctx context.Context) {
	timer := time.NewTimer(idlePoll)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.kick:
	case <-timer.C:
	}
}

// behind tells whether other daemons may have what does not come by the usual way: news
// heard of is overdue, or the store does not answer a daemon without a copy. A daemon that
// starts reads the store first: when a whole fleet starts, a few daemons could not give
// all others their copies.
func (f *Follower) behind() bool {
	s := f.snapshot.Load()
	if s == nil {
		return f.Failing()
	}
	return f.overdue.Load() > s.Revision
}

// pull asks another daemon once, and tells whether it answered.
func (f *Follower) pull(ctx context.Context, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+pullTimeout)
	defer cancel()
	f.asking.Store(&cancel)
	defer f.asking.Store(nil)
	after := uint64(0)
	if s := f.snapshot.Load(); s != nil {
		after = s.Revision
	}
	p, err := f.Peers.Pull(ctx, f.Kind, after, wait)
	if err != nil {
		f.Log.Debug().Err(err).Str("kind", f.Kind).Msg("no daemon gave its copy")
		return false
	}
	f.heardPeer.Store(time.Now().UnixNano())
	if !p.Failing {
		f.confirm(time.Now().Add(-p.Age))
	}
	if p.Full {
		f.take((&Snapshot{}).with(&p.Changes), true, p.AfterOutage)
		return true
	}
	f.change(&p.Changes, true, p.AfterOutage)
	return true
}
