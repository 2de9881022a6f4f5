package inventory

import (
	"testing"

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
