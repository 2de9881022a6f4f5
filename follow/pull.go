package follow

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
)

// RunPulls asks other daemons, until ctx ends: regularly while this daemon does
// not watch, and at once when the store fails it or is slower than to them.
func (f *Follower) RunPulls(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.kick:
		case <-timer.C:
		}
		if f.Peers.Watching() && f.behind() {
			_ = backoff.Sleep(ctx, newsPatience) // The own watch may bring it.
		}
		if f.behind() || f.snapshot.Load() != nil && !f.Peers.Watching() {
			f.pull(ctx)
			_ = backoff.Sleep(ctx, pullPause) // The loop ends with ctx.
		}
		pause := f.confirmInterval()
		if f.behind() {
			pause = pullPause
		}
		timer.Reset(pause)
	}
}

// behind tells whether other daemons may have more than the copy. A daemon that
// starts reads the store first: when a whole fleet starts, a few daemons could not
// give all others their copies.
func (f *Follower) behind() bool {
	s := f.snapshot.Load()
	return f.Failing() || s != nil && f.newest.Load() > s.Revision
}

// pull asks another daemon once.
func (f *Follower) pull(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	after := uint64(0)
	if s := f.snapshot.Load(); s != nil {
		after = s.Revision
	}
	p, err := f.Peers.Pull(ctx, f.Kind, after)
	if err != nil {
		f.Log.Debug().Err(err).Str("kind", f.Kind).Msg("no daemon gave its copy")
		return
	}
	if !p.Failing {
		f.confirm(time.Now().Add(-p.Age))
	}
	if p.Full {
		f.take((&Snapshot{}).with(&p.Changes), true, p.AfterOutage)
		return
	}
	f.change(&p.Changes, true, p.AfterOutage)
}
