// Package follow maintains a local copy of all objects of one kind in the store.
//
// A few daemons of the fleet, the watchers, watch the store. The others pull changes
// from them along a tree, and read the store themselves when the watchers do not answer
// or are rejected by the store. A copy never goes back to an older revision. Revisions are those
// of package revision, so the state of a restored store is newer than any before.
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

// ErrHistoryGone reports that the store no longer holds the requested changes.
var ErrHistoryGone = errors.New("the store no longer holds this history")

// Source is the part of the store that a Follower reads.
type Source interface {
	// List returns one page of the objects of a kind.
	List(ctx context.Context, kind string, o ListOptions) (*Page, error)
	// Watch returns the changes after a revision, or none if there are none within the
	// wait, which is how long the store may hold the call.
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

// ListOptions configures the request for one page of a list.
type ListOptions struct {
	// After is Page.Next of the previous page, or "" for the first page.
	After string
	// Stale allows a response that is some seconds old, which is cheaper for the store.
	Stale bool
	// ResponseTimeout limits the time until each response begins.
	ResponseTimeout time.Duration
	// Cause is the reason for the list.
	Cause Cause
}

// PullResponse is another daemon's response to a request for its copy or for changes to it.
type PullResponse struct {
	Changes Changes
	// Full reports whether the changes are the complete set of objects, or a part of it.
	Full bool
	// NextPart identifies the next part of the copy. It is zero when there is none.
	NextPart int
	// FetchNext requests the next part. It is nil when there is none.
	FetchNext func(ctx context.Context) (*PullResponse, error)
	// Names are those of all objects of the other daemon, if its history does not show which
	// objects were removed after the requested revision. Otherwise Names is nil.
	Names []string
	// Failing reports whether the store currently does not answer the other daemon.
	Failing bool
	// AfterOutage reports whether the store has recently recovered from an outage.
	AfterOutage bool
	// Age is the time since the store confirmed the other daemon's copy, as far as that
	// daemon knows.
	Age time.Duration
}

// Peers gives access to the copies of other daemons.
type Peers interface {
	// Pull requests the changes after a revision from another daemon. With a wait, the
	// request goes to this daemon's parent in the tree, which responds when it has changes
	// or the wait ends. Without a wait, it goes to any daemon that may be ahead, which
	// responds immediately.
	Pull(ctx context.Context, kind string, after uint64, wait time.Duration) (*PullResponse, error)
	// Watching reports whether this daemon is one of those that watch the store.
	Watching() bool
	// SelectedToWatch reports whether the current membership view selects this daemon to
	// watch the store. Unlike Watching, it can be true right after startup, when the view
	// may still be incomplete.
	SelectedToWatch() bool
	// Depth returns the number of hops between daemons that a change takes to reach this
	// one: 1 for a daemon that pulls from a watcher.
	Depth() int
	// Live returns the number of live daemons, including this one.
	Live() int
}

const (
	// retryBase and retryMax bound the pause after a failed store call. The upper bound
	// determines how soon the recovery of the store is noticed.
	retryBase = 50 * time.Millisecond
	retryMax  = 400 * time.Millisecond
	// rejectedRetryMax is the longest pause of a watcher whose calls fail while other daemons
	// confirm its copy. The store is available to others in this case, and rejected calls
	// cost it as much as successful ones.
	rejectedRetryMax = 2 * time.Second
	// orphanRetryPerDaemon, multiplied by the number of live daemons, is the longest pause of
	// an orphan, unless retryMax is longer. An orphan is a daemon that does not watch and that
	// no other daemon answers. There may be many orphans, and rejected calls cost the store as
	// much as successful ones. With 150 ms, one of 66 daemons received a change only 3.3 s
	// after an outage.
	orphanRetryPerDaemon = 40 * time.Millisecond
	// standbyRetryPerDaemon is the equivalent for a daemon that does not watch, and that other
	// daemons answer although they have not heard from the store either. Such a daemon can
	// pause for longer, because the watchers and their substitutes call the store and pass on
	// its responses. It limits the calls of all such daemons to ten per second in an outage,
	// whatever the size of the fleet.
	standbyRetryPerDaemon = 100 * time.Millisecond
	// recentAnswerWindow is how long an answer of another daemon, or a confirmation of the
	// copy, counts as recent when the pause between store calls is chosen.
	recentAnswerWindow = 2 * time.Second
	// minOutage is the shortest failure of the store that counts as an outage.
	// postOutageWindow is the time after an outage in which changes are attributed to it.
	minOutage        = 500 * time.Millisecond
	postOutageWindow = 2 * time.Second
	// listTimeoutMin is the shortest time that a list allows until a response begins, many
	// times what a healthy store takes. Each failed page multiplies the timeout by
	// listTimeoutGrowth/2, up to listTimeoutMax for a slow store. Each timeout is extended
	// randomly by up to the fraction listTimeoutJitter, so that some daemon calls an
	// unresponsive store soon after it recovers.
	listTimeoutMin    = 350 * time.Millisecond
	listTimeoutMax    = 2 * time.Second
	listTimeoutGrowth = 3
	listTimeoutJitter = 0.3
	// batchPause is the pause between a watch that returned changes and the next one, so that
	// changes in quick succession share one watch. After burstAfter consecutive watches with
	// changes, the pause is burstPause: 200 engines that register over several seconds then
	// cost two calls per second per watcher rather than eight, while a burst of one second is
	// received as soon as a single change.
	batchPause = 120 * time.Millisecond
	burstAfter = 10
	burstPause = 480 * time.Millisecond
	// batchLimit is the number of changes in a response from which the next watch starts
	// without a pause.
	batchLimit = 250
	// emptyRetryPerDaemon is the addition to retryMax per live daemon for a daemon without a
	// copy: if the fleet starts during an outage, no daemon has one.
	emptyRetryPerDaemon = 10 * time.Millisecond
	// idlePoll is the interval at which RunPulls checks whether it should pull, and at which
	// Run checks whether it should read the store once the copy has been unconfirmed for a
	// while.
	idlePoll = 200 * time.Millisecond
	// leadPoll is the interval at which a follower checks whether the store has answered its
	// lead. leadTimeout is how long it relies on the lead to notice the store's recovery.
	leadPoll    = 100 * time.Millisecond
	leadTimeout = 3 * time.Second
	// pullTimeout limits a pull from another daemon in addition to its wait. It is short,
	// since the next pull goes to another daemon.
	pullTimeout = 400 * time.Millisecond
	// partTimeout limits the request for each further part of a copy. It is longer than
	// pullTimeout because the other daemon is known to answer, possibly serves several daemons
	// at once, and a failure discards all parts received so far.
	partTimeout = 4 * pullTimeout
	// pullRetryPause is the pause after a failed pull, or after one that did not return an
	// overdue revision.
	pullRetryPause = 100 * time.Millisecond
	// pullWait is how long a pull from the parent waits for changes. It is also the longest
	// interval between two confirmations of a copy, and together with pullTimeout determines
	// how soon an unresponsive parent is noticed.
	pullWait = 700 * time.Millisecond
	// propagationTimeout is how long a change that another daemon already has may take to
	// arrive by this daemon's own watch, or per hop in the tree.
	propagationTimeout = 200 * time.Millisecond
	// staleAfter is the time without a confirmation by the store or another daemon after
	// which the copy counts as stale, in addition to watchWait.
	staleAfter = 3 * time.Second
)

// A daemon that does not watch reads the store itself when its copy has been unconfirmed for
// pullWait per hop plus orphanMargin.
const orphanMargin = 800 * time.Millisecond

// A watch can hang unnoticed: it ends without a response, and changes are missed until
// then. Waits are therefore short. Daemons announce new revisions to each other, so one
// watch that ends soon informs the fleet, and waitJitter spreads the ends.
//
// The wait must be short on every watcher, since a watcher whose watch hangs reports
// to its children that nothing has changed until the watch ends. With waits of up to 5 s
// on all watchers but one, daemons below such a watcher accepted revoked keys for 3.04 s.
//
// It must also be short for every kind: when the store loses its history, the watch of one
// kind can hang while the others continue. With waits of 10 s on all kinds but the
// lead's, all daemons received an order 1.9 s late.
const (
	watchWait  = 2500 * time.Millisecond
	waitJitter = 0.5
)

// Update is a new state of the copy.
type Update struct {
	Snapshot *Snapshot
	// Changes is the difference from the previous state.
	Changes Changes
	// AfterOutage reports whether the store has recently recovered from an outage.
	AfterOutage bool
	// FromPeer reports whether the state was received from another daemon.
	FromPeer bool
	// Restored reports whether the store has come back from a copy since the previous state.
	// Objects may be missing or older than they were; what was confirmed before counts until
	// they are written again.
	Restored bool
}

// Options configures a Follower. All fields but Lead are required.
type Options struct {
	Kind   string
	Source Source
	Peers  Peers
	// Apply is called with each new state, one call at a time.
	Apply func(Update)
	// Announce informs other daemons of a new revision with changes.
	Announce func(revision uint64)
	// Lead, if not nil, is another Follower of this daemon. While the store answers
	// neither of them, only the lead keeps calling it, on behalf of all followers.
	Lead *Follower
	// OnWatchFailure is called when a watch ended without a response or the store no
	// longer held its history. The other watches of this daemon may be affected too.
	OnWatchFailure func()
	Random         *rand.Rand
	Log            zerolog.Logger
}

// Follower maintains the copy of one kind.
type Follower struct {
	Options

	snapshot atomic.Pointer[Snapshot]
	// failingSince is the time of the first of the current consecutive failures, or zero
	// while the store answers. All times in atomic fields are in Unix nanoseconds.
	failingSince atomic.Int64
	// failureReported is set once the current failure has been logged. answeredAt is the
	// time of the store's last response.
	failureReported atomic.Bool
	answeredAt      atomic.Int64
	// recoveredAt is the end of the store's last outage.
	recoveredAt atomic.Int64
	// confirmedAt is when the store last answered this daemon or one that it pulled from. A
	// pull counts from the store's response behind it. Otherwise, daemons that do not watch
	// would confirm each other while the store rejects all watchers, and none would read
	// the store.
	confirmedAt atomic.Int64
	// announced is the highest revision that another daemon announced. overdue is the
	// highest one that did not arrive by watch or regular pull in time.
	announced, overdue atomic.Uint64
	// pullsWake wakes an idle RunPulls.
	pullsWake chan struct{}
	// watchersChanged wakes Run when the daemons that watch the store may have changed.
	watchersChanged chan struct{}
	// cancelPull ends the pull in progress.
	cancelPull atomic.Pointer[context.CancelFunc]
	// peerAnsweredAt is when another daemon last answered.
	peerAnsweredAt atomic.Int64
	// stagger, from 0 to 1, spreads the reads of daemons whose copies nobody confirms.
	// busyWatches counts consecutive watches that returned changes. Both are used by Run only.
	stagger     float64
	busyWatches int
	// relist requests a list as the next store call.
	relist causeFlag
	// lastCall is the time of the last store call, listTimeout the response timeout of the
	// next page of a list, partial the list in progress. They are used by Run only.
	lastCall    time.Time
	listTimeout time.Duration
	partial     partialList
	// awaitingPeerCopy makes RunPulls request a copy from other daemons, because this daemon has
	// none and its list is slow.
	awaitingPeerCopy atomic.Bool
	// cancelWatch ends the watch in progress.
	cancelWatch atomic.Pointer[context.CancelFunc]

	// refreshMu guards the two calls for Refresh: refreshNow is in progress or has ended,
	// refreshNext has not begun. They are nil if there is none.
	refreshMu               sync.Mutex
	refreshNow, refreshNext *refresh

	// mu serialises updates and guards the fields below.
	mu      sync.Mutex
	history history
	// updated is closed at the next change and then replaced.
	updated chan struct{}
}

// New returns a Follower that is idle until Run is called.
func New(o Options) *Follower {
	return &Follower{Options: o, pullsWake: make(chan struct{}, 1), watchersChanged: make(chan struct{}, 1), listTimeout: listTimeoutMin, updated: make(chan struct{})}
}

// Snapshot returns the copy, or nil if there is none yet.
func (f *Follower) Snapshot() *Snapshot { return f.snapshot.Load() }

// Failing reports whether the store did not answer the last call.
func (f *Follower) Failing() bool { return f.failingSince.Load() != 0 }

// FailingFor returns how long the store has not answered, or zero while it does.
func (f *Follower) FailingFor(now time.Time) time.Duration {
	since := f.failingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - since)
}

