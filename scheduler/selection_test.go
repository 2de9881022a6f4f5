package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

// teach lets engine 1 take the given time for requests of 100 ms, and engine 2 100 ms.
func (r *rules) teach(first time.Duration) {
	for range 50 {
		r.s.Ended(r.now, "d", scheduler.Finished{Engine: 1, Duration: first, Work: 100 * ms, Outcome: scheduler.Answered})
		r.s.Ended(r.now, "d", scheduler.Finished{Engine: 2, Duration: 100 * ms, Work: 100 * ms, Outcome: scheduler.Answered})
	}
}

// engineOf grants a request of a work and returns the engine.
func (r *rules) engineOf(work time.Duration) uint32 {
	r.offer("x", func(q *scheduler.Request) { q.Work = work })
	g := r.grants()
	r.Assert(g, qt.HasLen, 1)
	return g[0].Engine
}

// A slow engine must not get requests while a fast one is idle, and a new start of it must be
// judged by its own runs.
func TestFasterEngineIsPreferred(t *testing.T) {
	for _, first := range []time.Duration{50 * ms, 250 * ms} {
		r := newRules(t, scheduler.Options{}, 4, 4)
		r.teach(first)
		want := uint32(1)
		if first > 100*ms {
			want = 2
		}
		r.Check(r.engineOf(100*ms), qt.Equals, want)
		r.Check(r.engineOf(100*ms), qt.Equals, want)
	}
	r := newRules(t, scheduler.Options{}, 4, 4)
	r.teach(250 * ms)
	r.s.SetEngines(r.now, []scheduler.Engine{{Hash: 2, Slots: 4}})
	r.s.SetEngines(r.now, []scheduler.Engine{{Hash: 3, Slots: 4}, {Hash: 1, Slots: 4}})
	for range 50 {
		r.s.Ended(r.now, "d", scheduler.Finished{Engine: 3, Duration: 300 * ms, Work: 100 * ms, Outcome: scheduler.Answered})
		r.s.Ended(r.now, "d", scheduler.Finished{Engine: 1, Duration: 50 * ms, Work: 100 * ms, Outcome: scheduler.Answered})
	}
	r.Check(r.engineOf(100*ms), qt.Equals, uint32(1))
}

// A long request must go to a fast engine with a short queue rather than to a slow idle one.
func TestLongRequestWaitsForFasterEngine(t *testing.T) {
	r := newRules(t, scheduler.Options{}, 4, 4)
	r.teach(85 * ms)
	r.s.SetRunning("e", map[uint32]int{1: 4}, 0)
	r.Check(r.engineOf(100*ms), qt.Equals, uint32(2))
	r.Check(r.engineOf(2*time.Second), qt.Equals, uint32(1))
}

// An engine that gets the larger requests must not be taken for a slow one.
func TestPaceIsRelativeToWork(t *testing.T) {
	r := newRules(t, scheduler.Options{}, 4, 4)
	for range 50 {
		r.s.Ended(r.now, "d", scheduler.Finished{Engine: 1, Duration: 900 * ms, Work: time.Second, Outcome: scheduler.Answered})
		r.s.Ended(r.now, "d", scheduler.Finished{Engine: 2, Duration: 100 * ms, Work: 100 * ms, Outcome: scheduler.Answered})
	}
	r.Check(r.engineOf(100*ms), qt.Equals, uint32(1))
}

// The order must hold from the first request to the last: an organisation that was idle has no
// claim on the past.
func TestIdleTimeGivesNoCredit(t *testing.T) {
	r := newRules(t, scheduler.Options{Turnaround: time.Nanosecond}, 1)
	r.offer("idle")
	for range 100 {
		for _, g := range r.grants() {
			r.end(g, scheduler.Canceled)
		}
		r.offer("busy")
	}
	for _, g := range r.grants() {
		r.end(g, scheduler.Canceled)
	}
	r.Check(r.alternates("busy", "idle"), qt.IsTrue)
}

// alternates queues ten requests of each organisation and reports whether the first ten grants
// are shared equally, to within two.
func (r *rules) alternates(a, b string) bool {
	running := r.fill("z")
	r.s.Withdraw(scheduler.ID{Daemon: "d", Number: r.number})
	of := map[scheduler.ID]string{}
	for range 10 {
		for _, org := range []string{a, b} {
			id, _, _ := r.offer(org, func(q *scheduler.Request) { q.StartBy = r.now.Add(time.Minute) })
			of[id] = org
		}
	}
	count := map[string]int{}
	for count[a]+count[b] < 10 {
		for _, g := range running {
			r.end(g, scheduler.Canceled)
		}
		running = r.grants()
		for _, g := range running {
			count[of[g.ID]]++
		}
	}
	diff := count[a] - count[b]
	return diff >= -2 && diff <= 2
}

// A request whose grant is lost over and over must stay before those of others, and must not be
// charged each time.
func TestRequeueIsNotCharged(t *testing.T) {
	r := newRules(t, scheduler.Options{Turnaround: time.Nanosecond}, 1)
	long := func(q *scheduler.Request) { q.StartBy = r.now.Add(time.Minute) }
	running := r.fill("z")
	r.s.Withdraw(scheduler.ID{Daemon: "d", Number: r.number})
	first, _, _ := r.offer("x", long)
	r.offer("y", long)
	r.end(running[0], scheduler.Canceled)
	for range 20 {
		g := r.grants()
		r.Assert(g, qt.HasLen, 1)
		r.Assert(g[0].ID, qt.Equals, first)
		r.s.Requeue(r.now, first)
	}
}

