package liveness

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/inventory"
)

// pathProber asks for a path.
type pathProber struct{ transport http.RoundTripper }

// Probe implements Prober.
func (p pathProber) Probe(ctx context.Context, e inventory.Engine, q Question) (Reply, bool, error) {
	if q == QuestionReport {
		return ReplyUnsupported, false, nil
	}
	x, err := attempt.Send(ctx, p.transport, attempt.Request{Method: http.MethodGet, URL: "http://" + e.Address + "/"})
	if err != nil {
		return "", false, err
	}
	x.Drain()
	return ReplyInstance, !x.Closes, x.Close()
}

// testProcess is a server that answers probes, unless they are held.
type testProcess struct {
	server *httptest.Server
	// hold is closed to let probes be answered.
	hold atomic.Pointer[chan struct{}]
}

func newTestProcess(t *testing.T) *testProcess {
	p := &testProcess{}
	p.holdProbes()()
	p.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-*p.hold.Load():
		case <-r.Context().Done():
		}
	}))
	p.server.Start()
	t.Cleanup(p.server.Close)
	return p
}

// holdProbes makes the process hold its answers to probes until release is called.
func (p *testProcess) holdProbes() (release func()) {
	hold := make(chan struct{})
	p.hold.Store(&hold)
	return func() { close(hold) }
}

// monitorOf returns a monitor of a process, with a connection on which it has answered.
func monitorOf(t *testing.T, p *testProcess, restarted func() bool) (*Monitor, inventory.Engine) {
	e := testEngine
	e.Address = strings.TrimPrefix(p.server.URL, "http://")
	m := New(Options{
		Prober:    pathProber{NewTransport((&net.Dialer{}).DialContext)},
		Restarted: func(inventory.Engine) bool { return restarted() }, Registerer: prometheus.NewRegistry(),
	})
	first := m.Open(e, false)
	for m.kept(e) == 0 {
		time.Sleep(time.Millisecond)
	}
	first.Close(false)
	return m, e
}

// kept returns the number of kept connections to an engine.
func (m *Monitor) kept(e inventory.Engine) (n int) {
	m.with(e, func(known *engine) { n = known.kept })
	return n
}

func never() bool { return false }

// TestKeptConnectionShowsThatAProcessRunsOn covers an engine that answers probes, and one that receives them only.
func TestKeptConnectionShowsThatAProcessRunsOn(t *testing.T) {
	p := newTestProcess(t)
	m, e := monitorOf(t, p, never)
	a := m.Open(e, false)
	qt.Check(t, a.Outlived(t.Context()).Evidence, qt.Equals, Probe)
	a.Close(true)

	defer p.holdProbes()()
	a = m.Open(e, false)
	qt.Check(t, a.Outlived(t.Context()).Evidence, qt.Equals, Acknowledged)
	a.Close(true)
}

// TestLaterProcessAtTheAddressIsNotTheEarlierOne guards against taking the end of a process for the end of its answer
// because another start of it answers under the same id.
func TestLaterProcessAtTheAddressIsNotTheEarlierOne(t *testing.T) {
	p := newTestProcess(t)
	ended := make(chan struct{})
	m, e := monitorOf(t, p, func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
	a := m.Open(e, false)
	p.server.CloseClientConnections()
	time.AfterFunc(registrationDelay/4, func() { close(ended) })
	qt.Check(t, a.Outlived(t.Context()).Evidence, qt.Equals, OtherInstance)
	a.Close(false)
}

// TestClosedIdleConnectionIsNoEnd covers an engine that closes idle connections while it gives an answer.
func TestClosedIdleConnectionIsNoEnd(t *testing.T) {
	p := newTestProcess(t)
	m, e := monitorOf(t, p, never)
	a := m.Open(e, false)
	p.server.CloseClientConnections()
	qt.Check(t, a.Outlived(t.Context()).Evidence, qt.Equals, NewConnection)
	a.Close(true)
}
