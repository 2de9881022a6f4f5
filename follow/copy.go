package follow

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/revision"
)

// ApplySnapshot applies a complete state read from the store unless it is older than the copy.
func (f *Follower) ApplySnapshot(next *Snapshot) { f.applySnapshot(next, false, false) }

// ApplyChanges applies changes read from the store unless they are older than the copy.
func (f *Follower) ApplyChanges(c *Changes) { f.applyChanges(c, false, false) }

// applySnapshot replaces the copy with a complete state unless that is older.
func (f *Follower) applySnapshot(next *Snapshot, fromPeer, afterOutage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.snapshot.Load()
	if old == nil {
		old = &Snapshot{}
	}
	if next.Revision < old.Revision {
		return
	}
	diff := old.Diff(next)
	f.install(next, diff, newStep(old.Revision, &diff, true), fromPeer, afterOutage)
}

// applyChanges applies changes to the copy. Changes that it already includes have no effect.
func (f *Follower) applyChanges(c *Changes, fromPeer, afterOutage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.snapshot.Load()
	if old == nil || c.Revision < old.Revision {
		return
	}
	next := old.with(c)
	diff := old.Diff(next)
	affected := diff.withRemoved(c.Removed)
	f.install(next, diff, newStep(old.Revision, &affected, false), fromPeer, afterOutage)
}

// install stores a state as the copy and adds the step that led to it to the history. The
// caller holds mu.
func (f *Follower) install(next *Snapshot, diff Changes, s step, fromPeer, afterOutage bool) {
	previous := f.snapshot.Load()
	first := previous == nil
	restored := !first && revision.Era(next.Revision) > revision.Era(previous.Revision)
	f.snapshot.Store(next)
	if restored {
		f.Log.Warn().Str("kind", f.Kind).Uint64("era", revision.Era(next.Revision)).Uint64("revision", revision.Counter(next.Revision)).
			Uint64("revision_before", revision.Counter(previous.Revision)).Int("changed", len(diff.Changed)).Int("removed", len(diff.Removed)).
			Bool("from_daemon", fromPeer).Msg("the store has been restored from a copy")
	}
	empty := len(s.names) == 0
	// The first list has no previous state. An empty net difference is recorded, since
	// objects may have been created and removed within it.
	if !first && (!empty || s.netOnly && s.from < next.Revision) {
		f.history.add(s)
	}
	if empty && !first && !restored {
		return
	}
	close(f.updated)
	f.updated = make(chan struct{})
	if !fromPeer {
		f.Announce(next.Revision)
	}
	f.Apply(Update{Snapshot: next, Changes: diff, AfterOutage: afterOutage, FromPeer: fromPeer, Restored: restored})
}

// AwaitChanges returns the changes after a revision, for another daemon, as soon as there are
// any, the wait ends or ctx ends. It returns nil if there is no copy then.
func (f *Follower) AwaitChanges(ctx context.Context, after uint64, wait time.Duration) *PullResponse {
	// The timeout is shortened to a tick, so that the responses for several kinds and daemons
	// share wake-ups and packets.
	ctx, cancel := context.WithTimeout(ctx, backoff.UntilLastTickWithin(backoff.IdleInterval, wait))
	defer cancel()
	for {
		p, updated := f.changesSinceAndUpdated(after)
		if p != nil && (p.Full || p.Names != nil || !p.Changes.empty()) {
			return p
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return f.ChangesSince(after)
		}
	}
}

// ChangesSince returns the changes after a revision, for another daemon, or nil if there is
// no copy.
func (f *Follower) ChangesSince(after uint64) *PullResponse {
	p, _ := f.changesSinceAndUpdated(after)
	return p
}

// changesSinceAndUpdated also returns a channel that is closed at the next change.
func (f *Follower) changesSinceAndUpdated(after uint64) (*PullResponse, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changesSinceLocked(after), f.updated
}

// changesSinceLocked returns the changes after a revision. The caller holds mu.
func (f *Follower) changesSinceLocked(after uint64) *PullResponse {
	s := f.snapshot.Load()
	if s == nil {
		return nil
	}
	now := time.Now()
	p := &PullResponse{Failing: f.Failing() || f.Stale(now), AfterOutage: f.followsOutage(), Age: f.age(now)}
	p.Changes.Revision = s.Revision
	if after >= s.Revision {
		return p
	}
	changes, ok := f.history.since(after, s)
	if !ok && after > 0 {
		changes.Changed, p.Names = s.changedSince(after)
		ok = namesSize(p.Names) <= maxNamesBytes
	}
	if !ok || changes.size() > partBytes {
		changes, p.Full, p.Names = Changes{}, true, nil
		changes.Changed, p.NextPart = s.part(0)
	}
	p.Changes = changes
	p.Changes.Revision = s.Revision
	return p
}

// reconcile applies a response with the names of all objects of another daemon unless it is
// older than the copy.
func (f *Follower) reconcile(p *PullResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.snapshot.Load()
	if old == nil || p.Changes.Revision < old.Revision {
		return
	}
	next := old.reconciled(p)
	diff := old.Diff(next)
	f.install(next, diff, newStep(old.Revision, &diff, true), true, p.AfterOutage)
}

// ChangesSinceInOnePart returns the changes after a revision in a single response of any size,
// for clients that support neither partial responses nor names, or nil if there is no copy.
func (f *Follower) ChangesSinceInOnePart(after uint64) *PullResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.changesSinceLocked(after)
	if p == nil || p.NextPart == 0 && p.Names == nil {
		return p
	}
	current := f.snapshot.Load()
	changes, ok := f.history.since(after, current)
	if !ok {
		changes = (&Snapshot{}).Diff(current)
	}
	changes.Revision = p.Changes.Revision
	p.Changes, p.Full, p.Names, p.NextPart = changes, !ok, nil, 0
	return p
}

// Part returns the part of the current copy that starts at the given shard, or nil if
// there is no copy.
func (f *Follower) Part(part int) *PullResponse {
	s := f.snapshot.Load()
	if s == nil {
		return nil
	}
	p := &PullResponse{Full: true, Changes: Changes{Revision: s.Revision}}
	p.Changes.Changed, p.NextPart = s.part(part)
	return p
}
