package canary

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// maxSessions bounds the sessions remembered for each service. Lapsed sessions are dropped from
// minSweepSize sessions on, and at most once in minSweepInterval.
const (
	maxSessions      = 4096
	minSweepSize     = 64
	minSweepInterval = 100 * time.Millisecond
)

const (
	// maxRunTimeSkew is the largest difference between daemons in the times of a run.
	maxRunTimeSkew = 200 * time.Millisecond
	// reportDuration is how long a daemon reports a session: some rounds of the fleet's tally,
	// so that all daemons learn of it, and no longer, since in a large fleet there are
	// thousands.
	reportDuration = 1500 * time.Millisecond
)

// Sessions remembers the sessions of one service that are in progress, and on which version each
// last ran, until the session lapses. A request after that belongs to a new session. It is safe for
// concurrent use.
type Sessions struct {
	lapse time.Duration

	mu   sync.Mutex
	last map[uint64]lastRun
	// active are the sessions with requests in progress.
	active map[uint64]activeSession
	// sweepAt is the number of sessions at which lapsed ones are dropped, lastSweep the last
	// time that this was done.
	sweepAt   int
	lastSweep time.Time
}

// activeSession is a session with requests in progress.
type activeSession struct {
	requests int
	// version is what the last of them runs on, "" if it has not been sent yet.
	version string
}

// lastRun is the last run of a session.
type lastRun struct {
	// version is empty for a run that another daemon reported. Only runs on versions that have
	// stopped are reported.
	version string
	ended   time.Time
	// firstReported is when the run was first reported to the others, zero for never.
	firstReported time.Time
}

// StoppedSession is a session that last ran on a version that has stopped.
type StoppedSession struct {
	Session uint64
	// Ended is when the run ended, relative to the time of the order. It is negative for runs
	// that ended before the order. A run in progress ends at the time of the report.
	Ended time.Duration
}

// NewSessions returns an empty Sessions. Sessions lapse after the given time without a request.
func NewSessions(lapse time.Duration) *Sessions {
	return &Sessions{lapse: lapse, last: make(map[uint64]lastRun), active: make(map[uint64]activeSession), sweepAt: minSweepSize}
}

// Began records that a request of the session is in progress. Each call must be followed by one of
// Ended.
func (s *Sessions) Began(session uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.active[session]
	a.requests++
	s.active[session] = a
}

// Running records the version that a request in progress of the session is sent to.
func (s *Sessions) Running(session uint64, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.active[session]; ok {
		a.version = version
		s.active[session] = a
	}
}

// Ended records that a request of the session is no longer in progress.
func (s *Sessions) Ended(session uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.active[session]
	if a.requests--; a.requests <= 0 {
		delete(s.active, session)
		return
	}
	s.active[session] = a
}

// Ran records that a request of the session ran on a version and when it ended.
func (s *Sessions) Ran(session uint64, version string, ended time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(session, lastRun{version: version, ended: ended})
}

// Recent returns the sessions with requests in progress, or whose last run ended less than a time
// ago.
func (s *Sessions) Recent(within time.Duration, now time.Time) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := slices.Collect(maps.Keys(s.active))
	for session, run := range s.last {
		if _, active := s.active[session]; !active && now.Sub(run.ended) < within {
			found = append(found, session)
		}
	}
	return found
}

// RanElsewhere records that the session ran on a version that has stopped, as reported by
// another daemon. This daemon's own runs are reported back to it with slightly different times.
func (s *Sessions) RanElsewhere(session uint64, ended time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.last[session]; ok && known.version != "" && ended.Sub(known.ended) < maxRunTimeSkew {
		return
	}
	s.record(session, lastRun{ended: ended})
}

// record stores the run unless a later one is known. The caller holds mu.
func (s *Sessions) record(session uint64, run lastRun) {
	if known, ok := s.last[session]; ok && !run.ended.After(known.ended) {
		return
	}
	if len(s.last) >= s.sweepAt && run.ended.Sub(s.lastSweep) >= minSweepInterval {
		s.lastSweep = run.ended
		maps.DeleteFunc(s.last, func(_ uint64, r lastRun) bool { return run.ended.Sub(r.ended) > s.lapse })
		s.sweepAt = min(max(2*len(s.last), minSweepSize), maxSessions)
	}
	if len(s.last) < maxSessions {
		s.last[session] = run
	}
}

// Lapses returns when the session lapses if it runs or last ran on a version that has stopped, and
// the zero time for any other session.
func (s *Sessions) Lapses(session uint64, stopped func(version string) bool, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.active[session]; a.version != "" && stopped(a.version) {
		return now.Add(s.lapse)
	}
	run, ok := s.last[session]
	if !ok || now.Sub(run.ended) >= s.lapse || run.version != "" && !stopped(run.version) {
		return time.Time{}
	}
	return run.ended.Add(s.lapse)
}

// Stopped returns the sessions to report to the other daemons. Those run or last ran on this
// daemon, on versions that have stopped, and have not lapsed. Sessions with a request in progress are
// reported until it ends, since the next one may come to another daemon at once. The times are
// relative to that of an order.
func (s *Sessions) Stopped(stopped func(version string) bool, ordered, now time.Time) []StoppedSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []StoppedSession
	for session, a := range s.active {
		if a.version != "" && stopped(a.version) {
			found = append(found, StoppedSession{Session: session, Ended: now.Sub(ordered)})
		}
	}
	for session, run := range s.last {
		if s.active[session].version != "" || run.version == "" || now.Sub(run.ended) >= s.lapse || !stopped(run.version) {
			continue
		}
		if run.firstReported.IsZero() {
			run.firstReported = now
			s.last[session] = run
		}
		if now.Sub(run.firstReported) < reportDuration {
			found = append(found, StoppedSession{Session: session, Ended: run.ended.Sub(ordered)})
		}
	}
	return found
}
