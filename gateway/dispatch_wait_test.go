package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/route"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// TestRefusalStatesThatRequestHasNotRun guards against refused requests that run, and against
// callers that are not told when to return.
func TestRefusalStatesThatRequestHasNotRun(t *testing.T) {
	d := &fakeDispatcher{refuse: func(int) scheduler.Cause { return scheduler.CauseBacklog }}
	d.contended.Store(true)
	b := newBench(t, d, answers)
	w := b.send(context.Background(), "/safe/")
	b.c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
	b.c.Check(w.Header().Get(testRetryAfter), qt.Equals, "0.123")
	b.c.Check(b.received.Load(), qt.Equals, int32(0))
	for _, field := range []string{`"waited_ms":7`, `"ahead":3`, `"told_ms":123`, `"refused_because":"backlog"`, `"ran":"no"`} {
		b.c.Check(strings.Contains(b.log.String(), field), qt.IsTrue, qt.Commentf("%s in %s", field, &b.log))
	}
}

// TestRefusalAfterAttempt guards against a refusal with status 503 of a request that may have
// run, which its caller would send again, and against a status 502 of one that has not.
func TestRefusalAfterAttempt(t *testing.T) {
	for _, test := range []struct {
		name   string
		engine testEngine
		status int
		told   string
	}{
		{"may have run", loses, http.StatusBadGateway, ""},
		{"error answer", fails, http.StatusInternalServerError, ""},
		{"full", isFull, http.StatusServiceUnavailable, "0.123"},
		{"misdirected", misdirected, http.StatusServiceUnavailable, "0.123"},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &fakeDispatcher{refuse: func(n int) scheduler.Cause {
				if n == 0 {
					return ""
				}
				return scheduler.CauseDisplaced
			}}
			b := newBench(t, d, test.engine)
			w := b.send(context.Background(), "/safe/")
			b.c.Check(w.Code, qt.Equals, test.status)
			b.c.Check(w.Header().Get(testRetryAfter), qt.Equals, test.told)
			b.c.Check(d.outcomes(b.c), qt.HasLen, 1)
		})
	}
}

// TestNamedEngineIsUsed guards against the gateway choosing another engine than the one with a
// free slot, and against a request failing because that engine has ended meanwhile.
func TestNamedEngineIsUsed(t *testing.T) {
	b := newBench(t, &fakeDispatcher{}, answers, answers, answers)
	const requests = 12
	b.dispatcher.name = func(int) string { return b.keys[1] }
	for range requests {
		b.c.Check(b.send(context.Background(), "/once/").Code, qt.Equals, http.StatusOK)
	}
	for _, ticket := range b.dispatcher.tickets {
		b.c.Check(ticket.sentTo, qt.DeepEquals, []string{b.keys[1]})
	}
	b.dispatcher.name = func(int) string { return "ended@1" }
	b.c.Check(b.send(context.Background(), "/once/").Code, qt.Equals, http.StatusOK)
	last := b.dispatcher.tickets[requests]
	b.c.Assert(last.sentTo, qt.HasLen, 1)
	b.c.Check(b.keys, qt.Contains, last.sentTo[0])
}

// TestEngineThatWasFullMayGetRequestAgain guards against requests that no engine may get,
// because every engine has refused them as full once.
func TestEngineThatWasFullMayGetRequestAgain(t *testing.T) {
	b := newBench(t, &fakeDispatcher{}, isFull, loses)
	b.inOrder()
	b.send(context.Background(), "/safe/")
	requests := b.dispatcher.requests
	b.c.Assert(len(requests) >= 3, qt.IsTrue, qt.Commentf("%d requests", len(requests)))
	b.c.Check(requests[1].Tried, qt.HasLen, 0)
	b.c.Check(requests[2].Tried, qt.DeepEquals, []string{b.keys[1]})
}

// TestWaitingEngineIsNotAbandonedWithoutAFreeOne guards against attempts that wait in an engine's
// queue being abandoned, although no other engine has room, so that the engine works for nobody
// and the request fails.
func TestWaitingEngineIsNotAbandonedWithoutAFreeOne(t *testing.T) {
	for _, test := range []struct{ contended, free bool }{{false, false}, {false, true}, {true, false}, {true, true}} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDispatcher{}
				d.contended.Store(test.contended)
				d.free.Store(test.free)
				// The engine answers after four times the time after which it may be abandoned.
				b := newBench(t, d, answersAfter(560*time.Millisecond), answers)
				b.inOrder()
				b.c.Check(b.send(context.Background(), "/safe/").Code, qt.Equals, http.StatusOK)
				b.c.Check(d.lastExcepted(), qt.DeepEquals, []string{b.keys[0]})
				if test.free {
					b.c.Check(d.outcomes(b.c), qt.DeepEquals, []scheduler.Outcome{scheduler.Failed, scheduler.Answered})
					return
				}
				b.c.Check(d.outcomes(b.c), qt.DeepEquals, []scheduler.Outcome{scheduler.Answered})
				b.c.Check(b.received.Load(), qt.Equals, int32(1))
			})
		})
	}
}

// TestOnlyEngineIsNotAbandoned guards against a status 502 for want of capacity: without another
// engine, a request whose engine is silent must wait for it until the deadline.
func TestOnlyEngineIsNotAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, &fakeDispatcher{}, answersAfter(560*time.Millisecond))
		b.c.Check(b.send(context.Background(), "/safe/").Code, qt.Equals, http.StatusOK)
		b.c.Check(b.received.Load(), qt.Equals, int32(1))
	})
}

