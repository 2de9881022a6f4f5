package dispatch

import (
	"context"
	"time"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// holdTime is how long a coordinator may hold a call while requests wait.
	holdTime = 100 * time.Millisecond
	// answerTimeout is the time without an answer after which a daemon decides alone: the hold
	// time and 150 ms for the network and the coordinator.
	answerTimeout = holdTime + 150*time.Millisecond
	// retryInterval is the time between calls while the coordinator does not answer.
	retryInterval = 100 * time.Millisecond
	// maxOpen limits the calls of a service that are open at the same time. The coordinator
	// answers an older call when a newer one arrives, so more are open only on a slow network.
	maxOpen = 4
	// ownerInterval is how often the coordinator's name is read while a service is contended.
	ownerInterval = 50 * time.Millisecond
	// heardIntervals is for how many calling intervals a daemon counts as present.
	heardIntervals = 3
)

// requestInterval is the least time between two calls per waiting request. A call costs about
// 2 us of processor time per waiting request at both ends, so calls take a tenth of a processor
// at most.
const requestInterval = 20 * time.Microsecond

// maxSpread bounds the interval that follows from the number of daemons. Requests may wait for as
// little as 50 ms: at 150 ms, half of those of a fleet of 300 daemons were refused before a
// coordinator had seen them.
const maxSpread = 30 * time.Millisecond

// changeInterval returns the least time between two calls of a daemon that report changes. It
// increases with the number of daemons and with the size of the calls. In a large fleet the
// number of calls follows from that of the requests, as only daemons with changes call.
func changeInterval(live, waiting int) time.Duration {
	spread := min(time.Duration(live)*time.Millisecond/2, maxSpread)
	return max(5*time.Millisecond, spread, time.Duration(waiting)*requestInterval)
}

// keepInterval returns the greatest time between two calls of a daemon while a service is
// contended, by which the coordinator knows that the daemon is present.
func keepInterval(live int) time.Duration {
	return max(500*time.Millisecond, time.Duration(live)*2*time.Millisecond)
}

// client is the state of the calls to the coordinator of a service. It is guarded by the lock of
// the service.
type client struct {
	owner string
	// movedAt is when the coordinator changed last.
	movedAt time.Time
	// open is the number of calls in progress, called when the last one was made.
	open   int
	called time.Time
	// now is set if a call is due at once, failed if the last call failed.
	now, failed bool
	// answered is when the coordinator answered last, silent since when it has not answered,
	// zero if no call is open.
	answered, silent time.Time
	// aloneSince is when the coordinator was lost.
	aloneSince time.Time
	// others is the number of requests of other daemons that were in progress at its last answer.
	others int
	// local decides while the coordinator does not answer, else nil.
	local *queue
	// localAt is when it decided last, enginesAt when it read the engines.
	localAt, enginesAt time.Time
}

// loop calls the coordinator until the service is not contended any more.
func (s *service) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			s.finish(true)
			return
		case <-s.wake:
		case <-timer.C:
		}
		now := time.Now()
		if !s.contended(now) && s.finish(false) {
			return
		}
		next, alone := s.step(ctx, now)
		if alone {
			s.announce(now)
		}
		timer.Reset(max(next.Sub(now), 0))
	}
}

// finish ends the loop, unless the service has become contended again. Requests that wait are
// started.
func (s *service) finish(stopped bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !stopped && s.contended(now) {
		return false
	}
	s.releaseAll(now)
	s.client.local = nil
	s.finished, s.firstFinished = nil, s.firstFinished+uint64(len(s.finished))
	s.looping = false
	s.logState(now)
	return true
}

