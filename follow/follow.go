// Package follow keeps a copy of one kind of the store's objects on this daemon:
// a list once, then a watch. While the store does not answer this daemon, it
// asks other daemons for theirs. A copy never goes back to an older revision.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/backoff"
)

// Item is one object.
type Item struct {
	Name string
	// Revision is that of the object's last change.
	Revision uint64
	// Created is the revision at which the object came to be.
	Created uint64
	// Spec and Status are encoded as the store has them.
	Spec, Status []byte
}

// Snapshot is an immutable state of all objects of a kind.
type Snapshot struct {
	// Revision is that of the store when the state was read.
	Revision uint64
	Items    map[string]Item
}

// Changes are what happened after a revision.
type Changes struct {
	// Revision is where the next watch continues.
	Revision uint64
	Changed  []Item
	Removed  []string
}

// ErrHistoryGone reports that the store has forgotten the changes asked for.
var ErrHistoryGone = errors.New("the store has forgotten this history")

// Source is the part of the store that a Follower reads.
type Source interface {
	List(ctx context.Context, kind string) (*Snapshot, error)
	// Watch returns the changes after a revision, or none when the wait ends. The
	// wait is how long the store may hold the call.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (*Changes, error)
}

// Peers gives access to the copies of other daemons.
type Peers interface {
	// Pull returns a copy that is newer than the revision, or nil, from some
	// daemon that has one.
	Pull(ctx context.Context, kind string, after uint64) (*Snapshot, error)
}

const (
	// retryBase and retryMax bound the pause after a call that failed. The upper
	// one decides how soon a store that came back is noticed.
	retryBase = 50 * time.Millisecond
	retryMax  = 400 * time.Millisecond
	// outageAfter is how long the store may fail to answer before its return
	// counts as the end of an outage.
	outageAfter = 500 * time.Millisecond
	// pullInterval is the pause between two questions to other daemons while the
	// store does not answer.
	pullInterval = 250 * time.Millisecond
	// pullTimeout bounds one such question.
	pullTimeout = time.Second
	// staleAfter is how long neither store nor daemons may have answered before
	// the copy counts as stale.
	staleAfter = 3 * time.Second
	// newsPatience is how long the own watch may take to bring what another
	// daemon has already got.
	newsPatience = 250 * time.Millisecond
)

// A watch may go deaf unnoticed: it ends without an answer, and until then the
// changes are missed. Daemons tell each other of new revisions, so it is enough
// that some watch in the fleet ends soon. Each daemon's watches last as long as
// keeps the rate of the fleet's calls constant, within bounds.
const (
	waitPerDaemon = 700 * time.Millisecond
	minWait       = 1200 * time.Millisecond
	maxWait       = 20 * time.Second
	// waitJitter is the part by which the wait varies, so that the ends are spread.
	waitJitter = 0.4
)

// wait returns how long the next watch is held.
func (f *Follower) wait() time.Duration {
	w := min(max(time.Duration(f.Daemons())*waitPerDaemon, minWait), maxWait)
	return time.Duration(float64(w) * (1 - waitJitter*f.Random.Float64()))
}

// Update is a new state of the copy.
type Update struct {
	Snapshot *Snapshot
	// AfterOutage tells that the store has just come back.
	AfterOutage bool
	// FromPeer tells that another daemon gave the state.
	FromPeer bool
}

// Options are what a Follower needs. All fields are required.
type Options struct {
	Kind   string
	Source Source
	Peers  Peers
	// Apply takes each new state, one call at a time.
	Apply func(Update)
	// Announce tells other daemons of the newest revision that the store gave.
	Announce func(revision uint64)
	// Daemons is the number of live daemons, this one included.
	Daemons func() int
	// Disturbed is called when a watch ended without an answer or the history was
	// gone: what befell one watch may have befallen the others of this daemon.
	Disturbed func()
	Random    *rand.Rand
	Log       zerolog.Logger
}

// Follower keeps the copy of one kind.
type Follower struct {
	Options

	snapshot atomic.Pointer[Snapshot]
	// failingSince is the time of the first failure in a row in Unix
	// nanoseconds, zero while the store answers.
	failingSince atomic.Int64
	// confirmed is the time of the last answer of store or daemons.
	confirmed atomic.Int64
	// newest is the highest object revision that another daemon spoke of.
	newest atomic.Uint64
	kick   chan struct{}

	// relist asks for a list at the next step.
	relist atomic.Bool
	// interrupt ends the call in progress.
	interrupt atomic.Pointer[context.CancelFunc]

	// mu keeps updates in order.
	mu sync.Mutex
}

// New returns a Follower that does nothing before Run.
func New(o Options) *Follower {
	return &Follower{Options: o, kick: make(chan struct{}, 1)}
}

// Snapshot returns the copy, nil before the first one.
func (f *Follower) Snapshot() *Snapshot { return f.snapshot.Load() }

// Stale tells whether the copy may be out of date: the store fails and no other
// daemon has confirmed it lately.
func (f *Follower) Stale(now time.Time) bool {
	if f.snapshot.Load() == nil {
		return true
	}
	return f.failingSince.Load() != 0 && now.UnixNano()-f.confirmed.Load() > int64(staleAfter)
}

