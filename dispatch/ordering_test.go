package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

// ordered returns a Scheduler of package scheduler with one engine of one slot. The allowance
// for the turnaround adds a second place.
func ordered(c *qt.C, now time.Time) Scheduler {
	create, err := NewScheduler(scheduler.Options{})
	c.Assert(err, qt.IsNil)
	s := create()
	s.SetEngines(now, []scheduler.Engine{{Hash: 7, Slots: 1}})
	return s
}

func offerOf(number uint64, now time.Time) scheduler.Request {
	return scheduler.Request{
		ID: scheduler.ID{Daemon: "a", Number: number}, Organisation: "o", Work: 100 * time.Millisecond, Class: scheduler.First,
		Arrived: now, StartBy: now.Add(time.Second), Deadline: now.Add(3 * time.Second),
	}
}

// grants returns the numbers of all grants at a time.
func grants(s Scheduler, now time.Time) (numbers []uint64) {
	for {
		g, ok := s.Next(now)
		if !ok {
			return numbers
		}
		numbers = append(numbers, g.ID.Number)
	}
}

// TestGrantIsRequeued guards against requests that wait for ever, and against capacity that stays
// in use, because a grant was not sent.
func TestGrantIsRequeued(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := ordered(c, now)
	s.Offer(now, offerOf(1, now))
	c.Assert(grants(s, now), qt.DeepEquals, []uint64{1})
	s.SetRunning(now, "a", nil)
	c.Check(s.Status(now).Running, qt.Equals, 1, qt.Commentf("the counts of a daemon do not contain its grants"))
	s.Requeue(now, scheduler.ID{Daemon: "a", Number: 1})
	c.Check(s.Status(now).Running, qt.Equals, 0)
	c.Check(s.Status(now).Waiting, qt.Equals, 1)
	c.Check(grants(s, now), qt.DeepEquals, []uint64{1})
	s.Requeue(now, scheduler.ID{Daemon: "a", Number: 9})
	c.Check(s.Status(now).Running, qt.Equals, 1, qt.Commentf("an unknown grant changes nothing"))
}

// TestGrantsAreCountedOnce guards against capacity that stays idle or is used twice, because a
// grant counts in addition to the running request that it has become.
func TestGrantsAreCountedOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := ordered(c, now)
	room := s.Status(now).Room
	for n := range uint64(room + 3) {
		s.Offer(now, offerOf(n+1, now))
	}
	granted := grants(s, now)
	c.Check(granted, qt.HasLen, room)
	for _, number := range granted {
		s.Returned(now, scheduler.ID{Daemon: "a", Number: number})
	}
	s.SetRunning(now, "a", map[uint32]int{7: room})
	c.Check(s.Status(now).Running, qt.Equals, room)
	c.Check(grants(s, now), qt.HasLen, 0)
	s.Ended(now, scheduler.Finished{Engine: 7, Duration: 100 * time.Millisecond, Work: 100 * time.Millisecond, Outcome: scheduler.Answered})
	c.Check(s.Status(now).Running, qt.Equals, room, qt.Commentf("the running counts alone tell what runs"))
	s.SetRunning(now, "a", map[uint32]int{7: room - 1})
	c.Check(grants(s, now), qt.HasLen, 1)
	s.RemoveDaemon(now, "a")
	c.Check(s.Status(now).Running, qt.Equals, 0)
	c.Check(s.Status(now).Waiting, qt.Equals, 0)
}

// TestRefusalOfAnOfferIsReturned guards against requests that wait although they were refused
// when they were offered.
func TestRefusalOfAnOfferIsReturned(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := ordered(c, now)
	r := offerOf(1, now)
	r.StartBy = now.Add(-time.Millisecond)
	s.Offer(now, r)
	c.Check(s.Wake(now), qt.Equals, now)
	refused := s.Refusals(now)
	c.Assert(refused, qt.HasLen, 1)
	c.Check(refused[0].Cause, qt.Equals, scheduler.CauseBacklog)
	c.Check(refused[0].RetryAfter > 0, qt.IsTrue)
	c.Check(s.Refusals(now), qt.HasLen, 0)
}
