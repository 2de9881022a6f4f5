package balance

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// share returns how many of n choices pick the engine.
func share(s *State, p *Plan, engine string, n int, now time.Time) int {
	rng := newRand()
	hits := 0
	r := newRequest()
	r.NoProbe = true
	for range n {
		if d, ok := s.Choose(p, r, now, rng); ok && d.Engine.GetName() == engine {
			hits++
		}
	}
	return hits
}

func TestEngineThatFailsFastGetsNoWork(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	p := s.Plan(newRegister(6), nil)
	// The other engines have a queue; the failing one is always idle.
	for _, i := range []int{1, 2, 3, 4, 5} {
		send(s, fmt.Sprintf("engine-%d", i), 10, epoch)
	}
	c.Assert(share(s, p, "engine-0", 100, epoch) > 50, qt.IsTrue)
	fail(s, "engine-0", 3, epoch)
	c.Assert(share(s, p, "engine-0", 100, epoch), qt.Equals, 0)
}

func TestEjectedEngineIsReadmittedByProbes(t *testing.T) {
	c := qt.New(t)
	s, rng := newState(c), newRand()
	p := s.Plan(newRegister(3), nil)
	fail(s, "engine-0", 3, epoch)
	r := newRequest()
	probes := 0
	now := epoch.Add(s.options.EjectFor)
	for range 100 { // only one of 100 simultaneous choices is a probe
		if d, _ := s.Choose(p, r, now, rng); d.Engine.GetName() == "engine-0" {
			c.Assert(d.Reason, qt.Equals, ReasonProbe)
			probes++
		}
	}
	c.Assert(probes, qt.Equals, 1)
	fail(s, "engine-0", 1, now) // the probe fails: the ejection doubles
	c.Assert(p.engines[0].activity().health.until.Load(), qt.Equals, now.Add(2*s.options.EjectFor).UnixNano())
	now = now.Add(2 * s.options.EjectFor)
	succeed(s, "engine-0", s.options.TrickleSuccesses, now)
	c.Assert(phase(p.engines[0].activity().health.phase.Load()), qt.Equals, admitted)
	early := share(s, p, "engine-0", 300, now)
	late := share(s, p, "engine-0", 300, now.Add(s.options.WarmUp))
	c.Assert(early*2 < late, qt.IsTrue, qt.Commentf("warm-up: %d then %d", early, late))
}

func TestLateFailuresDoNotExtendEjection(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	p := s.Plan(newRegister(3), nil)
	fail(s, "engine-0", 20, epoch)
	c.Assert(p.engines[0].activity().health.until.Load(), qt.Equals, epoch.Add(s.options.EjectFor).UnixNano())
}

func TestEjectedShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := mustState(t)
		n := rapid.IntRange(1, 30).Draw(t, "engines")
		p := s.Plan(newRegister(n), nil)
		now := epoch
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			name := fmt.Sprintf("engine-%d", rapid.IntRange(0, n-1).Draw(t, "engine"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				fail(s, name, 3, now)
			case 2:
				succeed(s, name, 3, now)
			case 3:
				now = now.Add(3 * time.Second)
				p = s.Plan(newRegister(n), nil)
			}
			ejected := 0
			for _, e := range p.engines {
				if phase(e.activity().health.phase.Load()) != admitted {
					ejected++
				}
			}
			if limit := maxEjected(n, s.options.MaxEjectedShare); ejected > limit {
				t.Fatalf("%d of %d engines ejected, at most %d allowed", ejected, n, limit)
			}
			pool := p.engines[0].poolConfig.Load().pool
			if pool.ejected != ejected {
				t.Fatalf("pool counts %d ejected engines, there are %d", pool.ejected, ejected)
			}
			for _, e := range s.active.list() {
				if e.activity().health.pool != pool {
					t.Fatalf("%s belongs to another pool", e.name)
				}
			}
		}
	})
}

