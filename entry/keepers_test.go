package entry

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/rendezvous"
)

// liveFleet is a fleet of live daemons on equal hosts.
type liveFleet struct{ *rendezvous.Set }

// fleetOf returns the fleet of the named daemons and of the daemon self.
func fleetOf(others ...string) *liveFleet {
	return &liveFleet{rendezvous.NewSet(append(slices.Clone(others), "self"))}
}

// Live implements rankedFleet.
func (f *liveFleet) Live() int { return f.Len() }

// Member implements rankedFleet.
func (f *liveFleet) Member(name string) (membership.Member, bool) {
	return membership.Member{Name: name, Capacity: 1}, slices.Contains(f.Names(), name)
}

// TestNewKeeperDoesNotGrantSlotsAtOnce guards against a daemon that has just become a keeper of an
// engine and grants slots that are in use already.
func TestNewKeeperDoesNotGrantSlotsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		started := time.Now()
		var others []string
		for i := range 40 {
			others = append(others, fmt.Sprintf("entry-%d", i))
		}
		view := fleetOf(others...)
		k := newKeepers("self", func() rankedFleet { return view }, true, started)
		time.Sleep(aloneTime)
		// An engine of which this daemon becomes a keeper only when all others but two are lost.
		engine := ""
		for i := 0; engine == ""; i++ {
			if name := fmt.Sprintf("engine-%d", i); !slices.Contains(k.update(view).slotKeepers(name), "self") {
				engine = name
			}
		}
		time.Sleep(settleTime)
		c.Check(k.settled(engine), qt.IsFalse, qt.Commentf("it is no keeper"))
		view = fleetOf(others[:2]...)
		c.Check(k.settled(engine), qt.IsFalse)
		time.Sleep(settleTime - time.Millisecond)
		c.Check(k.settled(engine), qt.IsFalse)
		time.Sleep(time.Millisecond)
		c.Check(k.settled(engine), qt.IsTrue)
		view = fleetOf(others[1:3]...)
		c.Check(k.settled(engine), qt.IsTrue, qt.Commentf("it was a keeper before the change as well"))
		c.Check(k.backups(engine), qt.HasLen, keepersPerEngine-1)
	})
}

// TestDaemonThatKnowsNoOtherGrantsNoSlots guards against a daemon that starts, has not found the fleet
// yet and grants itself the slots that others use.
func TestDaemonThatKnowsNoOtherGrantsNoSlots(t *testing.T) {
	for _, hasSeeds := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			view := fleetOf()
			k := newKeepers("self", func() rankedFleet { return view }, hasSeeds, time.Now())
			k.update(view)
			time.Sleep(fleetKnownAfter)
			c.Check(k.settled("engine"), qt.Equals, !hasSeeds)
			time.Sleep(aloneTime)
			c.Check(k.settled("engine"), qt.IsTrue)
		})
	}
}
