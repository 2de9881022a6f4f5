package balance

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestChoosePrefersTheLessLoadedEngine(t *testing.T) {
	c := qt.New(t)
	s, rng := newState(c), newRand()
	p := s.Plan(newRegister(6), nil)
	send(s, "engine-0", 12, epoch)
	for range 50 {
		d, ok := s.Choose(p, newRequest(), epoch, rng)
		c.Assert(ok, qt.IsTrue)
		if d.Reason == ReasonLeastWait {
			c.Assert(d.Engine.GetName(), qt.Equals, "engine-3")
		}
	}
}

func TestChooseStaysInDataCentreUntilWaitExceedsRemoteThreshold(t *testing.T) {
	c := qt.New(t)
	s, rng := newState(c), newRand()
	p := s.Plan(newRegister(6), nil)
	d, _ := s.Choose(p, newRequest(), epoch, rng)
	c.Assert(d.Engine.GetDataCentre(), qt.Equals, "hall-0")

	send(s, "engine-0", 7, epoch)
	send(s, "engine-3", 7, epoch)
	d, _ = s.Choose(p, newRequest(), epoch, rng)
	c.Assert(d.Engine.GetDataCentre(), qt.Equals, "hall-0", qt.Commentf("a slot is free"))

	send(s, "engine-0", 4, epoch)
	send(s, "engine-3", 4, epoch)
	d, _ = s.Choose(p, newRequest(), epoch, rng)
	c.Assert(d.Engine.GetDataCentre(), qt.Not(qt.Equals), "hall-0")
	c.Assert(d.Reason, qt.Equals, ReasonRemote)
	c.Assert(d.ExpectedWait, qt.Equals, time.Duration(0))
}

func TestChooseUrgentWaitsOnlyForItsOwnPriorityAndOneSlot(t *testing.T) {
	c := qt.New(t)
	s, rng := newState(c), newRand()
	p := s.Plan(newRegister(1), nil)
	bulk := newRequest().Work
	bulk.Priority = 1
	for range 40 {
		s.Dispatched(Dispatched{Engine: "engine-0", Work: bulk, At: epoch})
	}
	urgent, normal := newRequest(), newRequest()
	urgent.Work.Priority = 3
	normal.Work.Priority = 1
	u, _ := s.Choose(p, urgent, epoch, rng)
	n, _ := s.Choose(p, normal, epoch, rng)
	c.Assert(n.ExpectedWait > 20*u.ExpectedWait, qt.IsTrue, qt.Commentf("%v %v", n.ExpectedWait, u.ExpectedWait))
}

func TestReportsExcludeOwnWorkAtReportTime(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	p := s.Plan(newRegister(1), nil)
	e := p.engines[0]
	work := newRequest().Work
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	own := func() float64 { return e.activity().load.view(0, at(2000).UnixNano(), time.Minute, 40).requests }

	send(s, "engine-0", 3, at(0))
	send(s, "engine-0", 5, at(1000))
	// Of the 4 requests reported for time 500, 3 are the daemon's own.
	s.LoadReported(LoadReported{Engine: "engine-0", Requests: 4, Tokens: 900, AsOf: at(500)})
	c.Assert(own(), qt.Equals, 9.0)
	s.Finished(Finished{Engine: "engine-0", Work: work, At: at(1500)})
	c.Assert(own(), qt.Equals, 8.0)
	// A report older than the last one is ignored.
	s.LoadReported(LoadReported{Engine: "engine-0", Requests: 90, Tokens: 9000, AsOf: at(100)})
	c.Assert(own(), qt.Equals, 8.0)
	// The weight of the other daemons' work falls to zero when the reports stop.
	later := e.activity().load.view(0, at(500).Add(15*time.Second).UnixNano(), 5*time.Second, 40)
	c.Assert(later.requests, qt.Equals, 7.0)
}

func TestRuntimeStateSurvivesConfigurationChange(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	s.Plan(newRegister(4), nil)
	send(s, "engine-3", 2, epoch)
	p := s.Plan(newRegister(3), nil) // engine-3 is removed with work in flight
	c.Assert(p.Engines(), qt.Equals, 3)
	p = s.Plan(newRegister(4), nil)
	c.Assert(sum(&p.engines[3].activity().load.requests), qt.Equals, int64(2))
}

func TestPrefixAffinityYieldsToQueueing(t *testing.T) {
	c := qt.New(t)
	s, rng := newState(c), newRand()
	p := s.Plan(newRegister(9), nil)
	r := newRequest()
	r.PrefixHash = 77
	r.Work.PromptTokens = 2000
	s.CacheEvent(CacheEvent{Engine: "engine-6", Kind: CacheStored, PrefixHash: 77, At: epoch})
	for range 20 {
		d, _ := s.Choose(p, r, epoch, rng)
		c.Assert(d.Engine.GetName(), qt.Equals, "engine-6")
		c.Assert(d.Reason, qt.Equals, ReasonAffinity)
	}
	send(s, "engine-6", 16, epoch)
	d, _ := s.Choose(p, r, epoch, rng)
	c.Assert(d.Engine.GetName(), qt.Not(qt.Equals), "engine-6")
}

