package entry

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/canary"
	"github.com/bronzeturn/bronzeturn/follow"
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

// lateNews is a store in which an order has been written of which no watch tells yet.
type lateNews struct{ reads int }

// List implements follow.Source.
func (s *lateNews) List(context.Context, string, follow.ListOptions) (*follow.Page, error) {
	return &follow.Page{Revision: 9}, nil
}

// Watch implements follow.Source.
func (s *lateNews) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) (*follow.Changes, error) {
	if wait > 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s.reads++
	return &follow.Changes{Revision: 10, Changed: []follow.Item{{Name: "s", Revision: 10}}}, nil
}

// soleDaemon is a fleet of one daemon, which watches the store.
type soleDaemon struct{ follow.Peers }

func (soleDaemon) Watching() bool { return true }
func (soleDaemon) Live() int      { return 1 }

// TestOrdersAreConfirmedBeforeASessionLeavesItsVersion guards against sessions of a stopped version
// that change to the version in between after the next order was written, because their daemon does
// not know of it yet. Other sessions cost the store nothing.
func TestOrdersAreConfirmedBeforeASessionLeavesItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		next := order
		next.ID, next.Target = order.ID+1, "v3"
		i, store := newTestIntroductions(engineOf("a", "v1"), engineOf("b", "v2"), engineOf("c", "v3")), &lateNews{}
		orders := follow.New(follow.Options{
			Source: store, Peers: soleDaemon{}, Announce: func(uint64) {}, OnWatchFailure: func() {},
			Random: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(),
			Apply: func(u follow.Update) {
				if u.Snapshot.Len() > 0 {
					i.applyOrder(next, canary.Pending, 10)
				}
			},
		})
		i.daemon.copies = &copies{orders: orders}
		go func() { _ = orders.Run(ctx) }() // Ends with ctx.
		i.applyOrder(order, canary.Running, 8)
		i.Ran("s", 1, "v1", time.Now())
		i.Ran("s", 2, "v2", time.Now())
		i.ConfirmOrders(ctx, "s", 1, time.Now())
		i.applyOrder(order, canary.Done, 9)
		synctest.Wait()
		for _, session := range []uint64{2, 3} {
			i.ConfirmOrders(ctx, "s", session, time.Now())
		}
		c.Check(store.reads, qt.Equals, 0)
		c.Check(i.Lapses("s", 1, time.Now()).IsZero(), qt.IsTrue)
		i.ConfirmOrders(ctx, "s", 1, time.Now())
		c.Check(i.Lapses("s", 1, time.Now()).After(time.Now()), qt.IsTrue)
		i.ConfirmOrders(ctx, "s", 1, time.Now())
		c.Check(store.reads, qt.Equals, 1)
	})
}
