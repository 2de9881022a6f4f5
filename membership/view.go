// Package membership maintains this daemon's view of the fleet: which daemons are live, leaving
// or suspected, which backend hosts are leaving, which daemon is the preferred owner of a key,
// and which addresses callers should use. Views of different daemons may differ, so the view
// serves performance and load distribution only; no guarantee to callers depends on it.
package membership

import (
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/rendezvous"
)

// State is the state of a daemon in the view.
type State int

// The states of a daemon.
const (
	// Live daemons own keys and are offered to callers.
	Live State = iota
	// Leaving daemons finish their requests and receive no new ones.
	Leaving
	// Suspected daemons are reported as down by enough of their neighbours.
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
	// ReasonHostList means that the host list shows the host as leaving or removed.
	ReasonHostList Reason = "host_list"
	// ReasonFrozen means that the daemon accepts connections but does not respond.
	ReasonFrozen Reason = "frozen"
	// ReasonUnreachable means that no connection to the daemon can be opened.
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
	// Load is the coarse load, from 0 (idle) to MaxLoad (full).
	Load int
	// PartlySuspected is true if valid suspicions of the daemon remain after the suspected
	// daemons were determined. For a live daemon it means that too few neighbours suspect it to
	// change its state; it may be cut off from some of them.
	PartlySuspected bool
	// Capacity is the capacity of the host relative to the other hosts of the fleet.
	Capacity float64
}

// MaxLoad is the highest value of Member.Load.
const MaxLoad = 3

// View is an immutable snapshot of the fleet as seen by this daemon.
type View struct {
	// Self is the name of this daemon.
	Self string
	// Members are all known daemons, sorted by name.
	Members []Member
	// Watchers are the daemons that read the store and the host list.
	Watchers []string
	// EntriesTTL is how long callers may cache a list of entry addresses.
	EntriesTTL time.Duration

	live   *rendezvous.Set
	byName map[string]int
	rings  *rings
}

// Member returns the named daemon, and whether it is known.
func (v *View) Member(name string) (Member, bool) {
	i, ok := v.byName[name]
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Owner returns the preferred owner of a key among the live daemons, or "" if there are none.
func (v *View) Owner(key string) string { return v.live.Owner(key) }

// Top returns the n most preferred live daemons for a key, the owner first.
func (v *View) Top(key string, n int) []string { return v.live.Top(key, n) }

// Rank returns this daemon's position in the ranking of the live daemons for a key: 0 for the
// owner, -1 if this daemon is not live.
func (v *View) Rank(key string) int { return slices.Index(v.Top(key, v.Live()), v.Self) }

// Live returns the number of live daemons.
func (v *View) Live() int { return v.live.Len() }

// IsWatcher reports whether the named daemon is a watcher.
func (v *View) IsWatcher(name string) bool {
	for _, w := range v.Watchers {
		if w == name {
			return true
		}
	}
	return false
}
