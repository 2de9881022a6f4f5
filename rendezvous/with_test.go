package rendezvous

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestWithNamesMatchesNewSet guards against hashes reused for the wrong name.
func TestWithNamesMatchesNewSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfN(rapid.StringMatching("[a-d]{1,2}"), 0, 8)
		first, second := names.Draw(t, "first"), names.Draw(t, "second")
		got, want := NewSet(first).WithNames(second), NewSet(second)
		if !slices.Equal(got.names, want.names) || !slices.Equal(got.hashes, want.hashes) {
			t.Fatalf("%v, want %v", got, want)
		}
	})
}
