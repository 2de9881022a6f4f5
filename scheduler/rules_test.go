package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

// rules is a Scheduler with one clock, for tests of single rules.
type rules struct {
	*qt.C
	s      *scheduler.Scheduler
	now    time.Time
	number uint64
}

func newRules(t *testing.T, o scheduler.Options, slots ...int) *rules {
	c := qt.New(t)
	s, err := scheduler.New(o)
	c.Assert(err, qt.IsNil)
	r := &rules{C: c, s: s, now: start}
	r.engines(slots...)
	return r
}

func (r *rules) engines(slots ...int) {
	var list []scheduler.Engine
	for i, n := range slots {
		list = append(list, scheduler.Engine{Hash: uint32(i + 1), Slots: n})
	}
	r.s.SetEngines(r.now, list)
}

// offer offers a request that may wait for 200 ms, changed by the functions.
func (r *rules) offer(org string, change ...func(*scheduler.Request)) (scheduler.ID, scheduler.Refusal, bool) {
	r.number++
	q := scheduler.Request{
		ID: scheduler.ID{Daemon: "d", Number: r.number}, Organisation: org, Work: 100 * ms, Class: scheduler.First,
		Arrived: r.now, StartBy: r.now.Add(200 * ms), Deadline: r.now.Add(patient),
	}
	for _, f := range change {
		f(&q)
	}
	refusal, no := r.s.Offer(r.now, q)
	return q.ID, refusal, no
}

func (r *rules) grants() []scheduler.Grant {
	var list []scheduler.Grant
	for g, ok := r.s.Next(r.now); ok; g, ok = r.s.Next(r.now) {
		list = append(list, g)
	}
	return list
}

// fill makes an organisation use all places.
func (r *rules) fill(org string) []scheduler.Grant {
	var all []scheduler.Grant
	for range 1000 {
		r.offer(org)
		g := r.grants()
		if len(g) == 0 {
			return all
		}
		all = append(all, g...)
	}
	return all
}

func (r *rules) end(g scheduler.Grant, o scheduler.Outcome) {
	r.s.Started(g.ID, g.Engine)
	r.s.Ended(r.now, g.ID.Daemon, scheduler.Finished{Engine: g.Engine, Duration: 100 * ms, Work: 100 * ms, Outcome: o})
}

func (r *rules) pass(d time.Duration) { r.now = r.now.Add(d) }

func key(k uint64) func(*scheduler.Request) { return func(q *scheduler.Request) { q.Key = k } }
func excluded(h ...uint32) func(*scheduler.Request) {
	return func(q *scheduler.Request) { q.Excluded = h }
}

// A slot must not idle while a grant travels, and engines must not get long queues.
func TestRoomCoversTurnaround(t *testing.T) {
	r := newRules(t, scheduler.Options{}, 4, 4)
	r.Check(r.s.Status(r.now).Room, qt.Equals, 10)
	r.s.SetShare(0.5)
	r.Check(r.s.Status(r.now).Room, qt.Equals, 5)
	r.s.SetShare(0)
	r.Check(r.s.Status(r.now).Room, qt.Equals, 1)
	r.s.SetShare(0.31)
	r.Check(r.fill("x"), qt.HasLen, 4)
}

// A daemon whose message does not include a grant yet must not make the engine look free.
func TestGrantCountsUntilReported(t *testing.T) {
	r := newRules(t, scheduler.Options{}, 4)
	g := r.fill("x")
	r.Assert(g, qt.HasLen, 5)
	r.s.SetRunning("d", map[uint32]int{1: 2}, g[1].Serial)
	r.Check(r.s.Status(r.now).Running, qt.Equals, 5)
	r.s.SetRunning("d", map[uint32]int{1: 2}, g[4].Serial)
	r.Check(r.s.Status(r.now).Running, qt.Equals, 2)
	r.s.SetRunning("e", map[uint32]int{1: 900}, 0)
	r.Check(r.s.Status(r.now).Running, qt.Equals, 5)
	r.s.RemoveDaemon("e")
	r.Check(r.s.Status(r.now).Running, qt.Equals, 2)
}

