package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func open(b *Breaker, now time.Time) {
	for range b.options.Failures {
		b.Failure(now)
	}
}

func TestBreakerOpensAndProbesOnce(t *testing.T) {
	c := qt.New(t)
	o := DefaultBreakerOptions()
	b := NewBreaker(o)
	for range o.Failures - 1 {
		b.Failure(epoch)
	}
	c.Assert(b.Allow(epoch), qt.IsTrue)
	b.Failure(epoch)
	c.Assert(b.State(), qt.Equals, Open)
	c.Assert(b.Allow(epoch.Add(o.OpenFor-1)), qt.IsFalse)

	now := epoch.Add(o.OpenFor)
	c.Assert(b.Allow(now), qt.IsTrue)
	c.Assert(b.Allow(now), qt.IsFalse, qt.Commentf("one probe at a time"))
	b.Failure(now)
	c.Assert(b.Allow(now.Add(o.OpenFor)), qt.IsFalse, qt.Commentf("open twice as long"))
	now = now.Add(2 * o.OpenFor)
	c.Assert(b.Allow(now), qt.IsTrue)
	b.Success()
	c.Assert(b.State(), qt.Equals, Closed)
	for range 10 {
		c.Assert(b.Allow(now), qt.IsTrue)
	}
}

func TestLateSuccessDoesNotCloseOpenBreaker(t *testing.T) {
	c := qt.New(t)
	b := NewBreaker(DefaultBreakerOptions())
	open(b, epoch)
	b.Success()
	c.Assert(b.State(), qt.Equals, Open)
}

func TestBreakerProbeWithoutOutcome(t *testing.T) {
	c := qt.New(t)
	o := DefaultBreakerOptions()
	b := NewBreaker(o)
	open(b, epoch)
	now := epoch.Add(o.OpenFor)
	c.Assert(b.Allow(now), qt.IsTrue)
	b.Abandon(now)
	c.Assert(b.Allow(now), qt.IsTrue, qt.Commentf("an abandoned probe may be sent again"))

	now = now.Add(o.ProbeTimeout)
	c.Assert(b.Allow(now), qt.IsFalse, qt.Commentf("a lost probe counts as failed"))
	c.Assert(b.State(), qt.Equals, Open)
	c.Assert(b.Allow(now.Add(2*o.OpenFor)), qt.IsTrue)
}

func TestBreakerEventuallyAllowsCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := DefaultBreakerOptions()
		b := NewBreaker(o)
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				b.Allow(now)
			case 1:
				b.Success()
			case 2:
				b.Failure(now)
			case 3:
				b.Abandon(now)
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		// A call is allowed after at most two waits of the maximum length.
		now = now.Add(o.MaxOpen)
		if !b.Allow(now) && !b.Allow(now.Add(o.MaxOpen)) {
			t.Fatalf("stuck in %v", b.State())
		}
	})
}

func TestBreakersKeepOnePerTarget(t *testing.T) {
	c := qt.New(t)
	s := NewBreakers(DefaultBreakerOptions())
	a := s.Target("a")
	c.Assert(s.Target("a"), qt.Equals, a)
	c.Assert(s.Target("b"), qt.Not(qt.Equals), a)
	s.Keep(func(name string) bool { return name == "b" })
	c.Assert(s.Target("a"), qt.Not(qt.Equals), a)
}

func TestBreakerKeepsARequestedPause(t *testing.T) {
	c := qt.New(t)
	o := DefaultBreakerOptions()
	b := NewBreaker(o)
	pause := 2 * o.MaxOpen
	b.Pause(epoch, pause)
	b.Pause(epoch, time.Second)
	b.Success()
	c.Check(b.Allow(epoch.Add(pause-1)), qt.IsFalse)
	c.Check(b.NextCall(), qt.Equals, epoch.Add(pause))
	c.Check(b.Allow(epoch.Add(pause)), qt.IsTrue)
	open(b, epoch)
	c.Check(b.Allow(epoch.Add(o.OpenFor)), qt.IsFalse, qt.Commentf("no probe in the pause"))
	c.Check(b.Allow(epoch.Add(pause)), qt.IsTrue)
}
