package dispatch

import (
	"time"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

// ticket implements Ticket. Its changing fields are guarded by the lock of the service.
type ticket struct {
	s      *service
	engine string
	work   time.Duration
	wait   Wait
	// counted is the hash of the engine at which the request is counted as running, 0 if it is
	// counted as not sent.
	counted  uint32
	sentAt   time.Time
	finished bool
}

// direct returns a ticket for a request that need not wait.
func (s *service) direct(work time.Duration) *ticket {
	t := &ticket{s: s, work: work}
	s.mu.Lock()
	s.count(0)
	inProgress := s.inProgress
	s.mu.Unlock()
	if now := time.Now(); s.overloaded(inProgress, now) {
		s.announce(now)
	}
	return t
}

// Engine implements Ticket.
func (t *ticket) Engine() string { return t.engine }

// Wait implements Ticket.
func (t *ticket) Wait() Wait { return t.wait }

// Sent implements Ticket.
func (t *ticket) Sent(engine string) {
	h, now := hash(engine), time.Now()
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	if t.finished {
		return
	}
	t.sentAt = now
	if h != t.counted {
		t.s.uncount(t.counted)
		t.counted = h
		t.s.count(h)
		if t.s.looping {
			t.s.changed()
		}
	}
}

// Done implements Ticket.
func (t *ticket) Done(o scheduler.Outcome) {
	now := time.Now()
	if t.s.ended(t, o, now) {
		t.s.announce(now)
	}
}

// ended records the end of an attempt. It reports whether this is a sign of contention.
func (s *service) ended(t *ticket, o scheduler.Outcome, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.finished {
		return false
	}
	t.finished = true
	s.uncount(t.counted)
	if s.looping {
		s.changed()
		if !t.sentAt.IsZero() {
			s.recordFinished(scheduler.Finished{Engine: t.counted, Duration: now.Sub(t.sentAt), Work: t.work, Outcome: o})
		}
	}
	return o == scheduler.Full && !t.sentAt.IsZero() && s.fullLocked(t.counted, now)
}

// recordFinished keeps a finished run for the next call. s.mu is held.
func (s *service) recordFinished(f scheduler.Finished) {
	if len(s.finished) == maxFinished {
		s.finished = append(s.finished[:0], s.finished[maxFinished/2:]...)
		s.firstFinished += maxFinished / 2
	}
	s.finished = append(s.finished, f)
}

// count counts a request at an engine. s.mu is held.
func (s *service) count(engine uint32) {
	s.inProgress++
	if engine == 0 {
		s.unsent++
		return
	}
	s.running[engine]++
}

// uncount ends the count of a request at an engine. s.mu is held.
func (s *service) uncount(engine uint32) {
	s.inProgress--
	switch {
	case engine == 0:
		s.unsent--
	case s.running[engine] > 1:
		s.running[engine]--
	default:
		delete(s.running, engine)
	}
}
