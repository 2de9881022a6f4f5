package inventory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func engine(id string) Engine { return Engine{ID: id, Service: "s", Address: "192.0.2.1:1"} }

func draining(id string) Engine {
	e := engine(id)
	e.Draining = true
	return e
}

// gracePeriod is the grace period of the sets under test.
const gracePeriod = 1200 * time.Millisecond

func newSet() *Set { return New(gracePeriod, func(_, _ *View) {}) }

// replace applies a complete list of registrations.
func replace(s *Set, engines []Engine, outage bool, now time.Time) {
	registered := make(map[string]struct{}, len(engines))
	for _, e := range engines {
		registered[e.ID] = struct{}{}
	}
	c := Change{Registered: engines, Outage: outage}
	for id := range s.listed {
		if _, still := registered[id]; !still {
			c.Removed = append(c.Removed, id)
		}
	}
	s.Apply(c, now)
}

func ids(s *Set) []string {
	var all []string
	for _, e := range s.View().Engines {
		all = append(all, e.ID)
	}
	return all
}

func TestDrainingAndRemovedEnginesLeaveTheView(t *testing.T) {
	c := qt.New(t)
	s := newSet()
	replace(s, []Engine{engine("b"), engine("a"), engine("c")}, false, start)
	c.Check(ids(s), qt.DeepEquals, []string{"a", "b", "c"})
	replace(s, []Engine{engine("a"), draining("b")}, false, start)
	c.Check(ids(s), qt.DeepEquals, []string{"a"})
	_, known := s.View().Engine("b")
	c.Check(known, qt.IsFalse)
}

func TestEnginesLostInOutageStayForGracePeriod(t *testing.T) {
	c := qt.New(t)
	s := newSet()
	replace(s, []Engine{engine("a"), engine("b"), engine("c")}, false, start)
	replace(s, []Engine{engine("a")}, true, start)
	c.Check(ids(s), qt.DeepEquals, []string{"a", "b", "c"})
	replace(s, []Engine{engine("a"), engine("b")}, false, start.Add(time.Second))
	c.Check(s.Expire(start.Add(time.Second)).IsZero(), qt.IsFalse)
	c.Check(ids(s), qt.DeepEquals, []string{"a", "b", "c"})
	c.Check(s.Expire(start.Add(gracePeriod)).IsZero(), qt.IsTrue)
	c.Check(ids(s), qt.DeepEquals, []string{"a", "b"})
}

func TestDrainingEngineGetsNoGracePeriod(t *testing.T) {
	c := qt.New(t)
	s := newSet()
	replace(s, []Engine{engine("a"), draining("b")}, false, start)
	replace(s, []Engine{engine("a")}, true, start)
	c.Check(ids(s), qt.DeepEquals, []string{"a"})
	replace(s, []Engine{engine("a"), engine("c")}, false, start)
	replace(s, []Engine{engine("a")}, true, start)
	replace(s, []Engine{engine("a"), draining("c")}, true, start)
	c.Check(ids(s), qt.DeepEquals, []string{"a"})
}

func TestExcludedEngineIsRemovedAtOnce(t *testing.T) {
	c := qt.New(t)
	changes := 0
	s := New(gracePeriod, func(_, _ *View) { changes++ })
	replace(s, []Engine{engine("a"), engine("b")}, false, start)
	s.Exclude("a")
	s.Exclude("a")
	c.Check(ids(s), qt.DeepEquals, []string{"b"})
	c.Check(changes, qt.Equals, 2)
}

