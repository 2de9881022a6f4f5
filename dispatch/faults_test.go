package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Values of the tests below: 4 daemons in front of 8 slots, requests of 100 ms, so 80 requests
// per second. Each daemon has 40 new requests per second, so the load is twice the capacity.
const (
	faultDaemons = 4
	faultRoom    = 8
	faultWork    = 100 * time.Millisecond
	faultPeriod  = 25 * time.Millisecond
	faultWait    = 400 * time.Millisecond
)

// load has a daemon make requests until ctx ends.
func (d *testDaemon) load(ctx context.Context, requests *sync.WaitGroup) {
	for ctx.Err() == nil && !d.dead.Load() {
		requests.Go(func() { _, _ = d.run(ctx, faultWait, faultWork) })
		select {
		case <-ctx.Done():
		case <-time.After(faultPeriod):
		}
	}
}

// loadedFleet returns a contended fleet under load, and a function that ends the load.
func loadedFleet(t interface{ Context() context.Context }) (*testFleet, func()) {
	f := newFleet(t, faultDaemons, Engine{"e", faultRoom / 2}, Engine{"e2", faultRoom / 2})
	f.d(0).NoEngine(testService)
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	var requests sync.WaitGroup
	for i := range faultDaemons {
		requests.Go(func() { f.d(i).load(ctx, &requests) })
		time.Sleep(faultPeriod / faultDaemons)
	}
	time.Sleep(time.Second)
	return f, func() {
		cancel()
		requests.Wait()
		f.stop()
	}
}

// served returns the share of the capacity that is used during the given time.
func (f *testFleet) served(d time.Duration) float64 {
	f.mu.Lock()
	before := f.runs
	f.mu.Unlock()
	time.Sleep(d)
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.runs-before) / (d.Seconds() * faultRoom / faultWork.Seconds())
}

// TestCoordinatorFails guards against requests that stop, or overload the engines, when the
// coordinator does not answer, and against daemons that do not return to it.
func TestCoordinatorFails(t *testing.T) {
	refuse := func(_ context.Context, _, to string, _ *bronzeturnv1.SyncRequest) error {
		if to == "d0" {
			return errTestNetwork
		}
		return nil
	}
	for name, fault := range map[string]func(context.Context, string, string, *bronzeturnv1.SyncRequest) error{
		"refuses calls": refuse, "is frozen": freeze("d0"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, stop := loadedFleet(t)
				defer stop()
				c.Check(f.mostRunning() <= faultRoom, qt.IsTrue, qt.Commentf("%d run before the fault", f.mostRunning()))
				share := f.served(time.Second)
				c.Check(share > 0.9, qt.IsTrue, qt.Commentf("%.2f of the capacity before the fault", share))
				f.setFault(fault)
				share = f.served(heardIntervals * keepInterval(faultDaemons))
				c.Check(share > 0.6, qt.IsTrue, qt.Commentf("%.2f of the capacity while the fault is noticed", share))
				share = f.served(time.Second)
				c.Check(share > 0.9, qt.IsTrue, qt.Commentf("%.2f of the capacity during the fault", share))
				c.Check(f.mostRunning() <= faultRoom+faultDaemons, qt.IsTrue, qt.Commentf("%d run", f.mostRunning()))
				f.setFault(nil)
				time.Sleep(2 * answerTimeout)
				f.resetMost()
				share = f.served(time.Second)
				c.Check(share > 0.9, qt.IsTrue, qt.Commentf("%.2f of the capacity after the fault", share))
				c.Check(f.mostRunning() <= faultRoom, qt.IsTrue, qt.Commentf("%d run after the fault", f.mostRunning()))
				c.Check(f.lateBy <= waitGrace, qt.IsTrue, qt.Commentf("%v", f.lateBy))
			})
		})
	}
}

