package e2e

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// shortLoad is the load that the tests of the generator send to one daemon.
var shortLoad = loadSpec{
	length: 100 * time.Millisecond, deadline: time.Second,
	sources: []loadSource{{organisation: "org-1", perSecond: 100, daemons: []int{0}}},
}

// shortLoadCallers is the number of callers of shortLoad.
const shortLoadCallers = 10

// newFakeFleet returns a fleet whose daemons are HTTP handlers. A nil handler is a daemon that has
// died.
func newFakeFleet(t *testing.T, handlers ...http.HandlerFunc) *entryFleet {
	f := &entryFleet{c: qt.New(t)}
	for _, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		if handler == nil {
			server.Close()
		}
		f.daemons = append(f.daemons, emulator.Daemon{Front: strings.TrimPrefix(server.URL, "http://")})
	}
	return f
}

// answer answers a request as an engine does.
func answer(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)                                                   // A cut-off body gives another answer than the caller expects.
	_, _ = io.WriteString(w, emulator.AnswerBody(r.Header.Get("Request-Id"), body)) // The caller may have disconnected.
}

// TestCallersReturnAtTheTimeTheyWereGiven guards against a load whose callers return early, at
// another time than the one they were given, or with another request.
func TestCallersReturnAtTheTimeTheyWereGiven(t *testing.T) {
	var mu sync.Mutex
	seen := make(map[string]int)
	f := newFakeFleet(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // A cut-off body counts as another request.
		mu.Lock()
		defer mu.Unlock()
		seen[string(body)]++
		w.Header().Set("Retry-After", "0.120")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	spec := shortLoad
	spec.returns = 2
	l := f.runLoad(spec)
	f.c.Check(seen, qt.HasLen, shortLoadCallers)
	for body, n := range seen {
		f.c.Check(n, qt.Equals, 1+spec.returns, qt.Commentf("%s", body))
	}
	last := make(map[string]loadTry)
	for _, try := range l.tries {
		caller := try.id[:strings.LastIndex(try.id, "-")]
		if before, ok := last[caller]; ok {
			f.c.Check(try.asked.Sub(before.asked) >= 120*time.Millisecond, qt.IsTrue)
			f.c.Check(try.appointed, qt.IsTrue)
		}
		last[caller] = try
	}
}

// TestCallersDisconnectAtTheirDeadline guards against callers who wait for ever, or return after
// their deadline.
func TestCallersDisconnectAtTheirDeadline(t *testing.T) {
	spec := shortLoad
	spec.deadline, spec.returns = 200*time.Millisecond, 4
	f := newFakeFleet(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // The server notices the disconnect only after the body has been read.
		<-r.Context().Done()
	})
	got := f.runLoad(spec).figures(time.Second, func(loadTry) bool { return true })
	f.c.Check(got.asked, qt.Equals, shortLoadCallers)
	f.c.Check(got.gaveUp, qt.Equals, shortLoadCallers)

	f = newFakeFleet(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "0.3")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	got = f.runLoad(spec).figures(time.Second, func(loadTry) bool { return true })
	f.c.Check(got.statuses, qt.DeepEquals, map[int]int{http.StatusServiceUnavailable: shortLoadCallers})
}

// TestCallersUseAnotherDaemonWhenOneHasDied checks that the failed connection is not counted as a
// request.
func TestCallersUseAnotherDaemonWhenOneHasDied(t *testing.T) {
	f := newFakeFleet(t, nil, answer)
	got := f.runLoad(shortLoad).figures(time.Second, func(t loadTry) bool { return t.daemon == 1 })
	f.c.Check(got.asked, qt.Equals, shortLoadCallers)
	f.c.Check(got.inTime, qt.Equals, shortLoadCallers)
}

// TestAnswersOfOtherRequestsCountAsFailed guards against a load that counts any answer with status
// 200 as served.
func TestAnswersOfOtherRequestsCountAsFailed(t *testing.T) {
	f := newFakeFleet(t, func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Request-Id", "another")
		answer(w, r)
	})
	got := f.runLoad(shortLoad).figures(time.Second, func(loadTry) bool { return true })
	f.c.Check(got.failed, qt.Equals, shortLoadCallers)
}
