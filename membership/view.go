// Package membership keeps this daemon's view of the fleet: which daemons are
// live, leaving or suspected, which backend hosts are leaving, who prefers to
// own a key, and which addresses callers should use. The view is a matter of
// speed and of good choices; no promise to callers rests on it.
package membership

import (
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/rendezvous"
)

// State is what a daemon counts as.
type State int

// The states of a daemon.
const (
	// Live daemons own keys and are named to callers.
	Live State = iota
	// Leaving daemons finish what they have and get nothing new.
	Leaving
	// Suspected daemons are believed to be down by enough of their neighbours.
	Suspected
)

// String returns the name of the state for logs and status pages.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	default:
		return "suspected"
	}
}

// Reason is why a daemon is not live.
type Reason string

// The reasons of a member's state.
const (
	ReasonNone Reason = ""
	// ReasonAnnounced means that the daemon announced its own shutdown.
	ReasonAnnounced Reason = "announced"
	// ReasonHostList means that the host list shows the host leaving or gone.
	ReasonHostList Reason = "host_list"
	// ReasonFrozen means that connections stand but nothing is answered.
	ReasonFrozen Reason = "frozen"
	// ReasonUnreachable means that no connection can be opened.
	ReasonUnreachable Reason = "unreachable"
)

// Member is one daemon.
type Member struct {
	Name          string
	Host          string
	DataCentre    string
	PeerAddress   string
	CallerAddress string
	Incarnation   uint64
	State         State
	Reason        Reason
	// Load is coarse, 0 (idle) to MaxLoad (full).
	Load int
	// PartlySuspected tells that a neighbour suspects the daemon, but not enough of them
	// to change its state: it may be cut off from some.
	PartlySuspected bool
	// Capacity is what the host can carry for the fleet, compared with others.
	Capacity float64
}

// MaxLoad is the highest coarse load.
const MaxLoad = 3

// View is an immutable state of the fleet as this daemon sees it.
type View struct {
	// Self is the name of this daemon.
	Self string
	// Members are all known daemons in the order of their names.
	Members []Member
	// Watchers are the daemons that read the store and the host list.
	Watchers []string
	// EntriesTTL is how long callers may keep an answer to which addresses to use.
	EntriesTTL time.Duration

	live   *rendezvous.Set
	byName map[string]int
	rings  *rings
}

// Member returns the named daemon.
func (v *View) Member(name string) (Member, bool) {
	i, ok := v.byName[name]
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Owner returns the preferred owner of a key among the live daemons, or "" when
// there is none.
func (v *View) Owner(key string) string { return v.live.Owner(key) }

// Top returns the n most preferred live daemons for a key, the owner first.
func (v *View) Top(key string, n int) []string { return v.live.Top(key, n) }

// Rank returns this daemon's position in the ranking of the live daemons for a key: 0 for
// the owner, -1 if this daemon is not live.
func (v *View) Rank(key string) int { return slices.Index(v.Top(key, v.Live()), v.Self) }

// Live returns the number of live daemons.
func (v *View) Live() int { return v.live.Len() }

// IsWatcher tells whether the named daemon is a watcher.
func (v *View) IsWatcher(name string) bool {
	for _, w := range v.Watchers {
		if w == name {
			return true
		}
	}
	return false
}
