package scheduler

import (
	"slices"
	"time"
)

// grant is a granted request that no message of its daemon includes yet.
type grant struct {
	*item
	engine uint32 // 0 if the daemon chooses
	serial uint64
	// previous is the account's lastGrant before this one.
	previous uint64
}

// daemon is what one daemon has in progress.
type daemon struct {
	running map[uint32]int
	granted map[uint64]*grant
}

func (s *Scheduler) daemon(name string) *daemon {
	d := s.daemons[name]
	if d == nil {
		d = &daemon{running: map[uint32]int{}, granted: map[uint64]*grant{}}
		s.daemons[name] = d
	}
	return d
}

// occupy changes the number of requests that run at an engine. Engine 0 stands for grants
// whose daemon has not chosen yet.
func (s *Scheduler) occupy(hash uint32, n int) {
	if hash == 0 {
		s.undecided += n
		return
	}
	if e := s.pool.engines[hash]; e != nil {
		e.running += n
		s.refresh(e)
		return
	}
	s.elsewhere[hash] += n
	if s.elsewhere[hash] == 0 {
		delete(s.elsewhere, hash)
	}
}

// refresh updates an engine after a change, and lets requests that only waited for it compete
// again.
func (s *Scheduler) refresh(e *engine) {
	if n := s.pool.refresh(e, s.meanWork); n > 0 && len(s.blocked) > 0 {
		s.unblock(e, n)
	}
}

// Started records that a granted request was sent to an engine, which may differ from the
// granted one. It is for Schedulers whose daemon sends no SetRunning. The request runs until
// Ended. Without a grant it does nothing, so a repetition is harmless.
func (s *Scheduler) Started(id ID, engine uint32) {
	d := s.daemons[id.Daemon]
	if d == nil || d.granted[id.Number] == nil {
		return
	}
	g := d.granted[id.Number]
	delete(d.granted, id.Number)
	d.running[engine]++
	if engine != g.engine {
		s.occupy(g.engine, -1)
		s.occupy(engine, 1)
	}
}

// Returned withdraws a grant whose request was not sent and does not wait any more.
func (s *Scheduler) Returned(id ID) { s.revoke(id) }

// revoke removes a grant and returns it, or nil.
func (s *Scheduler) revoke(id ID) *grant {
	d := s.daemons[id.Daemon]
	if d == nil || d.granted[id.Number] == nil {
		return nil
	}
	g := d.granted[id.Number]
	delete(d.granted, id.Number)
	s.occupy(g.engine, -1)
	return g
}

// SetRunning replaces the requests that a daemon runs, by engine. The daemon's grants up to
// the serial number are included in these counts, or have ended; later ones count in addition.
// Grants of which the daemon says that they still wait must be given to Requeue before.
func (s *Scheduler) SetRunning(name string, running map[uint32]int, serial uint64) {
	d := s.daemon(name)
	for number, g := range d.granted {
		if g.serial <= serial {
			delete(d.granted, number)
			s.occupy(g.engine, -1)
		}
	}
	for hash, n := range running {
		n = min(max(n, 0), maxSlots*(maxAllowance+1))
		if change := n - d.running[hash]; change != 0 {
			d.running[hash] = n
			s.occupy(hash, change)
		}
	}
	for hash, n := range d.running {
		if _, ok := running[hash]; !ok || n == 0 {
			delete(d.running, hash)
			s.occupy(hash, -n)
		}
	}
}

// Ended records the end of a run of the daemon. Where the daemon also sends SetRunning, Ended
// comes first, as the counts of SetRunning no longer include the run. A run of an unknown
// engine does nothing.
func (s *Scheduler) Ended(now time.Time, name string, f Finished) {
	s.advance(now)
	e := s.pool.engines[f.Engine]
	if d := s.daemons[name]; d != nil && d.running[f.Engine] > 0 {
		d.running[f.Engine]--
		if e == nil {
			s.occupy(f.Engine, -1)
			return
		}
		e.running--
	}
	if e == nil {
		return
	}
	work, run := s.options.work(f.Work), min(max(f.Duration, 0), maxWork).Seconds()
	switch f.Outcome {
	case Answered:
		e.failed = 0
		if run > 0 {
			s.pool.learn(e, run, work)
		}
		s.drain.ended(work)
	case Canceled:
		s.drain.ended(min(work, run/e.pace))
	case Full:
		s.pool.exclude(e, now.Add(fullPause))
	case Failed:
		if e.failed++; e.failed >= maxFailures {
			s.pool.exclude(e, now.Add(failurePause))
		}
	}
	s.refresh(e)
}

// Full records that an engine refused a request because it is full.
func (s *Scheduler) Full(now time.Time, hash uint32) {
	s.advance(now)
	if e := s.pool.engines[hash]; e != nil {
		s.pool.exclude(e, now.Add(fullPause))
		s.refresh(e)
	}
}

// RemoveDaemon forgets what a daemon runs, its waiting requests and its refusals. A new process
// of the daemon may use the same numbers again.
func (s *Scheduler) RemoveDaemon(name string) {
	s.SetRunning(name, nil, s.serial)
	delete(s.daemons, name)
	for id, it := range s.items {
		if id.Daemon == name {
			s.drop(it)
		}
	}
	s.pending = slices.DeleteFunc(s.pending, func(r Refusal) bool { return r.ID.Daemon == name })
	s.refused.removeDaemon(name)
}
