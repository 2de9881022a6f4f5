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

	"github.com/bronzeturn/bronzeturn/scheduler"
)

// inOrder names the engines of a bench one after the other.
func (b *bench) inOrder() {
	b.dispatcher.name = func(n int) string { return b.keys[min(n, len(b.keys)-1)] }
}

// eventsOf returns an engine that sends the events of a stream from one number to another. If
// breaks is set, it drops the connection after them.
func eventsOf(from, to int, breaks bool) testEngine {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		stamped(w, r)
		for n := from; n <= to; n++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		}
		_ = http.NewResponseController(w).Flush()
		if breaks {
			panic(http.ErrAbortHandler)
		}
	}
}

// confident returns an engine that sends one event and reports a confidence.
func confident(percent string) testEngine {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testConfidence, percent)
		eventsOf(1, 1, false)(0, w, r)
	}
}

// misdirected refuses a request because it is meant for another engine.
func misdirected(_ int, w http.ResponseWriter, r *http.Request) {
	stamped(w, r)
	w.Header().Set(testInstance, "another")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// leaves refuses a request because the engine ends.
func leaves(n int, w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testLeaving, "1")
	isFull(n, w, r)
}

// TestTicketEndsOnceOnEveryPath guards against slots that the coordinator counts as used for
// ever, because the end of an attempt is not reported, or as free too early, because it is
// reported twice or with a wrong outcome.
func TestTicketEndsOnceOnEveryPath(t *testing.T) {
	const hang = time.Minute
	for _, test := range []struct {
		name    string
		target  string
		headers []string
		engines []testEngine
		// leaves is set if the caller leaves once the engine has received the request.
		leaves   bool
		held     bool
		status   int
		outcomes []scheduler.Outcome
		classes  []scheduler.Class
		// unsent is the number of tickets for which nothing was sent.
		unsent int
	}{
		{
			name: "answered", target: "/once/", engines: []testEngine{answers}, status: 200,
			outcomes: []scheduler.Outcome{scheduler.Answered}, classes: []scheduler.Class{scheduler.First},
		},
		{
			name: "engine full", target: "/once/", engines: []testEngine{isFull, answers}, status: 200,
			outcomes: []scheduler.Outcome{scheduler.Full, scheduler.Answered}, classes: []scheduler.Class{scheduler.First, scheduler.First},
		},
		{
			name: "engine leaves", target: "/once/", engines: []testEngine{leaves, answers}, status: 200,
			outcomes: []scheduler.Outcome{scheduler.Failed, scheduler.Answered}, classes: []scheduler.Class{scheduler.First, scheduler.First},
		},
		{
			name: "another engine at the address", target: "/once/", engines: []testEngine{misdirected, answers}, status: 200,
			outcomes: []scheduler.Outcome{scheduler.Failed, scheduler.Answered}, classes: []scheduler.Class{scheduler.First, scheduler.First},
		},
		{
			name: "engine silent", target: "/safe/", engines: []testEngine{answersAfter(hang), answers}, status: 200,
			outcomes: []scheduler.Outcome{scheduler.Failed, scheduler.Answered}, classes: []scheduler.Class{scheduler.First, scheduler.Repeated},
		},
		{
			name: "engine silent until the deadline", target: "/short/", engines: []testEngine{answersAfter(hang)}, status: 504,
			outcomes: []scheduler.Outcome{scheduler.Failed}, classes: []scheduler.Class{scheduler.First},
		},
		{
			name: "connection lost", target: "/safe/", engines: []testEngine{loses, answers}, status: 200,
			outcomes: []scheduler.Outcome{scheduler.Failed, scheduler.Answered}, classes: []scheduler.Class{scheduler.First, scheduler.Repeated},
		},
		{
			name: "connection lost, not repeatable", target: "/once/", engines: []testEngine{loses, answers}, status: 502,
			outcomes: []scheduler.Outcome{scheduler.Failed}, classes: []scheduler.Class{scheduler.First},
		},
		{
			name: "error status", target: "/once/", engines: []testEngine{fails}, status: 500,
			outcomes: []scheduler.Outcome{scheduler.Failed}, classes: []scheduler.Class{scheduler.First},
		},
		{
			name: "caller leaves", target: "/once/", leaves: true, status: 502,
			outcomes: []scheduler.Outcome{scheduler.Canceled}, classes: []scheduler.Class{scheduler.First},
		},
		{
			name: "escalation", target: "/sized/", headers: []string{testAnyModel, "1"}, engines: []testEngine{confident("5"), confident("95")}, status: 200,
			outcomes: []scheduler.Outcome{scheduler.Canceled, scheduler.Answered}, classes: []scheduler.Class{scheduler.First, scheduler.Repeated},
		},
		{
			name: "quarantine", target: "/once/", engines: []testEngine{answers}, held: true, status: 503, unsent: 1,
			outcomes: []scheduler.Outcome{scheduler.Canceled}, classes: []scheduler.Class{scheduler.First},
		},
		{
			name: "stream resumed", target: "/stream/", engines: []testEngine{eventsOf(1, 2, true), eventsOf(3, 4, false)}, status: 200,
			outcomes: []scheduler.Outcome{scheduler.Failed, scheduler.Answered}, classes: []scheduler.Class{scheduler.First, scheduler.Resumed},
		},
		{
			name: "stream resumed by the caller", target: "/stream/", headers: []string{testLastEvent, "2"}, engines: []testEngine{eventsOf(3, 4, false)}, status: 200,
			outcomes: []scheduler.Outcome{scheduler.Answered}, classes: []scheduler.Class{scheduler.Resumed},
		},
		{
			name: "stream that cannot be resumed", target: "/once/", headers: []string{testLastEvent, "2"}, engines: []testEngine{answers}, status: 200,
			outcomes: []scheduler.Outcome{scheduler.Answered}, classes: []scheduler.Class{scheduler.First},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				if test.leaves {
					test.engines = []testEngine{func(_ int, _ http.ResponseWriter, r *http.Request) {
						leave()
						<-r.Context().Done()
					}}
				}
				b := newBench(t, &fakeDispatcher{}, test.engines...)
				b.inOrder()
				b.dispatcher.free.Store(true)
				b.quarantine.held.Store(test.held)
				w := b.send(ctx, test.target, test.headers...)
				b.c.Check(w.Code, qt.Equals, test.status)
				b.c.Check(b.dispatcher.outcomes(b.c), qt.DeepEquals, test.outcomes)
				var classes []scheduler.Class
				for _, r := range b.dispatcher.requests {
					classes = append(classes, r.Class)
				}
				b.c.Check(classes, qt.DeepEquals, test.classes)
				for i, ticket := range b.dispatcher.tickets {
					if i < test.unsent {
						b.c.Check(ticket.sentTo, qt.HasLen, 0)
						continue
					}
					b.c.Check(ticket.sentTo, qt.HasLen, 1)
				}
			})
		})
	}
}

