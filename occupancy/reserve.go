package occupancy

import "time"

const (
	// slotTTL is how long reported requests count when slots are granted. It allows for the loss
	// of a report.
	slotTTL = 3 * slotRefreshInterval
	// refusalMemory is the time in which a second refusal shows that the first one has not
	// lowered the room enough.
	refusalMemory = time.Second
	// repeatedCut is the part of the room, as a divisor, by which a repeated refusal lowers it
	// further: the requests in progress that are known may be more than those at the engine.
	repeatedCut = 5
	// repeatedShare is the share of the refusals that an engine tolerates which may follow each
	// other because the room is still too high.
	repeatedShare = 0.5
	// Bounds of the time after a repeated refusal in which no slot is granted.
	minRefusalPause = 100 * time.Millisecond
	maxRefusalPause = 2 * time.Second
	// raiseShare is the share of the tolerated refusals that may be used to find out whether the
	// engine has more room, and minRaiseInterval the least time between two such attempts.
	raiseShare       = 0.25
	minRaiseInterval = time.Second
)

// Reservation asks for a slot of an engine on behalf of a daemon.
type Reservation struct {
	Daemon string
	// Sequence orders the reservations and the reports of a daemon.
	Sequence uint64
	Engine   uint32
	Slots    int
	// InProgress is the number of requests that the daemon has in progress at the engine, with
	// the new one.
	InProgress int64
	// Tolerated is the number of refusals per second that the engine tolerates.
	Tolerated float64
}

// Grant answers a Reservation.
type Grant struct {
	Granted bool
	// RetryAfter is the time until a slot may be granted if none is, zero if that depends on the
	// requests in progress only.
	RetryAfter time.Duration
}

// gate bounds the requests that all daemons together have in progress at an engine. The room is
// the engine's number of slots. A refusal lowers it below the number of requests in progress; it
// is raised again one by one.
type gate struct {
	slots, room int
	tolerated   float64
	// pausedUntil is when slots are granted again, raiseAt when the room may be raised.
	pausedUntil, raiseAt time.Time
	refusedAt            time.Time
}

// Reserve counts a request in if the engine has room for it.
func (s *Store) Reserve(r Reservation, now time.Time) Grant {
	shard := s.shard(r.Engine)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state := shard.getOrCreate(r.Engine)
	last := state.byDaemon[r.Daemon]
	if last.sequence > r.Sequence {
		return Grant{} // A later message counts without this request.
	}
	g := &state.gate
	g.setSlots(r.Slots)
	g.tolerated = r.Tolerated
	grant := g.admit(state.requests(r.Daemon, now)+r.InProgress, now)
	last.sequence, last.at, last.load.Requests = r.Sequence, now, r.InProgress
	if !grant.Granted {
		last.load.Requests--
	}
	state.byDaemon[r.Daemon] = last
	return grant
}

// requests returns the number of requests of all daemons but the given one, for the grant of slots.
func (e *engineState) requests(except string, now time.Time) (sum int64) {
	for name, r := range e.byDaemon {
		if name != except && now.Sub(r.at) <= slotTTL {
			sum += r.load.Requests
		}
	}
	return sum
}

// setSlots sets the number of slots. A change replaces a room that was learned before.
func (g *gate) setSlots(slots int) {
	if slots != g.slots {
		g.slots, g.room = slots, slots
	}
}

// admit decides on a request that would be the given one in progress.
func (g *gate) admit(number int64, now time.Time) Grant {
	if wait := g.pausedUntil.Sub(now); wait > 0 {
		return Grant{RetryAfter: wait}
	}
	if number > int64(g.room) && g.room < g.slots && !now.Before(g.raiseAt) {
		g.room++
		g.raiseAt = now.Add(g.raiseInterval())
	}
	return Grant{Granted: number <= int64(g.room)}
}

// refused lowers the room after a refusal, given the number of requests in progress that the
// engine has refused one of.
func (g *gate) refused(inProgress int64, now time.Time) {
	beyond := inProgress > int64(g.room) // Without slots, as before they were reserved.
	repeated := now.Sub(g.refusedAt) < refusalMemory
	g.refusedAt, g.raiseAt = now, now.Add(g.raiseInterval())
	g.room = min(g.room, int(inProgress)-1)
	if repeated && !beyond {
		g.room -= g.room / repeatedCut
		g.pausedUntil = now.Add(min(max(perSecond(repeatedShare*max(g.tolerated, 1)), minRefusalPause), maxRefusalPause))
	}
	g.room = max(g.room, 1)
}

// raiseInterval returns the time between two attempts to have more requests in progress.
func (g *gate) raiseInterval() time.Duration {
	if g.tolerated <= 0 {
		return minRaiseInterval
	}
	return max(minRaiseInterval, perSecond(raiseShare*g.tolerated))
}

// perSecond returns the time between two events at the given rate per second.
func perSecond(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// Refused records that an engine has refused a request of a daemon.
func (s *Store) Refused(engine uint32, now time.Time) {
	shard := s.shard(engine)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state := shard.getOrCreate(engine)
	state.gate.refused(state.requests("", now), now)
}

// Forget drops the load that daemons have reported for which live returns false. The requests of a
// daemon that has died end with it.
func (s *Store) Forget(live func(daemon string) bool) {
	for i := range s.shards {
		s.shards[i].forget(live)
	}
}

func (s *shard) forget(live func(daemon string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.engines {
		for name := range state.byDaemon {
			if !live(name) {
				delete(state.byDaemon, name)
			}
		}
	}
}
