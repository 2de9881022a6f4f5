package follow

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// refreshTimeout limits a call to the store for Refresh. A request waits for it.
const refreshTimeout = 100 * time.Millisecond

// errNotReady reports that there is no copy to refresh, or that the store does not answer.
var errNotReady = errors.New("no copy, or the store does not answer")

// refresh is one call to the store on behalf of callers of Refresh.
type refresh struct {
	done chan struct{}
	// err is set before done is closed.
	err error
}

// Refresh waits until the copy includes every change that the store had accepted when it was
// called. Callers share calls to the store, of which there is at most one at a time. An error means
// that the copy may lack such a change: the store did not answer in time, or ctx ended.
func (f *Follower) Refresh(ctx context.Context) error {
	if f.snapshot.Load() == nil || f.Failing() {
		return errNotReady
	}
	r := f.nextRefresh()
	select {
	case <-ctx.Done():
		return fmt.Errorf("refresh of %s: %w", f.Kind, ctx.Err())
	case <-r.done:
		return r.err
	}
}

// nextRefresh returns a call to the store that has not begun yet.
func (f *Follower) nextRefresh() *refresh {
	f.refreshMu.Lock()
	defer f.refreshMu.Unlock()
	if f.refreshNext == nil {
		f.refreshNext = &refresh{done: make(chan struct{})}
		go f.runRefresh(f.refreshNext, f.refreshNow)
	}
	return f.refreshNext
}

// runRefresh makes a call once the previous one, if any, has ended.
func (f *Follower) runRefresh(r, previous *refresh) {
	defer close(r.done)
	if previous != nil {
		<-previous.done
	}
	f.refreshMu.Lock()
	f.refreshNow, f.refreshNext = r, nil
	f.refreshMu.Unlock()
	r.err = f.refreshOnce()
}

// refreshOnce reads the changes that the store has now.
func (f *Follower) refreshOnce() error {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	for {
		changes, err := f.Source.Watch(ctx, f.Kind, f.snapshot.Load().Revision, 0)
		if err != nil {
			return fmt.Errorf("refresh of %s: %w", f.Kind, err)
		}
		f.applyChanges(changes, false, f.followsOutage())
		if len(changes.Changed)+len(changes.Removed) < batchLimit {
			return nil
		}
	}
}
