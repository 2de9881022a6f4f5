package bronzeturn

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/peer"
	"github.com/bronzeturn/bronzeturn/provider"
)

// confirmationInterval is the time between two exchanges of the configuration's
// confirmation age between the provider and the heartbeats.
const confirmationInterval = 250 * time.Millisecond

// Parts of the configuration spread from the watchers along several trees, each
// of which orders the live daemons differently. This bounds the connections of
// a daemon independently of the fleet's size, and a part reaches every daemon
// in a few hops.
const (
	partTrees = 3
	// partChildren is the number of children of a daemon in one tree.
	partChildren = 8
)

// newProvider returns the provider, which keeps the configuration up to date.
func newProvider(d *Daemon, f *fleet) (*provider.Provider, error) {
	return provider.New(provider.Options{
		Store:      d.platform.store,
		Table:      headTable{sharedTable: sharedTable{f.members.Table()}, log: logging.Part(d.log, "provider")},
		Peers:      configurationPeers{members: f.members, directory: f.directory, self: d.settings.GetName()},
		Watcher:    newWatcher(f.members),
		Random:     d.rand(randProvider),
		Log:        d.log,
		Registerer: d.options.Registry,
		StaleAfter: d.settings.GetConfigStaleAfter().AsDuration(),
	})
}

// headTable adapts the flooded table to the provider. A head that the table
// refuses reaches no other daemon, so it is logged as an error.
type headTable struct {
	sharedTable
	log zerolog.Logger
}

// Publish implements provider.Table.
func (t headTable) Publish(key string, version uint64, value []byte) {
	if err := t.sharedTable.Publish(key, version, value); err != nil {
		t.log.Error().Err(err).Str("key", key).Msg("entry not published")
	}
}

// configurationPeers selects the daemons to fetch the configuration from.
type configurationPeers struct {
	members   *membership.Membership
	directory *peer.Directory
	self      string
}

// Candidates implements provider.Peers.
func (p configurationPeers) Candidates() []string {
	view := p.members.View()
	return partSourcesOf(p.self, view.Watchers, view.Live(), view)
}

// preference orders the live daemons for a key, the same on every daemon.
type preference interface {
	Top(key string, n int) []string
}

// partSourcesOf returns the daemons that a daemon fetches parts from: its parent
// in each tree and, if these are fewer than partTrees, further daemons. Daemons
// whose membership views differ use different trees for a while, which does no
// harm.
func partSourcesOf(self string, watchers []string, live int, order preference) []string {
	var sources []string
	add := func(name string) {
		if name != self && !slices.Contains(sources, name) {
			sources = append(sources, name)
		}
	}
	for tree := range partTrees {
		if parent, ok := parentOf(self, watchers, order.Top("parts/"+strconv.Itoa(tree), live)); ok {
			add(parent)
		}
	}
	for _, name := range order.Top("parts/"+self, partTrees+1) {
		if len(sources) < partTrees {
			add(name)
		}
	}
	return sources
}

// parentOf returns the parent of self in the tree that the order of the daemons
// defines, with the watchers as its roots. It reports false for a watcher, for a
// daemon that is not in the order, and if there are no watchers.
func parentOf(self string, watchers, order []string) (parent string, ok bool) {
	isWatcher := func(name string) bool { return slices.Contains(watchers, name) }
	var tree, others []string
	for _, name := range order {
		if isWatcher(name) {
			tree = append(tree, name)
		} else {
			others = append(others, name)
		}
	}
	at := slices.Index(others, self)
	if at < 0 || len(tree) == 0 {
		return "", false
	}
	return append(tree, others...)[at/partChildren], true
}

// Dial implements provider.Peers.
func (p configurationPeers) Dial(name string) (connect.HTTPClient, string, bool) {
	return p.directory.Dial(name)
}

// watcher reports whether this daemon watches the store, and signals changes.
type watcher struct {
	members *membership.Membership

	mu       sync.Mutex
	watching bool
	changed  chan struct{}
}

func newWatcher(members *membership.Membership) *watcher {
	w := &watcher{members: members, watching: members.IsWatcher(), changed: make(chan struct{})}
	members.Subscribe(w.viewChanged)
	return w
}

func (w *watcher) viewChanged(v *membership.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	watching := v.IsWatcher(v.Self)
	if watching == w.watching {
		return
	}
	w.watching = watching
	close(w.changed)
	w.changed = make(chan struct{})
}

// Watching implements provider.Watcher.
func (w *watcher) Watching() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watching
}

// Changed implements provider.Watcher.
func (w *watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// exchangeConfirmations passes the time since the configuration was confirmed as
// the newest between the provider and the heartbeats, which relay it from daemon
// to daemon.
func (f *fleet) exchangeConfirmations(ctx context.Context) error {
	for backoff.Sleep(ctx, confirmationInterval) == nil {
		status := f.provider.Status()
		f.members.SetConfigNews(status.Generation, status.StoreConfirmed)
		if age, ok := f.members.ConfigNewsAge(); ok && status.Generation > 0 {
			f.provider.RecordHeartbeat(status.Generation, age)
		}
	}
	return nil
}
