package gossip

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHeartbeatOmitsDigestWhileRateUsedUp guards against a joining daemon pulling the table
// from a daemon whose entry rate is used up, which would take seconds to send it.
func TestHeartbeatOmitsDigestWhileRateUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := &memNetwork{nodes: make(map[string]*Node)}
		a := w.start(t, "a", &lossRecorder{})
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
	w := &memNetwork{nodes: make(map[string]*Node)}
	a := w.start(t, "a", &lossRecorder{})
	small, large := &link{}, &link{}
	now := time.Now()
	c.Check(a.beginPull(small, 20, now), qt.IsTrue)
	c.Check(a.beginPull(large, 39, now), qt.IsFalse)
	c.Check(a.beginPull(large, 40, now), qt.IsTrue)
	c.Check(a.pullLink, qt.Equals, large)
	// A larger table is not pulled early if fewer than manyMissingEntries are missing.
	for i := range 90 {
		c.Assert(a.Publish(fmt.Sprintf("kept/%d", i), 1, nil), qt.IsNil)
	}
	c.Check(a.beginPull(small, 95, now), qt.IsFalse)
	c.Check(a.Stop(), qt.IsNil)
}

// TestTableIsSentCompressed guards against sending the table uncompressed, which loads the links
// of small hosts when a fleet starts and every daemon receives it several times.
func TestTableIsSentCompressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 500
		c := qt.New(t)
		w := &memNetwork{nodes: make(map[string]*Node)}
		a, b := w.start(t, "a", &lossRecorder{}), w.start(t, "b", &lossRecorder{})
		size := 0
		for i := range entries {
			key, value := fmt.Sprintf("kept/front-hall-centro-%d", i), fmt.Appendf(nil, "10.1.0.%d:8200", i%250)
			size += len(key) + len(value)
			c.Assert(a.Publish(key, 1781440087000+uint64(i), value), qt.IsNil)
		}
		b.SetTargets([]Target{{Name: "a"}})
		time.Sleep(2 * time.Second)
		c.Check(b.Digest(), qt.Equals, a.Digest())
		w.mu.Lock()
		c.Check(2*w.bytes < size, qt.IsTrue, qt.Commentf("%d bytes sent for %d bytes of keys and values", w.bytes, size))
		w.mu.Unlock()
		stopAll(t, []*Node{a, b})
	})
}

// TestJoiningDaemonIsReferredWhileRateUsedUp guards against a joining daemon that knows nobody for
// seconds, because its only link is to a daemon whose entry rate is used up.
func TestJoiningDaemonIsReferredWhileRateUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := &memNetwork{nodes: make(map[string]*Node)}
		a, b := w.start(t, "a", &lossRecorder{}), w.start(t, "b", &lossRecorder{})
		a.options.ReferralPrefix = "kept/"
		for i := range 3 * maxReferralEntries {
			c.Assert(a.Publish(fmt.Sprintf("kept/%d", i), 1, []byte("entry")), qt.IsNil)
		}
		a.limiter.ReserveN(time.Now(), entryBurst)
		a.limiter.ReserveN(time.Now(), 5*entryRate)
		b.SetTargets([]Target{{Name: "a"}})
		time.Sleep(time.Second)
		c.Check(b.table.size(), qt.Equals, maxReferralEntries)
		stopAll(t, []*Node{a, b})
	})
}
