package ledger

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

func refuseAll(context.Context, memstore.Op, string) memstore.FaultEffect { return memstore.RefuseCall }

func billNumber(i int) Bill {
	return Bill{Organisation: "org", RequestID: fmt.Sprintf("r%d", i), Version: "v", CostMicros: 1}
}

// billsInStore counts the itemised bills in the store by request id.
func billsInStore(t testing.TB, c *cluster) map[string]int {
	seen := make(map[string]int)
	err := EachBill(t.Context(), c.store, func(b Bill) error {
		seen[b.RequestID]++
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	return seen
}

func checkBilledOnce(t testing.TB, c *cluster, n int) {
	seen := billsInStore(t, c)
	for i := range n {
		id := fmt.Sprintf("r%d", i)
		qt.Assert(t, seen[id], qt.Equals, 1, qt.Commentf("bill %s", id))
	}
	qt.Assert(t, len(seen), qt.Equals, n)
	totals, err := Totals(t.Context(), c.store)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, totals, qt.DeepEquals, []Total{{Organisation: "org", Version: "v", Bills: uint64(n), CostMicros: uint64(n)}})
}

func TestOutageBillsAreWrittenOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a, b := c.start(t, "a", oneShard), c.start(t, "b", oneShard)
		c.setOwner(func(string, string) string { return "a" })
		c.holders["a"], c.holders["b"] = []string{"b"}, []string{"a"}
		time.Sleep(time.Second)
		c.store.SetFault(refuseAll)
		for i := range 50 {
			n := []*node{a, b}[i%2]
			d, err := n.Bill(t.Context(), billNumber(i))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, d, qt.Equals, DurabilityCopied)
		}
		time.Sleep(4 * time.Minute)
		c.store.SetFault(nil)
		time.Sleep(time.Minute)
		checkBilledOnce(t, c, 50)
		time.Sleep(2 * time.Minute)
		qt.Assert(t, a.copies.size()+b.copies.size(), qt.Equals, 0)
		checkBilledOnce(t, c, 50)
	})
}

func TestHolderWritesBillsOfCrashedDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a := c.start(t, "a")
		c.start(t, "b")
		c.setOwner(func(asking, _ string) string { return asking })
		c.holders["a"] = []string{"b"}
		time.Sleep(time.Second)
		c.store.SetFault(refuseAll)
		for i := range 20 {
			d, err := a.Bill(t.Context(), billNumber(i))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, d, qt.Equals, DurabilityCopied)
		}
		c.crash(a)
		time.Sleep(time.Hour)
		c.store.SetFault(nil)
		time.Sleep(2 * time.Minute)
		checkBilledOnce(t, c, 20)
	})
}

func TestCopiesAreRenewedWhenTheirHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a, b := c.start(t, "a"), c.start(t, "b")
		c.start(t, "d")
		c.setOwner(func(asking, _ string) string { return asking })
		c.holders["a"] = []string{"b", "d"}
		time.Sleep(time.Second)
		c.store.SetFault(refuseAll)
		for i := range 20 {
			_, err := a.Bill(t.Context(), billNumber(i))
			qt.Assert(t, err, qt.IsNil)
		}
		c.crash(b)
		time.Sleep(20 * time.Second)
		c.crash(a)
		c.store.SetFault(nil)
		time.Sleep(2 * time.Minute)
		checkBilledOnce(t, c, 20)
	})
}

func TestFlushCopiesUnsettledRecordsToTwoDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a, b := c.start(t, "a"), c.start(t, "b")
		c.start(t, "d")
		c.setOwner(func(asking, _ string) string { return asking })
		c.holders["a"] = []string{"b", "d"}
		time.Sleep(time.Second)
		c.store.SetFault(refuseAll)
		for i := range 20 {
			_, err := a.Bill(t.Context(), billNumber(i))
			qt.Assert(t, err, qt.IsNil)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		qt.Assert(t, a.Flush(ctx), qt.IsNil)
		c.crash(a)
		c.crash(b)
		c.store.SetFault(nil)
		time.Sleep(2 * time.Minute)
		checkBilledOnce(t, c, 20)
	})
}

func TestFullBufferRefusesBeforeDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a := c.start(t, "a", func(cfg *Config) { cfg.BufferRecords = 10 })
		time.Sleep(time.Second)
		c.store.SetFault(refuseAll)
		billed := 0
		for {
			r, err := a.ReserveBuffer()
			if err != nil {
				f := failure.From(err)
				qt.Assert(t, f.Ran, qt.Equals, failure.RanNo)
				qt.Assert(t, f.RetryAfter > 0, qt.IsTrue)
				break
			}
			_, err = a.Bill(t.Context(), billNumber(billed))
			qt.Assert(t, err, qt.IsNil)
			r.Release()
			billed++
		}
		qt.Assert(t, a.BufferHasRoom(), qt.IsFalse)
		qt.Assert(t, billed, qt.Equals, 9)
		c.store.SetFault(nil)
		time.Sleep(time.Minute)
		qt.Assert(t, a.BufferHasRoom(), qt.IsTrue)
		checkBilledOnce(t, c, billed)
	})
}

func TestPinnedConversationsContinueInOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a := c.start(t, "a")
		_, err := a.PinVersion(t.Context(), PinRequest{"org", "known", "v1"})
		qt.Assert(t, err, qt.IsNil)
		c.store.SetFault(refuseAll)
		time.Sleep(DefaultPinIdle * 3 / 4)
		version, ok, err := a.PinnedVersion(t.Context(), "org", "known")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, version, qt.Equals, "v1")
		_, err = a.PinVersion(t.Context(), PinRequest{"org", "new", "v1"})
		qt.Assert(t, failure.From(err).Code, qt.Equals, failure.CodeLedgerUnavailable)
		qt.Assert(t, failure.From(err).Ran, qt.Equals, failure.RanNo)
	})
}

// A daemon that cannot reach the preferred writer writes records itself. Cuts
// and lost responses between daemons cost time but change no result.
func TestRequestsSucceedWithoutPreferredWriter(t *testing.T) {
	for _, fault := range []linkFault{{cut: true}, {lose: true}, {delay: time.Minute}} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster()
			defer c.stop()
			a, b := c.start(t, "a"), c.start(t, "b")
			c.setOwner(func(string, string) string { return "b" })
			c.setCall(func(string, string) linkFault { return fault })
			r, err := a.Claim(t.Context(), claimRequest("k", "body"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.First, qt.IsTrue)
			again, err := b.Claim(t.Context(), claimRequest("k", "body"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again.First, qt.IsFalse)
			_, err = a.Bill(t.Context(), billNumber(0))
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(time.Minute)
			checkBilledOnce(t, c, 1)
		})
	}
}

