package backoff

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLoopsShareTicks guards against loops with the same interval waking separately when they
// start at different times.
func TestLoopsShareTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval, loops, rounds = 200 * time.Millisecond, 7, 5
		const startIntervals = 2 // The loops start within this many intervals.
		c := qt.New(t)
		defer SetPhase(0)
		for _, offset := range []time.Duration{0, 130 * time.Millisecond, 999 * time.Millisecond} {
			SetPhase(offset)
			start := time.Now()
			wakeups := make(chan time.Time, loops*rounds)
			for i := range loops {
				time.Sleep(time.Duration(i) * 13 * time.Millisecond)
				go func() {
					for range rounds {
						_ = Tick(context.Background(), interval)
						wakeups <- time.Now()
					}
				}()
			}
			time.Sleep((rounds + 1) * interval)
			loopsByTime := make(map[time.Time]int)
			for range loops * rounds {
				loopsByTime[<-wakeups]++
			}
			c.Check(len(loopsByTime) <= rounds+startIntervals, qt.IsTrue, qt.Commentf("%d wake-ups", len(loopsByTime)))
			for at := range loopsByTime {
				c.Check(at.Sub(start) <= (rounds+startIntervals)*interval, qt.IsTrue)
			}
		}
	})
}

// TestTickReturnsWhenContextEnds guards against Tick blocking after its context is canceled.
func TestTickReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		qt.Check(t, Tick(ctx, time.Hour), qt.Equals, context.Canceled)
	})
}

// TestUntilLastTickWithinEndsOnTick guards against a wait that ends between ticks although a
// tick is within its limit.
func TestUntilLastTickWithinEndsOnTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = 500 * time.Millisecond
		c := qt.New(t)
		for range 50 {
			time.Sleep(37 * time.Millisecond)
			for _, limit := range []time.Duration{time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second} {
				wait := UntilLastTickWithin(interval, limit)
				c.Check(wait > 0 && wait <= limit, qt.IsTrue)
				onTick := time.Now().Add(wait).UnixNano()%int64(interval) == 0
				c.Check(onTick || UntilTick(interval) > limit, qt.IsTrue)
				c.Check(!onTick || limit-wait < interval, qt.IsTrue)
			}
		}
	})
}

// TestTickOrWakeReturnsEarly guards against TickOrWake missing a wake-up or blocking after its
// context is canceled.
func TestTickOrWakeReturnsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		wake := make(chan struct{}, 1)
		start := time.Now()
		c.Check(TickOrWake(context.Background(), time.Second, wake), qt.IsNil)
		c.Check(time.Since(start), qt.Equals, time.Second)
		wake <- struct{}{}
		start = time.Now()
		c.Check(TickOrWake(context.Background(), time.Hour, wake), qt.IsNil)
		c.Check(time.Since(start), qt.Equals, time.Duration(0))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		c.Check(TickOrWake(ctx, time.Hour, wake), qt.Equals, context.Canceled)
	})
}
