package orders

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

func TestEnginesReachTheDesiredState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(true, 3, "old@1"))
		d := f.daemon("entry-a", f.store, newSource(1, 3, "new@1", "new@2"), alwaysOwner)
		time.Sleep(time.Minute)
		stop(d)
		for i := range 3 {
			c.Assert(f.engines.versions(i), qt.DeepEquals, []string{"new@1", "new@2"})
			c.Assert(f.engines.applied(i), qt.HasLen, 3, qt.Commentf("no order twice"))
		}
	})
}

func TestTwoDaemonsThatBothBelieveToOwnThePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(false, 3, "old@1"))
		a := f.daemon("entry-a", f.store, newSource(1, 3, "new@1"), alwaysOwner)
		b := f.daemon("entry-b", f.store, newSource(1, 3, "new@1"), alwaysOwner)
		time.Sleep(time.Minute)
		stop(a, b)
		for i := range 3 {
			c.Assert(f.engines.applied(i), qt.HasLen, 2)
		}
	})
}

func TestAHolderThatStopsHandsOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(true, 1, "v@1"))
		a := f.daemon("entry-a", f.store, newSource(1, 1, "v@1"), alwaysOwner)
		time.Sleep(10 * time.Second)
		b := f.daemon("entry-b", f.store, newSource(2, 1, "v@1", "v@2"), alwaysOwner)
		time.Sleep(10 * time.Second)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1"})
		stop(a)
		time.Sleep(5 * time.Second)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@2"})
		stop(b)
	})
}

// pausedHolder runs a holder whose order is delayed, as by a paused process,
// until another daemon has taken over with a newer configuration, and is then
// delivered.
func pausedHolder(c *qt.C, checks bool) *fleet {
	f := newFleet(c, newFakeEngines(checks, 1, "v@1"))
	resume := make(chan struct{})
	var frozen atomic.Bool
	f.engines.delay = func(_ string, o engine.Order) {
		if o.Version == "v@2" && frozen.CompareAndSwap(false, true) {
			<-resume
		}
	}
	a := f.daemon("entry-a", f.store, newSource(1, 1, "v@1", "v@2"), alwaysOwner)
	time.Sleep(10 * time.Second)
	c.Assert(frozen.Load(), qt.IsTrue)
	// Generation 2 removes v@2 and adds v@3.
	b := f.daemon("entry-b", f.store, newSource(2, 1, "v@1", "v@3"), alwaysOwner)
	time.Sleep(time.Minute)
	c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@3"})
	close(resume)
	synctest.Wait()
	if checks {
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@3"})
	} else {
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@2", "v@3"}, qt.Commentf("the stale order takes effect"))
	}
	time.Sleep(time.Minute)
	stop(a, b)
	return f
}

func TestAStaleOrderIsRefusedWhereFencingIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := pausedHolder(c, true)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@3"})
		for _, o := range f.engines.applied(0) {
			c.Assert(o.Version, qt.Not(qt.Equals), "v@2")
		}
	})
}

func TestAStaleOrderIsRepairedWhereFencingIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := pausedHolder(c, false)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@3"})
		stale := 0
		for _, o := range f.engines.applied(0) {
			if o.Op == engine.OpLoad && o.Version == "v@2" {
				stale++
			}
		}
		c.Assert(stale, qt.Equals, 1, qt.Commentf("at most the one order in flight per pool can be stale"))
	})
}

func TestFencingNumbersRiseWithEachHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(true, 1))
		var last uint64
		for i, name := range []string{"entry-a", "entry-b", "entry-c"} {
			versions := []string{"v@1", "v@2", "v@3"}[:i+1]
			d := f.daemon(name, f.store, newSource(uint64(i+1), 1, versions...), alwaysOwner)
			time.Sleep(time.Minute)
			stop(d)
			fences := f.engines.engines[address(0)].fences
			c.Assert(fences, qt.HasLen, i+1)
			c.Assert(fences[i] > last, qt.IsTrue)
			last = fences[i]
		}
	})
}

