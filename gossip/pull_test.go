package gossip

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHeartbeatOmitsDigestWhileRateUsedUp guards against a joining daemon pulling the table from
// a daemon whose entry rate is used up, which would take seconds to send it.
func TestHeartbeatOmitsDigestWhileRateUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := &wire{nodes: make(map[string]*Node)}
		a := w.start(t, "a", &lostLog{})
		c.Check(a.heartbeat(true).GetTableSize(), qt.Equals, uint32(1))
		a.limiter.ReserveN(time.Now(), entryBurst)
		c.Check(a.heartbeat(true).GetTableSize(), qt.Equals, uint32(0))
		time.Sleep(time.Second)
		c.Check(a.heartbeat(true).GetTableSize(), qt.Equals, uint32(1))
		stopAll(t, []*Node{a})
	})
}

// TestLargerTableIsPulledWithoutWaiting guards against a joining daemon ignoring a larger table
// just after a pull from a neighbour that has itself just joined.
func TestLargerTableIsPulledWithoutWaiting(t *testing.T) {
	c := qt.New(t)
	w := &wire{nodes: make(map[string]*Node)}
	a := w.start(t, "a", &lostLog{})
	small, large := &link{}, &link{}
	now := time.Now()
	c.Check(a.beginPull(small, 20, now), qt.IsTrue)
	c.Check(a.beginPull(large, 39, now), qt.IsFalse)
	c.Check(a.beginPull(large, 40, now), qt.IsTrue)
	c.Check(a.pullLink, qt.Equals, large)
	// A larger table is not pulled early if fewer than manyMissing entries are missing.
	for i := range 90 {
		c.Assert(a.Publish(fmt.Sprintf("kept/%d", i), 1, nil), qt.IsNil)
	}
	c.Check(a.beginPull(small, 95, now), qt.IsFalse)
	c.Check(a.Stop(), qt.IsNil)
}
