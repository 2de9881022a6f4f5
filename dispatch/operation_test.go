package dispatch

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// syncBuffer is a log that may be written concurrently.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// TestStateChangesAreLoggedAtMostOncePerSecond guards against logs that fill up while the
// coordinator changes or fails all the time.
func TestStateChangesAreLoggedAtMostOncePerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := &syncBuffer{}
		f := &testFleet{daemons: make(map[string]*testDaemon), engines: []Engine{{"e", 1}}, owner: func(string) string { return "d0" }, log: log}
		f.live.Store(2)
		d := f.start(t.Context(), "d0", 1)
		defer f.stop()
		d.NoEngine(testService)
		turns := 0
		f.setOwner(func(string) string { turns++; return []string{"d0", "other", ""}[turns%3] })
		time.Sleep(10 * time.Second)
		lines := strings.Count(log.String(), "\n")
		c.Check(lines >= 2 && lines <= 11, qt.IsTrue, qt.Commentf("%s", log))
		c.Check(log.String(), qt.Contains, `"service":"svc"`)
		c.Check(log.String(), qt.Contains, "service is contended")
		c.Check(log.String(), qt.Contains, "service is not contended any more")
	})
}

// TestMetrics guards against metrics that are missing or do not tell the state.
func TestMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 2, Engine{"e", 1})
		defer f.stop()
		f.d(1).NoEngine(testService)
		go func() { _, _ = f.d(1).run(t.Context(), time.Second, time.Second) }()
		time.Sleep(100 * time.Millisecond)
		go func() { _, _ = f.d(1).run(t.Context(), 500*time.Millisecond, 0) }()
		time.Sleep(90 * time.Millisecond)
		registry := f.d(0).Registerer.(*prometheus.Registry)
		c.Check(testutil.GatherAndCompare(registry, strings.NewReader(`
# HELP bronzeturn_dispatch_contended 1 if the service is contended.
# TYPE bronzeturn_dispatch_contended gauge
bronzeturn_dispatch_contended{service="svc"} 1
# HELP bronzeturn_dispatch_room Number of requests that may run together, as far as this daemon decides it.
# TYPE bronzeturn_dispatch_room gauge
bronzeturn_dispatch_room{service="svc"} 1
# HELP bronzeturn_dispatch_running Requests in progress.
# TYPE bronzeturn_dispatch_running gauge
bronzeturn_dispatch_running{scope="daemon",service="svc"} 0
bronzeturn_dispatch_running{scope="fleet",service="svc"} 1
# HELP bronzeturn_dispatch_waiting Requests that wait for a grant.
# TYPE bronzeturn_dispatch_waiting gauge
bronzeturn_dispatch_waiting{scope="daemon",service="svc"} 0
bronzeturn_dispatch_waiting{scope="fleet",service="svc"} 1
`), "bronzeturn_dispatch_contended", "bronzeturn_dispatch_room", "bronzeturn_dispatch_running", "bronzeturn_dispatch_waiting"), qt.IsNil)
		time.Sleep(time.Second)
		m := f.d(1).metrics
		c.Check(testutil.ToFloat64(m.granted.WithLabelValues(testService)), qt.Equals, 1.0)
		c.Check(testutil.ToFloat64(m.refused.WithLabelValues(testService, string(scheduler.CauseBacklog))), qt.Equals, 1.0)
		c.Check(testutil.ToFloat64(m.calls.WithLabelValues(testService, outcomeAnswered)) > 5, qt.IsTrue)
		n, err := testutil.GatherAndCount(f.d(1).Registerer.(*prometheus.Registry), "bronzeturn_dispatch_answer_age_seconds")
		c.Check(err, qt.IsNil)
		c.Check(n, qt.Equals, 1)
	})
}