// A request whose grant was lost must neither lose its place nor be charged twice.
func TestRequeueKeepsPosition(t *testing.T) {
	r := newRules(t, scheduler.Options{Turnaround: time.Nanosecond}, 1)
	running := r.fill("z")
	first, _, _ := r.offer("x")
	r.pass(ms)
	r.offer("y")
	second, _, _ := r.offer("x")
	r.s.Withdraw(scheduler.ID{Daemon: "d", Number: 3}) // the request of z that found no place
	r.end(running[0], scheduler.Answered)
	if len(running) > 1 {
		r.end(running[1], scheduler.Answered)
	}
	g := r.grants()
	r.Assert(g[0].ID, qt.Equals, first)
	for _, x := range g {
		r.Check(r.s.Requeue(r.now, x.ID), qt.IsTrue)
	}
	r.Check(r.s.Requeue(r.now, first), qt.IsFalse)
	again := r.grants()
	r.Check(again[0].ID, qt.Equals, first)
	r.Check(again, qt.HasLen, len(g))
	r.Check(second.Number > first.Number, qt.IsTrue)
	for _, u := range r.s.Status(r.now).Usage {
		if u.Organisation == "x" {
			r.Check(u.Granted, qt.Equals, uint64(1))
		}
	}
}

// Requests without any engine must be refused at once, also when the engines leave later.
func TestRefusesWithoutEngine(t *testing.T) {
	r := newRules(t, scheduler.Options{}, 1, 1)
	_, refusal, no := r.offer("x", excluded(2, 1, 1))
	r.Check(no, qt.IsTrue)
	r.Check(refusal.Cause, qt.Equals, scheduler.CauseNoEngine)
	r.fill("x")
	id, _, no := r.offer("y", excluded(1))
	r.Assert(no, qt.IsFalse)
	r.engines(1)
	r.pass(20 * ms)
	var causes []scheduler.Cause
	for _, refusal := range r.s.Refusals(r.now) {
		if refusal.ID == id {
			causes = append(causes, refusal.Cause)
		}
	}
	r.Check(causes, qt.DeepEquals, []scheduler.Cause{scheduler.CauseNoEngine})
}

// An engine that refuses or fails must get no requests for a while, and then again.
func TestExclusionOfEngines(t *testing.T) {
	r := newRules(t, scheduler.Options{}, 4)
	r.s.Full(r.now, 1)
	r.offer("x")
	r.Check(r.grants(), qt.HasLen, 0)
	r.Check(r.s.Wake(r.now), qt.Equals, r.now) // review
	r.s.Refusals(r.now)
	r.Check(r.s.Wake(r.now), qt.Equals, r.now.Add(50*ms)) // end of the exclusion
	r.pass(50 * ms)
	g := r.grants()
	r.Assert(g, qt.HasLen, 1)
	r.end(g[0], scheduler.Failed)
	for range 2 {
		r.offer("x")
		g = r.grants()
		r.Assert(g, qt.HasLen, 1)
		r.end(g[0], scheduler.Failed)
	}
	r.offer("x")
	r.Check(r.grants(), qt.HasLen, 0)
}

// A request that was sent to the only free engine must not block others, and must start as
// soon as another engine is free.
func TestExcludedEngineBlocksNobodyElse(t *testing.T) {
	r := newRules(t, scheduler.Options{Turnaround: time.Nanosecond}, 1, 1)
	var busy scheduler.Grant
	for _, g := range r.fill("x") {
		if g.Engine == 1 {
			r.end(g, scheduler.Answered)
		} else {
			busy = g
		}
	}
	r.grants()
	urgent, _, no := r.offer("y", excluded(1), func(q *scheduler.Request) { q.Rank = -1 })
	r.Assert(no, qt.IsFalse)
	r.offer("z")
	for _, g := range r.grants() {
		r.Check(g.ID, qt.Not(qt.Equals), urgent)
	}
	r.end(busy, scheduler.Answered)
	g := r.grants()
	r.Assert(len(g) > 0, qt.IsTrue)
	r.Check(g[0].ID, qt.Equals, urgent)
	r.Check(g[0].Engine, qt.Equals, uint32(2))
}

// With a full queue, the organisation with the most waiting requests must make room, not the
// one that arrives.
func TestFullQueueRemovesFromLargest(t *testing.T) {
	r := newRules(t, scheduler.Options{MaxWaiting: 10}, 4)
	r.fill("large")
	long := func(q *scheduler.Request) { q.StartBy = r.now.Add(time.Minute) }
	var last scheduler.ID
	for r.s.Status(r.now).Waiting < 10 {
		last, _, _ = r.offer("large", long)
	}
	_, _, no := r.offer("small", long)
	r.Check(no, qt.IsFalse)
	list := r.s.Refusals(r.now)
	r.Assert(list, qt.HasLen, 1)
	r.Check(list[0].ID, qt.Equals, last)
	r.Check(list[0].Cause, qt.Equals, scheduler.CauseQueueFull)
	_, refusal, no := r.offer("large", long)
	r.Check(no, qt.IsTrue)
	r.Check(refusal.Cause, qt.Equals, scheduler.CauseQueueFull)
}
