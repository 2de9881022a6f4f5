package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/inventory"
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

// TestMeasuredPaceIsInTheBalancersEvent guards against paces that other daemons never learn, and
// against counting answers whose pace was not measured.
func TestMeasuredPaceIsInTheBalancersEvent(t *testing.T) {
	c := qt.New(t)
	g, to := &Gateway{}, &target{engine: inventory.Engine{}}
	c.Check(g.finished(&task{}, to, 1.6).PaceRatio, qt.Equals, 1.6)
	c.Check(g.finished(&task{}, to, 0).PaceRatio, qt.Equals, 0.0)
}