// TestFreeEngine guards against attempts that are given up although all engines are busy, and
// against ones that stay at an engine that does not answer although another is free.
func TestFreeEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 2, Engine{"e", 2}, Engine{"e2", 2})
		defer f.stop()
		c.Check(f.d(0).FreeEngine(testService, nil), qt.IsTrue)
		c.Check(f.d(0).FreeEngine(testService, []string{"e", "e2"}), qt.IsFalse)
		ticket, _, _ := f.d(0).Acquire(t.Context(), request(time.Second))
		ticket.Sent("e")
		c.Check(f.d(0).FreeEngine(testService, []string{"e2"}), qt.IsFalse, qt.Commentf("the other daemon has a request there, too, as an estimate"))
		f.d(0).NoEngine(testService)
		time.Sleep(600 * time.Millisecond)
		c.Check(f.d(0).FreeEngine(testService, []string{"e2"}), qt.IsTrue, qt.Commentf("the coordinator counts one request"))
		c.Check(f.d(1).FreeEngine(testService, []string{"e2"}), qt.IsTrue)
		second, _, _ := f.d(1).Acquire(t.Context(), Request{Service: testService, MaxWait: time.Second, Deadline: time.Now().Add(time.Second), Tried: []string{"e2"}})
		c.Check(second.Engine(), qt.Equals, "e")
		second.Sent("e")
		time.Sleep(600 * time.Millisecond)
		c.Check(f.d(0).FreeEngine(testService, []string{"e2"}), qt.IsFalse)
		ticket.Done(scheduler.Answered)
		second.Done(scheduler.Answered)
	})
}

// TestEndOfRunReleasesRequests guards against requests that wait in a daemon that leaves, and
// against services that stay contended there.
func TestEndOfRunReleasesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 2, Engine{"e", 1})
		defer f.stop()
		f.d(1).NoEngine(testService)
		blocker, _, _ := f.d(0).Acquire(t.Context(), request(time.Second))
		blocker.Sent("e")
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		time.AfterFunc(50*time.Millisecond, f.d(1).stop)
		_, refusal := f.d(1).run(t.Context(), time.Second, 0)
		c.Check(refusal == nil, qt.IsTrue)
		c.Check(time.Since(began), qt.Equals, 50*time.Millisecond)
		<-f.d(1).ended
		c.Check(f.d(1).Contended(testService), qt.IsFalse)
		blocker.Done(scheduler.Answered)
	})
}

// TestContextThatEndedIsNotGranted guards against requests that run although the caller has
// left, and slots that stay in use after a late grant.
func TestContextThatEndedIsNotGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 2, Engine{"e", 1})
		defer f.stop()
		f.d(1).NoEngine(testService)
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		f.setAfter((&network{f: f, rng: newRand(), late: 1, delay: 100 * time.Millisecond}).after)
		for range 20 {
			_, _, refusal := f.d(1).Acquire(ctx, request(time.Second))
			c.Assert(refusal != nil, qt.IsTrue)
			c.Check(refusal.Code, qt.Equals, failure.CodeDeadlinePassed)
		}
		f.setAfter(nil)
		time.Sleep(300 * time.Millisecond)
		status, _ := f.d(0).service(testService).coordinator.status()
		c.Check(status.Running, qt.Equals, 0)
		c.Check(status.Waiting, qt.Equals, 0)
	})
}

// TestRestartedDaemon guards against requests of an ended process that keep capacity in use,
// and against a new process whose calls are taken for old ones.
func TestRestartedDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 2, Engine{"e", 1})
		defer f.stop()
		f.d(1).NoEngine(testService)
		time.Sleep(10 * time.Millisecond)
		ticket, _, refusal := f.d(1).Acquire(t.Context(), request(time.Second))
		c.Assert(refusal == nil, qt.IsTrue)
		ticket.Sent("e")
		time.Sleep(10 * time.Millisecond)
		f.d(1).kill()
		f.setFault(nil)
		restarted := f.start(t.Context(), "d1", 2)
		restarted.MarkContended(testService, time.Now().Add(contendedTTL))
		wait, refusal := restarted.run(t.Context(), time.Second, 0)
		c.Check(refusal == nil, qt.IsTrue)
		c.Check(wait.Waited < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait.Waited))
		c.Check(wait.Local, qt.IsFalse)
	})
}
