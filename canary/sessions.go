package canary

import (
	"maps"
	"sync"
	"time"
)

// maxSessions bounds the sessions remembered for each service, minSweep the number from
// which those that have lapsed are looked for, sweepPause the time between two such searches
// at least.
const (
	maxSessions = 4096
	minSweep    = 64
	sweepPause  = 100 * time.Millisecond
)

const (
	// toldPrecision is how much the times of a run differ between daemons at most.
	toldPrecision = 200 * time.Millisecond
	// tellFor is how long a daemon tells of a session: some rounds of the fleet's tally, so that
	// it reaches all, and no longer, since in a large fleet there are thousands.
	tellFor = 1500 * time.Millisecond
)

// Sessions remembers on which version the sessions of one service last ran, until they
// lapse. A request that comes later belongs to a new session. It is safe for concurrent use.
type Sessions struct {
	lapse time.Duration

	mu   sync.Mutex
	last map[uint64]lastRun
	// sweepAt is the number of sessions at which those that have lapsed are dropped, swept
	// when that was done last.
	sweepAt int
	swept   time.Time
}

// lastRun is the last run of a session.
type lastRun struct {
	// version is empty for a run that another daemon has told of. Only runs on versions
	// that have stopped are told.
	version string
	ended   time.Time
	// told is when the others were first told of it, zero for never.
	told time.Time
}

// StoppedSession is a session that last ran on a version that has stopped.
type StoppedSession struct {
	Session uint64
	// Ended is when the run ended, from the time of the order on. It is negative for runs
	// that ended before.
	Ended time.Duration
}

// NewSessions returns an empty memory of sessions that lapse after so long without a request.
func NewSessions(lapse time.Duration) *Sessions {
	return &Sessions{lapse: lapse, last: make(map[uint64]lastRun), sweepAt: minSweep}
}

// Ran takes in that a request of the session has run on a version and ended.
func (s *Sessions) Ran(session uint64, version string, ended time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(session, lastRun{version: version, ended: ended})
}

// Heard takes in that the session ran at another daemon, on a version that has stopped.
// This daemon's own runs come back from the others with times that differ a little.
func (s *Sessions) Heard(session uint64, ended time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.last[session]; ok && ended.Sub(known.ended) < toldPrecision {
		return
	}
	s.note(session, lastRun{ended: ended})
}

// note keeps the run unless a later one is known. The caller holds mu.
func (s *Sessions) note(session uint64, run lastRun) {
	if known, ok := s.last[session]; ok && !run.ended.After(known.ended) {
		return
	}
	if len(s.last) >= s.sweepAt && run.ended.Sub(s.swept) >= sweepPause {
		s.swept = run.ended
		maps.DeleteFunc(s.last, func(_ uint64, r lastRun) bool { return run.ended.Sub(r.ended) > s.lapse })
		s.sweepAt = min(max(2*len(s.last), minSweep), maxSessions)
	}
	if len(s.last) < maxSessions {
		s.last[session] = run
	}
}

// Lapses returns when the session lapses if it last ran on a version that has stopped, and
// the zero time for any other session.
func (s *Sessions) Lapses(session uint64, stopped func(version string) bool, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, ok := s.last[session]
	if !ok || now.Sub(run.ended) >= s.lapse || run.version != "" && !stopped(run.version) {
		return time.Time{}
	}
	return run.ended.Add(s.lapse)
}

// Stopped returns the sessions that the others should be told of: they have last run on this
// daemon, on versions that have stopped, and have not lapsed. The times are relative to that of
// an order.
func (s *Sessions) Stopped(stopped func(version string) bool, ordered, now time.Time) []StoppedSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []StoppedSession
	for session, run := range s.last {
		if run.version == "" || now.Sub(run.ended) >= s.lapse || !stopped(run.version) {
			continue
		}
		if run.told.IsZero() {
			run.told = now
			s.last[session] = run
		}
		if now.Sub(run.told) < tellFor {
			found = append(found, StoppedSession{Session: session, Ended: run.ended.Sub(ordered)})
		}
	}
	return found
}
