package e2e

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

const (
	// limitKnownAfter is the time after which daemons must keep a limit that an engine states
	// in its answers, limitWindow the window in which the requests to it are counted.
	limitKnownAfter = 3 * time.Second
	limitWindow     = 4 * time.Second
	// limitOverage and limitSlack bound the requests in a window: limitOverage times what the
	// limit allows, plus limitSlack.
	limitOverage = 1.5
	limitSlack   = 5
)

// arrivalsAt returns the times at which requests arrived at an engine since the given time.
func (f *entryFleet) arrivalsAt(engine string, since time.Time) (times []time.Time) {
	for _, a := range f.record.Arrivals(func(a emulator.Arrival) bool { return a.Engine == engine && !a.At.Before(since) }) {
		times = append(times, a.At)
	}
	return times
}

// sendUntil has callers send streams and unary requests to all daemons until the given time.
func (f *entryFleet) sendUntil(end time.Time, callers int) {
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			for time.Now().Before(end) {
				if i%2 == 0 {
					f.postStream(i % len(f.daemons))
				} else {
					f.send(i%len(f.daemons), http.MethodPost, "/once/x")
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	all.Wait()
}

// TestFleetKeepsTheRequestLimitOfAnEngine guards against sending an engine more requests than the
// limit in its answers allows all daemons together.
func TestFleetKeepsTheRequestLimitOfAnEngine(t *testing.T) {
	const limit = 2.0
	f := newEntryFleet(t, 6, 3, 3, defaultBounds)
	limited := []*emulator.Engine{f.engines[0], f.engines[3]}
	for _, e := range limited {
		e.SetFaults(emulator.EngineFaults{Limit: limit})
	}
	stated := time.Now()
	f.sendUntil(stated.Add(limitKnownAfter+2*limitWindow), 24)
	for _, e := range limited {
		times := f.arrivalsAt(e.Spec.ID, stated.Add(limitKnownAfter))
		most := emulator.MostWithin(times, limitWindow)
		allowed := int(limitOverage*limit*limitWindow.Seconds() + limitSlack)
		f.c.Check(most <= allowed, qt.IsTrue, qt.Commentf("%s got %d requests in %v, allowed %d", e.Spec.ID, most, limitWindow, allowed))
		f.c.Check(len(times) > 0, qt.IsTrue, qt.Commentf("%s got no requests", e.Spec.ID))
		e.SetFaults(emulator.EngineFaults{})
	}
	ended := time.Now()
	f.sendUntil(ended.Add(limitKnownAfter+limitWindow), 24)
	for _, e := range limited {
		times := f.arrivalsAt(e.Spec.ID, ended.Add(limitKnownAfter))
		allowed := int(limitOverage * limit * limitWindow.Seconds())
		f.c.Check(len(times) > allowed, qt.IsTrue, qt.Commentf("%s got %d requests after the end of its limit", e.Spec.ID, len(times)))
	}
}

// TestDaemonsShareRequestLimits guards against a daemon that gets few permits of an engine and
// keeps to its limit long after it has ended: news of the limit and of its end come from the
// daemon that got an answer.
func TestDaemonsShareRequestLimits(t *testing.T) {
	f := newEntryFleet(t, 2, 1, 1, defaultBounds)
	logs := func(daemon int, text string) {
		f.running[daemon].waitLine(f.c, text, func(line string) bool {
			return strings.Contains(line, text) && strings.Contains(line, "desk-0")
		})
	}
	f.engines[0].SetFaults(emulator.EngineFaults{Limit: 20})
	f.c.Check(f.send(0, http.MethodPost, "/once/x").status, qt.Equals, http.StatusOK)
	logs(1, "engine states a request limit")
	f.engines[0].SetFaults(emulator.EngineFaults{})
	f.eventually("a request allowed by the limit", func() bool {
		return f.send(0, http.MethodPost, "/once/x").status == http.StatusOK
	})
	logs(1, "engine states no request limit any more")
	f.c.Check(f.record.Runs("")[0].Engine, qt.Equals, "desk-0")
}
