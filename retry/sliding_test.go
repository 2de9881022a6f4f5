package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestSlidingCountNeverOvercounts compares slidingCount with a list of all events.
func TestSlidingCountNeverOvercounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const width, window = 500 * time.Millisecond, countBuckets * 500 * time.Millisecond
		c := slidingCount{width: width}
		now := time.Unix(1000, 0)
		var events []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			c.add(now)
			events = append(events, now)
			high, low := 0.0, 0.0
			for _, e := range events {
				if now.Sub(e) < window {
					high++
				}
				if now.Sub(e) < window-width {
					low++
				}
			}
			if c.sum > high || c.sum < low {
				t.Fatalf("%v counted, between %v and %v are there", c.sum, low, high)
			}
		}
	})
}

func TestBurstGrowsWithRequestsOfLastWindow(t *testing.T) {
	c := qt.New(t)
	o := BudgetOptions{Share: 0.7, Burst: 1, BurstShare: 0.1, Window: 10 * time.Second}
	b := NewBudget(o)
	now := time.Unix(1000, 0)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		b.Request(now)
	}
	taken := func() (n int) {
		for b.Take(now) {
			n++
		}
		return n
	}
	c.Check(taken(), qt.Equals, 5)
	for range 40 {
		b.Request(now)
	}
	now = now.Add(30 * time.Second)
	c.Check(taken(), qt.Equals, 1)
}