// Heard takes in that another daemon holds an object of the given revision.
func (f *Follower) Heard(revision uint64) {
	for {
		old := f.newest.Load()
		if revision <= old {
			return
		}
		if f.newest.CompareAndSwap(old, revision) {
			break
		}
	}
	f.wake()
}

func (f *Follower) wake() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pauses := &backoff.Backoff{Base: retryBase, Max: retryMax, Random: f.Random}
	f.relist.Store(true)
	for ctx.Err() == nil {
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

// Relist ends a watch in progress and lists instead.
func (f *Follower) Relist() {
	f.relist.Store(true)
	if cancel := f.interrupt.Load(); cancel != nil {
		(*cancel)()
	}
}

// step lists or watches once.
func (f *Follower) step(ctx context.Context) error {
	if f.relist.Swap(false) || f.snapshot.Load() == nil {
		next, err := f.Source.List(ctx, f.Kind)
		if err != nil {
			f.relist.Store(true)
			return err
		}
		f.take(next, f.answered(), false)
		return nil
	}
	return f.watch(ctx)
}

// watch waits for changes once.
func (f *Follower) watch(ctx context.Context) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	f.interrupt.Store(&cancel)
	defer f.interrupt.Store(nil)
	if f.relist.Load() {
		return nil // Asked for just before the call could be ended.
	}
	old := f.snapshot.Load()
	changes, err := f.Source.Watch(inner, f.Kind, old.Revision, f.wait())
	switch {
	case err == nil:
		f.take(old.with(changes), f.answered(), false)
		return nil
	case errors.Is(err, ErrHistoryGone):
		f.Log.Info().Str("kind", f.Kind).Uint64("revision", old.Revision).Msg("history gone, listing again")
		f.relist.Store(true)
		f.Disturbed()
		return nil
	case inner.Err() != nil:
		return nil // Relist has ended the watch, or the daemon stops.
	}
	f.relist.Store(true)
	f.Disturbed()
	return err
}

// with returns the state after the changes.
func (s *Snapshot) with(c *Changes) *Snapshot {
	next := &Snapshot{Revision: max(s.Revision, c.Revision), Items: s.Items}
	if len(c.Changed) == 0 && len(c.Removed) == 0 {
		return next
	}
	next.Items = make(map[string]Item, len(s.Items)+len(c.Changed))
	for name, item := range s.Items {
		next.Items[name] = item
	}
	for _, item := range c.Changed {
		next.Items[item.Name] = item
	}
	for _, name := range c.Removed {
		delete(next.Items, name)
	}
	return next
}

// answered notes an answer of the store and tells whether an outage ended.
func (f *Follower) answered() (afterOutage bool) {
	now := time.Now()
	f.confirmed.Store(now.UnixNano())
	since := f.failingSince.Swap(0)
	if since == 0 {
		return false
	}
	f.Log.Info().Str("kind", f.Kind).Dur("failed_for", now.Sub(time.Unix(0, since))).Msg("store answers again")
	return now.UnixNano()-since > int64(outageAfter)
}

// failed notes a call without an answer.
func (f *Follower) failed(err error) {
	if f.failingSince.CompareAndSwap(0, time.Now().UnixNano()) {
		f.Log.Warn().Err(err).Str("kind", f.Kind).Msg("store does not answer")
	}
	f.wake()
}

// take puts a state in force unless it is older than the copy.
func (f *Follower) take(next *Snapshot, afterOutage, fromPeer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.snapshot.Load()
	if old != nil && next.Revision < old.Revision {
		return
	}
	f.snapshot.Store(next)
	if old != nil && next.Revision == old.Revision && !afterOutage {
		return
	}
	if !fromPeer {
		f.Announce(next.newestItem())
	}
	f.Apply(Update{Snapshot: next, AfterOutage: afterOutage, FromPeer: fromPeer})
}

// newestItem returns the highest revision of an object.
func (s *Snapshot) newestItem() (revision uint64) {
	for _, item := range s.Items {
		revision = max(revision, item.Revision)
	}
	return revision
}

// RunPulls asks other daemons whenever the store fails this one, or is slower
// than to them, until ctx ends.
func (f *Follower) RunPulls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.kick:
		}
		for f.behind() && ctx.Err() == nil {
			if backoff.Sleep(ctx, newsPatience) != nil {
				return nil
			}
			if f.behind() {
				f.pull(ctx)
				_ = backoff.Sleep(ctx, pullInterval-newsPatience) // The loop ends with ctx.
			}
		}
	}
}

// behind tells whether other daemons should be asked.
func (f *Follower) behind() bool {
	s := f.snapshot.Load()
	return s == nil || f.failingSince.Load() != 0 || f.newest.Load() > s.Revision
}

// pull asks another daemon once.
func (f *Follower) pull(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	after := uint64(0)
	if s := f.snapshot.Load(); s != nil {
		after = s.Revision
	}
	next, err := f.Peers.Pull(ctx, f.Kind, after)
	if err != nil {
		f.Log.Debug().Err(err).Str("kind", f.Kind).Msg("no daemon gave its copy")
		return
	}
	f.confirmed.Store(time.Now().UnixNano())
	if next == nil {
		return
	}
	f.Log.Info().Str("kind", f.Kind).Uint64("revision", next.Revision).Uint64("before", after).Msg("copy taken from another daemon")
	f.take(next, false, true)
}
