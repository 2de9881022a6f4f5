// Package follow keeps a copy of one kind of the store's objects on this daemon.
// A few daemons of the fleet watch the store; the others take what changed from
// them, and read the store themselves when those do not answer or are turned
// away. A copy never goes back to an older revision.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// ErrHistoryGone reports that the store has forgotten the changes asked for.
var ErrHistoryGone = errors.New("the store has forgotten this history")

// Source is the part of the store that a Follower reads.
type Source interface {
	// List returns one page of the objects of a kind.
	List(ctx context.Context, kind string, o ListOptions) (*Page, error)
	// Watch returns the changes after a revision, or none when the wait ends. The
	// wait is how long the store may hold the call.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (*Changes, error)
}

// Page is one page of a paginated list.
type Page struct {
	// Revision is the store's revision when the page was read.
	Revision uint64
	Items    []Item
	// Next is the value of ListOptions.After for the next page, or "" if this is the last one.
	Next string
}

// ListOptions say how a page of a list is read.
type ListOptions struct {
	// After is Page.Next of the previous page, or "" for the first page.
	After string
	// Stale objects, as of some seconds ago, will do, which is cheaper.
	Stale bool
	// ResponseTimeout bounds the time until each answer begins.
	ResponseTimeout time.Duration
	// Cause is why the list is read.
	Cause Cause
}

// PullResponse is what another daemon gave of its copy.
type PullResponse struct {
	Changes Changes
	// Full tells that the changes are the complete set of objects, or a part of it.
	Full bool
	// NextPart identifies the next part of the copy. It is zero when there is none.
	NextPart int
	// FetchNext requests the next part. It is nil when there is none.
	FetchNext func(ctx context.Context) (*PullResponse, error)
	// Names are those of all objects of the other daemon, if its history does not tell which
	// objects were removed after the requested revision. Otherwise Names is nil.
	Names []string
	// Failing tells that the store does not answer the other daemon now.
	Failing bool
	// AfterOutage tells that the store has just come back.
	AfterOutage bool
	// Age is how long ago the store confirmed the other daemon's copy, as far as it
	// knows.
	Age time.Duration
}

// Peers gives access to the copies of other daemons.
type Peers interface {
	// Pull asks another daemon for what changed after a revision. With a wait it asks
	// the one that passes changes on to this daemon, which answers when it has some or
	// the wait ends; without, any that may know more, which answers at once.
	Pull(ctx context.Context, kind string, after uint64, wait time.Duration) (*PullResponse, error)
	// Watching tells whether this daemon is one of those that watch the store.
	Watching() bool
	// SelectedToWatch reports whether the current membership view selects this daemon to
	// watch the store. Unlike Watching, it can be true right after startup, when the view
	// may still be incomplete.
	SelectedToWatch() bool
	// Depth is the number of daemons, this one included, that a change passes from the
	// store on until it is here: 1 for one that takes it from a daemon that watches.
	Depth() int
	// Live is the number of live daemons, this one included.
	Live() int
}