func TestCacheEventsThatAreLateOrMissing(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	p := s.Plan(newRegister(3), nil)
	e := p.engines[0]
	holds := func() bool {
		found := s.cache.lookup(9)
		_, ok := found.lastUpdate(e)
		return ok
	}
	event := func(kind CacheEventKind, at time.Time) {
		s.CacheEvent(CacheEvent{Engine: e.name, Kind: kind, PrefixHash: 9, At: at})
	}
	s.Dispatched(Dispatched{Engine: e.name, Work: Work{PromptTokens: 2000}, PrefixHash: 9, At: epoch})
	event(CacheEvicted, epoch.Add(-time.Second))
	c.Assert(holds(), qt.IsTrue, qt.Commentf("the eviction is older than the request"))
	event(CacheEvicted, epoch.Add(time.Second))
	c.Assert(holds(), qt.IsFalse)
	event(CacheStored, epoch.Add(2*time.Second))
	now := epoch.Add(2 * time.Second).UnixNano()
	before := s.options.hitProbability(e, now, now)
	event(CacheGap, epoch.Add(3*time.Second))
	c.Assert(s.options.hitProbability(e, now, now), qt.Equals, before/2)
	event(CacheCleared, epoch.Add(4*time.Second))
	c.Assert(holds(), qt.IsFalse)
}

func TestRefusalHasReasonAndRetryAfter(t *testing.T) {
	c := qt.New(t)
	s, rng := newState(c), newRand()
	p := s.Plan(newRegister(2), nil)
	r := newRequest()
	r.Version = "other"
	d, ok := s.Choose(p, r, epoch, rng)
	c.Assert(ok, qt.IsFalse)
	c.Assert(d.Reason, qt.Equals, ReasonNotServed)

	r = newRequest()
	send(s, "engine-0", 20, epoch)
	send(s, "engine-1", 20, epoch)
	r.MaxWait = time.Second
	d, ok = s.Choose(p, r, epoch, rng)
	c.Assert(ok, qt.IsFalse)
	c.Assert(d.Reason, qt.Equals, ReasonWait)
	c.Assert(d.RetryAfter > 0, qt.IsTrue)

	for _, name := range []string{"engine-0", "engine-1"} {
		s.Failed(Failed{Engine: name, Work: r.Work, Kind: FailureBusy, RetryAfter: 3 * time.Second, At: epoch})
	}
	r.MaxWait = 0
	d, ok = s.Choose(p, r, epoch, rng)
	c.Assert(ok, qt.IsFalse)
	c.Assert(d.Reason, qt.Equals, ReasonNoEngine)
	c.Assert(d.RetryAfter, qt.Equals, 3*time.Second)
}

func TestChooseNeverPicksAnEngineThatMustNotBeUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, rng := mustState(t), newRand()
		n := rapid.IntRange(1, 20).Draw(t, "engines")
		reg := newRegister(n)
		for _, e := range reg.Engines {
			if rapid.IntRange(0, 4).Draw(t, "serves") == 0 {
				e.Versions = []string{"other"}
			}
		}
		p := s.Plan(reg, nil)
		r := newRequest()
		r.PrefixHash = 5
		leaving := make(map[string]bool)
		r.Leaving = func(host string) bool { return leaving[host] }
		engine := func(label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		now := epoch
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprintf("engine-%d", engine("engine"))
			host := fmt.Sprintf("host-%d", engine("host"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				fail(s, name, 3, now)
			case 1:
				send(s, name, 9, now)
			case 2:
				s.MembershipChanged(MembershipChanged{Host: host, State: HostLeaving, At: now})
			case 3:
				leaving[host] = true
			case 4:
				r.Exclude[rapid.IntRange(0, MaxExclude-1).Draw(t, "slot")] = name
			case 5:
				s.CacheEvent(CacheEvent{Engine: name, Kind: CacheStored, PrefixHash: 5, At: now})
			case 6:
				now = now.Add(time.Second)
				p = s.Plan(reg, nil)
			}
			d, ok := s.Choose(p, r, now, rng)
			if ok {
				checkChosen(t, s, r, d)
			}
		}
	})
}

// checkChosen fails the test if the chosen engine is excluded, is on a leaving host or
// does not serve the version.
func checkChosen(t *rapid.T, s *State, r *Request, d Decision) {
	e := d.Engine
	for _, name := range r.Exclude {
		if name == e.GetName() {
			t.Fatalf("chose excluded %s", name)
		}
	}
	if r.Leaving(e.GetHost()) || s.hosts[e.GetHost()] != 0 {
		t.Fatalf("chose %s on a leaving host", e.GetName())
	}
	if e.GetVersions()[0] != r.Version {
		t.Fatalf("chose %s, which does not serve the version", e.GetName())
	}
}

func mustState(t *rapid.T) *State {
	s, err := NewState(DefaultOptions())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestChooseIsDeterministic(t *testing.T) {
	c := qt.New(t)
	run := func() []string {
		s, rng := newState(c), newRand()
		p := s.Plan(newRegister(65), nil)
		var names []string
		for i := range 300 {
			now := epoch.Add(time.Duration(i) * time.Millisecond)
			d, _ := s.Choose(p, newRequest(), now, rng)
			send(s, d.Engine.GetName(), 1, now)
			names = append(names, d.Engine.GetName())
		}
		return names
	}
	c.Assert(run(), qt.DeepEquals, run())
}

func TestChooseDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	s, rng := newState(c), newRand()
	p := s.Plan(newRegister(65), nil)
	r := newRequest()
	r.PrefixHash = 5
	r.Leaving = func(string) bool { return false }
	send(s, "engine-0", 20, epoch)
	fail(s, "engine-3", 5, epoch)
	s.CacheEvent(CacheEvent{Engine: "engine-6", Kind: CacheStored, PrefixHash: 5, At: epoch})
	allocs := testing.AllocsPerRun(1000, func() {
		d, _ := s.Choose(p, r, epoch, rng)
		s.Dispatched(Dispatched{Engine: d.Engine.GetName(), Work: r.Work, PrefixHash: 5, At: epoch})
		s.Finished(Finished{Engine: d.Engine.GetName(), Work: r.Work, At: epoch})
	})
	c.Assert(allocs, qt.Equals, 0.0)
}