// TestNoDispatcherChangesNothing guards against deployments without scheduling being served in
// another way than before: silent engines are abandoned, full engines lead to a refusal, and
// the log has no fields of the queue.
func TestNoDispatcherChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBench(t, nil, answersAfter(time.Minute), answers)
		const bound = 100 // The choice between two equal engines is random.
		for n := 0; !strings.Contains(b.log.String(), `"kind":"silent"`); n++ {
			c.Assert(n < bound, qt.IsTrue, qt.Commentf("the silent engine is not abandoned"))
			c.Check(b.send(context.Background(), "/safe/").Code, qt.Equals, http.StatusOK)
		}
		full := newBench(t, nil, isFull, isFull)
		w := full.send(context.Background(), "/once/")
		c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Check(w.Header().Get(testRetryAfter), qt.Matches, `0\.[1-4]..`)
		for _, field := range []string{"waited_ms", "ahead", "told_ms", "refused_because"} {
			c.Check(strings.Contains(b.log.String()+full.log.String(), field), qt.IsFalse)
		}
	})
}

// TestUncontendedServiceHasNoQueueFields guards against log lines that suggest a queue where
// there was none.
func TestUncontendedServiceHasNoQueueFields(t *testing.T) {
	b := newBench(t, &fakeDispatcher{}, answers)
	b.c.Check(b.send(context.Background(), "/once/").Code, qt.Equals, http.StatusOK)
	for _, field := range []string{"waited_ms", "ahead", "told_ms", "refused_because"} {
		b.c.Check(strings.Contains(b.log.String(), field), qt.IsFalse)
	}
}