func TestALostAnswerOfALeaseWriteIsSettledByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(true, 1))
		var lost atomic.Bool
		f.store.SetFault(func(_ context.Context, op memstore.Op, _ string) memstore.FaultEffect {
			if op == memstore.OpCreate && lost.CompareAndSwap(false, true) {
				return memstore.LoseAnswer
			}
			return memstore.NoFault
		})
		d := f.daemon("entry-a", f.store, newSource(1, 1, "v@1"), alwaysOwner)
		time.Sleep(10 * time.Second)
		c.Assert(lost.Load(), qt.IsTrue)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1"}, qt.Commentf("well before the lease could expire"))
		stop(d)
	})
}

func TestAStoreOutageStopsOrdersUntilItEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(false, 1, "v@1"))
		source := newSource(1, 1, "v@1")
		d := f.daemon("entry-a", f.store, source, alwaysOwner)
		time.Sleep(10 * time.Second)
		f.store.SetFault(func(context.Context, memstore.Op, string) memstore.FaultEffect { return memstore.RefuseCall })
		source.set(2, 1, "v@1", "v@2")
		time.Sleep(time.Hour)
		c.Assert(f.engines.applied(0), qt.HasLen, 0)
		f.store.SetFault(nil)
		time.Sleep(10 * time.Second)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@2"})
		stop(d)
	})
}

func TestAHolderWithAnOlderConfigurationDoesNotTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(false, 1, "v@1"))
		a := f.daemon("entry-a", f.store, newSource(7, 1, "v@1", "v@2"), alwaysOwner)
		time.Sleep(20 * time.Second)
		stop(a)
		old := newSource(6, 1, "v@1")
		b := f.daemon("entry-b", f.store, old, alwaysOwner)
		time.Sleep(10 * time.Minute)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@2"})
		old.set(8, 1, "v@1")
		time.Sleep(10 * time.Second)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1"})
		stop(b)
	})
}

func TestThePreferredOwnerGetsThePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(true, 1))
		var preferred atomic.Value
		preferred.Store("entry-a")
		owner := func(name string) Owner {
			return func(string) (string, bool) { return preferred.Load().(string), preferred.Load() == name }
		}
		a := f.daemon("entry-a", f.store, newSource(1, 1, "v@1"), owner("entry-a"))
		b := f.daemon("entry-b", f.store, newSource(2, 1, "v@1", "v@2"), owner("entry-b"))
		time.Sleep(10 * time.Second)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1"})
		preferred.Store("entry-b")
		time.Sleep(10 * time.Second)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@2"})
		stop(a, b)
	})
}

func TestTheRateLimitOfTheWeightStoreIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(true, 1))
		f.weights.limit = 2
		d := f.daemon("entry-a", f.store, newSource(1, 1, "v@1", "v@2"), alwaysOwner)
		time.Sleep(5 * time.Minute)
		stop(d)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@2"})
		for i := 1; i <= 2; i++ {
			gap := f.weights.fetches[i].Sub(f.weights.fetches[i-1])
			c.Assert(gap >= weightWait, qt.IsTrue, qt.Commentf("%v", gap))
		}
	})
}

func TestAWithdrawnVersionStaysForItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(true, 2, "v@1", "v@2"))
		f.engines.engines[address(0)].running = 1
		d := f.daemon("entry-a", f.store, newSource(1, 2, "v@1"), alwaysOwner)
		time.Sleep(30 * time.Second)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@2"}, qt.Commentf("busy"))
		c.Assert(f.engines.versions(1), qt.DeepEquals, []string{"v@1"}, qt.Commentf("idle"))
		time.Sleep(time.Minute)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1"}, qt.Commentf("the grace period is over"))
		stop(d)
	})
}

func TestALostAnswerToAnOrderLeadsToNoSecondEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(true, 1))
		f.engines.lose = func(engine.Order) bool { return true }
		d := f.daemon("entry-a", f.store, newSource(1, 1, "v@1", "v@2"), alwaysOwner)
		time.Sleep(10 * time.Minute)
		stop(d)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@2"})
		c.Assert(f.engines.applied(0), qt.HasLen, 2)
	})
}

