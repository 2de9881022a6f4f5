package e2e

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// drainTime is the time after which an engine that has stated in an answer that it leaves must get
// no more requests.
const drainTime = 2 * time.Second

// TestEngineThatLeavesGetsNoRequestsInAStoreOutage guards against requests to an engine that has
// stated in its answers that it leaves, while the store does not tell so.
func TestEngineThatLeavesGetsNoRequestsInAStoreOutage(t *testing.T) {
	f := newEntryFleet(t, 3, 3, 3, defaultBounds)
	f.store.SetFaults(emulator.StoreFaults{Refuse: true})
	leaving := []*emulator.Engine{f.engines[0], f.engines[3]}
	for _, e := range leaving {
		e.SetFaults(emulator.EngineFaults{Leaving: true})
	}
	stated := time.Now()
	f.sendUntil(stated.Add(2*drainTime), 12)
	for _, e := range leaving {
		f.c.Check(len(f.arrivalsAt(e.Spec.ID, stated)) > 0, qt.IsTrue)
		late := len(f.arrivalsAt(e.Spec.ID, stated.Add(drainTime+time.Second)))
		f.c.Check(late, qt.Equals, 0, qt.Commentf("%s got requests long after it had stated that it leaves", e.Spec.ID))
	}

	// The store answers again and tells of a changed registration that still says ready.
	f.store.SetFaults(emulator.StoreFaults{})
	leaving[0].Spec.Slots++
	f.c.Assert(leaving[0].Register("ready"), qt.IsNil)
	f.startEngine(t, emulator.EngineSpec{ID: "desk-later", Service: "desk", Zone: zoneOf(0), Version: "v1", Slots: 6})
	f.eventually("an engine registered later is used", func() bool {
		for i := range f.daemons {
			f.send(i, http.MethodPost, "/once/x")
		}
		return len(f.arrivalsAt("desk-later", stated)) > 0
	})
	again := time.Now()
	f.sendUntil(again.Add(drainTime), 12)
	f.c.Check(len(f.arrivalsAt(leaving[0].Spec.ID, again)), qt.Equals, 0, qt.Commentf("a registration that still says ready does not count"))
}
