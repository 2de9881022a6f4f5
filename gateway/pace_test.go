package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPaceIsComparedWithinOneModel guards against answers of a large model making an engine
// look slow.
func TestPaceIsComparedWithinOneModel(t *testing.T) {
	c := qt.New(t)
	p := newPaceBaselines()
	small, large := paceKind{"s", "small", false}, paceKind{"s", "large", false}
	for range 50 {
		c.Check(p.ratio(small, 10*time.Millisecond), qt.Equals, 1.0)
		c.Check(p.ratio(large, 100*time.Millisecond), qt.Equals, 1.0)
	}
	c.Check(p.ratio(small, 20*time.Millisecond), qt.Equals, 2.0)
	c.Check(p.ratio(paceKind{"other", "small", false}, time.Second), qt.Equals, 1.0)
}