// During a store outage, claims and new conversations are refused quickly and
// as not run; known conversations and bills continue, and the store is probed
// rarely. After the outage everything is billed once.
func TestOutageRefusesClaimsAndNewConversations(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, nodes := ownersByShard(t, 3)
		defer c.stop()
		for i, n := range nodes {
			c.holders[n.name] = []string{nodes[(i+1)%3].name}
			_, err := n.PinVersion(t.Context(), PinRequest{"org", "known-" + n.name, "v"})
			qt.Assert(t, err, qt.IsNil)
		}
		c.store.SetFault(refuseAll)
		before := c.store.Counts()
		const seconds = 120
		refused, billed := 0, 0
		var took []time.Duration
		refusedSoon := func(err error, start time.Time) {
			f := failure.From(err)
			qt.Assert(t, f.Code, qt.Equals, failure.CodeLedgerUnavailable)
			qt.Assert(t, f.Ran, qt.Equals, failure.RanNo)
			refused++
			took = append(took, time.Since(start))
		}
		for i := range seconds {
			n := nodes[i%3]
			start := time.Now()
			_, err := n.Claim(t.Context(), claimRequest(fmt.Sprint("k", i), "body"))
			refusedSoon(err, start)
			start = time.Now()
			_, err = n.PinVersion(t.Context(), PinRequest{"org", fmt.Sprint("new-", i), "v"})
			refusedSoon(err, start)
			_, ok, err := n.PinnedVersion(t.Context(), "org", "known-"+n.name)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, ok, qt.IsTrue)
			d, err := n.Bill(t.Context(), billNumber(billed))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, d, qt.Equals, DurabilityCopied)
			billed++
			time.Sleep(time.Until(start.Add(time.Second)))
		}
		after := c.store.Counts()
		calls := float64(after.Reads+after.Writes-before.Reads-before.Writes) / seconds / 3
		slices.Sort(took)
		p50, longest := took[len(took)/2], took[len(took)-1]
		t.Logf("refused %d of %d, p50 %v, longest %v, %.2f store calls a second per daemon", refused, 2*seconds, p50, longest, calls)
		qt.Assert(t, refused, qt.Equals, 2*seconds)
		qt.Assert(t, longest <= DefaultDecideTimeout, qt.IsTrue, qt.Commentf("longest %v", longest))
		qt.Assert(t, p50 <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("p50 %v", p50))
		qt.Assert(t, calls < 1, qt.IsTrue, qt.Commentf("%.2f store calls a second per daemon", calls))
		c.store.SetFault(nil)
		start := time.Now()
		for nodes[0].outbox.size()+nodes[1].outbox.size()+nodes[2].outbox.size() > 0 {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("drained %v after the outage", time.Since(start))
		qt.Assert(t, time.Since(start) < time.Minute, qt.IsTrue)
		checkBilledOnce(t, c, billed)
	})
}

// A daemon that holds copies is frozen until the ledger has dropped the entries
// of the bills, which their owner has settled meanwhile. It must not write the
// bills again when it resumes.
func TestFrozenHolderDoesNotBillAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a := c.start(t, "a", oneShard)
		b := c.start(t, "b", oneShard)
		c.setOwner(func(string, string) string { return "a" })
		bill := testBill("r0")
		qt.Assert(t, b.copies.add([]*bronzeturnv1.LedgerRecord{bill}), qt.IsNil)
		_, err := a.append(t.Context(), bill)
		qt.Assert(t, err, qt.IsNil)
		b.freeze.mu.Lock() // the last check is long ago, as after SIGSTOP
		b.freeze.lastCheck = time.Now().Add(-2 * DefaultBillRetention)
		b.freeze.mu.Unlock()
		clearBills(a)
		time.Sleep(5 * time.Minute)
		seen := billsInStore(t, c)
		qt.Assert(t, seen["r0"], qt.Equals, 1)
		qt.Assert(t, b.copies.size(), qt.Equals, 0)
	})
}

// clearBills removes the bills from the preferred writer's state, as expiry
// does.
func clearBills(n *node) {
	for _, s := range n.shards {
		s.log.mu.Lock()
		clear(s.log.state.bills)
		s.log.mu.Unlock()
	}
}

// If the preferred writer is down, the second owner writes for all daemons, and
// these do not load the shard themselves.
func TestSecondOwnerWritesWhenPreferredWriterIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a, b, d := c.start(t, "a", oneShard), c.start(t, "b", oneShard), c.start(t, "d", oneShard)
		c.setOwner(func(string, string) string { return "a" })
		_, err := d.Claim(t.Context(), claimRequest("k0", "body"))
		qt.Assert(t, err, qt.IsNil)
		c.crash(a)
		for i := range 10 {
			r, err := d.Claim(t.Context(), claimRequest(fmt.Sprint("k", i), "body"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.First, qt.Equals, i > 0)
		}
		qt.Assert(t, b.shards[0].log.ready(), qt.IsTrue)
		qt.Assert(t, d.shards[0].log.ready(), qt.IsFalse)
	})
}