// step makes a call and decides alone if these are due. It returns when to call it again, and
// whether requests wait for a decision of this daemon alone.
func (s *service) step(ctx context.Context, now time.Time) (next time.Time, alone bool) {
	live, owner := s.d.live(), s.d.Coordinator(s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.client
	if owner != c.owner || c.called.IsZero() {
		s.ownerChanged(owner, now)
	}
	if c.local == nil && !c.silent.IsZero() && now.Sub(c.silent) >= answerTimeout {
		s.fallBack(now)
	}
	due := s.callDue(live)
	if !now.Before(due) && owner != "" {
		s.call(ctx, now)
		due = s.callDue(live)
	}
	next = earlier(now.Add(ownerInterval), due, now)
	if c.local != nil {
		next = earlier(next, s.decideAlone(live, now), now)
	} else if !c.silent.IsZero() {
		next = earlier(next, c.silent.Add(answerTimeout), now)
	}
	s.logState(now)
	return next, c.local != nil && len(s.waiting) > 0
}

// earlier returns the earlier of two times. A time that is not after now is left out, since it
// depends on something else that wakes the loop.
func earlier(a, b, now time.Time) time.Time {
	if b.After(now) && b.Before(a) {
		return b
	}
	return a
}

// ownerChanged has the new coordinator called at once.
func (s *service) ownerChanged(owner string, now time.Time) {
	c := &s.client
	if !c.called.IsZero() && c.owner != "" {
		c.movedAt = now
	}
	c.owner, c.open, c.silent, c.failed, c.now = owner, 0, time.Time{}, false, true
	if owner == "" {
		s.fallBack(now)
	}
}

// callDue returns when the next call is due. s.mu is held.
func (s *service) callDue(live int) time.Time {
	c := &s.client
	switch {
	case c.now:
		return c.called
	case c.local != nil || c.failed:
		return c.called.Add(retryInterval)
	case c.open >= maxOpen:
		return c.called.Add(answerTimeout)
	case s.dirty || len(s.waiting) > 0 && c.open == 0:
		return c.called.Add(changeInterval(live, len(s.waiting)))
	default:
		return c.called.Add(keepInterval(live))
	}
}

// call sends the state of this daemon to the coordinator. s.mu is held.
func (s *service) call(ctx context.Context, now time.Time) {
	c := &s.client
	m := s.message(now)
	c.open++
	c.called, c.now, c.failed, s.dirty = now, false, false, false
	if c.silent.IsZero() {
		c.silent = now
	}
	owner := c.owner
	s.d.loops.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		answer, err := s.send(ctx, owner, m)
		s.callEnded(owner, m, answer, err, time.Now())
	})
}

// send makes a call, or asks the own coordinator if this daemon coordinates the service.
func (s *service) send(ctx context.Context, owner string, m *bronzeturnv1.SyncRequest) (*bronzeturnv1.SyncResponse, error) {
	if owner == s.d.Self {
		return s.coordinator.sync(ctx, m), nil
	}
	client := s.d.Client(owner)
	if client == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoAddress)
	}
	r, err := client.Sync(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// callEnded handles the end of a call. Answers of a daemon that is not asked any more are left
// out: its successor does not know of its grants.
func (s *service) callEnded(owner string, m *bronzeturnv1.SyncRequest, answer *bronzeturnv1.SyncResponse, err error, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.client
	if !s.looping || owner != c.owner {
		return
	}
	defer s.wakeLoop()
	c.open = max(c.open-1, 0)
	switch {
	case err != nil:
		s.d.metrics.calls.WithLabelValues(s.name, outcomeFailed).Inc()
		c.failed = true
	case !answer.GetCoordinator():
		s.d.metrics.calls.WithLabelValues(s.name, outcomeNotCoordinator).Inc()
		c.failed = true
		s.fallBack(now)
	default:
		s.d.metrics.calls.WithLabelValues(s.name, outcomeAnswered).Inc()
		s.answered(m, answer, now)
	}
}

// answered handles an answer of the coordinator. s.mu is held.
func (s *service) answered(m *bronzeturnv1.SyncRequest, answer *bronzeturnv1.SyncResponse, now time.Time) {
	c := &s.client
	c.answered, c.failed, c.local, c.silent = now, false, nil, time.Time{}
	if len(s.waiting) > 0 {
		s.extend(now.Add(contendedTTL)) // Also if the gossip entries of others are late.
	}
	if !answer.GetOutdated() {
		c.others = int(answer.GetOthers())
	}
	if c.open > 0 {
		c.silent = now
	}
	if confirmed := m.GetFirstFinished() + uint64(len(m.GetFinished())); confirmed > s.firstFinished {
		n := min(int(confirmed-s.firstFinished), len(s.finished))
		s.finished = append(s.finished[:0], s.finished[n:]...)
		s.firstFinished += uint64(n)
	}
	s.handle(answer, false, now)
}

// message returns the full state of this daemon. A daemon that decides alone does not have its
// calls held, so that it learns at once when the coordinator answers again. s.mu is held.
func (s *service) message(now time.Time) *bronzeturnv1.SyncRequest {
	m := &bronzeturnv1.SyncRequest{
		Daemon: s.d.Self, Incarnation: s.d.Incarnation, Sequence: s.d.sequence.Add(1), Service: s.name, FirstFinished: s.firstFinished,
	}
	for _, w := range s.waiting {
		m.Waiting = append(m.Waiting, waitingOf(w, s.d.weight(w.request.Organisation), now))
	}
	for engine, n := range s.running {
		m.Running = append(m.Running, &bronzeturnv1.RunningRequests{Engine: engine, Requests: uint32(n)})
	}
	if s.unsent > 0 {
		m.Running = append(m.Running, &bronzeturnv1.RunningRequests{Requests: uint32(s.unsent)})
	}
	for _, f := range s.finished {
		m.Finished = append(m.Finished, finishedMessage(f))
	}
	m.Alone, m.Moved = s.client.local != nil, now.Sub(s.client.movedAt) < settleTime
	if len(m.Waiting) > 0 && !m.Alone {
		m.HoldMs = milliseconds(holdTime)
	}
	return m
}
