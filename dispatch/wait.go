package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

const (
	// waitGrace is how long a request waits beyond its MaxWait for the coordinator's refusal,
	// which has a better retry time than the daemon could give.
	waitGrace = 20 * time.Millisecond
	// minRetryAfter is the least retry time of a request that got no decision in time.
	minRetryAfter = 100 * time.Millisecond
	// maxWaiting limits the waiting requests of one daemon, which all of its calls contain. The
	// Scheduler holds no more for all daemons together.
	maxWaiting = 10000
)

// waiter is a request that waits for a grant.
type waiter struct {
	number   uint64
	request  *Request
	arrived  time.Time
	startBy  time.Time
	excluded []uint32
	// decided receives the decision. It has room for one.
	decided chan decision
}

// decision ends the wait of a request. One of the fields is set.
type decision struct {
	ticket  *ticket
	refusal *failure.Error
	cause   scheduler.Cause
	local   bool
}

// await waits for a grant.
func (s *service) await(ctx context.Context, r *Request) (Ticket, Wait, *failure.Error) {
	now := time.Now()
	w := &waiter{
		number: s.d.number.Add(1), request: r, arrived: now, startBy: now.Add(r.MaxWait), decided: make(chan decision, 1),
	}
	for _, engine := range r.Tried {
		w.excluded = append(w.excluded, hash(engine))
	}
	queued, looping := s.enqueue(w)
	if !queued {
		return s.conclude(w, decision{refusal: noCapacity(scheduler.CauseQueueFull, minRetryAfter), cause: scheduler.CauseQueueFull})
	}
	if !looping {
		s.startLoop()
	}
	timer := time.NewTimer(max(r.MaxWait, 0) + waitGrace)
	defer timer.Stop()
	select {
	case d := <-w.decided:
		return s.conclude(w, d)
	case <-timer.C:
		return s.conclude(w, s.expired(w))
	case <-ctx.Done():
		return s.conclude(w, s.left(w, ctx.Err()))
	}
}

// enqueue adds a request to the waiting ones, unless there are too many. It reports whether the
// loop runs.
func (s *service) enqueue(w *waiter) (queued, looping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) >= maxWaiting {
		return false, s.looping
	}
	s.waiting[w.number] = w
	s.changed()
	return true, s.looping
}

// withdraw removes a request from the waiting ones. It returns the decision if there is one
// already.
func (s *service) withdraw(w *waiter) (decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[w.number] == w {
		delete(s.waiting, w.number)
		s.changed()
		return decision{}, false
	}
	return <-w.decided, true
}

// expired ends the wait of a request that got no decision in time.
func (s *service) expired(w *waiter) decision {
	if d, ok := s.withdraw(w); ok {
		return d
	}
	retry := max(w.request.MaxWait, minRetryAfter)
	return decision{refusal: noCapacity(scheduler.CauseBacklog, retry), cause: scheduler.CauseBacklog}
}

// left ends the wait of a request whose context has ended. A grant is given back.
func (s *service) left(w *waiter, err error) decision {
	if d, ok := s.withdraw(w); ok && d.ticket != nil {
		d.ticket.Done(scheduler.Canceled)
	}
	code := failure.CodeCanceled
	if errors.Is(err, context.DeadlineExceeded) {
		code = failure.CodeDeadlinePassed
	}
	return decision{refusal: failure.Wrap(err, code, failure.RanNo, "the request ended while it waited for an engine")}
}

// conclude returns the result of a wait.
func (s *service) conclude(w *waiter, d decision) (Ticket, Wait, *failure.Error) {
	wait := Wait{Contended: true, Waited: time.Since(w.arrived), Cause: d.cause, Local: d.local}
	if d.ticket == nil {
		cause := string(d.cause)
		if cause == "" {
			cause = string(d.refusal.Code)
		}
		s.d.metrics.refused.WithLabelValues(s.name, cause).Inc()
		return nil, wait, d.refusal
	}
	s.d.metrics.granted.WithLabelValues(s.name).Inc()
	wait.Ahead = d.ticket.wait.Ahead
	d.ticket.wait = wait
	return d.ticket, wait, nil
}

// handle passes the decisions of an answer to the waiting requests. A grant for a request that
// does not wait any more is given back by the call that follows the end of its wait, which lists
// the request neither as waiting nor as running. s.mu is held.
func (s *service) handle(r *bronzeturnv1.SyncResponse, local bool, now time.Time) {
	for _, g := range r.GetGrants() {
		if w := s.waiting[g.GetNumber()]; w != nil {
			s.grant(w, g, local, now)
		}
	}
	for _, f := range r.GetRefusals() {
		w := s.waiting[f.GetNumber()]
		if w == nil {
			continue
		}
		delete(s.waiting, w.number)
		s.changed()
		cause := scheduler.Cause(f.GetCause())
		w.decided <- decision{
			refusal: noCapacity(cause, time.Duration(f.GetRetryAfterMs())*time.Millisecond), cause: cause, local: local,
		}
	}
	if !r.GetOutdated() {
		s.free, s.freeAt = r.GetFree(), now
	}
}

// grant starts a request. s.mu is held.
func (s *service) grant(w *waiter, g *bronzeturnv1.Grant, local bool, now time.Time) {
	delete(s.waiting, w.number)
	t := &ticket{s: s, work: w.request.Work, counted: g.GetEngine(), wait: Wait{Ahead: int(g.GetAhead())}}
	if !w.request.OwnChoice {
		t.engine = s.engineKey(g.GetEngine(), now)
	}
	s.count(t.counted)
	s.changed()
	w.decided <- decision{ticket: t, local: local}
}

// releaseAll starts all waiting requests, because the service is not contended any more. s.mu is
// held.
func (s *service) releaseAll(now time.Time) {
	for _, w := range s.waiting {
		s.grant(w, &bronzeturnv1.Grant{}, true, now)
	}
}
