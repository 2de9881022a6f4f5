package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/route"
)

// newRequestUntil returns a request on a route that has the given time until its deadline.
func newRequestUntil(route *route.Route, left time.Duration) *request {
	return &request{route: route, received: time.Now(), deadline: time.Now().Add(left)}
}

// TestRequestThatMayNotEndInAStopIsRefused guards against requests that are admitted although they may
// still run when the daemon ends, and against refusals of those that certainly end before.
func TestRequestThatMayNotEndInAStopIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &Gateway{answerTimes: newAnswerTimes()}
		known, unknown := &route.Route{Name: "known"}, &route.Route{Name: "unknown"}
		g.answerTimes.observe("known", time.Second)
		c.Check(g.refuseLate(newRequestUntil(unknown, time.Hour)) == nil, qt.IsTrue, qt.Commentf("no stop has begun"))
		g.Stop(time.Now().Add(8 * time.Second))
		served := func(r *route.Route, left time.Duration) bool {
			f := g.refuseLate(newRequestUntil(r, left))
			if f != nil {
				c.Check(f.Ran, qt.Equals, failure.RanNo)
				c.Check(f.RetryAfter > 0, qt.IsTrue)
			}
			return f == nil
		}
		c.Check(served(known, 20*time.Second), qt.IsTrue)
		c.Check(served(unknown, 20*time.Second), qt.IsFalse, qt.Commentf("its time is not known"))
		c.Check(served(unknown, 8*time.Second), qt.IsTrue, qt.Commentf("its deadline comes before the end"))
		time.Sleep(6 * time.Second)
		c.Check(served(known, 20*time.Second), qt.IsTrue)
		time.Sleep(time.Second)
		c.Check(served(known, 20*time.Second), qt.IsFalse, qt.Commentf("it takes a second, and more at times"))
		c.Check(served(known, 900*time.Millisecond), qt.IsTrue)
		time.Sleep(time.Hour)
		c.Check(served(known, time.Millisecond), qt.IsFalse, qt.Commentf("the stop has ended"))
	})
}

// TestTimesOfManyRoutesAreBounded guards against a daemon that keeps the times of all routes that ever were.
func TestTimesOfManyRoutesAreBounded(t *testing.T) {
	times := newAnswerTimes()
	for i := range 3 * maxTimedRoutes {
		times.observe(fmt.Sprint("route-", i), time.Second)
	}
	qt.Check(t, len(times.peak) <= maxTimedRoutes, qt.IsTrue)
}

// TestLongestAnswerTimeFollowsTheSlowAnswers checks that the estimate is above each answer that has just
// come, and falls to the usual time after a slow one.
func TestLongestAnswerTimeFollowsTheSlowAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := newAnswerTimes()
		if _, known := times.longest("r"); known {
			t.Fatal("known before the first answer")
		}
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 20000), 1, 50).Draw(t, "times") {
			took := time.Duration(ms) * time.Millisecond
			times.observe("r", took)
			if most, known := times.longest("r"); !known || most <= took {
				t.Fatalf("longest time %v after an answer of %v", most, took)
			}
		}
		const usual = 100 * time.Millisecond
		for range 500 {
			times.observe("r", usual)
		}
		if most, _ := times.longest("r"); most > 2*usual {
			t.Fatalf("longest time %v after 500 answers of %v", most, usual)
		}
	})
}
