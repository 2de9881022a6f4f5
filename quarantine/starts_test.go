package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/inventory"
)

// TestStartTrackerCountsEachCrashOnce guards against counting two crashes of an engine as one,
// or one crash twice when this daemon both detects it and receives a report of it, in either
// order.
func TestStartTrackerCountsEachCrashOnce(t *testing.T) {
	c, now := qt.New(t), time.UnixMilli(1_780_000_000_000)
	e := inventory.Engine{ID: "engine-1"}
	s := NewStartTracker()
	first := s.Current(e)
	s.RecordCrash(first, now)
	c.Check(s.RecordReported(e, now.Add(sameCrashWindow/2)).Key(), qt.Equals, first.Key())

	now = now.Add(time.Minute)
	second := s.Current(e)
	c.Check(second.Key(), qt.Not(qt.Equals), first.Key())
	c.Check(s.RecordReported(e, now).Key(), qt.Equals, second.Key())
	s.RecordCrash(second, now.Add(sameCrashWindow/2))
	c.Check(s.RecordReported(e, now.Add(sameCrashWindow/2)).Key(), qt.Equals, second.Key())

	third := s.Current(e)
	c.Check(third.Key(), qt.Not(qt.Equals), second.Key())
	s.RecordCrash(first, now.Add(time.Minute)) // A late report of an earlier start is ignored.
	c.Check(s.Current(e).Key(), qt.Equals, third.Key())
}
