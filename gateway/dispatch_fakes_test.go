package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/dispatch"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// fakeTicket counts the calls of Done.
type fakeTicket struct {
	engine   string
	wait     dispatch.Wait
	mu       sync.Mutex
	sentTo   []string
	outcomes []scheduler.Outcome
}

func (t *fakeTicket) Engine() string      { return t.engine }
func (t *fakeTicket) Wait() dispatch.Wait { return t.wait }

func (t *fakeTicket) Sent(engine string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentTo = append(t.sentTo, engine)
}

func (t *fakeTicket) Done(o scheduler.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
}

// fakeDispatcher grants every request, unless refuse returns a cause for it.
type fakeDispatcher struct {
	contended, free atomic.Bool
	// refuse returns why the nth request, counted from 0, is refused, "" to grant it.
	refuse func(n int) scheduler.Cause
	// name returns the engine of the nth grant.
	name func(n int) string

	mu       sync.Mutex
	requests []dispatch.Request
	tickets  []*fakeTicket
	noEngine int
	// excepted holds the engines of the last call of FreeEngine.
	excepted []string
}

// lastExcepted returns the engines of the last call of FreeEngine.
func (d *fakeDispatcher) lastExcepted() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.excepted
}

// refusedFor is the Retry-After of fakeDispatcher's refusals.
const refusedFor = 123 * time.Millisecond

func (d *fakeDispatcher) Acquire(_ context.Context, r dispatch.Request) (dispatch.Ticket, dispatch.Wait, *failure.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.requests)
	d.requests = append(d.requests, r)
	w := dispatch.Wait{Contended: d.contended.Load(), Waited: 7 * time.Millisecond, Ahead: 3}
	if d.refuse != nil {
		if w.Cause = d.refuse(n); w.Cause != "" {
			return nil, w, failure.New(failure.CodeNoCapacity, failure.RanNo, "refused").WithRetryAfter(refusedFor)
		}
	}
	t := &fakeTicket{wait: w}
	if d.name != nil {
		t.engine = d.name(n)
	}
	d.tickets = append(d.tickets, t)
	return t, w, nil
}

func (d *fakeDispatcher) NoEngine(string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noEngine++
	d.contended.Store(true)
}

func (d *fakeDispatcher) Contended(string) bool { return d.contended.Load() }

func (d *fakeDispatcher) FreeEngine(_ string, except []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.excepted = except
	return d.free.Load()
}

// outcomes returns the outcomes of all tickets, and fails the test if Done was not called
// exactly once for one of them.
func (d *fakeDispatcher) outcomes(c *qt.C) (all []scheduler.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, t := range d.tickets {
		c.Assert(t.outcomes, qt.HasLen, 1, qt.Commentf("ticket %d", i))
		all = append(all, t.outcomes[0])
	}
	return all
}

// testEngine is an engine whose answers are functions of the number of its request, from 0.
type testEngine func(n int, w http.ResponseWriter, r *http.Request)

// stamped sets the headers of an engine's answer.
func stamped(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testID, r.Header.Get(testID))
	w.Header().Set(testStamp, "1")
}

func answers(_ int, w http.ResponseWriter, r *http.Request) {
	stamped(w, r)
	_, _ = w.Write([]byte("ok"))
}

// isFull refuses requests without running them.
func isFull(_ int, w http.ResponseWriter, r *http.Request) {
	stamped(w, r)
	w.Header().Set(testNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fails answers with an error status.
func fails(_ int, w http.ResponseWriter, r *http.Request) {
	stamped(w, r)
	w.WriteHeader(http.StatusInternalServerError)
}

// loses drops the connection after the request was received.
func loses(int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// answersAfter answers after a delay.
func answersAfter(d time.Duration) testEngine {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			answers(n, w, r)
		case <-r.Context().Done():
		}
	}
}
