package dispatch

import (
	"errors"
	"time"
)

// errNoAddress is the cause of a call that failed because the coordinator's address is unknown.
var errNoAddress = errors.New("address of the coordinator is unknown")

// maxReduced is the longest time for which a daemon that decides alone leaves room for the
// requests of others that were counted last.
const maxReduced = 5 * time.Second

// decideInterval is the least time between two decisions of a daemon that decides alone. It
// limits the processor time for daemons with many waiting requests.
const decideInterval = 2 * time.Millisecond

// maxCountAge is the age up to which the coordinator's count of the requests of other daemons is
// used. A daemon with waiting requests has an answer that is little older than holdTime.
const maxCountAge = holdTime + 50*time.Millisecond

// fallBack has this daemon decide alone, and has the coordinator told. s.mu is held.
func (s *service) fallBack(now time.Time) {
	if s.client.local == nil {
		s.client.local = newQueue(s.d.NewScheduler())
		s.client.now, s.client.aloneSince = true, now
		if !s.client.silent.IsZero() {
			s.client.aloneSince = s.client.silent
		}
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
	c.local.sched.SetShare(now, s.aloneShare(live, now))
	m := s.message(now)
	m.Alone = false
	mb := c.local.apply(m, now)
	c.local.decide(now)
	if answer, decided := c.local.answer(mb, now); decided {
		s.handle(answer, true, now)
		return now.Add(decideInterval)
	}
	if wake := c.local.sched.Wake(now); !wake.IsZero() {
		return wake
	}
	return now.Add(ownerInterval)
}

// aloneShare returns the share of the capacity that this daemon may use while it decides alone.
// At first it leaves room for the requests of other daemons that the coordinator counted last:
// they may have more than equal shares, and end within the time that a request takes. The other
// daemons may notice up to ownerInterval later that there is no coordinator. s.mu is held.
func (s *service) aloneShare(live int, now time.Time) float64 {
	c := &s.client
	equal := 1 / float64(live)
	if c.local.slots == 0 || now.Sub(c.aloneSince) > min(s.longestWork(), maxReduced)+2*ownerInterval {
		return equal
	}
	room := 1
	if c.aloneSince.Sub(c.answered) <= maxCountAge {
		room = max(c.local.slots-c.others, 1)
	}
	// The room is rounded up, so half a request less gives the same room without rounding errors.
	return min(equal, (float64(room)-0.5)/float64(c.local.slots))
}

// longestWork returns the longest expected work of the requests that wait, 0 if there are none.
// s.mu is held.
func (s *service) longestWork() time.Duration {
	longest := time.Duration(0)
	for _, w := range s.waiting {
		longest = max(longest, w.request.Work)
	}
	return longest
}
