package inventory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// restored returns the change by which a restored store has an engine again or in an older state.
func restored(engines ...Engine) Change {
	return Change{Registered: engines, Outage: true, Restored: true}
}

// TestEngineThatLeftStaysOutOfUseAfterARestore guards against requests to an engine that leaves
// although a restored store has its registration of before.
func TestEngineThatLeftStaysOutOfUseAfterARestore(t *testing.T) {
	c := qt.New(t)
	s := newSet()
	s.Apply(Change{Registered: []Engine{engine("a"), engine("b")}}, start)
	s.Apply(Change{Registered: []Engine{draining("a")}}, start.Add(time.Second))
	s.Apply(restored(engine("a")), start.Add(2*time.Second))
	c.Check(keys(s), qt.DeepEquals, []string{"b"})
	c.Check(s.RegisteredLeaving(), qt.DeepEquals, []string{"a"})
	s.Expire(start.Add(time.Minute))
	c.Check(keys(s), qt.DeepEquals, []string{"b"})
}

// TestRemovedEngineIsDoubtedAfterARestore guards against requests to an engine that is gone
// although a restored store has its registration of before, and against ignoring one that lives.
func TestRemovedEngineIsDoubtedAfterARestore(t *testing.T) {
	c := qt.New(t)
	for name, end := range map[string]func(s *Set){
		"it registers again": func(s *Set) {
			again := engine("a")
			again.Slots = 2
			s.Apply(Change{Registered: []Engine{again}}, start.Add(4*time.Second))
		},
		"its registration stays": func(s *Set) { s.Expire(start.Add(2*time.Second + restoredGrace)) },
	} {
		s := newSet()
		s.Apply(Change{Registered: []Engine{engine("a"), engine("b")}}, start)
		s.Apply(Change{Removed: []string{"a"}}, start.Add(time.Second))
		s.Apply(restored(engine("a")), start.Add(2*time.Second))
		c.Check(keys(s), qt.DeepEquals, []string{"b"})
		c.Check(s.Doubted(), qt.DeepEquals, []string{"a"})
		s.Expire(start.Add(3 * time.Second))
		c.Check(keys(s), qt.DeepEquals, []string{"b"})
		end(s)
		c.Check(keys(s), qt.DeepEquals, []string{"a", "b"}, qt.Commentf(name))
		c.Check(s.Doubted(), qt.HasLen, 0)
	}
}

// TestEngineThatAnotherDaemonDoubtsIsIgnored guards against a daemon that starts after the store
// was restored and uses an engine that is gone.
func TestEngineThatAnotherDaemonDoubtsIsIgnored(t *testing.T) {
	c := qt.New(t)
	s := newSet()
	s.Apply(Change{Registered: []Engine{engine("a"), engine("b")}}, start)
	s.Doubt([]string{"a", "unknown"}, start)
	c.Check(keys(s), qt.DeepEquals, []string{"b"})
	s.Apply(Change{Removed: []string{"a"}}, start.Add(time.Second))
	s.Expire(start.Add(restoredGrace))
	c.Check(keys(s), qt.DeepEquals, []string{"b"})
	c.Check(s.Doubted(), qt.HasLen, 0)

	starting := newSet()
	starting.Doubt([]string{"a"}, start)
	starting.Apply(Change{Registered: []Engine{engine("a"), engine("b")}}, start)
	c.Check(keys(starting), qt.DeepEquals, []string{"b"}, qt.Commentf("a daemon that has no list yet"))
}
