package e2e

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// TestRequestLimitOutlivesTheEntryOfItsEngine guards against a limit that every daemon forgets while
// the entry of its engine is missing in the store, and learns anew by sending more than it allows.
func TestRequestLimitOutlivesTheEntryOfItsEngine(t *testing.T) {
	const (
		limit    = 2.0
		daemons  = 32
		absences = 3
		// absentFor is how long an entry is missing, presentFor the time between two absences.
		absentFor  = 1500 * time.Millisecond
		presentFor = 2500 * time.Millisecond
	)
	f := newEntryFleet(t, daemons, 2, 2, defaultBounds)
	limited := []*emulator.Engine{f.engines[0], f.engines[2]}
	for _, e := range limited {
		e.SetFaults(emulator.EngineFaults{Limit: limit})
	}
	stated := time.Now()
	end := stated.Add(limitKnownAfter + absences*(absentFor+presentFor) + limitWindow)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.sendUntil(end, 2*daemons)
	}()
	time.Sleep(time.Until(stated.Add(limitKnownAfter)))
	for range absences {
		for _, e := range limited {
			e.Deregister()
		}
		time.Sleep(absentFor)
		for _, e := range limited {
			f.c.Check(e.Register("ready"), qt.IsNil)
		}
		time.Sleep(presentFor)
	}
	<-ended
	for _, e := range limited {
		most := emulator.MostWithin(f.arrivalsAt(e.Spec.ID, stated.Add(limitKnownAfter)), limitWindow)
		allowed := int(limitOverage*limit*limitWindow.Seconds() + limitSlack)
		f.c.Check(most <= allowed, qt.IsTrue, qt.Commentf("%s got %d requests in %v, allowed %d", e.Spec.ID, most, limitWindow, allowed))
	}
}
