package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// joinTime is enough virtual time for a small fleet to join.
	joinTime = 10 * time.Second
	// outTime is the maximum time until a failed daemon is suspected by all others.
	outTime = 6 * time.Second
)

// startFleet starts n daemons in up to three data centres and waits until they have joined.
func startFleet(t testing.TB, net *network, n int) []*Membership {
	var fleet []*Membership
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		centre := []string{"mendoza-sala", "sanjuan-sala", "sanluis-sala"}[i%3]
		fleet = append(fleet, net.start(t, name, centre, nil, "entry-0", "entry-1"))
	}
	time.Sleep(joinTime)
	return fleet
}

func stateOf(m *Membership, name string) (State, Reason) {
	member, ok := m.View().Member(name)
	if !ok {
		return -1, ReasonNone
	}
	return member.State, member.Reason
}

func TestCrashedDaemonIsSuspectedByAll(t *testing.T) {
	for _, n := range []int{2, 3, 6} {
		synctest.Test(t, func(t *testing.T) {
			net := newNetwork(2 * time.Millisecond)
			defer net.stopAll()
			fleet := startFleet(t, net, n)
			qt.Assert(t, fleet[0].View().Live(), qt.Equals, n)
			net.crash("entry-1")
			time.Sleep(outTime)
			for i, m := range fleet {
				if i == 1 {
					continue
				}
				state, reason := stateOf(m, "entry-1")
				qt.Check(t, state, qt.Equals, Suspected, qt.Commentf("fleet of %d, %d", n, i))
				qt.Check(t, reason, qt.Equals, ReasonUnreachable)
				qt.Check(t, m.View().Live(), qt.Equals, n-1)
			}
		})
	}
}

func TestSurvivorDetectsTwoCrashesOfThree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(2 * time.Millisecond)
		defer net.stopAll()
		fleet := startFleet(t, net, 3)
		net.crash("entry-1")
		net.crash("entry-2")
		time.Sleep(outTime)
		qt.Check(t, fleet[0].View().Live(), qt.Equals, 1)
		_, self := fleet[0].Owner("any")
		qt.Check(t, self, qt.IsTrue)
	})
}

func TestFrozenDaemonIsReportedAsFrozenAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(2 * time.Millisecond)
		defer net.stopAll()
		fleet := startFleet(t, net, 6)
		net.setPaused("entry-2", true)
		time.Sleep(outTime)
		state, reason := stateOf(fleet[5], "entry-2")
		qt.Check(t, state, qt.Equals, Suspected)
		qt.Check(t, reason, qt.Equals, ReasonFrozen)

		net.setPaused("entry-2", false)
		time.Sleep(joinTime)
		for _, m := range fleet {
			qt.Check(t, m.View().Live(), qt.Equals, 6)
		}
	})
}

func TestDaemonUnreachableFromOneNeighbourStaysLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(2 * time.Millisecond)
		defer net.stopAll()
		fleet := startFleet(t, net, 6)
		neighbour := fleet[0].neighbours(fleet[0].View())[0]
		net.setCut("entry-0", neighbour, true)
		time.Sleep(outTime)
		for _, m := range fleet[1:] {
			state, _ := stateOf(m, neighbour)
			qt.Check(t, state, qt.Equals, Live)
			state, _ = stateOf(m, "entry-0")
			qt.Check(t, state, qt.Equals, Live)
		}
	})
}

func TestWronglySuspectedDaemonRefutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(2 * time.Millisecond)
		defer net.stopAll()
		fleet := startFleet(t, net, 6)
		before, _ := fleet[0].View().Member("entry-3")
		value := encode(&bronzeturnv1.Suspicion{Incarnation: before.Incarnation, Reason: bronzeturnv1.SuspicionReason_SUSPICION_REASON_FROZEN})
		for _, reporter := range []string{"entry-1", "entry-2"} {
			qt.Assert(t, fleet[0].node.Publish(suspectKey("entry-3", reporter), 1<<40, value), qt.IsNil)
		}
		time.Sleep(100 * time.Millisecond)
		state, _ := stateOf(fleet[0], "entry-3")
		qt.Assert(t, state, qt.Equals, Suspected)
		time.Sleep(2 * time.Second)
		for _, m := range fleet {
			after, _ := m.View().Member("entry-3")
			qt.Check(t, after.State, qt.Equals, Live)
			qt.Check(t, after.Incarnation > before.Incarnation, qt.IsTrue)
		}
	})
}

func TestCrashAfterRefutationIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(2 * time.Millisecond)
		defer net.stopAll()
		fleet := startFleet(t, net, 3)
		// entry-1 cannot reach entry-2 and keeps suspecting it, while entry-2 refutes the
		// suspicion through entry-0. Then entry-2 crashes.
		net.setCut("entry-1", "entry-2", true)
		time.Sleep(outTime)
		dying, _ := fleet[0].View().Member("entry-2")
		value := encode(&bronzeturnv1.Suspicion{Incarnation: dying.Incarnation})
		qt.Assert(t, fleet[0].node.Publish(suspectKey("entry-2", "entry-0"), 1<<40, value), qt.IsNil)
		time.Sleep(time.Second)
		state, _ := stateOf(fleet[0], "entry-2")
		qt.Assert(t, state, qt.Equals, Live)
		net.crash("entry-2")
		time.Sleep(outTime)
		for _, m := range fleet[:2] {
			state, _ = stateOf(m, "entry-2")
			qt.Check(t, state, qt.Equals, Suspected)
		}
	})
}

