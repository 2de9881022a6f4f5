package canary

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNextReviewMeetsFinishAge guards against declaring a version complete up to one review
// interval later than planned, and against late attempts by further daemons.
func TestNextReviewMeetsFinishAge(t *testing.T) {
	c := qt.New(t)
	const interval = 200 * time.Millisecond
	start := time.Unix(1000, 0)
	o := DefaultOptions()
	i := New(o, Order{Service: "s", Target: "v2", ID: 1, Duration: 20 * time.Second}, Running, start)
	end := start.Add(o.finishAge(20*time.Second, i.schedule))
	c.Check(i.NextReview(start, interval), qt.Equals, interval)
	c.Check(i.NextReview(end.Add(-30*time.Millisecond), interval), qt.Equals, 30*time.Millisecond)
	c.Check(i.NextReview(end, interval), qt.Equals, doneDelay)
	c.Check(i.Review(end).State, qt.Equals, Done)
}
