package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// leavingBound is the maximum time until all daemons know that a host is leaving.
const leavingBound = 2 * time.Second

// startListed starts n daemons that read the same host list.
func startListed(t *testing.T, net *network, list HostList, n int) []*Membership {
	var fleet []*Membership
	for i := range n {
		centre := []string{"hall-centro", "hall-porto"}[i%2]
		fleet = append(fleet, net.start(t, fmt.Sprint("entry-", i), centre, list, "entry-0"))
	}
	time.Sleep(joinTime)
	return fleet
}

func TestLeavingBackendHostReachesAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(5 * time.Millisecond)
		defer net.stopAll()
		list := newFakeHostList(6)
		fleet := startListed(t, net, list, 12)
		watchers := 0
		for _, m := range fleet {
			qt.Check(t, m.BackendLeaving("backend-3"), qt.IsFalse)
			if m.IsWatcher() {
				watchers++
			}
		}
		qt.Check(t, watchers, qt.Equals, minWatchers)

		list.edit(func(hosts []Host, revision uint64) []Host {
			hosts[3].Leaving, hosts[3].Revision = true, revision
			return hosts
		})
		time.Sleep(leavingBound)
		for _, m := range fleet {
			qt.Check(t, m.BackendLeaving("backend-3"), qt.IsTrue)
			qt.Check(t, m.BackendLeaving("backend-2"), qt.IsFalse)
		}
	})
}

func TestWatcherThatFailsIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(5 * time.Millisecond)
		defer net.stopAll()
		list := newFakeHostList(6)
		fleet := startListed(t, net, list, 6)
		for _, name := range fleet[0].View().Watchers {
			net.crash(name)
		}
		time.Sleep(2 * outTime)
		list.edit(func(hosts []Host, revision uint64) []Host {
			hosts[0].Leaving, hosts[0].Revision = true, revision
			return hosts
		})
		time.Sleep(leavingBound)
		for name, m := range net.daemons {
			if !net.down[name] {
				qt.Check(t, m.BackendLeaving("backend-0"), qt.IsTrue, qt.Commentf("%s", name))
			}
		}
	})
}

func TestMassRemovalOfHostsIsDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(5 * time.Millisecond)
		defer net.stopAll()
		list := newFakeHostList(6)
		fleet := startListed(t, net, list, 3)
		list.edit(func(hosts []Host, _ uint64) []Host { return hosts[:1] })
		time.Sleep(massRemovalAfter - 2*hostPoll)
		qt.Check(t, fleet[0].BackendLeaving("backend-5"), qt.IsFalse)
		time.Sleep(5 * time.Second)
		qt.Check(t, fleet[0].BackendLeaving("backend-5"), qt.IsTrue)
		qt.Check(t, fleet[0].BackendLeaving("backend-0"), qt.IsFalse)
	})
}

func TestDaemonOnLeavingHostIsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(5 * time.Millisecond)
		defer net.stopAll()
		list := newFakeHostList(1)
		fleet := startListed(t, net, list, 3)
		list.edit(func(hosts []Host, revision uint64) []Host {
			return append(hosts, Host{Name: "entry-1", Entry: true, Leaving: true, Revision: revision})
		})
		time.Sleep(leavingBound)
		for _, m := range fleet {
			state, reason := stateOf(m, "entry-1")
			qt.Check(t, state, qt.Equals, Leaving)
			qt.Check(t, reason, qt.Equals, ReasonHostList)
		}
	})
}

func TestBackendLeavingDoesNotAllocate(t *testing.T) {
	m := newNetwork(0).idle(t, "entry-0")
	m.records.hosts["backend-0"] = hostLeaving
	m.rebuild()
	qt.Check(t, m.BackendLeaving("backend-0"), qt.IsTrue)
	qt.Check(t, testing.AllocsPerRun(100, func() { m.BackendLeaving("backend-0") }), qt.Equals, 0.0)
}
