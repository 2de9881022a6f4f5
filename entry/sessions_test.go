package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/canary"
)

// TestSessionsOfEndedVersionsWaitUnderTheNextOrder guards against sessions that change their version
// when an order follows another one: their version has stopped, and all daemons have to know
// these sessions, including the daemons that served none of their requests.
func TestSessionsOfEndedVersionsWaitUnderTheNextOrder(t *testing.T) {
	next := order
	next.ID, next.Target = order.ID+1, "v3"
	for _, test := range []struct {
		name  string
		state canary.State
		waits map[string]bool // by the version that a session last ran on
	}{
		{"done", canary.Done, map[string]bool{"v1": true, "v2": false}},
		{"rolled back", canary.RolledBack, map[string]bool{"v1": false, "v2": true}},
		{"running", canary.Running, map[string]bool{"v1": false, "v2": false}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			engines := func() *introductions {
				return newTestIntroductions(engineOf("a", "v1"), engineOf("b", "v2"), engineOf("c", "v3"))
			}
			i, other := engines(), engines()
			sessions := map[string]uint64{"v1": 1, "v2": 2}
			ended := time.Now()
			for _, d := range []*introductions{i, other} {
				d.applyOrder(order, canary.Running, 8)
			}
			for version, session := range sessions {
				i.Ran("s", session, version, ended)
			}
			for _, d := range []*introductions{i, other} {
				d.applyOrder(order, test.state, 9)
			}
			// The other daemons learn of the sessions before the next order.
			if report := i.localReports()["s"]; report != nil {
				other.receiveFleetReport("s", report)
			}
			for _, d := range []*introductions{i, other} {
				for _, session := range sessions {
					c.Check(test.state != canary.Running && !d.Lapses("s", session, ended).IsZero(), qt.IsFalse, qt.Commentf("without a further order"))
				}
				d.applyOrder(next, canary.Pending, 10)
				for version, session := range sessions {
					c.Check(d.Lapses("s", session, ended).After(ended), qt.Equals, test.waits[version], qt.Commentf(version))
				}
			}
		})
	}
}

// TestStoppedSessionsAreReportedUntilTheyLapse guards against reports that continue after an order
// has ended and the sessions of the stopped version have lapsed.
func TestStoppedSessionsAreReportedUntilTheyLapse(t *testing.T) {
	c := qt.New(t)
	i := newTestIntroductions(engineOf("a", "v1"), engineOf("b", "v2"))
	i.applyOrder(order, canary.Running, 8)
	i.Ran("s", 1, "v1", time.Now())
	c.Check(i.localReports()["s"].GetStoppedSessions(), qt.HasLen, 0)
	i.applyOrder(order, canary.Done, 9)
	c.Check(i.localReports()["s"].GetStoppedSessions(), qt.HasLen, 1)
	i.byService["s"].ended = time.Now().Add(-i.daemon.Settings.Introductions.SessionLapse)
	c.Check(i.localReports(), qt.HasLen, 0)
}
