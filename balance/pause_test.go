package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// TestRequestedPauseIsKeptInFull guards against requests to an engine that asked for none: because
// the pause exceeds the longest one that the balancer makes by itself, because the answer that asks
// for it belongs to a request sent before another pause began, because it is not a refusal, or
// because an earlier request succeeds meanwhile.
func TestRequestedPauseIsKeptInFull(t *testing.T) {
	const pause = 2 * maxBusyPause
	failed := func(s *State, kind FailureKind, retryAfter time.Duration, at time.Time) {
		send(s, "engine-0", 1, at)
		s.Failed(Failed{Engine: "engine-0", Work: newRequest().Work, Kind: kind, RetryAfter: retryAfter, At: at})
	}
	for name, ask := range map[string]func(s *State){
		"refusal":              func(s *State) { failed(s, FailureBusy, pause, epoch) },
		"error":                func(s *State) { failed(s, FailureError, pause, epoch) },
		"refusal in a pause":   func(s *State) { failed(s, FailureBusy, 0, epoch); failed(s, FailureBusy, pause, epoch) },
		"shorter pause after":  func(s *State) { failed(s, FailureBusy, pause, epoch); failed(s, FailureBusy, time.Second, epoch) },
		"success in the pause": func(s *State) { failed(s, FailureBusy, pause, epoch); succeed(s, "engine-0", 1, epoch) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newState(c)
			p := s.Plan(newRegister(1), nil)
			ask(s)
			c.Check(s.PausedUntil("engine-0").Equal(epoch.Add(pause)), qt.IsTrue)
			d, ok := s.Choose(p, newRequest(), epoch.Add(pause-time.Millisecond), newRand())
			c.Check(ok, qt.IsFalse)
			c.Check(d.Reason, qt.Equals, ReasonNoEngine)
			_, ok = s.Choose(p, newRequest(), epoch.Add(pause), newRand())
			c.Check(ok, qt.IsTrue)
		})
	}
}

func TestPausedEngineKeepsItsActivity(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	p := s.Plan(newRegister(1), nil)
	send(s, "engine-0", 1, epoch)
	s.Failed(Failed{Engine: "engine-0", Work: newRequest().Work, Kind: FailureBusy, RetryAfter: 2 * activityTTL, At: epoch})
	s.active.evictIdle(p, epoch.Add(activityTTL))
	c.Check(s.PausedUntil("engine-0").Equal(epoch.Add(2*activityTTL)), qt.IsTrue)
	s.active.evictIdle(p, epoch.Add(2*activityTTL))
	c.Check(s.active.list(), qt.HasLen, 0)
	c.Check(s.PausedUntil("unknown").IsZero(), qt.IsTrue)
}

// TestPauseOutlivesATimeOutOfThePlan guards against requests to a paused engine that was out of use
// for a moment, as when its data centre is evacuated and comes back.
func TestPauseOutlivesATimeOutOfThePlan(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	register := newRegister(2)
	s.Plan(register, nil)
	now := time.Now()
	send(s, "engine-0", 1, now)
	s.Failed(Failed{Engine: "engine-0", Work: newRequest().Work, Kind: FailureBusy, RetryAfter: time.Minute, At: now})
	s.Plan(register, func(e *bronzeturnv1.Engine) bool { return e.GetName() != "engine-0" })
	s.Plan(register, nil)
	c.Check(s.PausedUntil("engine-0").Equal(now.Add(time.Minute)), qt.IsTrue)
}
