package e2e

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

const (
	// limitedLoad is how long the engines of a limitedFleet get requests once their limits are known.
	limitedLoad = 12 * time.Second
	// minLimitShare is the least share of the requests that the limits allow which must be served
	// while callers ask for more.
	minLimitShare = 0.5
)

// limitedFleet is a large fleet before a few engines that all state a request limit.
type limitedFleet struct {
	*entryFleet
	// limit is the number of requests per second that each engine accepts, perSecond the rate at
	// which callers arrive.
	limit, perSecond float64
}

// newLimitedFleet starts the fleet.
func newLimitedFleet(t *testing.T, daemons, engines int) *limitedFleet {
	f := &limitedFleet{entryFleet: newEntryFleet(t, daemons, engines, 0, defaultBounds), limit: 5, perSecond: 60}
	f.configureCallers()
	for _, e := range f.engines {
		e.SetFaults(emulator.EngineFaults{Limit: f.limit})
	}
	return f
}

// run sends the load and calls during, if not nil, once the limits are known. It checks that the
// engines get no more than they accept, and that callers get much of it.
func (f *limitedFleet) run(during func()) {
	daemons := make([]int, len(f.daemons))
	for i := range daemons {
		daemons[i] = i
	}
	stated := time.Now()
	known := stated.Add(limitKnownAfter)
	if during != nil {
		timer := time.AfterFunc(limitKnownAfter, during)
		defer timer.Stop()
	}
	load := f.runLoad(loadSpec{
		sources: []loadSource{{organisation: "org-1", perSecond: f.perSecond, daemons: daemons}},
		length:  limitKnownAfter + limitedLoad, deadline: callerDeadline,
	})
	served := 0
	for _, t := range load.tries {
		if end := t.asked.Add(t.took); t.status == http.StatusOK && end.After(known) && end.Before(known.Add(limitedLoad)) {
			served++
		}
	}
	allowed := int(limitOverage*f.limit*limitWindow.Seconds() + limitSlack)
	most := 0
	for _, e := range f.engines {
		n := emulator.MostWithin(f.arrivalsAt(e.Spec.ID, known), limitWindow)
		most = max(most, n)
		f.c.Check(n <= allowed, qt.IsTrue, qt.Commentf("%s got %d requests in %v, allowed %d", e.Spec.ID, n, limitWindow, allowed))
	}
	could := float64(len(f.engines)) * f.limit * limitedLoad.Seconds()
	f.c.Check(float64(served) >= minLimitShare*could, qt.IsTrue, qt.Commentf("%d requests were served, the limits allow %.0f", served, could))
	f.c.Logf("at most %d of %d requests in %v; %d of %.0f served", most, allowed, limitWindow, served, could)
}

// TestLargeFleetUsesTheRequestLimitsOfItsEngines guards against engines that are idle although
// callers ask for them, because a limit is divided among daemons of which few have a request at the
// time of their permit.
func TestLargeFleetUsesTheRequestLimitsOfItsEngines(t *testing.T) {
	newLimitedFleet(t, 65, 4).run(nil)
}

// TestRequestLimitsHoldWhileDaemonsAreKilled guards against engines that get more than they accept,
// or much less, when half of the daemons are killed together and start again.
func TestRequestLimitsHoldWhileDaemonsAreKilled(t *testing.T) {
	f := newLimitedFleet(t, 65, 4)
	f.run(func() {
		for i := 0; i < len(f.daemons); i += 2 {
			_ = f.running[i].cmd.Process.Kill()
		}
		time.Sleep(2 * time.Second)
		for i := 0; i < len(f.daemons); i += 2 {
			<-f.running[i].ended
			f.running[i] = f.startDaemon(i)
		}
	})
}
