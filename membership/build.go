package membership

import (
	"slices"
	"strings"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/rendezvous"
)

// minWatchers is the least number of watchers in a fleet that large.
const minWatchers = 3

// claim is one neighbour's suspicion of a daemon.
type claim struct {
	incarnation uint64
	reason      bronzeturnv1.SuspicionReason
}

// hostState is what the host list says of a host.
type hostState int

const (
	hostLive hostState = iota
	hostLeaving
	hostRemoved
)

// records is the content of the table that the view is built from.
type records struct {
	daemons map[string]*bronzeturnv1.DaemonState
	// claims are the suspicions by target and reporter.
	claims map[string]map[string]claim
	hosts  map[string]hostState
}

func newRecords() *records {
	return &records{
		daemons: make(map[string]*bronzeturnv1.DaemonState),
		claims:  make(map[string]map[string]claim),
		hosts:   make(map[string]hostState),
	}
}

// buildView works out the view of the daemon self. It is a pure function, so
// daemons with equal tables have equal views, but for their own state.
func buildView(self string, r *records, keep time.Duration) *View {
	v := &View{Self: self, Keep: keep, byName: make(map[string]int)}
	counted := countedClaims(r)
	for name, d := range r.daemons {
		if name != self && r.hosts[hostOf(name, d)] == hostRemoved {
			continue
		}
		v.Members = append(v.Members, member(self, name, d, r, counted))
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	var live []string
	for i, m := range v.Members {
		v.byName[m.Name] = i
		if m.State == Live {
			live = append(live, m.Name)
		}
	}
	v.live = rendezvous.NewSet(live)
	v.Watchers = chooseWatchers(v)
	return v
}

func hostOf(name string, d *bronzeturnv1.DaemonState) string {
	if d.GetHost() != "" {
		return d.GetHost()
	}
	return name
}

// member works out one daemon's state. The order of the tests is the order of
// certainty: what the daemon or the host list says goes before what neighbours
// believe.
func member(self, name string, d *bronzeturnv1.DaemonState, r *records, counted map[string]map[string]claim) Member {
	m := Member{
		Name:          name,
		Host:          hostOf(name, d),
		DataCentre:    d.GetDataCentre(),
		PeerAddress:   d.GetPeerAddress(),
		CallerAddress: d.GetCallerAddress(),
		Incarnation:   d.GetIncarnation(),
		Load:          min(int(d.GetLoad()), MaxLoad),
		Doubted:       len(counted[name]) > 0,
	}
	switch {
	case d.GetLeaving():
		m.State, m.Reason = Leaving, ReasonItself
	case r.hosts[m.Host] == hostLeaving:
		m.State, m.Reason = Leaving, ReasonHostList
	case name != self && isOut(name, r, counted):
		m.State, m.Reason = Suspected, reasonOf(counted[name])
	}
	return m
}

// countedClaims returns the claims that count: the reporter is a known daemon
// other than the target, and the target has not raised its incarnation since.
func countedClaims(r *records) map[string]map[string]claim {
	counted := make(map[string]map[string]claim)
	for target, byReporter := range r.claims {
		d := r.daemons[target]
		if d == nil {
			continue
		}
		for reporter, c := range byReporter {
			if reporter == target || r.daemons[reporter] == nil || c.incarnation < d.GetIncarnation() {
				continue
			}
			if counted[target] == nil {
				counted[target] = make(map[string]claim)
			}
			counted[target][reporter] = c
		}
	}
	return counted
}

// isOut tells whether enough neighbours suspect the daemon: two, or all that
// are left to judge when fewer than two other daemons are free of suspicion.
func isOut(name string, r *records, counted map[string]map[string]claim) bool {
	if len(counted[name]) == 0 {
		return false
	}
	free := 0
	for other := range r.daemons {
		if other != name && len(counted[other]) == 0 {
			free++
		}
	}
	return len(counted[name]) >= max(1, min(2, free))
}

// reasonOf sums up the claims: one neighbour that could open a connection is
// enough to know that the daemon's host answers.
func reasonOf(claims map[string]claim) Reason {
	for _, c := range claims {
		if c.reason == bronzeturnv1.SuspicionReason_SUSPICION_REASON_FROZEN {
			return ReasonFrozen
		}
	}
	return ReasonUnreachable
}

// chooseWatchers returns one live daemon of every data centre, and more up to
// minWatchers, each by rendezvous hashing.
func chooseWatchers(v *View) []string {
	const key = "watchers"
	byCentre := make(map[string][]string)
	for _, m := range v.Members {
		if m.State == Live {
			byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m.Name)
		}
	}
	var chosen []string
	for _, names := range byCentre {
		chosen = append(chosen, rendezvous.Owner(key, names))
	}
	for _, name := range v.live.Top(key, minWatchers+len(chosen)) {
		if len(chosen) >= minWatchers {
			break
		}
		if !slices.Contains(chosen, name) {
			chosen = append(chosen, name)
		}
	}
	slices.Sort(chosen)
	return chosen
}