// Stale reports whether the copy may be out of date: there is none, or neither the store nor
// another daemon has confirmed it recently.
func (f *Follower) Stale(now time.Time) bool {
	return f.snapshot.Load() == nil || f.age(now) > staleAfter+watchWait
}

// age returns the time since the store confirmed the copy, for responses to other daemons. It is
// zero while a watch is in progress, since the watch would return any changes.
func (f *Follower) age(now time.Time) time.Duration {
	if f.cancelWatch.Load() != nil && !f.Failing() {
		return 0
	}
	return time.Duration(now.UnixNano() - f.confirmedAt.Load())
}

// confirm records that the copy was up to date at the given time.
func (f *Follower) confirm(at time.Time) {
	for {
		old := f.confirmedAt.Load()
		if at.UnixNano() <= old || f.confirmedAt.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// UnconfirmedFor returns the time since the store or another daemon confirmed the copy,
// or zero if there is no copy yet.
func (f *Follower) UnconfirmedFor(now time.Time) time.Duration {
	if f.snapshot.Load() == nil {
		return 0
	}
	return time.Duration(now.UnixNano() - f.confirmedAt.Load())
}

// NotifyRevision informs the follower that another daemon holds the given revision.
func (f *Follower) NotifyRevision(revision uint64) {
	if !storeMax(&f.announced, revision) {
		return
	}
	time.AfterFunc(f.propagationLimit(), func() { f.pullIfOverdue(revision) })
}

// propagationLimit returns how long a change that another daemon has may take to arrive by
// watch or regular pull.
func (f *Follower) propagationLimit() time.Duration {
	return time.Duration(max(f.Peers.Depth(), 1)) * propagationTimeout
}

// pullIfOverdue requests a pull if the revision has not arrived by watch or regular pull.
func (f *Follower) pullIfOverdue(revision uint64) {
	if !storeMax(&f.overdue, revision) || !f.behind() {
		return
	}
	if cancel := f.cancelPull.Load(); cancel != nil {
		(*cancel)()
	}
	f.wakePulls()
}

// storeMax stores the value if it is greater than the current one, and reports whether it was.
func storeMax(to *atomic.Uint64, value uint64) bool {
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

// wakePulls wakes an idle RunPulls.
func (f *Follower) wakePulls() {
	select {
	case f.pullsWake <- struct{}{}:
	default:
	}
}