// TestCoordinatorIsReplaced guards against an overload of the engines or a standstill when
// another daemon becomes the coordinator, also while the daemons disagree on who it is.
func TestCoordinatorIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, stop := loadedFleet(t)
		defer stop()
		for turn := range 4 {
			old, next := fmt.Sprintf("d%d", turn%2), fmt.Sprintf("d%d", (turn+1)%2)
			f.setOwner(func(daemon string) string {
				if daemon == next {
					return next
				}
				return old
			})
			share := f.served(300 * time.Millisecond)
			c.Check(share > 0.5, qt.IsTrue, qt.Commentf("%.2f of the capacity while the daemons disagree", share))
			f.setOwner(func(string) string { return next })
			share = f.served(time.Second)
			c.Check(share > 0.85, qt.IsTrue, qt.Commentf("%.2f of the capacity after the change", share))
		}
		c.Check(f.mostRunning() <= faultRoom+faultDaemons, qt.IsTrue, qt.Commentf("%d run", f.mostRunning()))
	})
}

// TestCoordinatorDies guards against a standstill between the death of the coordinator and the
// time when the others have noticed it, and against grants of the successor beyond the capacity.
func TestCoordinatorDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, stop := loadedFleet(t)
		defer stop()
		f.d(0).kill()
		share := f.served(2 * time.Second)
		c.Check(share > 0.6, qt.IsTrue, qt.Commentf("%.2f of the capacity before the death is noticed", share))
		f.live.Store(faultDaemons - 1)
		f.setOwner(func(string) string { return "d1" })
		share = f.served(time.Second)
		c.Check(share > 0.9, qt.IsTrue, qt.Commentf("%.2f of the capacity with the successor", share))
		c.Check(f.mostRunning() <= faultRoom+faultDaemons, qt.IsTrue, qt.Commentf("%d run", f.mostRunning()))
	})
}

// TestPartition guards against more than twice the capacity in use while the fleet is divided
// into halves, a standstill of one of them, and an overload after the partition.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, stop := loadedFleet(t)
		defer stop()
		half := func(daemon string) bool { return daemon >= "d2" }
		f.setFault(func(ctx context.Context, from, to string, _ *bronzeturnv1.SyncRequest) error {
			if half(from) != half(to) {
				<-ctx.Done()
				return ctx.Err()
			}
			return nil
		})
		share := f.served(heardIntervals * keepInterval(faultDaemons))
		c.Check(share > 0.6, qt.IsTrue, qt.Commentf("%.2f of the capacity while calls are lost", share))
		share = f.served(time.Second)
		c.Check(share > 0.9, qt.IsTrue, qt.Commentf("%.2f of the capacity before the halves notice", share))
		c.Check(f.mostRunning() <= faultRoom+faultDaemons, qt.IsTrue, qt.Commentf("%d run before the halves notice", f.mostRunning()))
		f.setLive(func(string) int { return 2 })
		f.setOwner(func(daemon string) string {
			if half(daemon) {
				return "d2"
			}
			return "d0"
		})
		share = f.served(2 * time.Second)
		c.Check(share > 1.4, qt.IsTrue, qt.Commentf("%.2f of the capacity by both halves", share))
		c.Check(f.mostRunning() <= 2*faultRoom+faultDaemons, qt.IsTrue, qt.Commentf("%d run", f.mostRunning()))
		f.setFault(nil)
		f.setLive(nil)
		f.setOwner(func(string) string { return "d0" })
		time.Sleep(keepInterval(faultDaemons))
		f.resetMost()
		share = f.served(time.Second)
		c.Check(share > 0.9, qt.IsTrue, qt.Commentf("%.2f of the capacity after the partition", share))
		c.Check(f.mostRunning() <= faultRoom, qt.IsTrue, qt.Commentf("%d run after the partition", f.mostRunning()))
	})
}

// TestDaemonDiesWithGrants guards against slots that are counted as busy for ever after the
// death of the daemon that used them.
func TestDaemonDiesWithGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, stop := loadedFleet(t)
		defer stop()
		f.d(3).kill()
		share := f.served(heardIntervals * keepInterval(faultDaemons))
		c.Check(share > 0.6, qt.IsTrue, qt.Commentf("%.2f of the capacity before the daemon is given up", share))
		f.live.Store(faultDaemons - 1)
		share = f.served(time.Second)
		c.Check(share > 0.9, qt.IsTrue, qt.Commentf("%.2f of the capacity without the daemon", share))
		c.Check(f.mostRunning() <= faultRoom, qt.IsTrue, qt.Commentf("%d run", f.mostRunning()))
	})
}
