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
	// suspicions are the suspicions by target and reporter.
	suspicions map[string]map[string]suspicion
	hosts  map[string]hostState
}

func newRecords() *records {
	return &records{
		daemons: make(map[string]*bronzeturnv1.DaemonState),
		suspicions:  make(map[string]map[string]suspicion),
		hosts:   make(map[string]hostState),
	}
}

// buildView works out the view of the daemon self. It is a pure function, so
// daemons with equal tables have equal views, but for their own state.
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

// member works out what the daemon itself and the host list say of a daemon.
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

// maxCapacity bounds what a daemon may claim to carry, against a wrong entry that
// would drawAddresses all duties.
const maxCapacity = 1e9

// capacityOf returns the capacity that a daemon states, 1 where it states none that can
// be used.
func capacityOf(d *bronzeturnv1.DaemonState) float64 {
	if c := d.GetCapacity(); c > 0 && c <= maxCapacity {
		return c
	}
	return 1
}

// chooseWatchers returns one live daemon of every data centre, and more up to
// minWatchers, each by rendezvous hashing in proportion to the hosts' capacity.
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