func TestPartitionsWithoutCommonNeighboursRejoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(2 * time.Millisecond)
		defer net.stopAll()
		fleet := startFleet(t, net, 12)
		isolated := fleet[7]
		neighbours := isolated.neighbours(isolated.View())
		for _, m := range fleet {
			if m != isolated {
				net.setCut("entry-7", m.options.Self.Name, true)
			}
		}
		time.Sleep(4 * outTime)
		for _, name := range neighbours {
			net.crash(name)
		}
		time.Sleep(4 * outTime)
		for _, m := range fleet {
			net.setCut("entry-7", m.options.Self.Name, false)
		}
		time.Sleep(time.Minute)
		qt.Check(t, isolated.View().Live(), qt.Equals, 12-len(neighbours))
		state, _ := stateOf(isolated, "entry-7")
		qt.Check(t, state, qt.Equals, Live)
		for _, m := range fleet {
			if name := m.options.Self.Name; !net.down[name] {
				state, _ := stateOf(m, "entry-7")
				qt.Check(t, state, qt.Equals, Live, qt.Commentf("%s", name))
			}
		}
	})
}

func TestRestartWithEarlierClockIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(2 * time.Millisecond)
		defer net.stopAll()
		fleet := startFleet(t, net, 3)
		net.crash("entry-1")
		time.Sleep(outTime)

		restarted, err := New(Options{
			Self:   Self{Name: "entry-1", DataCentre: "mendoza-sala", PeerAddress: "entry-1", CallerAddress: "new"},
			Seeds:  []string{"entry-0"},
			Dialer: &networkDialer{network: net, from: "entry-1"},
			Random: rand.New(rand.NewPCG(7, 8)),
		})
		qt.Assert(t, err, qt.IsNil)
		restarted.own.incarnation -= uint64(time.Hour / time.Millisecond)
		net.run("entry-1", restarted)
		time.Sleep(joinTime)
		for _, m := range []*Membership{fleet[0], fleet[2]} {
			member, _ := m.View().Member("entry-1")
			qt.Check(t, member.State, qt.Equals, Live)
			qt.Check(t, member.CallerAddress, qt.Equals, "new")
		}
	})
}

func TestPausedDaemonDoesNotSuspectItsNeighbours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(2 * time.Millisecond)
		defer net.stopAll()
		m := startFleet(t, net, 3)[0]
		m.mu.Lock()
		for _, c := range m.contacts {
			c.heard = c.heard.Add(-time.Minute)
		}
		m.lastTick = m.lastTick.Add(-time.Minute)
		m.mu.Unlock()
		m.tick(time.Now())
		m.mu.Lock()
		defer m.mu.Unlock()
		for name, c := range m.contacts {
			qt.Check(t, c.reported, qt.IsFalse, qt.Commentf("%s", name))
		}
	})
}

func TestIsolatedDaemonHearsNoPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(2 * time.Millisecond)
		defer net.stopAll()
		fleet := startFleet(t, net, 6)
		qt.Check(t, fleet[0].PeersHeard(), qt.Equals, fleet[0].PeersKnown())
		for i := 1; i < 6; i++ {
			net.setCut("entry-0", fmt.Sprintf("entry-%d", i), true)
		}
		time.Sleep(outTime)
		qt.Check(t, fleet[0].PeersKnown() >= 3, qt.IsTrue)
		qt.Check(t, fleet[0].PeersHeard(), qt.Equals, 0)
		known, heard := fleet[1].PeersKnown(), fleet[1].PeersHeard()
		qt.Check(t, 2*heard > known, qt.IsTrue, qt.Commentf("%d of %d", heard, known))
	})
}

func TestConfigNewsAgeIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(2 * time.Millisecond)
		defer net.stopAll()
		fleet := startFleet(t, net, 6)
		_, ok := fleet[5].ConfigNewsAge()
		qt.Check(t, ok, qt.IsFalse)
		for _, m := range fleet {
			m.SetConfigNews(4, time.Time{})
		}
		heard := time.Now()
		fleet[0].SetConfigNews(4, heard)
		time.Sleep(5 * time.Second)
		for _, m := range fleet {
			age, ok := m.ConfigNewsAge()
			qt.Check(t, ok, qt.IsTrue)
			qt.Check(t, age >= time.Since(heard), qt.IsTrue, qt.Commentf("news age is too low: %v", age))
			qt.Check(t, age < time.Since(heard)+time.Second, qt.IsTrue, qt.Commentf("%v", age))
		}
		fleet[1].SetConfigNews(5, time.Time{})
		age, ok := fleet[2].ConfigNewsAge()
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, age < 7*time.Second, qt.IsTrue)
	})
}
