package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// orderState returns the state of the order for the service llm.
func (f *entryFleet) orderState() string {
	o, _ := f.store.Get("rollouts", "llm")
	var status struct{ State, Target string }
	_ = json.Unmarshal(o.Status, &status) // No status yet.
	return status.State + " " + status.Target
}

// TestSessionKeepsItsVersionWhenAnOrderFollowsAnother guards against a session that changes its version
// because its last request began under the previous order and outlasted it: when the next order
// came, no daemon remembered that the session was in progress, and other daemons learned only after
// the end of the request that its version has stopped. Such a session is refused until it lapses.
func TestSessionKeepsItsVersionWhenAnOrderFollowsAnother(t *testing.T) {
	const sessions = 120
	c := qt.New(t)
	f := newEntryFleet(t, 2, 2, 0, defaultBounds)
	start := func(version string) {
		for i := range 3 {
			f.startEngine(t, emulator.EngineSpec{
				ID: fmt.Sprintf("%s-%d", version, i), Service: "llm", Zone: zoneOf(i), Version: version, Slots: 128, Events: 20, EventGap: 200 * time.Millisecond,
			})
		}
	}
	order := func(version string, duration time.Duration) {
		_, err := f.store.Put("rollouts", "llm", emulator.OrderDoc{Service: "llm", Target: version, DurationS: duration.Seconds()})
		c.Assert(err, qt.IsNil)
	}
	start("v1")
	f.eventually("v1 serves", func() bool { return f.postStream(0).status == http.StatusOK })
	start("v2")
	order("v2", 6*time.Second)
	time.Sleep(4500 * time.Millisecond)

	// Each session has one request that outlasts the order, and a second one at the other daemon.
	var all sync.WaitGroup
	var mu sync.Mutex
	versions := make(map[string][]string)
	for n := range sessions {
		all.Go(func() {
			session := fmt.Sprintf("session-%d", n)
			for daemon := range f.daemons {
				r := f.send(daemon, http.MethodPost, "/stream/x", emulator.TokensHeader, "100,100", "Session", session)
				runs := f.record.Runs(r.id)
				if len(runs) == 0 {
					return // Refused, because the version of its session has stopped.
				}
				mu.Lock()
				versions[session] = append(versions[session], strings.Split(runs[len(runs)-1].Engine, "-")[0])
				mu.Unlock()
				time.Sleep(20 * time.Millisecond) // Less than the time for a report to the other daemons.
			}
		})
	}
	f.eventually("first order done", func() bool { return f.orderState() == "done v2" })
	start("v3")
	order("v3", 14*time.Second)
	all.Wait()

	stayed, refused := 0, 0
	changed := make(map[string]int)
	for _, ran := range versions {
		switch {
		case len(ran) < len(f.daemons):
			refused++
		case ran[0] == ran[1]:
			stayed++
		default:
			changed[ran[0]+" to "+ran[1]]++
		}
	}
	t.Logf("%d sessions stayed on their version, %d refused, changed %v", stayed, refused, changed)
	c.Check(f.orderState(), qt.Equals, "running v3")
	c.Check(stayed > 0 && refused > 0, qt.IsTrue)
	c.Check(changed, qt.HasLen, 0)
}
