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

// turnedAwayPrefix is the key prefix in the gossip table for the daemons that were turned away:
// they watch the store and get no answer from it.
const turnedAwayPrefix = "turned-away/"

const (
	// turnedAwayAfter is how long a daemon that watches may get no answer from the store before
	// other daemons watch in its place. It covers a single lost call, and is shorter than the
	// half second after which a failure counts as an outage.
	turnedAwayAfter = 150 * time.Millisecond
	// turnedAwayPollInterval is the interval between checks whether this daemon is turned away.
	turnedAwayPollInterval = 100 * time.Millisecond
	// substituteRetryInterval is how long a substitute for another daemon counts as turned away
	// before it tries again. The primary watchers keep calling the store, so that its recovery is
	// noticed. The substitutes wait, because calls have a cost even if they are refused.
	substituteRetryInterval = 3 * time.Second
	// maxSubstitutes is the maximum number of daemons that are considered in the place of one
	// primary watcher. If the store turns away a third of the fleet, all four are turned away in
	// one of 81 cases. If the store is down, the number limits how many daemons call it.
	maxSubstitutes = 4
	// substituteKey is the key by which the daemons are ranked as substitutes.
	substituteKey = "watchers/substitutes"
	// maxWatchers is the maximum number of primary watchers. The watches of each of them cost
	// calls to the store, and all other daemons receive changes over the tree. With three, two
	// may fail or hang at the same time.
	maxWatchers = 3
)

// primaryWatchers returns the daemons that watch the store unless they are turned away: the
// highest ranked of those that the view names, which are in different data centres.
func primaryWatchers(named, ranked []string) []string {
	var primary []string
	for _, name := range ranked {
		if len(primary) < maxWatchers && slices.Contains(named, name) {
			primary = append(primary, name)
		}
	}
	return primary
}

// chooseWatchers returns the daemons that watch the store now: the primary watchers and, in place
// of each of them that is turned away, the highest ranked substitute that is not.
func chooseWatchers(primary, ranked []string, turnedAway func(name string) bool) []string {
	var chosen []string
	for _, name := range primary {
		if !turnedAway(name) {
			chosen = append(chosen, name)
		}
	}
	missing := len(primary) - len(chosen)
	considered := maxSubstitutes * missing
	for _, name := range ranked {
		if missing == 0 || considered == 0 {
			break
		}
		if slices.Contains(primary, name) {
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

// watchers determines which daemons watch the store.
type watchers struct {
	fleet *fleet
	// changes counts the changes of the turned-away entries in the gossip table.
	changes atomic.Uint64
	last    atomic.Pointer[watcherSet]
	// wake makes run call review before the next tick.
	wake chan struct{}
	// published is when this daemon last published whether it is turned away. Only the goroutine
	// of run uses it.
	published time.Time
}

// watcherSet holds the watchers for one view of the fleet and one state of the gossip table.
type watcherSet struct {
	view    *membership.View
	changes uint64
	// primary are the primary watchers, names the daemons that watch.
	primary, names []string
}

// names returns the daemons that watch the store now.
func (w *watchers) names() []string { return w.set().names }

// set returns the watchers for the current view and the current state of the gossip table.
func (w *watchers) set() *watcherSet {
	view, changes := w.fleet.members.View(), w.changes.Load()
	if last := w.last.Load(); last != nil && last.view == view && last.changes == changes {
		return last
	}
	ranked := view.Top(substituteKey, view.Live())
	next := &watcherSet{view: view, changes: changes, primary: primaryWatchers(view.Watchers, ranked)}
	next.names = chooseWatchers(next.primary, ranked, w.isTurnedAway)
	w.last.Store(next)
	return next
}

// isTurnedAway reports whether a daemon has published that it gets no answer from the store.
func (w *watchers) isTurnedAway(name string) bool {
	_, value, known := w.fleet.members.Table().Get(turnedAwayPrefix + name)
	return known && len(value) > 0
}

// includes reports whether a daemon calls the store regularly: it watches, or it is a primary
// watcher that is turned away and keeps calling until the store answers again.
func (w *watchers) includes(name string) bool {
	set := w.set()
	return slices.Contains(set.names, name) || slices.Contains(set.primary, name)
}

// turnedAwayChanged handles a change of a turned-away entry in the gossip table.
func (w *watchers) turnedAwayChanged(key string, _ uint64, value []byte) {
	w.changes.Add(1)
	w.notifyChange()
	w.fleet.daemon.log.Info().Str("daemon", strings.TrimPrefix(key, turnedAwayPrefix)).Bool("turned_away", len(value) > 0).
		Msg("watchers of the store changed")
}

// run publishes whether this daemon is turned away, until ctx is done.
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
		interval = turnedAwayPollInterval
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

// review checks whether this daemon is turned away, and publishes a change. The published state
// may originate from an earlier process of this daemon.
func (w *watchers) review(now time.Time) {
	self := w.fleet.daemon.Settings.Name
	wasAway := w.isTurnedAway(self)
	primary := slices.Contains(w.set().primary, self)
	away := w.fleet.daemon.copies.failingFor(now) >= turnedAwayAfter
	switch {
	case wasAway && !primary:
		away = now.Sub(w.published) < substituteRetryInterval
	case !wasAway && !w.includes(self):
		away = false
	}
	if away == wasAway {
		return
	}
	w.published = now
	current, _, _ := w.fleet.members.Table().Get(turnedAwayPrefix + self)
	var value []byte
	if away {
		value = []byte{1}
	}
	w.fleet.publish(turnedAwayPrefix+self, max(current+1, uint64(now.UnixMilli())), value)
}
