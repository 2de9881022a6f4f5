package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// fleetRecords returns the records of n daemons distributed over the data centres.
func fleetRecords(n, centres int) *records {
	r := newRecords()
	for i := range n {
		name := fmt.Sprintf("entry-%03d", i)
		r.daemons[name] = &bronzeturnv1.DaemonState{
			Incarnation:   1,
			DataCentre:    fmt.Sprint("centre-", i%centres),
			PeerAddress:   name,
			CallerAddress: name,
		}
	}
	return r
}

func TestNeighboursAreFewMutualAndSpread(t *testing.T) {
	for _, n := range []int{2, 3, 6, 48, 410} {
		v := buildView("entry-000", fleetRecords(n, min(n, 4)), 0)
		chosen := make(map[string][]string)
		for _, m := range v.Members {
			chosen[m.Name] = v.rings.neighbours(m.Name, m.DataCentre)
		}
		extra := 0
		for _, m := range v.Members {
			names := chosen[m.Name]
			qt.Check(t, slices.Contains(names, m.Name), qt.IsFalse)
			qt.Check(t, len(names) <= 7, qt.IsTrue)
			outside := false
			for _, name := range names {
				other, _ := v.Member(name)
				outside = outside || other.DataCentre != m.DataCentre
				if !slices.Contains(chosen[name], m.Name) {
					extra++
				}
			}
			qt.Check(t, outside, qt.IsTrue, qt.Commentf("%s of %d", m.Name, n))
		}
		// Only the neighbour added in another data centre may be one-sided.
		qt.Check(t, extra <= n/50, qt.IsTrue, qt.Commentf("%d of %d", extra, n))
		qt.Check(t, reached(chosen, "entry-000"), qt.Equals, n)
	}
}

func reached(chosen map[string][]string, start string) int {
	seen := map[string]bool{start: true}
	for queue := []string{start}; len(queue) > 0; queue = queue[1:] {
		for _, name := range chosen[queue[0]] {
			if !seen[name] {
				seen[name] = true
				queue = append(queue, name)
			}
		}
	}
	return len(seen)
}

func TestRemovedDaemonChangesFewNeighbours(t *testing.T) {
	r := fleetRecords(100, 4)
	before := buildView("entry-000", r, 0)
	delete(r.daemons, "entry-050")
	after := buildView("entry-000", r, 0)
	changed := 0
	for _, m := range after.Members {
		old := before.rings.neighbours(m.Name, m.DataCentre)
		if !slices.Equal(old, after.rings.neighbours(m.Name, m.DataCentre)) {
			changed++
		}
	}
	qt.Check(t, changed <= 8, qt.IsTrue, qt.Commentf("%d", changed))
}

func TestWatchersAreBounded(t *testing.T) {
	for _, test := range []struct{ n, centres, want int }{{1, 1, 1}, {2, 2, 2}, {6, 3, 3}, {6, 1, 3}, {410, 4, 4}} {
		v := buildView("entry-000", fleetRecords(test.n, test.centres), 0)
		qt.Check(t, v.Watchers, qt.HasLen, test.want, qt.Commentf("%+v", test))
	}
}

func TestApplySuspicions(t *testing.T) {
	tests := []struct {
		name       string
		n          int
		suspicions [][2]string // reporter, target
		out        []string
	}{
		{"one of two others", 3, [][2]string{{"1", "2"}}, nil},
		{"both others", 3, [][2]string{{"0", "2"}, {"1", "2"}}, []string{"2"}},
		{"the only other", 2, [][2]string{{"0", "1"}}, []string{"1"}},
		{"two cut from each other", 3, [][2]string{{"1", "2"}, {"2", "1"}}, nil},
		{"the last one of three", 3, [][2]string{{"0", "1"}, {"0", "2"}}, []string{"1", "2"}},
		{
			"one that is cut off and suspects all", 4,
			[][2]string{{"3", "0"}, {"3", "1"}, {"3", "2"}, {"0", "3"}, {"1", "3"}, {"2", "3"}},
			[]string{"3"},
		},
		{"a reporter that is not a daemon", 3, [][2]string{{"0", "2"}, {"9", "2"}}, nil},
		{"itself", 2, [][2]string{{"1", "1"}}, nil},
	}
	full := func(s string) string { return "entry-00" + s }
	for _, test := range tests {
		r := fleetRecords(test.n, 1)
		for _, c := range test.suspicions {
			target := full(c[1])
			if r.suspicions[target] == nil {
				r.suspicions[target] = make(map[string]suspicion)
			}
			r.suspicions[target][full(c[0])] = suspicion{incarnation: 1}
		}
		var out []string
		for _, m := range buildView("entry-000", r, 0).Members {
			if m.State == Suspected {
				out = append(out, m.Name[len("entry-00"):])
			}
		}
		qt.Check(t, out, qt.DeepEquals, test.out, qt.Commentf("%s", test.name))
	}
}

func TestEntriesNameOnlyLiveDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := fleetRecords(rapid.IntRange(1, 12).Draw(t, "n"), 3)
		for _, d := range r.daemons {
			d.Leaving = rapid.Bool().Draw(t, "leaving")
			d.Load = rapid.Uint32Range(0, 5).Draw(t, "load")
		}
		v := buildView("entry-000", r, 0)
		addresses := v.Entries("centre-1", rand.New(rand.NewPCG(1, 1)))
		if len(addresses) < min(localEntryAddresses, v.Live()) || len(addresses) > maxEntryAddresses {
			t.Fatalf("%d addresses of %d live", len(addresses), v.Live())
		}
		for i, address := range addresses {
			m, _ := v.Member(address)
			if m.State != Live || slices.Contains(addresses[:i], address) {
				t.Fatalf("%s is %v in %v", address, m.State, addresses)
			}
		}
	})
}

func TestEntriesSpreadCallersByLoad(t *testing.T) {
	r := fleetRecords(4, 1)
	r.daemons["entry-003"].Load = MaxLoad
	v := buildView("entry-000", r, 0)
	random := rand.New(rand.NewPCG(1, 1))
	first := make(map[string]int)
	for range 13000 {
		first[v.Entries("centre-0", random)[0]]++
	}
	// The weights are 4, 4, 4 and 1. The limits are four standard deviations.
	qt.Check(t, first["entry-003"] > 880 && first["entry-003"] < 1120, qt.IsTrue, qt.Commentf("%v", first))
	qt.Check(t, first["entry-000"] > 3790 && first["entry-000"] < 4210, qt.IsTrue, qt.Commentf("%v", first))
}

func TestEntriesTTLDecreasesWithChanges(t *testing.T) {
	tests := []struct {
		changes, members int
		want             time.Duration
	}{
		{0, 6, maxEntriesTTL},
		{1, 6, maxEntriesTTL},
		{6, 6, 15 * time.Second},
		{100, 6, minEntriesTTL},
		{7, 410, maxEntriesTTL},
	}
	for _, test := range tests {
		qt.Check(t, entriesTTLFor(test.changes, test.members), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func TestLoadBandsHaveHysteresis(t *testing.T) {
	qt.Check(t, loadBand(0.27, 0), qt.Equals, 0)
	qt.Check(t, loadBand(0.31, 0), qt.Equals, 1)
	qt.Check(t, loadBand(0.22, 1), qt.Equals, 1)
	qt.Check(t, loadBand(0.19, 1), qt.Equals, 0)
	qt.Check(t, loadBand(1, 0), qt.Equals, MaxLoad)
}

func BenchmarkBuildView410(b *testing.B) {
	r := fleetRecords(410, 4)
	for b.Loop() {
		buildView("entry-000", r, 0)
	}
}

// BenchmarkBuildViewRegionCut builds a view in which daemons of one half of the fleet suspect
// their neighbours in the other half.
func BenchmarkBuildViewRegionCut(b *testing.B) {
	r := fleetRecords(410, 4)
	v := buildView("entry-000", r, 0)
	for _, m := range v.Members {
		for _, name := range v.rings.neighbours(m.Name, m.DataCentre) {
			other, _ := v.Member(name)
			near, far := m.DataCentre < "centre-2", other.DataCentre < "centre-2"
			if near == far || !near {
				continue
			}
			if r.suspicions[name] == nil {
				r.suspicions[name] = make(map[string]suspicion)
			}
			r.suspicions[name][m.Name] = suspicion{incarnation: 1}
		}
	}
	for b.Loop() {
		buildView("entry-000", r, 0)
	}
}
