package follow

import (
	"context"
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/revision"
)

// maxListAge is the age at which a failed list restarts from its first page instead of
// resuming. The watch that follows needs the store's history since the first page.
const maxListAge = 8 * time.Second

const (
	// slowListAfter is how long the first list may take before the daemon asks other daemons
	// for a copy. Most lists finish earlier, but when a large fleet starts, the store cannot
	// send all objects to all daemons before callers time out.
	slowListAfter = 250 * time.Millisecond
	// peerCopyTimeout is how long a daemon waits for a copy from another daemon before it
	// resumes reading the store. peerCopyHopTimeout is added per level of the tree.
	peerCopyTimeout    = 3 * time.Second
	peerCopyHopTimeout = time.Second
	// peerCopyPoll is the interval at which a waiting daemon checks for a copy.
	peerCopyPoll = 50 * time.Millisecond
)

// awaitPeerCopy waits for a copy from another daemon and reports whether one arrived. It
// stops waiting when this daemon is selected to watch the store, or after a randomized
// timeout that keeps daemons from all reading the store at the same time.
func (f *Follower) awaitPeerCopy(ctx context.Context) bool {
	if f.Peers.Live() <= 1 || f.Peers.SelectedToWatch() {
		return false
	}
	timeout := peerCopyTimeout + time.Duration(f.Peers.Depth())*peerCopyHopTimeout +
		time.Duration(f.Random.Float64()*float64(f.Peers.Live())*float64(emptyRetryPerDaemon))
	f.awaitingPeerCopy.Store(true)
	defer f.awaitingPeerCopy.Store(false)
	f.wakePulls()
	began := time.Now()
	for f.snapshot.Load() == nil && !f.Peers.SelectedToWatch() && time.Since(began) < timeout {
		if backoff.Sleep(ctx, peerCopyPoll) != nil {
			return false
		}
	}
	found := f.snapshot.Load() != nil
	f.Log.Info().Str("kind", f.Kind).Int("pages", f.partial.pages).Dur("waited_ms", time.Since(began)).Bool("found", found).
		Msg("list is slow, asked other daemons for a copy")
	return found
}

// partialList holds the pages read so far by a list in progress.
type partialList struct {
	began time.Time
	items []Item
	pages int
	// revision is the lowest revision of all pages. Watching from it ensures that changes
	// made while later pages were read are not missed.
	revision uint64
	// next is Page.Next of the last page received.
	next string
	// slowReported is set once exceedsSlowLimit has returned true.
	slowReported bool
}

// resumeOrRestart keeps the pages of a failed list if cause is CauseRetry and the list began at
// most maxListAge ago. Otherwise it starts a new list.
func (l *partialList) resumeOrRestart(cause Cause, now time.Time) {
	if cause != CauseRetry || l.pages == 0 || now.Sub(l.began) > maxListAge {
		*l = partialList{began: now}
	}
}

// ofOtherEra reports whether a page was read in another era than the pages before.
func (l *partialList) ofOtherEra(p *Page) bool {
	return l.pages > 0 && revision.Era(p.Revision) != revision.Era(l.revision)
}

// addPage appends a page and reports whether there are more.
func (l *partialList) addPage(p *Page) bool {
	if l.pages == 0 || p.Revision < l.revision {
		l.revision = p.Revision
	}
	l.pages++
	l.items = append(l.items, p.Items...)
	l.next = p.Next
	return l.next != ""
}

// exceedsSlowLimit reports whether the list has taken slowListAfter or longer. It returns
// true at most once per list, so that a daemon waits for a copy only once.
func (l *partialList) exceedsSlowLimit(now time.Time) bool {
	if l.slowReported || now.Sub(l.began) < slowListAfter {
		return false
	}
	l.slowReported = true
	return true
}

// snapshot returns a Snapshot of the objects of all pages.
func (l *partialList) snapshot() *Snapshot {
	return NewSnapshot(l.revision, slices.Values(l.items))
}
