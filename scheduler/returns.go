package scheduler

import "time"

const (
	// Appointments may be used from returnEarly before to returnLate after their time. The
	// clocks and networks of callers account for the difference.
	returnEarly = 20 * time.Millisecond
	returnLate  = 250 * time.Millisecond
	// returnShare is the part of an organisation's rate that appointments take. The other half
	// is for new callers.
	returnShare = 0.5
	// minReturn is the earliest appointment: an earlier one would cost a second call for less
	// than a run.
	minReturn = 50 * time.Millisecond
	// returnDivisor is the divisor of the time that a caller has left: callers return within a third.
	returnDivisor = 3
	// minRetryAfter applies to refusals without an appointment.
	minRetryAfter = 100 * time.Millisecond
	// deadlineMargin is added to the time that a caller has left where it should not return before
	// its deadline. Its clock started earlier than the daemon's.
	deadlineMargin = 100 * time.Millisecond
	// earlyBound is the part of its bound within which a request must be expected to start that
	// comes before the time its caller was given. Under overload the expected wait stays near
	// the bound and varies, so with the whole bound repeating at once succeeds more often than
	// waiting (0.64 against 0.47 of the callers at twice the capacity).
	earlyBound = 0.5
	// earlyCharge is the part of its work that a caller's organisation is charged for a
	// refused return before the appointment.
	earlyCharge = 0.1
	// maxEarlyDebt bounds these charges, in seconds of work per weight ahead of the others.
	maxEarlyDebt = 1.0
	// maxAppointments bounds the memory.
	maxAppointments = 10_000
)

// appointment is the time that a refused caller was given to return.
type appointment struct {
	key          uint64
	organisation string
	at           time.Time
	// precedence is set if the caller takes precedence at that time.
	precedence bool
	index      int
}

func (a *appointment) before(b *appointment) bool { return a.at.Before(b.at) }
func (a *appointment) position() *int             { return &a.index }

// returns holds the times that refused callers of a service were given.
type returns struct {
	byKey  map[uint64]*appointment
	byTime heap[*appointment]
}

// find returns the appointment of a request, or nil. It forgets those that have passed.
func (r *returns) find(now time.Time, key uint64, organisation string) *appointment {
	for r.byTime.len() > 0 && now.After(r.byTime.top().at.Add(returnLate)) {
		r.remove(r.byTime.top())
	}
	if a := r.byKey[key]; a != nil && a.organisation == organisation {
		return a
	}
	return nil
}

// due reports whether a request returns at its appointment, which is thereby used.
func (r *returns) due(now time.Time, key uint64, organisation string) bool {
	a := r.find(now, key, organisation)
	if a == nil || now.Before(a.at.Add(-returnEarly)) {
		return false
	}
	r.remove(a)
	return a.precedence
}

// use removes the appointment of a request that waits now.
func (r *returns) use(key uint64, organisation string) {
	if a := r.byKey[key]; a != nil && a.organisation == organisation {
		r.remove(a)
	}
}

func (r *returns) remove(a *appointment) {
	delete(r.byKey, a.key)
	r.byTime.remove(a)
}

// add records when a caller was told to return and reports whether it did. The second half of
// the memory is for appointments with precedence.
func (r *returns) add(key uint64, organisation string, at time.Time, precedence bool) bool {
	limit := maxAppointments
	if !precedence {
		limit /= 2
	}
	if key == 0 || r.byKey[key] != nil || len(r.byKey) >= limit {
		return false
	}
	a := &appointment{key: key, organisation: organisation, at: at, precedence: precedence}
	r.byKey[key] = a
	r.byTime.update(a)
	return true
}

// refuse returns the refusal of a request that does not wait any more, with the time to return.
func (s *Scheduler) refuse(now time.Time, it *item, cause Cause) Refusal {
	out := Refusal{ID: it.ID, Cause: cause}
	a := it.flow.account
	if ap := s.returns.find(now, it.Key, it.Organisation); ap != nil && ap.at.After(now) {
		out.RetryAfter, out.Appointment, out.Cause = ap.at.Sub(now), ap.precedence, CauseEarly
		if !ap.precedence {
			out.RetryAfter = max(out.RetryAfter, it.Deadline.Sub(now)+deadlineMargin)
		}
		if ap.precedence && a.tag < a.rank.virtual+maxEarlyDebt {
			a.charge(earlyCharge * it.work / it.Weight)
		}
	} else {
		out.RetryAfter, out.Appointment = s.appoint(now, it)
	}
	s.refused.add(now, out)
	return out
}

// appoint returns the time after which the caller of a refused request should return, and
// whether it is an appointment. Without one it is not before the caller's deadline: a caller that
// returns earlier is most likely refused again, and each try takes capacity from others.
func (s *Scheduler) appoint(now time.Time, it *item) (time.Duration, bool) {
	a := it.flow.account
	// Returning requests start when the lanes before that of first sends have drained.
	b := s.backlogOf(a.rank, int(First)-1)
	at := now.Add(max(minReturn, seconds(b.ahead/b.rate)))
	if a.nextReturn.After(at) {
		at = a.nextReturn
	}
	after, left := at.Sub(now), it.Deadline.Sub(now)
	inTime := after <= left/returnDivisor && after+it.Request.Work < left
	if inTime && s.pool.serves(it.Excluded) && s.returns.add(it.Key, it.Organisation, at, true) {
		a.nextReturn = at.Add(seconds(it.work / (returnShare * a.rank.accountRate(a, b.rate))))
		return after, true
	}
	// Callers with appointments and those that wait go first.
	after = max(after+s.drained(a.rank), minRetryAfter)
	if after < left {
		s.returns.add(it.Key, it.Organisation, now.Add(after), false)
	}
	return max(after, left+deadlineMargin), false
}

// drained returns the time until the waiting requests up to a rank have started.
func (s *Scheduler) drained(r *rank) time.Duration {
	work := 0.0
	for _, q := range s.queue.active {
		if q.value <= r.value {
			work += q.work
		}
	}
	return seconds(work / s.rate())
}