func TestNewEngineWarmsUp(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	s.Plan(newRegister(5), nil)
	p := s.Plan(newRegister(6), nil) // engine-5 is new; hall-2 has engines 2 and 5
	count := func(now time.Time) int {
		rng, hits := newRand(), 0
		r := newRequest()
		r.DataCentre = "hall-2"
		for range 400 {
			if d, _ := s.Choose(p, r, now, rng); d.Engine.GetName() == "engine-5" {
				hits++
			}
		}
		return hits
	}
	first := count(epoch)
	full := count(epoch.Add(s.options.WarmUp))
	c.Assert(first*3 < full, qt.IsTrue, qt.Commentf("%d then %d", first, full))
}

// answer reports n answers with the given time per token.
func answer(s *State, engine string, n int, perToken time.Duration, at time.Time) {
	const tokens = 101
	for range n {
		send(s, engine, 1, at)
		s.FirstToken(FirstToken{Engine: engine, Work: newRequest().Work, Latency: 50 * time.Millisecond, Expected: 50 * time.Millisecond, At: at})
		s.Finished(Finished{Engine: engine, Work: newRequest().Work, FirstTokenSeen: true, Tokens: tokens, Generation: (tokens - 1) * perToken, At: at})
	}
}

func TestSlowEngineIsEjectedAndReadmitted(t *testing.T) {
	c := qt.New(t)
	s, rng := newState(c), newRand()
	p := s.Plan(newRegister(6), nil)
	for i := range 6 {
		answer(s, fmt.Sprintf("engine-%d", i), s.options.SlowSamples, 25*time.Millisecond, epoch)
	}
	c.Assert(s.Review(p, epoch), qt.HasLen, 0)
	answer(s, "engine-0", 30, 100*time.Millisecond, epoch)
	changes := s.Review(p, epoch)
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Engine, qt.Equals, "engine-0")
	c.Assert(changes[0].Phase, qt.Equals, "slow")
	c.Assert(share(s, p, "engine-0", 100, epoch), qt.Equals, 0)

	// If no other engine is usable, the slow one is used rather than refusing.
	r := newRequest()
	r.Leaving = func(host string) bool { return host != "host-0" }
	d, ok := s.Choose(p, r, epoch, rng)
	c.Assert(ok, qt.IsTrue)
	c.Assert(d.Reason, qt.Equals, ReasonSlowOnly)

	now := epoch.Add(s.options.EjectFor)
	answer(s, "engine-0", s.options.TrickleSuccesses, 100*time.Millisecond, now)
	c.Assert(s.Review(p, now), qt.HasLen, 0, qt.Commentf("the probes were slow: ejected again"))
	now = now.Add(2 * s.options.EjectFor)
	answer(s, "engine-0", s.options.TrickleSuccesses, 25*time.Millisecond, now)
	changes = s.Review(p, now)
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Phase, qt.Equals, "admitted")
}

func TestSlowFirstTokensCountAsSlowness(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	p := s.Plan(newRegister(6), nil)
	for i := range 6 {
		answer(s, fmt.Sprintf("engine-%d", i), s.options.SlowSamples, 25*time.Millisecond, epoch)
	}
	for range 20 {
		s.FirstToken(FirstToken{Engine: "engine-4", Latency: 2 * time.Second, Expected: 50 * time.Millisecond, At: epoch})
	}
	changes := s.Review(p, epoch)
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Engine, qt.Equals, "engine-4")
}

func TestSlowShareIsBoundedAndEjectsSlowestFirst(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	p := s.Plan(newRegister(12), nil)
	for i := range 12 {
		per := 25 * time.Millisecond
		if i < 5 {
			per = time.Duration(60+10*i) * time.Millisecond
		}
		answer(s, fmt.Sprintf("engine-%d", i), s.options.SlowSamples, per, epoch)
	}
	var ejected []string
	for _, change := range s.Review(p, epoch) {
		ejected = append(ejected, change.Engine)
	}
	c.Assert(ejected, qt.DeepEquals, []string{"engine-4", "engine-3", "engine-2"})
	c.Assert(s.Review(p, epoch), qt.HasLen, 0)
}