// TestEngineThatLeavesStaysRemoved guards against an engine that has stated in an answer that it
// leaves and gets requests again because of its registration.
func TestEngineThatLeavesStaysRemoved(t *testing.T) {
	c := qt.New(t)
	s := newSet()
	replace(s, []Engine{engine("a"), engine("b")}, false, start)
	c.Check(s.Leave("a", start), qt.IsTrue)
	c.Check(s.Leave("a", start), qt.IsFalse)
	c.Check(ids(s), qt.DeepEquals, []string{"b"})
	again := engine("a")
	again.Slots++
	replace(s, []Engine{again, engine("b")}, false, start)
	c.Check(ids(s), qt.DeepEquals, []string{"b"}, qt.Commentf("its registration changes and still says ready"))
	replace(s, []Engine{engine("b")}, true, start)
	c.Check(ids(s), qt.DeepEquals, []string{"b"}, qt.Commentf("its registration is lost in an outage of the store"))
	s.Expire(start.Add(gracePeriod))
	replace(s, []Engine{engine("a"), engine("b")}, false, start.Add(gracePeriod))
	c.Check(ids(s), qt.DeepEquals, []string{"b"}, qt.Commentf("it registers again after the outage"))
	restarted := engine("a")
	restarted.Started = start.Add(time.Minute)
	replace(s, []Engine{restarted, engine("b")}, false, start.Add(time.Minute))
	c.Check(ids(s), qt.DeepEquals, []string{"a", "b"}, qt.Commentf("it has restarted"))
	c.Check(s.Leave("unregistered", start), qt.IsTrue)
	replace(s, []Engine{engine("unregistered")}, false, start)
	c.Check(ids(s), qt.DeepEquals, []string(nil))
	replace(s, []Engine{engine("b")}, false, start)
	s.Expire(start.Add(keepLeaving))
	c.Check(s.leaving, qt.HasLen, 0)
}

// TestGracePeriodIsPerEngine has the registrations of two engines disappear one after the
// other after an outage. Each engine is removed at the end of its own grace period.
func TestGracePeriodIsPerEngine(t *testing.T) {
	c := qt.New(t)
	s := newSet()
	replace(s, []Engine{engine("a"), engine("b"), engine("c")}, false, start)
	replace(s, []Engine{engine("b"), engine("c")}, true, start)
	replace(s, []Engine{engine("c")}, true, start.Add(gracePeriod/2))
	s.Expire(start.Add(gracePeriod))
	c.Check(ids(s), qt.DeepEquals, []string{"b", "c"})
	s.Expire(start.Add(gracePeriod * 3 / 2))
	c.Check(ids(s), qt.DeepEquals, []string{"c"})
}

// started returns an engine with a start time.
func started(id string, at time.Time) Engine {
	e := engine(id)
	e.Started = at
	return e
}

func TestRestartWithSameIDIsDifferentEngine(t *testing.T) {
	c := qt.New(t)
	s := newSet()
	before, after := started("a", start), started("a", start.Add(time.Millisecond))
	replace(s, []Engine{before}, false, start)
	replace(s, []Engine{after}, false, start)
	_, known := s.View().Engine(before.Key())
	c.Check(known, qt.IsFalse)
	now, known := s.View().Engine(after.Key())
	c.Check(known, qt.IsTrue)
	c.Check(now.ID, qt.Equals, "a")
}

func TestRestartDuringOutageReplacesEngine(t *testing.T) {
	c := qt.New(t)
	s := newSet()
	before, after := started("a", start), started("a", start.Add(time.Second))
	replace(s, []Engine{before}, false, start)
	replace(s, nil, true, start)
	c.Check(s.View().Engines, qt.HasLen, 1)
	replace(s, []Engine{after}, true, start)
	c.Check(ids(s), qt.DeepEquals, []string{"a"})
	c.Check(s.View().Engines[0].Key(), qt.Equals, after.Key())
}

func TestExcludeKeepsEngineStartedLater(t *testing.T) {
	c := qt.New(t)
	s := newSet()
	before, after := started("a", start), started("a", start.Add(time.Second))
	replace(s, []Engine{after}, false, start)
	s.Exclude(before.Key())
	c.Check(s.View().Engines, qt.HasLen, 1)
	s.Exclude(after.Key())
	c.Check(s.View().Engines, qt.HasLen, 0)
}