// step ends the oldest of the running requests and returns the grant that follows.
func (r *rules) step(running *[]scheduler.Grant) scheduler.ID {
	r.end((*running)[0], scheduler.Canceled)
	g := r.grants()
	r.Assert(g, qt.HasLen, 1)
	*running = append((*running)[1:], g[0])
	return g[0].ID
}

// An organisation pays for requests of a preferred class, but its advance must not become the
// start of others that arrive later.
func TestPreferredClassIsCharged(t *testing.T) {
	r := newRules(t, scheduler.Options{Turnaround: time.Nanosecond}, 1)
	running := r.fill("z")
	r.s.Withdraw(scheduler.ID{Daemon: "d", Number: r.number})
	long := func(q *scheduler.Request) { q.StartBy = r.now.Add(time.Minute) }
	for range 10 {
		r.offer("resumed", long, func(q *scheduler.Request) { q.Class = scheduler.Resumed })
	}
	of := map[scheduler.ID]string{}
	for range 20 {
		for _, org := range []string{"resumed", "early"} {
			id, _, _ := r.offer(org, long)
			of[id] = org
		}
	}
	for range 10 {
		r.Check(of[r.step(&running)], qt.Equals, "")
	}
	r.Check(of[r.step(&running)], qt.Equals, "early")
	late, _, _ := r.offer("late", long)
	for range 3 {
		if r.step(&running) == late {
			return
		}
	}
	t.Error("an organisation that arrives waits for the advance of another")
}

// Requests that were overtaken must be refused when that is known, not when their time is over.
func TestOvertakenRequestsAreRefusedAtOnce(t *testing.T) {
	r := newRules(t, scheduler.Options{}, 4)
	r.fill("x")
	r.pass(20 * ms)
	r.s.Refusals(r.now)
	rank := func(q *scheduler.Request) { q.Rank = 1 }
	id, _, no := r.offer("x", rank)
	r.Assert(no, qt.IsFalse)
	for range 30 {
		r.offer("x", func(q *scheduler.Request) { q.StartBy = r.now.Add(time.Second) })
	}
	r.pass(20 * ms)
	list := r.s.Refusals(r.now)
	r.Assert(list, qt.HasLen, 1)
	r.Check(list[0].ID, qt.Equals, id)
	r.Check(list[0].Cause, qt.Equals, scheduler.CauseDisplaced)
}

// An organisation whose callers return early must be charged a tenth of the work each time.
func TestEarlyReturnIsCharged(t *testing.T) {
	for early, want := range map[int]bool{0: false, 10: true} {
		r, _ := appointed(t)
		for range early {
			_, refusal, _ := r.offer("x", key(7))
			r.Assert(refusal.Cause, qt.Equals, scheduler.CauseEarly)
		}
		r.offer("y")
		id, _, _ := r.offer("y")
		r.s.SetRunning("d", map[uint32]int{1: 3}, 1<<40)
		g := r.grants()
		r.Assert(g, qt.HasLen, 2)
		// The first grant goes to y in any case, as x has used all places until now.
		r.Check(g[1].ID == id, qt.Equals, want, qt.Commentf("%d early returns", early))
	}
}

// accepted counts how many requests of an organisation are queued until one is refused.
func (r *rules) accepted(org string) int {
	for n := range 1000 {
		if _, _, no := r.offer(org); no {
			return n
		}
	}
	return 1000
}

// Where the engines drain less than their slots and run times let expect, the expected wait
// must follow what is measured.
func TestExpectedWaitFollowsDrainRate(t *testing.T) {
	r := newRules(t, scheduler.Options{}, 4)
	running := r.fill("x")
	before := r.accepted("x")
	// 40 per second are expected, 200 ms hold 8.
	r.Check(before >= 6 && before <= 9, qt.IsTrue, qt.Commentf("%d", before))
	for range 120 {
		r.pass(50 * ms)
		r.s.Refusals(r.now)
		r.accepted("x")
		r.end(running[0], scheduler.Answered)
		running = append(running[1:], r.grants()...)
	}
	r.s.Refusals(r.now.Add(201 * ms))
	r.pass(201 * ms)
	after := r.accepted("x")
	r.Check(after >= 3 && after <= 5, qt.IsTrue, qt.Commentf("%d", after))
}

// Preferred requests that start without waiting must count in the expected wait of the others,
// whether their rank or their organisation goes first.
func TestExpectedWaitCountsPreferredArrivals(t *testing.T) {
	for org, rank := range map[string]int{"x": 0, "y": 1} {
		r := newRules(t, scheduler.Options{}, 4)
		less := func(q *scheduler.Request) { q.Rank = 1 }
		running := r.fill("x")
		for i := range 160 {
			r.pass(25 * ms)
			r.s.Refusals(r.now)
			r.end(running[0], scheduler.Answered)
			if i%2 == 0 {
				r.offer(org, func(q *scheduler.Request) { q.Rank = rank })
			}
			running = append(running[1:], r.grants()...)
			for range 5 {
				r.offer("x", less)
			}
		}
		// Half of 40 per second are left: some 4 start within 200 ms.
		waiting := r.s.Status(r.now).Waiting
		r.Check(waiting >= 2 && waiting <= 5, qt.IsTrue, qt.Commentf("%s of rank %d: %d wait", org, rank, waiting))
	}
}
