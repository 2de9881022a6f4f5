package revision

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestErasGoBeforeCounters guards against taking the state of a restored store for an older one
// because its counter is lower.
func TestErasGoBeforeCounters(t *testing.T) {
	c := qt.New(t)
	last, first := In(3, 900), In(4, 12)
	c.Check(first > last, qt.IsTrue)
	c.Check(In(4, 13) > first, qt.IsTrue)
	c.Check(Era(first), qt.Equals, uint64(4))
	c.Check(Counter(first), qt.Equals, uint64(12))
	c.Check(In(0, 77), qt.Equals, uint64(77), qt.Commentf("a store without eras"))
}
