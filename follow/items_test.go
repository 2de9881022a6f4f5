package follow

import (
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestSnapshotsAreImmutable guards against changes to a snapshot that alter earlier
// snapshots through shared shards.
func TestSnapshotsAreImmutable(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	rapid.Check(t, func(t *rapid.T) {
		var states []*Snapshot
		var models []map[string]uint64
		state, model := &Snapshot{}, map[string]uint64{}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			revision := uint64(step + 1)
			c := &Changes{Revision: revision}
			model = maps.Clone(model)
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID).Draw(t, "changed") {
				c.Changed = append(c.Changed, Item{Name: name, Revision: revision})
				model[name] = revision
			}
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 2, rapid.ID).Draw(t, "removed") {
				c.Removed = append(c.Removed, name)
				delete(model, name)
			}
			previous := state
			state = state.with(c)
			diff := previous.Diff(state)
			if patched := previous.with(&diff); !matches(patched, model) {
				t.Fatalf("applying the diff gives %v, want %v", revisions(patched), model)
			}
			states, models = append(states, state), append(models, model)
		}
		for i, s := range states {
			if !matches(s, models[i]) {
				t.Fatalf("snapshot %d is %v, want %v", i, revisions(s), models[i])
			}
		}
	})
}

// revisions returns the revision of each object by name.
func revisions(s *Snapshot) map[string]uint64 {
	byName := make(map[string]uint64)
	for item := range s.All() {
		byName[item.Name] = item.Revision
	}
	return byName
}

func matches(s *Snapshot, model map[string]uint64) bool {
	return s.Len() == len(model) && maps.Equal(revisions(s), model)
}

// TestOlderRevisionsAreIgnored guards against a late change that overwrites a newer
// revision of the same object.
func TestOlderRevisionsAreIgnored(t *testing.T) {
	c := qt.New(t)
	s := NewSnapshot(5, slices.Values([]Item{{Name: "a", Revision: 5}}))
	s = s.with(&Changes{Revision: 6, Changed: []Item{{Name: "a", Revision: 4}, {Name: "b", Revision: 6}}})
	c.Check(revisions(s), qt.DeepEquals, map[string]uint64{"a": 5, "b": 6})
}
