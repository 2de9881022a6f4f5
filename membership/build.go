package membership

import (
	"slices"
	"strings"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/rendezvous"
)

// minWatchers is the minimum number of watchers in a fleet with at least that many live
// daemons.
const minWatchers = 3

// hostState is the state of a host according to the host list.
type hostState int

const (
	hostLive hostState = iota
	hostLeaving
	hostRemoved
)

// records holds the decoded table entries from which the view is built.
type records struct {
	daemons map[string]*bronzeturnv1.DaemonState
	// suspicions maps a target and a reporter to the suspicion that the reporter published.
	suspicions map[string]map[string]suspicion
	hosts      map[string]hostState
}

func newRecords() *records {
	return &records{
		daemons:    make(map[string]*bronzeturnv1.DaemonState),
		suspicions: make(map[string]map[string]suspicion),
		hosts:      make(map[string]hostState),
	}
}

// buildView computes the view of the daemon self from the records. It is a pure function, so
// daemons with equal tables compute equal views except for their own state: a daemon always
// lists itself and never marks itself as suspected.
func buildView(self string, r *records, entriesTTL time.Duration) *View {
	v := &View{Self: self, EntriesTTL: entriesTTL, byName: make(map[string]int)}
	for name, d := range r.daemons {
		if name != self && r.hosts[hostOf(name, d)] == hostRemoved {
			continue
		}
		v.Members = append(v.Members, member(name, d, r))
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	v.rings = newRings(v.Members)
	applySuspicions(v, r)
	live := make(map[string]float64)
	for i, m := range v.Members {
		v.byName[m.Name] = i
		if m.State == Live {
			live[m.Name] = m.Capacity
		}
	}
	v.live = rendezvous.NewWeighted(live)
	v.Watchers = chooseWatchers(v)
	return v
}

func hostOf(name string, d *bronzeturnv1.DaemonState) string {
	if d.GetHost() != "" {
		return d.GetHost()
	}
	return name
}

// member returns the daemon with the state given by its own entry and by the host list.
// Suspicions are applied later.
func member(name string, d *bronzeturnv1.DaemonState, r *records) Member {
	m := Member{
		Name:          name,
		Host:          hostOf(name, d),
		DataCentre:    d.GetDataCentre(),
		PeerAddress:   d.GetPeerAddress(),
		CallerAddress: d.GetCallerAddress(),
		Incarnation:   d.GetIncarnation(),
		Load:          min(int(d.GetLoad()), MaxLoad),
		Capacity:      capacityOf(d),
	}
	switch {
	case d.GetLeaving():
		m.State, m.Reason = Leaving, ReasonAnnounced
	case r.hosts[m.Host] == hostLeaving:
		m.State, m.Reason = Leaving, ReasonHostList
	}
	return m
}

// maxCapacity limits the capacity that a daemon may state, so that a single wrong entry cannot
// attract all keys and watcher duties.
const maxCapacity = 1e9

// capacityOf returns the capacity that a daemon states, or 1 if it states none or an invalid
// one.
func capacityOf(d *bronzeturnv1.DaemonState) float64 {
	if c := d.GetCapacity(); c > 0 && c <= maxCapacity {
		return c
	}
	return 1
}

// chooseWatchers selects one live daemon in every data centre, plus further live daemons up to
// minWatchers. Selection uses rendezvous hashing weighted by the daemons' capacity.
func chooseWatchers(v *View) []string {
	const key = "watchers"
	byCentre := make(map[string]map[string]float64)
	for _, m := range v.Members {
		if m.State != Live {
			continue
		}
		if byCentre[m.DataCentre] == nil {
			byCentre[m.DataCentre] = make(map[string]float64)
		}
		byCentre[m.DataCentre][m.Name] = m.Capacity
	}
	var chosen []string
	for _, capacities := range byCentre {
		chosen = append(chosen, rendezvous.NewWeighted(capacities).Owner(key))
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
