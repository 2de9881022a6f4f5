package canary

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testLapse = 5 * time.Second

// stoppedV1 reports that v1 alone has stopped.
func stoppedV1(version string) bool { return version == "v1" }

// TestSessionOfStoppedVersionLapses guards against requests that move to another version while
// their session goes on.
func TestSessionOfStoppedVersionLapses(t *testing.T) {
	c := qt.New(t)
	s, now := NewSessions(testLapse), time.Unix(1000, 0)
	s.Ran(1, "v1", now)
	s.Ran(2, "v2", now)
	s.RanElsewhere(3, now.Add(-time.Second))
	c.Check(s.Lapses(1, stoppedV1, now), qt.Equals, now.Add(testLapse))
	c.Check(s.Lapses(2, stoppedV1, now).IsZero(), qt.IsTrue)
	c.Check(s.Lapses(3, stoppedV1, now), qt.Equals, now.Add(testLapse-time.Second))
	c.Check(s.Lapses(4, stoppedV1, now).IsZero(), qt.IsTrue)
	c.Check(s.Lapses(1, stoppedV1, now.Add(testLapse)).IsZero(), qt.IsTrue)
	// A later run on the serving version ends the wait.
	s.Ran(1, "v2", now.Add(time.Second))
	c.Check(s.Lapses(1, stoppedV1, now.Add(time.Second)).IsZero(), qt.IsTrue)
	// Reports of others may be older than this daemon's own run.
	s.RanElsewhere(1, now)
	c.Check(s.Lapses(1, stoppedV1, now.Add(time.Second)).IsZero(), qt.IsTrue)
}

// TestOwnRunsAreReportedForLimitedTime guards against a daemon that loses its own runs when
// they are reported back with times rounded up, and against reports that hold thousands of
// sessions for longer than it takes to spread them.
func TestOwnRunsAreReportedForLimitedTime(t *testing.T) {
	c := qt.New(t)
	s, now := NewSessions(testLapse), time.Unix(1000, 0)
	s.Ran(1, "v1", now)
	s.Ran(2, "v2", now)
	s.RanElsewhere(1, now.Add(time.Millisecond))
	s.RanElsewhere(3, now)
	ordered := now.Add(time.Second)
	c.Check(s.Stopped(stoppedV1, ordered, now), qt.DeepEquals, []StoppedSession{{Session: 1, Ended: -time.Second}})
	c.Check(s.Stopped(stoppedV1, ordered, now.Add(reportDuration-time.Millisecond)), qt.HasLen, 1)
	c.Check(s.Stopped(stoppedV1, ordered, now.Add(reportDuration)), qt.HasLen, 0)
	c.Check(s.Lapses(1, stoppedV1, now.Add(reportDuration)).IsZero(), qt.IsFalse)
	// A lapsed session is not reported.
	s.Ran(4, "v1", now)
	c.Check(s.Stopped(stoppedV1, ordered, now.Add(testLapse)), qt.HasLen, 0)
}

// TestLapsedSessionsAreDropped guards against memory use that grows with all sessions ever
// seen.
func TestLapsedSessionsAreDropped(t *testing.T) {
	c := qt.New(t)
	s, now := NewSessions(testLapse), time.Unix(1000, 0)
	for n := range uint64(20_000) {
		now = now.Add(100 * time.Millisecond)
		s.Ran(n, "v1", now)
		c.Assert(len(s.last) <= 2*minSweepSize, qt.IsTrue)
	}
	for n := range uint64(2 * maxSessions) {
		s.Ran(n, "v1", now)
	}
	c.Check(len(s.last), qt.Equals, maxSessions)
}

// TestSessionInProgressOnAStoppedVersionIsReported guards against news of a session that comes to the
// other daemons only after its request has ended, when its next one may have been served already.
func TestSessionInProgressOnAStoppedVersionIsReported(t *testing.T) {
	c := qt.New(t)
	s, other, now := NewSessions(testLapse), NewSessions(testLapse), time.Unix(1000, 0)
	for session, version := range map[uint64]string{1: "v1", 2: "v2", 3: ""} {
		s.Began(session)
		s.Running(session, version)
	}
	later := now.Add(2 * reportDuration)
	for _, at := range []time.Time{now, later} {
		stopped := s.Stopped(stoppedV1, now, at)
		c.Check(stopped, qt.DeepEquals, []StoppedSession{{Session: 1, Ended: at.Sub(now)}})
		other.RanElsewhere(1, now.Add(stopped[0].Ended))
		c.Check(other.Lapses(1, stoppedV1, at), qt.Equals, at.Add(testLapse))
	}
	c.Check(s.Lapses(1, stoppedV1, later), qt.Equals, later.Add(testLapse))
	c.Check(s.Lapses(2, stoppedV1, later).IsZero(), qt.IsTrue)
	s.Ran(1, "v1", later)
	s.Ended(1)
	c.Check(s.Stopped(stoppedV1, now, later), qt.HasLen, 1)
	c.Check(s.Stopped(stoppedV1, now, later.Add(reportDuration)), qt.HasLen, 0)
	c.Check(s.active, qt.HasLen, 2)
}

// TestEndOfASessionInProgressIsNotIgnored guards against sessions that count as lapsed too early: a
// request is reported while it runs, and its end may follow within the skew of the daemons' times.
func TestEndOfASessionInProgressIsNotIgnored(t *testing.T) {
	c := qt.New(t)
	other, now := NewSessions(testLapse), time.Unix(1000, 0)
	ended := now.Add(maxRunTimeSkew - time.Millisecond)
	other.RanElsewhere(1, now)
	other.RanElsewhere(1, ended)
	c.Check(other.Lapses(1, stoppedV1, ended), qt.Equals, ended.Add(testLapse))
}