// TestBusyEnginesAreNoFailure guards against a status 502 for want of capacity, and against
// engines that are all busy not being reported, so that the service never counts as contended.
func TestBusyEnginesAreNoFailure(t *testing.T) {
	b := newBench(t, &fakeDispatcher{}, isFull, isFull)
	for range 4 {
		w := b.send(context.Background(), "/safe/")
		b.c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
		b.c.Check(w.Header().Get(testRetryAfter), qt.Not(qt.Equals), "")
	}
	b.dispatcher.outcomes(b.c)
	b.c.Check(b.dispatcher.noEngine > 0, qt.IsTrue)
}

// TestBusyEnginesSendRequestToTheQueue guards against requests that poll for an engine beside
// the queue of a service that has just become contended.
func TestBusyEnginesSendRequestToTheQueue(t *testing.T) {
	d := &fakeDispatcher{}
	b := newBench(t, d, isFull)
	b.send(context.Background(), "/once/")
	asked := len(d.requests)
	d.contended.Store(false)
	d.refuse = func(n int) scheduler.Cause {
		if n == asked {
			return ""
		}
		return scheduler.CauseBacklog
	}
	w := b.send(context.Background(), "/once/")
	b.c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
	b.c.Check(w.Header().Get(testRetryAfter), qt.Equals, "0.123", qt.Commentf("of the queue"))
	b.c.Check(d.outcomes(b.c)[len(d.tickets)-1], qt.Equals, scheduler.Canceled)
}

// TestNoEscalationWithoutAFreeSlot guards against second attempts that take the place of requests
// that wait, and against doubtful answers of a contended service whose engines have free slots.
func TestNoEscalationWithoutAFreeSlot(t *testing.T) {
	for free, want := range map[bool][]scheduler.Outcome{
		false: {scheduler.Answered}, true: {scheduler.Canceled, scheduler.Answered},
	} {
		d := &fakeDispatcher{}
		d.contended.Store(true)
		d.free.Store(free)
		b := newBench(t, d, confident("5"), confident("95"))
		b.inOrder()
		b.c.Check(b.send(context.Background(), "/sized/", testAnyModel, "1").Code, qt.Equals, http.StatusOK)
		b.c.Check(d.outcomes(b.c), qt.DeepEquals, want, qt.Commentf("free slot: %v", free))
	}
}

// TestRequestsAreDescribed guards against requests that are ordered by the wrong values.
func TestRequestsAreDescribed(t *testing.T) {
	b := newBench(t, &fakeDispatcher{}, answers)
	kind := runKind{"desk", "safe"}
	b.gateway.runTimes.observe(kind, 10*time.Millisecond)
	b.send(context.Background(), "/safe/")
	afterOne := b.gateway.runTimes.expected(kind)
	b.send(context.Background(), "/safe/")
	b.send(context.Background(), "/stream/")
	plain, again, model := b.dispatcher.requests[0], b.dispatcher.requests[1], b.dispatcher.requests[2]
	b.c.Check(plain.Service, qt.Equals, "desk")
	b.c.Check(plain.Rank, qt.Equals, 2)
	b.c.Check(plain.OwnChoice, qt.IsFalse)
	b.c.Check(plain.Work, qt.Equals, 10*time.Millisecond)
	b.c.Check(again.Work, qt.Equals, afterOne)
	b.c.Check(again.Work, qt.Not(qt.Equals), plain.Work, qt.Commentf("the first run counts"))
	b.c.Check(plain.Key, qt.Not(qt.Equals), uint64(0))
	b.c.Check(again.Key, qt.Equals, plain.Key, qt.Commentf("a caller that returns sends the same content"))
	b.c.Check(model.Key, qt.Not(qt.Equals), plain.Key)
	b.c.Check(model.OwnChoice, qt.IsTrue)
	// 30 tokens of work for the prompt at 12,800 per second, and 10 tokens at a quarter of that.
	b.c.Check(model.Work.Round(10*time.Microsecond), qt.Equals, 5470*time.Microsecond)
}

// TestWaitIsBounded guards against requests that wait longer than they can still be served in
// time, and against ones that are refused by any short burst.
func TestWaitIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, test := range []struct {
		name                      string
		target, work, left, since time.Duration
		want                      time.Duration
	}{
		{"target less the work", ms(300), ms(100), ms(1500), 0, ms(200)},
		{"work above the target", ms(300), ms(400), ms(1500), 0, ms(50)},
		{"long target", ms(3000), ms(100), ms(9000), 0, ms(400)},
		{"no target", 0, ms(100), ms(9000), 0, ms(400)},
		{"little time left", ms(300), ms(100), ms(130), 0, ms(30)},
		{"no time left", ms(300), ms(100), ms(90), 0, 0},
		{"waited before", ms(300), ms(100), ms(1500), ms(120), ms(80)},
		{"waited long before", ms(300), ms(100), ms(1500), ms(900), ms(50)},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := &task{request: &request{route: &route.Route{Target: test.target}, deadline: now.Add(test.left)}, answer: &answer{}}
			if test.since > 0 {
				k.queuedSince = now.Add(-test.since)
			}
			qt.Check(t, k.maxWait(test.work, test.work, now), qt.Equals, test.want)
		})
	}
}

// TestRunTimesFollowTheRoute guards against one route's work being expected for another, and
// against a mean that does not follow a change.
func TestRunTimesFollowTheRoute(t *testing.T) {
	c := qt.New(t)
	r, fast, slow := newRunTimes(), runKind{"s", "fast"}, runKind{"s", "slow"}
	c.Check(r.expected(fast), qt.Equals, defaultRunTime)
	r.observe(fast, 10*time.Millisecond)
	r.observe(slow, time.Second)
	c.Check(r.expected(fast), qt.Equals, 10*time.Millisecond)
	for range 100 {
		r.observe(slow, 100*time.Millisecond)
	}
	c.Check(r.expected(slow) < 110*time.Millisecond, qt.IsTrue, qt.Commentf("%s", r.expected(slow)))
}
