package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUnevenLoadWhenCoordinatorFails guards against runs beyond the bound when one daemon uses
// all of the capacity for long requests, the coordinator fails or is replaced, and the other
// daemons get requests at that time.
func TestUnevenLoadWhenCoordinatorFails(t *testing.T) {
	other := func(daemon string) string {
		if daemon == "d2" {
			return "d2"
		}
		return "d0"
	}
	for name, fault := range map[string]func(f *testFleet){
		"frozen":               func(f *testFleet) { f.setFault(freeze("d0")) },
		"replaced":             func(f *testFleet) { f.setOwner(func(string) string { return "d2" }) },
		"replaced, not by all": func(f *testFleet) { f.setOwner(other) },
		"not known":            func(f *testFleet) { f.setOwner(func(string) string { return "" }) },
	} {
		for _, work := range []time.Duration{faultWork, 10 * faultWork} {
			t.Run(name+", "+work.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testUnevenLoad(t, fault, work) })
			})
		}
	}
}

func testUnevenLoad(t *testing.T, fault func(*testFleet), work time.Duration) {
	c := qt.New(t)
	f := newFleet(t, faultDaemons, Engine{"e", faultRoom / 2}, Engine{"e2", faultRoom / 2})
	defer f.stop()
	f.d(0).NoEngine(testService)
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	var requests sync.WaitGroup
	load := func(i int) {
		for ctx.Err() == nil {
			requests.Go(func() { _, _ = f.d(i).run(ctx, faultWait, work) })
			time.Sleep(faultPeriod / 2)
		}
	}
	requests.Go(func() { load(1) })
	time.Sleep(work + work/2)
	fault(f)
	for _, i := range []int{0, 2, 3} {
		requests.Go(func() { load(i) })
	}
	time.Sleep(heardIntervals*keepInterval(faultDaemons) + work)
	c.Check(f.mostRunning() <= faultRoom+faultDaemons, qt.IsTrue, qt.Commentf("%d run", f.mostRunning()))
	// In a time of few runs, one run more or less of each slot would decide on the result.
	share := f.served(max(time.Second, 5*work)) * float64(work) / float64(faultWork)
	c.Check(share > 0.9, qt.IsTrue, qt.Commentf("%.2f of the capacity", share))
	t.Logf("%d run, %.2f of the capacity", f.mostRunning(), share)
	cancel()
	requests.Wait()
}
