package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// TestUncontendedServiceMakesNoCall guards against a cost for services with enough capacity.
func TestUncontendedServiceMakesNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 2, Engine{"e", 1})
		defer f.stop()
		for range 10 {
			wait, refusal := f.d(1).run(t.Context(), time.Second, 10*time.Millisecond)
			c.Assert(refusal == nil, qt.IsTrue)
			c.Check(wait, qt.Equals, Wait{})
		}
		time.Sleep(10 * time.Second)
		c.Check(f.d(1).calls.Load(), qt.Equals, int64(0))
		c.Check(f.d(1).Contended(testService), qt.IsFalse)
	})
}

// TestUncontendedAcquireAllocatesTheTicketOnly guards against garbage on the path of every
// request.
func TestUncontendedAcquireAllocatesTheTicketOnly(t *testing.T) {
	d := New(Options{Registerer: newRegistry(), Engines: func(string) []Engine { return nil }})
	r := request(time.Second)
	allocs := testing.AllocsPerRun(1000, func() {
		ticket, _, _ := d.Acquire(t.Context(), r)
		ticket.Sent("e")
		ticket.Done(scheduler.Answered)
	})
	qt.Check(t, allocs <= 1, qt.IsTrue, qt.Commentf("%v allocations", allocs))
}

// TestGrantsFollowTheOrderOfTheFleet guards against daemons that are served out of order.
func TestGrantsFollowTheOrderOfTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 4, Engine{"e", 1})
		defer f.stop()
		f.d(0).NoEngine(testService)
		time.Sleep(time.Second)
		c.Check(f.d(3).Contended(testService), qt.IsTrue)
		var mu sync.Mutex
		var order []int
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				wait, refusal := f.d(i%4).run(t.Context(), 3*time.Second, 100*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				c.Check(refusal == nil, qt.IsTrue)
				c.Check(wait.Local, qt.IsFalse)
				order = append(order, i)
			})
			time.Sleep(12 * time.Millisecond)
		}
		began := time.Now()
		wg.Wait()
		c.Check(order, qt.DeepEquals, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11})
		c.Check(f.mostRunning(), qt.Equals, 1)
		c.Check(time.Since(began) < 12*110*time.Millisecond, qt.IsTrue, qt.Commentf("%v: the slot idled", time.Since(began)))
	})
}

// TestContentionBeginsAndEnds guards against contention that is not noticed, or never ends.
func TestContentionBeginsAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 2, Engine{"e", 4}, Engine{"e2", 4})
		defer f.stop()
		refuse := func(engine string) {
			ticket, _, _ := f.d(1).Acquire(t.Context(), request(time.Second))
			ticket.Sent(engine)
			ticket.Done(scheduler.Full)
		}
		for range 5 {
			refuse("e")
		}
		c.Check(f.d(1).Contended(testService), qt.IsFalse, qt.Commentf("one engine of two was full"))
		time.Sleep(2 * fullWindow)
		refuse("e2")
		refuse("e")
		c.Check(f.d(1).Contended(testService), qt.IsFalse, qt.Commentf("two refusals"))
		refuse("e")
		c.Check(f.d(1).Contended(testService), qt.IsTrue)
		synctest.Wait()
		c.Check(f.d(0).Contended(testService), qt.IsTrue)
		time.Sleep(contendedTTL + 10*time.Millisecond)
		c.Check(f.d(0).Contended(testService), qt.IsFalse)
		calls := f.d(1).calls.Load()
		c.Check(calls >= 6 && calls <= 9, qt.IsTrue, qt.Commentf("%d calls in 3 s without requests", calls))
		time.Sleep(10 * time.Second)
		c.Check(f.d(1).calls.Load(), qt.Equals, calls)
	})
}

// TestServiceStaysContendedWhileRequestsWait guards against a queue that is dissolved under
// load.
func TestServiceStaysContendedWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 2, Engine{"e", 1})
		defer f.stop()
		f.d(1).NoEngine(testService)
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				_, refusal := f.d(1).run(t.Context(), 20*time.Second, 100*time.Millisecond)
				c.Check(refusal == nil, qt.IsTrue)
			})
		}
		wg.Wait()
		c.Check(f.mostRunning(), qt.Equals, 1)
		c.Check(f.d(0).announced.Load()+f.d(1).announced.Load() <= 10, qt.IsTrue, qt.Commentf("announced too often"))
	})
}

// TestRunningRequestsCountWhenContentionBegins guards against grants beyond the capacity at the
// start of contention.
func TestRunningRequestsCountWhenContentionBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 2, Engine{"e", 2})
		defer f.stop()
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { _, _ = f.d(1).run(t.Context(), time.Second, time.Second) })
		}
		time.Sleep(100 * time.Millisecond)
		f.d(0).NoEngine(testService)
		time.Sleep(100 * time.Millisecond)
		wait, refusal := f.d(0).run(t.Context(), 2*time.Second, time.Millisecond)
		c.Check(refusal == nil, qt.IsTrue)
		c.Check(wait.Waited >= 700*time.Millisecond && wait.Waited < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait.Waited))
		wg.Wait()
	})
}

// TestRefusalsReachTheCaller guards against refused requests that wait, or lose their retry
// time.
func TestRefusalsReachTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 2, Engine{"e", 1})
		defer f.stop()
		f.d(1).NoEngine(testService)
		go func() { _, _ = f.d(1).run(t.Context(), time.Second, time.Second) }()
		time.Sleep(100 * time.Millisecond)
		wait, refusal := f.d(1).run(t.Context(), 200*time.Millisecond, 0)
		c.Assert(refusal != nil, qt.IsTrue)
		c.Check(refusal.Code, qt.Equals, failure.CodeNoCapacity)
		c.Check(refusal.Ran, qt.Equals, failure.RanNo)
		c.Check(refusal.RetryAfter, qt.Equals, fifoRetryAfter)
		c.Check(wait.Cause, qt.Equals, scheduler.CauseBacklog)
		c.Check(wait.Waited <= 200*time.Millisecond+waitGrace, qt.IsTrue)
		time.Sleep(time.Second)
	})
}

// TestCallerThatLeavesIsWithdrawn guards against slots for requests that nobody waits for.
func TestCallerThatLeavesIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 2, Engine{"e", 1})
		defer f.stop()
		f.d(1).NoEngine(testService)
		go func() { _, _ = f.d(0).run(t.Context(), time.Second, 300*time.Millisecond) }()
		time.Sleep(50 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		left := make(chan *failure.Error, 1)
		go func() { _, refusal := f.d(1).run(ctx, 2*time.Second, time.Second); left <- refusal }()
		time.Sleep(50 * time.Millisecond)
		second := make(chan Wait, 1)
		go func() { wait, _ := f.d(1).run(t.Context(), 2*time.Second, time.Millisecond); second <- wait }()
		time.Sleep(50 * time.Millisecond)
		cancel()
		refusal := <-left
		c.Check(refusal.Code, qt.Equals, failure.CodeCanceled)
		c.Check(refusal.Ran, qt.Equals, failure.RanNo)
		wait := <-second
		c.Check(wait.Waited < 230*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait.Waited))
		time.Sleep(100 * time.Millisecond)
		status, _ := f.d(0).service(testService).coordinator.status()
		c.Check(status.Running, qt.Equals, 0)
	})
}
