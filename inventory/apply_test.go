package inventory

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestApplyAndReplaceGiveTheSameView guards against differences between incremental changes
// and complete lists.
func TestApplyAndReplaceGiveTheSameView(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		incremental, full := newSet(), newSet()
		listed := map[string]Engine{}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond)
			outage := rapid.Bool().Draw(t, "outage")
			c := Change{Outage: outage}
			for _, id := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID).Draw(t, "registered") {
				e := started(id, start.Add(time.Duration(rapid.IntRange(0, 1).Draw(t, "start"))*time.Second))
				e.Draining = rapid.Bool().Draw(t, "draining")
				c.Registered = append(c.Registered, e)
				listed[id] = e
			}
			for id := range listed {
				isNew := false
				for _, e := range c.Registered {
					isNew = isNew || e.ID == id
				}
				if !isNew && rapid.Bool().Draw(t, "gone "+id) {
					c.Removed = append(c.Removed, id)
					delete(listed, id)
				}
			}
			incremental.Apply(c, now)
			var all []Engine
			for _, e := range listed {
				all = append(all, e)
			}
			replace(full, all, outage, now)
			incremental.Expire(now)
			full.Expire(now)
			if a, b := keys(incremental), keys(full); !slices.Equal(a, b) {
				t.Fatalf("Apply gives %v, replace gives %v", a, b)
			}
		}
	})
}

func keys(s *Set) (all []string) {
	for _, e := range s.View().Engines {
		all = append(all, e.Key())
	}
	return all
}

// TestExcludedEngineStaysRemovedUntilItsRegistrationChanges guards against changes of other
// engines restoring an engine whose address is used by another one.
func TestExcludedEngineStaysRemovedUntilItsRegistrationChanges(t *testing.T) {
	c := qt.New(t)
	s := newSet()
	s.Apply(Change{Registered: []Engine{engine("a"), engine("b")}}, start)
	s.Exclude("a")
	s.Apply(Change{Registered: []Engine{engine("c")}}, start)
	c.Check(ids(s), qt.DeepEquals, []string{"b", "c"})
	s.Apply(Change{Registered: []Engine{started("a", start)}}, start)
	c.Check(keys(s), qt.DeepEquals, []string{started("a", start).Key(), "b", "c"})
}
