package inventory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestViewKeysMatchEngineKeys checks that the keys that a set caches are those that Key
// computes for engines outside a set, and that registering either form of an engine again
// changes nothing.
func TestViewKeysMatchEngineKeys(t *testing.T) {
	c := qt.New(t)
	s := newSet()
	given := []Engine{engine("a"), started("b", start)}
	replace(s, given, false, start)
	for i, e := range s.View().Engines {
		c.Check(e.Key(), qt.Equals, given[i].Key())
		again, known := s.View().Engine(given[i].Key())
		c.Check(known, qt.IsTrue)
		c.Check(again, qt.Equals, *e)
	}
	generation := s.View().Generation
	var listed []Engine
	for _, e := range s.View().Engines {
		listed = append(listed, *e)
	}
	replace(s, listed, false, start)
	replace(s, given, false, start)
	c.Check(s.View().Generation, qt.Equals, generation)
}

// TestRestartedEngineIsFound checks that an engine counts as started again only if another start of the same id is in
// the view.
func TestRestartedEngineIsFound(t *testing.T) {
	set := New(time.Second, func(_, _ *View) {})
	first := Engine{ID: "i-1", Started: time.UnixMilli(1000), Service: "llm"}
	other := Engine{ID: "i-10", Started: time.UnixMilli(2000), Service: "llm"}
	qt.Check(t, set.View().Restarted(first), qt.IsFalse)
	set.Apply(Change{Registered: []Engine{first, other}}, time.Now())
	qt.Check(t, set.View().Restarted(first), qt.IsFalse)
	again := first
	again.Started = time.UnixMilli(3000)
	set.Apply(Change{Registered: []Engine{again}}, time.Now())
	qt.Check(t, set.View().Restarted(first), qt.IsTrue)
	qt.Check(t, set.View().Restarted(again), qt.IsFalse)
	qt.Check(t, set.View().Restarted(other), qt.IsFalse)
}
