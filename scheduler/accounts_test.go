package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Organisations and ranks that come once must not fill the memory, and those that wait must not
// be forgotten.
func TestIdleAccountsAreRemoved(t *testing.T) {
	c := qt.New(t)
	s, err := New(Options{})
	c.Assert(err, qt.IsNil)
	now := time.Unix(1000, 0)
	s.SetEngines(now, []Engine{{Hash: 1, Slots: 4}})
	kept := ID{Daemon: "d", Number: 1 << 40}
	for n := range uint64(40_000) {
		now = now.Add(20 * time.Millisecond)
		id := ID{Daemon: "d", Number: n}
		s.Offer(now, Request{ID: id, Organisation: fmt.Sprint(n), Rank: int(n % 5000)})
		if g, ok := s.Next(now); ok && g.ID == id {
			s.Started(id, g.Engine)
			s.Ended(now, "d", Finished{Engine: g.Engine, Outcome: Canceled})
		}
		if n == 0 {
			s.Full(now, 1)
			s.Offer(now, Request{ID: kept, Organisation: "kept", Rank: -1, StartBy: now.Add(maxWait)})
		}
	}
	c.Check(s.queue.total <= 2*minAccountLimit, qt.IsTrue, qt.Commentf("%d accounts", s.queue.total))
	c.Check(len(s.queue.orgs) <= 2*minAccountLimit, qt.IsTrue)
	c.Check(len(s.queue.ranks) <= 5001, qt.IsTrue)
	c.Check(len(s.queue.recent) < 100, qt.IsTrue, qt.Commentf("%d ranks", len(s.queue.recent)))
	c.Check(s.granted(kept), qt.IsTrue)
}