func TestNoOrderGoesOutOnceTheStoreNamesAnotherHolder(t *testing.T) {
	// The holder renews the lease only every few rounds; at some of these offsets
	// the takeover falls between two renewals.
	for second := range 6 {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c, newFakeEngines(false, 1, "v@1"))
			source := newSource(1, 1, "v@1")
			f.daemon("entry-a", f.store, source, alwaysOwner)
			time.Sleep(10*time.Second + time.Duration(second)*time.Second)
			// A daemon with a fast clock takes the lease before it expires.
			takeLease(c, f.store, "entry-b")
			source.set(1, 1, "v@1", "v@2")
			time.Sleep(time.Minute)
			c.Assert(f.engines.applied(0), qt.HasLen, 0)
		})
	}
}

// takeLease overwrites the holder of the lease regardless of its current holder.
func takeLease(c *qt.C, store Store, holder string) {
	l := lease{store: store, key: KeyPrefix + testPool, holder: holder, duration: time.Hour}
	obj, err := store.Get(c.Context(), l.key)
	c.Assert(err, qt.IsNil)
	_, err = store.Update(c.Context(), l.key, l.encode(holder, 1), obj.Revision)
	c.Assert(err, qt.IsNil)
}

func TestADeletedLeaseIsTakenAnewWithAHigherNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(true, 1))
		source := newSource(1, 1, "v@1")
		f.daemon("entry-a", f.store, source, alwaysOwner)
		time.Sleep(10 * time.Second)
		obj, err := f.store.Get(c.Context(), KeyPrefix+testPool)
		c.Assert(err, qt.IsNil)
		c.Assert(f.store.Delete(c.Context(), obj.Key, obj.Revision), qt.IsNil)
		source.set(2, 1, "v@1", "v@2")
		time.Sleep(30 * time.Second)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@2"})
		applied := f.engines.applied(0)
		c.Assert(applied[1].Fencing > applied[0].Fencing, qt.IsTrue)
	})
}

func TestStoreCallsOfAnIdlePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(true, 3, "v@1"))
		owner := f.daemon("entry-a", f.store, newSource(1, 3, "v@1"), alwaysOwner)
		others := func(string) (string, bool) { return "entry-a", false }
		f.daemon("entry-b", f.store, newSource(1, 3, "v@1"), others)
		time.Sleep(time.Hour)
		stop(owner)
		calls := f.store.Counts()
		c.Logf("in an hour: %+v", calls)
		// At most one renewal (a read and a write) per third of the lease duration.
		c.Assert(calls.Writes <= 720, qt.IsTrue)
		c.Assert(calls.Reads <= 720, qt.IsTrue)
		// Three engines, each read every idleReadInterval plus at most one round.
		c.Logf("engine readings in an hour: %d", f.engines.readings())
		c.Assert(f.engines.readings() <= 3*(int(time.Hour/idleReadInterval)+1), qt.IsTrue)
		c.Assert(f.engines.readings() >= 3*int(time.Hour/(idleReadInterval+4*time.Second)), qt.IsTrue)
	})
}

func TestIdlePoolReadsItsEnginesWhenItsOwnVersionsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(c, newFakeEngines(true, 3, "v@1"))
		source := newSource(1, 3, "v@1")
		d := f.daemon("entry-a", f.store, source, alwaysOwner)
		time.Sleep(time.Minute)
		before := f.engines.readings()
		for generation := range uint64(20) {
			// One new generation a second that does not change this pool.
			source.set(generation+2, 3, "v@1")
			time.Sleep(time.Second)
		}
		c.Assert(f.engines.readings()-before <= 2*3, qt.IsTrue, qt.Commentf("%d readings", f.engines.readings()-before))
		source.set(30, 3, "v@1", "v@2")
		time.Sleep(idleReadInterval / 2)
		stop(d)
		c.Assert(f.engines.versions(0), qt.DeepEquals, []string{"v@1", "v@2"})
	})
}
