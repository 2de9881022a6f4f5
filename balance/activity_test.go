package balance

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// newLargeRegister returns a register of n engines in one pool that all serve version "v".
func newLargeRegister(n int) *bronzeturnv1.Register {
	r := &bronzeturnv1.Register{}
	versions := []string{"v"}
	for i := range n {
		name := fmt.Sprintf("engine-%05d", i)
		r.Engines = append(r.Engines, &bronzeturnv1.Engine{Name: name, Host: name, Pool: "p", DataCentre: "dc", Versions: versions, Slots: 16, TokensPerSecond: 800})
	}
	return r
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestUnusedEnginesUseLittleMemory guards against allocating health and load state, about
// 4 KB, for every engine of a large fleet instead of only for those in use.
func TestUnusedEnginesUseLittleMemory(t *testing.T) {
	const engines, used, maxBytes = 10_000, 100, 400
	c := qt.New(t)
	s, err := NewState(DefaultOptions())
	c.Assert(err, qt.IsNil)
	register := newLargeRegister(engines)
	before := heapBytes()
	p := s.Plan(register, nil)
	for i := range used {
		s.Dispatched(Dispatched{Engine: p.Name(i), Work: Work{ExpectedTokens: 10}, At: epoch})
	}
	perEngine := (heapBytes() - before) / engines
	c.Check(perEngine < maxBytes, qt.IsTrue, qt.Commentf("%d bytes per engine", perEngine))
	runtime.KeepAlive(register)
	runtime.KeepAlive(p)
	runtime.KeepAlive(s)
}

// TestIdleActivityIsEvicted checks that the activity of an idle, admitted engine is dropped
// after activityTTL, and that work in flight and ejections are kept.
func TestIdleActivityIsEvicted(t *testing.T) {
	c := qt.New(t)
	s, err := NewState(DefaultOptions())
	c.Assert(err, qt.IsNil)
	p := s.Plan(newLargeRegister(3), nil)
	w := Work{ExpectedTokens: 10}
	for i := range 3 {
		s.Dispatched(Dispatched{Engine: p.Name(i), Work: w, At: epoch})
	}
	s.Finished(Finished{Engine: p.Name(0), Work: w, At: epoch})
	for range DefaultOptions().EjectFailures {
		s.Failed(Failed{Engine: p.Name(2), Work: w, Kind: FailureError, At: epoch})
	}
	s.Review(p, epoch.Add(activityTTL-time.Second))
	c.Check(s.active.list(), qt.HasLen, 3)
	s.Review(p, epoch.Add(activityTTL+time.Second))
	c.Check(p.engines[0].active.Load(), qt.IsNil)
	requests, _ := s.OwnLoad(p.Name(1))
	c.Check(requests, qt.Equals, int64(1))
	c.Check(phase(p.engines[2].activity().health.phase.Load()), qt.Equals, failing)
	smaller := s.Plan(newLargeRegister(2), nil)
	s.Review(smaller, epoch.Add(activityTTL+time.Second))
	c.Check(s.active.list(), qt.HasLen, 1)
}

// TestLoadIsExactDuringEviction guards against load changes being lost when an activity is
// evicted concurrently.
func TestLoadIsExactDuringEviction(t *testing.T) {
	c := qt.New(t)
	s, err := NewState(DefaultOptions())
	c.Assert(err, qt.IsNil)
	p := s.Plan(newLargeRegister(4), nil)
	var senders sync.WaitGroup
	for n := range 4 {
		senders.Go(func() {
			for i := range 2000 {
				e, w := p.Name((n+i)%4), Work{ExpectedTokens: 10}
				s.Dispatched(Dispatched{Engine: e, Work: w, At: epoch})
				s.Finished(Finished{Engine: e, Work: w, At: epoch})
			}
		})
	}
	for range 2000 {
		s.Review(p, epoch.Add(2*activityTTL))
	}
	senders.Wait()
	for i := range 4 {
		requests, tokens := s.OwnLoad(p.Name(i))
		c.Check([]int64{requests, tokens}, qt.DeepEquals, []int64{0, 0})
	}
}

// TestHistoryMatchesUnboundedReference guards against the growing ring buffer dropping
// samples within historySpan.
func TestHistoryMatchesUnboundedReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		var all []loadSample
		now := epoch.UnixNano()
		for range rapid.IntRange(1, 400).Draw(t, "samples") {
			now += int64(rapid.SampledFrom([]time.Duration{0, historyStep / 2, historyStep, time.Second, time.Minute}).Draw(t, "pause"))
			m := loadSample{at: now, requests: int64(len(all))}
			if n := len(all); n > 0 && now-all[n-1].at < int64(historyStep) {
				m.at = all[n-1].at
				all[n-1] = m
			} else {
				all = append(all, m)
			}
			h.record(m)
		}
		queried := now - rapid.Int64Range(0, int64(historySpan-historyStep)).Draw(t, "age")
		var want loadSample
		for _, m := range all {
			if m.at <= queried {
				want = m
			}
		}
		if got := h.at(queried); got != want {
			t.Fatalf("at %d: %v, want %v", queried, got, want)
		}
	})
}
