package entry

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/membership"
)

// turnedAwayPrefix holds the daemons that watch the store and get no answer from it.
const turnedAwayPrefix = "turned-away/"

const (
	// turnedAwayAfter is how long the store may fail a daemon that watches before others
	// watch in its place: more than one lost call, less than the half second after which
	// a failure counts as an outage.
	turnedAwayAfter = 150 * time.Millisecond
	// turnedAwayPoll is the time between two looks at that.
	turnedAwayPoll = 100 * time.Millisecond
	// turnedAwayFor is how long a daemon that tried in the place of others counts as
	// turned away. Those whose turn it is first go on asking, so that a store that
	// comes back is noticed; the others try again after this time only, since calls
	// cost something also when they are refused.
	turnedAwayFor = 3 * time.Second
	// mostSubstitutes bounds the daemons that are considered in the place of one. A
	// store that turns a third of the fleet away has all of them among these once in
	// 81 times; one that is down costs no more than so many daemons' calls.
	mostSubstitutes = 4
	// substituteKey ranks the daemons for it.
	substituteKey = "watchers/substitutes"
	// mostWatchers bounds the daemons whose turn it is first: each one's waiting watches
	// cost calls, and the others take what changes over the tree. With three, two may be
	// lost or silent at once.
	mostWatchers = 3
)

// firstWatchers returns the daemons whose turn it is first to watch the store: the
// highest ranked of those that the view names, which are of different data centres.
func firstWatchers(named, ranked []string) []string {
	var first []string
	for _, name := range ranked {
		if len(first) < mostWatchers && slices.Contains(named, name) {
			first = append(first, name)
		}
	}
	return first
}

// chooseWatchers returns the daemons that watch the store now: those whose turn it is
// first and, in the place of each of them that is turned away, the next of the ranked
// ones that is not.
func chooseWatchers(first, ranked []string, turnedAway func(name string) bool) []string {
	var chosen []string
	for _, name := range first {
		if !turnedAway(name) {
			chosen = append(chosen, name)
		}
	}
	missing := len(first) - len(chosen)
	considered := mostSubstitutes * missing
	for _, name := range ranked {
		if missing == 0 || considered == 0 {
			break
		}
		if slices.Contains(first, name) {
			continue
		}
		considered--
		if !turnedAway(name) {
			chosen = append(chosen, name)
			missing--
		}
	}
	return chosen
}

// watchers keep which daemons watch the store.
type watchers struct {
	fleet *fleet
	// changes counts the changes of who is turned away.
	changes atomic.Uint64
	last    atomic.Pointer[watcherSet]
	// wake makes run review before the next tick.
	wake chan struct{}
	// since is when this daemon last published of itself; the loop of run alone uses it.
	since time.Time
}

// watcherSet are the watchers of one view of the fleet and one state of the table.
type watcherSet struct {
	view    *membership.View
	changes uint64
	// first are the daemons whose turn it is first, names those that watch.
	first, names []string
}

// names returns the daemons that watch the store now.
func (w *watchers) names() []string { return w.set().names }

// set returns who watches by the newest view and the newest state of the table.
func (w *watchers) set() *watcherSet {
	view, changes := w.fleet.members.View(), w.changes.Load()
	if last := w.last.Load(); last != nil && last.view == view && last.changes == changes {
		return last
	}
	ranked := view.Top(substituteKey, view.Live())
	next := &watcherSet{view: view, changes: changes, first: firstWatchers(view.Watchers, ranked)}
	next.names = chooseWatchers(next.first, ranked, w.isTurnedAway)
	w.last.Store(next)
	return next
}

// isTurnedAway tells whether a daemon has published that the store does not answer it.
func (w *watchers) isTurnedAway(name string) bool {
	_, value, known := w.fleet.members.Table().Get(turnedAwayPrefix + name)
	return known && len(value) > 0
}

// includes tells whether a daemon reads the store of its own accord: it watches, or it is
// its turn first and it goes on asking until the store answers it again.
func (w *watchers) includes(name string) bool {
	set := w.set()
	return slices.Contains(set.names, name) || slices.Contains(set.first, name)
}

// heard takes in a change of who is turned away.
func (w *watchers) heard(key string, _ uint64, value []byte) {
	w.changes.Add(1)
	w.notifyChange()
	w.fleet.daemon.log.Info().Str("daemon", strings.TrimPrefix(key, turnedAwayPrefix)).Bool("turned_away", len(value) > 0).
		Msg("watchers of the store changed")
}

// run publishes whether the store answers this daemon while it watches, until ctx ends.
func (w *watchers) run(ctx context.Context) error {
	for w.wait(ctx) == nil {
		w.review(time.Now())
	}
	return nil
}

// wait waits for the next tick or a change of the watchers. It returns the cause of ctx if ctx
// ends first. The ticks are less frequent for a daemon that neither watches the store nor is
// turned away, because it has nothing to publish until the watchers change.
func (w *watchers) wait(ctx context.Context) error {
	interval := backoff.IdleInterval
	if self := w.fleet.daemon.Settings.Name; w.includes(self) || w.isTurnedAway(self) {
		interval = turnedAwayPoll
	}
	return backoff.TickOrWake(ctx, interval, w.wake)
}

// notifyChange wakes run and the followers when the daemons that watch the store may have
// changed.
func (w *watchers) notifyChange() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
	for _, follower := range w.fleet.daemon.copies.all() {
		follower.WatchersChanged()
	}
}

// review looks once whether this daemon is turned away, and publishes a change. What is
// published may be of the process before this one.
func (w *watchers) review(now time.Time) {
	self := w.fleet.daemon.Settings.Name
	told := w.isTurnedAway(self)
	first := slices.Contains(w.set().first, self)
	away := w.fleet.daemon.copies.failingFor(now) >= turnedAwayAfter
	switch {
	case told && !first:
		away = now.Sub(w.since) < turnedAwayFor
	case !told && !w.includes(self):
		away = false
	}
	if away == told {
		return
	}
	w.since = now
	held, _, _ := w.fleet.members.Table().Get(turnedAwayPrefix + self)
	var value []byte
	if away {
		value = []byte{1}
	}
	w.fleet.publish(turnedAwayPrefix+self, max(held+1, uint64(now.UnixMilli())), value)
}
