package dispatch

import (
	"errors"
	"time"
)

// errNoAddress is the cause of a call that failed because the coordinator's address is unknown.
var errNoAddress = errors.New("address of the coordinator is unknown")

// decideInterval is the least time between two decisions of a daemon that decides alone. It
// limits the processor time for daemons with many waiting requests.
const decideInterval = 2 * time.Millisecond

// fallBack has this daemon decide alone, and has the coordinator told. s.mu is held.
func (s *service) fallBack() {
	if s.client.local == nil {
		s.client.local = newQueue(s.d.NewScheduler())
		s.client.now = true
		s.client.localAt, s.client.enginesAt = time.Time{}, time.Time{}
	}
}

// decideAlone decides on the requests of this daemon with an equal share of the capacity. It
// returns when to call it again. s.mu is held.
func (s *service) decideAlone(live int, now time.Time) time.Time {
	c := &s.client
	if next := c.localAt.Add(decideInterval); now.Before(next) {
		return next
	}
	c.localAt = now
	if now.Sub(c.enginesAt) >= enginesInterval {
		c.enginesAt = now
		c.local.setEngines(s.d.Engines(s.name), now)
	}
	c.local.sched.SetShare(now, 1/float64(live))
	m := s.message(now)
	m.Alone = false
	mb := c.local.apply(m, now)
	c.local.decide(now)
	if answer, decided := c.local.answer(mb); decided {
		s.handle(answer, true, now)
		return now.Add(decideInterval)
	}
	if wake := c.local.sched.Wake(now); !wake.IsZero() {
		return wake
	}
	return now.Add(ownerInterval)
}
