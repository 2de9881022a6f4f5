package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

// appointed fills the service and its queue until a caller with the key gets an appointment.
func appointed(t *testing.T) (*rules, scheduler.Refusal) {
	r := newRules(t, scheduler.Options{}, 4)
	r.fill("x")
	for range 100 {
		if _, refusal, no := r.offer("x", key(7)); no {
			r.Assert(refusal.Appointment, qt.IsTrue)
			r.Assert(refusal.RetryAfter <= 500*ms, qt.IsTrue)
			return r, refusal
		}
	}
	t.Fatal("nothing was refused")
	return nil, scheduler.Refusal{}
}

// goesFirst reports whether a returning request goes before those of its organisation that wait.
func (r *rules) goesFirst(change ...func(*scheduler.Request)) bool {
	r.offer("x")
	id, _, no := r.offer("x", change...)
	if no {
		return false
	}
	for _, g := range r.fill("y") {
		r.end(g, scheduler.Answered)
	}
	r.s.SetRunning("d", nil, 1<<40)
	g := r.grants()
	return len(g) > 0 && g[0].ID == id
}

// A caller that returns from 20 ms before to 250 ms after its appointment must go first, once.
func TestAppointmentWindow(t *testing.T) {
	for offset, want := range map[time.Duration]bool{-21 * ms: false, -20 * ms: true, 0: true, 250 * ms: true, 251 * ms: false} {
		r, refusal := appointed(t)
		r.pass(refusal.RetryAfter + offset)
		r.s.Refusals(r.now)
		r.Check(r.goesFirst(key(7)), qt.Equals, want, qt.Commentf("%v", offset))
		r.Check(r.goesFirst(key(7)), qt.IsFalse, qt.Commentf("used twice"))
	}
}

// A request of another organisation with the same key must not use up an appointment.
func TestAppointmentIsOfOneOrganisation(t *testing.T) {
	r, refusal := appointed(t)
	r.pass(refusal.RetryAfter)
	r.s.Refusals(r.now)
	r.offer("other", key(7))
	r.Check(r.goesFirst(key(7)), qt.IsTrue)
}

// A caller that returns early must be given the same time again, not a later or earlier one.
func TestEarlyReturnGetsSameTime(t *testing.T) {
	r, refusal := appointed(t)
	at := r.now.Add(refusal.RetryAfter)
	r.pass(5 * ms)
	_, again, no := r.offer("x", key(7))
	r.Assert(no, qt.IsTrue)
	r.Check(again.Cause, qt.Equals, scheduler.CauseEarly)
	r.Check(again.Appointment, qt.IsTrue)
	r.Check(r.now.Add(again.RetryAfter), qt.Equals, at)
}

// Appointments must be spaced and end at a third of the time that callers have; later callers
// must be told a time beyond it and get no precedence.
func TestAppointmentsAreSpaced(t *testing.T) {
	r, refusal := appointed(t)
	last, appointments := refusal.RetryAfter, 1
	for k := range uint64(200) {
		_, refusal, no := r.offer("x", key(100+k))
		r.Assert(no, qt.IsTrue)
		if !refusal.Appointment {
			r.Check(refusal.RetryAfter > 500*ms, qt.IsTrue)
			continue
		}
		r.Check(refusal.RetryAfter > last, qt.IsTrue)
		r.Check(refusal.RetryAfter <= 500*ms, qt.IsTrue)
		last = refusal.RetryAfter
		appointments++
	}
	// 4 slots of 100 ms serve 40 per second; half of that for less than half a second.
	r.Check(appointments >= 8 && appointments <= 10, qt.IsTrue, qt.Commentf("%d", appointments))
}

// A refusal whose answer was lost must be repeated, not queued as a new request.
func TestRefusalIsRepeated(t *testing.T) {
	r, refusal := appointed(t)
	again, no := r.s.Offer(r.now.Add(ms), scheduler.Request{ID: refusal.ID, Organisation: "x", StartBy: r.now.Add(time.Minute)})
	r.Check(no, qt.IsTrue)
	r.Check(again, qt.Equals, refusal)
}