const (
	// retryBase and retryMax bound the pause after a call that failed. The upper
	// one decides how soon a store that came back is noticed.
	retryBase = 50 * time.Millisecond
	retryMax  = 400 * time.Millisecond
	// turnedAwayRetry bounds the pause of a daemon that watches while the store answers
	// others, which confirm its copy: the store is there, and refused calls cost as much
	// as others.
	turnedAwayRetry = 2 * time.Second
	// orphanRetry is how much longer a daemon that does not watch pauses for each
	// daemon of the fleet when no other answers it: many may be in that place, and calls
	// that are refused cost as much as others. With 150 ms one of 66 daemons had a change
	// 3.3 s after an outage.
	orphanRetry = 40 * time.Millisecond
	// spareRetry is the same for a daemon that others answer, though they have heard
	// nothing from the store: those that watch and their substitutes ask it, and tell of
	// what they hear. It bounds the calls of all such daemons to ten a second in an
	// outage, whatever the size of the fleet.
	spareRetry = 100 * time.Millisecond
	// answeredLately is how long ago another daemon's answer still counts for this.
	answeredLately = 2 * time.Second
	// outageAfter is how long the store may fail to answer before its return
	// counts as the end of an outage, and outageEcho how long after the return
	// changes are taken to be of the outage's making.
	outageAfter = 500 * time.Millisecond
	outageEcho  = 2 * time.Second
	// firstPatience is how long a list's answer may take to begin when the store has
	// answered the one before, many times what a store takes that is well. It grows
	// by patienceGrowth halves with each list that fails, up to mostPatience for a slow
	// store, and is longer by up to patienceJitter, so that a store that was silent is
	// asked again by some daemon soon after its return.
	firstPatience  = 350 * time.Millisecond
	mostPatience   = 2 * time.Second
	patienceGrowth = 3
	patienceJitter = 0.3
	// gatherTime lets changes that come in a burst share one watch. After stormAfter
	// watches in a row that found some, stormGather does: two hundred engines that register
	// over several seconds then cost two calls a second of each daemon that watches rather
	// than eight, while a burst of a second is told as soon as a single change.
	gatherTime  = 120 * time.Millisecond
	stormAfter  = 10
	stormGather = 480 * time.Millisecond
	// gatherLimit is the number of changes in a response from which the next watch starts
	// without a pause.
	gatherLimit = 250
	// freshRetry is the same for a daemon without a copy: after a common start in an
	// outage all of them have none.
	freshRetry = 10 * time.Millisecond
	// idlePoll is the time between two looks at whether this daemon should watch.
	idlePoll = 200 * time.Millisecond
	// leadPoll is the time between two looks at whether the lead has got an answer,
	// leadPatience how long it is trusted to notice that the store is back.
	leadPoll     = 100 * time.Millisecond
	leadPatience = 3 * time.Second
	// pullTimeout bounds one question to another daemon beyond its wait. It is short,
	// since the next one is asked of another.
	pullTimeout = 400 * time.Millisecond
	// partTimeout bounds the request for each further part of a copy. It is longer than
	// pullTimeout because the other daemon is known to answer, possibly serves several daemons
	// at once, and a failure discards all parts received so far.
	partTimeout = 4 * pullTimeout
	// pullPause is the least time between two questions when the first brought nothing.
	pullPause = 100 * time.Millisecond
	// passWait is how long a question to the daemon that passes changes on waits for
	// one. It is also how often a copy is confirmed at least, and with pullTimeout how
	// soon a daemon that does not answer is noticed.
	passWait = 700 * time.Millisecond
	// newsPatience is how long the own watch, or each daemon that a change passes, may
	// take to bring what another daemon has already got.
	newsPatience = 200 * time.Millisecond
	// staleAfter is how long neither store nor daemons may have answered before
	// the copy counts as stale.
	staleAfter = 3 * time.Second
)

// orphanMargin is how much longer than passWait for each daemon on the way of a change a
// daemon that does not watch goes without a confirmation before it reads the store
// itself.
const orphanMargin = 800 * time.Millisecond

// A watch may go deaf unnoticed: it ends without an answer, and until then the
// changes are missed. Daemons tell each other of new revisions, so it is enough
// that some watch in the fleet ends soon: its wait is short, and its ends are
// spread by waitJitter. It must be short on every daemon that watches: one that the
// store leaves without an answer tells the others that nothing has changed until its
// watch ends. With waits of up to 5 s on all but one, keys that had been taken away
// were let in for 3.04 s by daemons that asked it.
//
// It is short for every kind, too: when the store forgets its history, one kind's watch
// may hear nothing more while the others go on. With waits of 10 s on all kinds but the
// lead's, all daemons heard of an order 1.9 s late.
const (
	watchWait  = 2500 * time.Millisecond
	waitJitter = 0.5
)

// Update is a new state of the copy.
type Update struct {
	Snapshot *Snapshot
	// Changes is the difference from the previous state.
	Changes Changes
	// AfterOutage tells that the store has just come back.
	AfterOutage bool
	// FromPeer tells that another daemon gave the state.
	FromPeer bool
}

// Options are what a Follower needs. All fields but Lead are required.
type Options struct {
	Kind   string
	Source Source
	Peers  Peers
	// Apply takes each new state, one call at a time.
	Apply func(Update)
	// Announce tells other daemons of a revision with changes.
	Announce func(revision uint64)
	// Lead, if any, is another Follower of this daemon. While the store answers
	// neither, only the lead goes on asking: what it hears holds for all.
	Lead *Follower
	// OnWatchFailure is called when a watch ended without an answer or the history was
	// gone: what befell one watch may have befallen the others of this daemon.
	OnWatchFailure func()
	Random         *rand.Rand
	Log            zerolog.Logger
}