func TestSingleSlowAnswersDoNotEject(t *testing.T) {
	c := qt.New(t)
	s, rng := newState(c), newRand()
	p := s.Plan(newRegister(12), nil)
	now := epoch
	for range 3000 {
		now = now.Add(20 * time.Millisecond)
		per := 25 * time.Millisecond
		if rng.Float64() < 0.02 {
			per *= 8
		}
		answer(s, fmt.Sprintf("engine-%d", rng.IntN(12)), 1, per, now)
		c.Assert(s.Review(p, now), qt.HasLen, 0)
	}
}

func TestSlowEngineStaysWhilePoolIsFull(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	p := s.Plan(newRegister(6), nil)
	for i := range 6 {
		name := fmt.Sprintf("engine-%d", i)
		answer(s, name, s.options.SlowSamples, 25*time.Millisecond, epoch)
		send(s, name, 6, epoch) // of 8 slots
	}
	answer(s, "engine-0", 30, 100*time.Millisecond, epoch)
	c.Assert(s.Review(p, epoch), qt.HasLen, 0)
	c.Assert(p.engines[0].activity().health.slownessFactor() > 3, qt.IsTrue, qt.Commentf("the slowness still raises the cost estimate"))
	for i := range 6 {
		for range 3 {
			s.Finished(Finished{Engine: fmt.Sprintf("engine-%d", i), Work: newRequest().Work, Cancelled: true, At: epoch})
		}
	}
	c.Assert(s.Review(p, epoch), qt.HasLen, 1)
}

func TestRefusingEngineGetsLongerPauses(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	p := s.Plan(newRegister(3), nil)
	refuse := func(at time.Time) time.Duration {
		for range 5 { // simultaneous refusals count once
			send(s, "engine-0", 1, at)
			s.Failed(Failed{Engine: "engine-0", Work: newRequest().Work, Kind: FailureBusy, At: at})
		}
		return time.Duration(p.engines[0].activity().health.busyUntil.Load() - at.UnixNano())
	}
	now := epoch
	for _, want := range []time.Duration{250, 500, 1000, 2000, 4000, 5000, 5000} {
		pause := refuse(now)
		c.Assert(pause, qt.Equals, want*time.Millisecond)
		c.Assert(share(s, p, "engine-0", 50, now), qt.Equals, 0)
		now = now.Add(pause)
	}
	succeed(s, "engine-0", 1, now)
	c.Assert(refuse(now), qt.Equals, busyPause)
}

func TestBufferedAnswersDoNotCountAsFast(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	p := s.Plan(newRegister(3), nil)
	answer(s, "engine-0", 20, 25*time.Millisecond, epoch)
	answer(s, "engine-0", 20, time.Microsecond, epoch)
	c.Assert(p.engines[0].activity().health.slownessFactor() > 0.9, qt.IsTrue)
}

// TestFewSamplesBarelyMoveSlowness guards against judging an engine by few answers. In a
// large fleet, each daemon sees an engine's answers seconds apart, and a single slow one
// reflects the engine's momentary load. The weight of the measurement must grow with the
// number of answers.
func TestFewSamplesBarelyMoveSlowness(t *testing.T) {
	c := qt.New(t)
	const twice, prior = 2.0, 8
	before := 1.0
	for _, answers := range []int{1, 3, 8, 30, 200} {
		got := shrunkSlowness(twice, answers, prior)
		c.Check(got > before && got < twice, qt.IsTrue, qt.Commentf("%d answers: %v", answers, got))
		before = got
	}
	c.Check(shrunkSlowness(twice, 1, prior) < 1.1, qt.IsTrue)
	c.Check(shrunkSlowness(twice, 200, prior) > 1.9, qt.IsTrue)
	c.Check(shrunkSlowness(1/twice, 200, prior) < 0.53, qt.IsTrue)
	c.Check(shrunkSlowness(twice, 1, 0), qt.Equals, twice)
}
