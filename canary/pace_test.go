package canary

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNextReviewMeetsTheEnd: a version is to be declared complete just when the plan
// says, not up to a review later, and further daemons try soon after.
func TestNextReviewMeetsTheEnd(t *testing.T) {
	c := qt.New(t)
	const usual = 200 * time.Millisecond
	start := time.Unix(1000, 0)
	o := DefaultOptions()
	i := New(o, Order{Service: "s", Target: "v2", ID: 1, Duration: 20 * time.Second}, Running, start)
	end := start.Add(o.finish(20*time.Second, i.pace))
	c.Check(i.NextReview(start, usual), qt.Equals, usual)
	c.Check(i.NextReview(end.Add(-30*time.Millisecond), usual), qt.Equals, 30*time.Millisecond)
	c.Check(i.NextReview(end, usual), qt.Equals, doneDelay)
	c.Check(i.Review(end).State, qt.Equals, Done)
}
