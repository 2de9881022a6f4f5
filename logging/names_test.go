package logging

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFirstNamesLimitsTheNames guards against log lines that list thousands of names.
func TestFirstNamesLimitsTheNames(t *testing.T) {
	c := qt.New(t)
	c.Check(FirstNames(nil), qt.HasLen, 0)
	c.Check(FirstNames([]string{"a", "b"}), qt.DeepEquals, []string{"a", "b"})
	c.Check(FirstNames(slices.Repeat([]string{"a"}, 10_000)), qt.HasLen, maxNames)
}
