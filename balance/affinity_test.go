package balance

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSharedPrefixHasSeveralHolders checks that requests with a shared prefix are
// distributed over all engines that hold it.
func TestSharedPrefixHasSeveralHolders(t *testing.T) {
	c := qt.New(t)
	s, rng := newState(c), newRand()
	p := s.Plan(newRegister(9), nil)
	r := newRequest()
	r.PrefixHash, r.Work.PromptTokens = 77, 2000
	for i := range 3 {
		s.CacheEvent(CacheEvent{Engine: fmt.Sprintf("engine-%d", 3*i), Kind: CacheStored, PrefixHash: 77, At: epoch})
	}
	chosen := make(map[string]int)
	for range 100 {
		d, _ := s.Choose(p, r, epoch.Add(5*time.Second), rng)
		chosen[d.Engine.GetName()]++
	}
	c.Assert(chosen, qt.HasLen, 3)
	for name, n := range chosen {
		c.Check(n > 10, qt.IsTrue, qt.Commentf("%s: %d", name, n))
	}
}

func TestOldestHolderIsReplacedFirst(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	p := s.Plan(newRegister(maxHolders+1), nil)
	for i, e := range p.engines {
		s.cache.store(9, e, int64(i+1))
		s.cache.store(9, e, int64(i+1))
	}
	found := s.cache.lookup(9)
	c.Assert(found.count, qt.Equals, maxHolders)
	_, ok := found.lastUpdate(p.engines[0])
	c.Assert(ok, qt.IsFalse)
}

func TestShortPromptsHaveNoAffinity(t *testing.T) {
	c := qt.New(t)
	s, rng := newState(c), newRand()
	p := s.Plan(newRegister(9), nil)
	r := newRequest()
	r.PrefixHash, r.Work.PromptTokens = 77, 200
	s.CacheEvent(CacheEvent{Engine: "engine-6", Kind: CacheStored, PrefixHash: 77, At: epoch})
	others := 0
	for range 50 {
		d, _ := s.Choose(p, r, epoch, rng)
		c.Assert(d.Reason, qt.Not(qt.Equals), ReasonAffinity)
		if d.Engine.GetName() != "engine-6" {
			others++
		}
	}
	c.Assert(others > 20, qt.IsTrue, qt.Commentf("%d", others))
}

// TestRemoteHolderMustSaveMoreThanRemoteThreshold checks that a holder in another data
// centre is not chosen if the saved prefill time is less than RemoteThreshold.
func TestRemoteHolderMustSaveMoreThanRemoteThreshold(t *testing.T) {
	c := qt.New(t)
	s, rng := newState(c), newRand()
	s.options.RemoteThreshold = time.Second
	p := s.Plan(newRegister(9), nil)
	r := newRequest()
	r.PrefixHash, r.Work.PromptTokens = 77, 2000
	s.CacheEvent(CacheEvent{Engine: "engine-4", Kind: CacheStored, PrefixHash: 77, At: epoch})
	d, _ := s.Choose(p, r, epoch, rng)
	c.Assert(d.Engine.GetDataCentre(), qt.Equals, "hall-0")
}

// TestOldReportsDecayToMeanPeerLoad checks that the estimate returns to the moving
// average once the reported work has ended, and not before.
func TestOldReportsDecayToMeanPeerLoad(t *testing.T) {
	cases := []struct {
		name      string
		perWork   int64 // remaining tokens of each request
		atOnce    float64
		afterLong float64
	}{
		{"short work", 10, 0, 9},
		{"long work", 100_000, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newState(c)
			p := s.Plan(newRegister(1), nil)
			now := epoch
			for range 20 {
				s.LoadReported(LoadReported{Engine: "engine-0", Requests: 10, Tokens: 10 * test.perWork, AsOf: now})
				now = now.Add(time.Second)
			}
			s.LoadReported(LoadReported{Engine: "engine-0", AsOf: now})
			view := func(age time.Duration) float64 {
				return p.engines[0].activity().load.view(0, now.Add(age).UnixNano(), time.Minute, 40).requests
			}
			c.Check(view(0) < test.atOnce+0.1, qt.IsTrue, qt.Commentf("%v", view(0)))
			c.Check(view(3*time.Second)-test.afterLong < 0.1, qt.IsTrue, qt.Commentf("%v", view(3*time.Second)))
			c.Check(test.afterLong-view(3*time.Second) < 0.1, qt.IsTrue, qt.Commentf("%v", view(3*time.Second)))
		})
	}
}