// Follower keeps the copy of one kind.
type Follower struct {
	Options

	snapshot atomic.Pointer[Snapshot]
	// failingSince is the time of the first failure in a row in Unix
	// nanoseconds, zero while the store answers.
	failingSince atomic.Int64
	// reported tells that the log has a line of the failure, answeredAt is the time
	// of the store's last answer.
	reported   atomic.Bool
	answeredAt atomic.Int64
	// returned is when the store came back from its last outage.
	returned atomic.Int64
	// confirmed is when the store last answered this daemon or one that it learnt
	// from. An answer of a daemon counts from the store's answer behind it: otherwise
	// daemons that do not watch confirm each other while all that watch are turned
	// away, and none reads the store.
	confirmed atomic.Int64
	// newest is the highest revision that another daemon spoke of, overdue the highest
	// one that did not come by its usual way in time.
	newest, overdue atomic.Uint64
	kick            chan struct{}
	// watchersChanged wakes Run when the daemons that watch the store may have changed.
	watchersChanged chan struct{}
	// asking ends the question to another daemon that is waiting.
	asking atomic.Pointer[context.CancelFunc]
	// heardPeer is when another daemon last answered, in Unix nanoseconds.
	heardPeer atomic.Int64
	// turn is this daemon's place, from 0 to 1, among those that read the store because
	// nobody confirms their copies, busyWatches counts the watches in a row that found
	// changes; Run alone uses them.
	turn        float64
	busyWatches int
	// relist asks for a list at the next step.
	relist causeFlag
	// tried is the time of the last call, patience the bound of the next page of a list,
	// partial the list in progress; Run alone uses them.
	tried    time.Time
	patience time.Duration
	partial  partialList
	// awaitingPeerCopy tells RunPulls to ask other daemons for a copy, because this daemon has
	// none and its list is slow.
	awaitingPeerCopy atomic.Bool
	// interrupt ends the call in progress.
	interrupt atomic.Pointer[context.CancelFunc]

	// mu keeps updates in order and guards what follows.
	mu      sync.Mutex
	history history
	// updated is closed with the next change, for those that wait for it.
	updated chan struct{}
}

// New returns a Follower that does nothing before Run.
func New(o Options) *Follower {
	return &Follower{Options: o, kick: make(chan struct{}, 1), watchersChanged: make(chan struct{}, 1), patience: firstPatience, updated: make(chan struct{})}
}

// Snapshot returns the copy, nil before the first one.
func (f *Follower) Snapshot() *Snapshot { return f.snapshot.Load() }

// Failing tells whether the store did not answer the last call.
func (f *Follower) Failing() bool { return f.failingSince.Load() != 0 }

// FailingFor returns how long the store has not answered, zero while it does.
func (f *Follower) FailingFor(now time.Time) time.Duration {
	since := f.failingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - since)
}

// Stale tells whether the copy may be out of date: neither the store nor another
// daemon has confirmed it lately.
func (f *Follower) Stale(now time.Time) bool {
	return f.snapshot.Load() == nil || f.age(now) > staleAfter+watchWait
}

// age returns how long ago the store confirmed the copy, for other daemons. A watch
// that waits would tell of changes, so the copy is of now.
func (f *Follower) age(now time.Time) time.Duration {
	if f.interrupt.Load() != nil && !f.Failing() {
		return 0
	}
	return time.Duration(now.UnixNano() - f.confirmed.Load())
}

// confirm notes that the copy was in order at a time.
func (f *Follower) confirm(at time.Time) {
	for {
		old := f.confirmed.Load()
		if at.UnixNano() <= old || f.confirmed.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// UnconfirmedFor returns the time since the store or another daemon confirmed the copy,
// zero before the first one.
func (f *Follower) UnconfirmedFor(now time.Time) time.Duration {
	if f.snapshot.Load() == nil {
		return 0
	}
	return time.Duration(now.UnixNano() - f.confirmed.Load())
}

// NotifyRevision takes in that another daemon holds the given revision.
func (f *Follower) NotifyRevision(revision uint64) {
	if !raise(&f.newest, revision) {
		return
	}
	time.AfterFunc(f.patienceForNews(), func() { f.hurry(revision) })
}

// patienceForNews is how long a change that another daemon has may take to come here by
// its usual way.
func (f *Follower) patienceForNews() time.Duration {
	return time.Duration(max(f.Peers.Depth(), 1)) * newsPatience
}

// hurry has another daemon asked when a revision did not come by its usual way.
func (f *Follower) hurry(revision uint64) {
	if !raise(&f.overdue, revision) || !f.behind() {
		return
	}
	if cancel := f.asking.Load(); cancel != nil {
		(*cancel)()
	}
	f.wake()
}

// raise sets a number to a greater one, and tells whether it was greater.
func raise(to *atomic.Uint64, value uint64) bool {
	for {
		old := to.Load()
		if value <= old {
			return false
		}
		if to.CompareAndSwap(old, value) {
			return true
		}
	}
}

func (f *Follower) wake() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}
