package overload

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
)

// guarded is an HTTP server behind a Listener on loopback. Its handler reads the body, unless the path
// is /refused.
type guarded struct {
	c        *qt.C
	guard    *Guard
	listener *Listener
}

// serve starts a server. limits may change its Listener before it accepts connections.
func serve(t *testing.T, limits Limits, change func(l *Listener)) *guarded {
	c := qt.New(t)
	g := &guarded{c: c, guard: New(Options{MemoryBytes: 64 << 20, Log: zerolog.Nop(), Registerer: prometheus.NewRegistry()})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	g.listener = g.guard.Listen(l, ListenerOptions{Name: "test", Share: CallerShare, Plain: true, Limits: func() Limits { return limits }})
	if change != nil {
		change(g.listener)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: http.HandlerFunc(g.handle), Protocols: protocols}
	g.listener.Attach(server)
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = server.Serve(g.listener) }()
	go func() { _ = g.guard.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		_ = server.Close()
	})
	return g
}

func (g *guarded) handle(w http.ResponseWriter, r *http.Request) {
	q := g.guard.Account().OpenRequest(w, r)
	defer q.Close()
	if r.URL.Path == "/refused" {
		q.Refuse(w)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := q.ReadBody(1<<20, time.Now().Add(time.Minute))
	switch {
	case err == ErrStalled:
		q.Refuse(w)
		w.WriteHeader(http.StatusRequestTimeout)
	case err != nil:
		q.Refuse(w)
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		_, _ = fmt.Fprintf(w, "%d bytes", len(body))
	}
}

// waitFor waits until at least n connections are in a phase.
func (g *guarded) waitFor(p phase, n int) {
	count := func() (found int) {
		g.listener.mu.Lock()
		defer g.listener.mu.Unlock()
		for c := range g.listener.conns {
			if in, _ := c.quiet(time.Now()); in == p {
				found++
			}
		}
		return found
	}
	for count() < n {
		time.Sleep(time.Millisecond)
	}
}

// client is a connection to the server.
type client struct {
	c *qt.C
	net.Conn
	r *bufio.Reader
}

func (g *guarded) dial() *client {
	conn, err := net.Dial("tcp", g.listener.Addr().String())
	g.c.Assert(err, qt.IsNil)
	g.c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	return &client{c: g.c, Conn: conn, r: bufio.NewReader(conn)}
}

// send sends a part of a request.
func (c *client) send(text string) *client {
	_, err := io.WriteString(c.Conn, text)
	c.c.Assert(err, qt.IsNil)
	return c
}

// status reads an answer and returns its status, 0 if the connection was closed without one.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

const (
	request  = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
	unending = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{"
)

// TestIdleConnectionMakesRoom checks that a new connection takes the place of the one that has been
// idle for longest, and that none of those in use is closed.
func TestIdleConnectionMakesRoom(t *testing.T) {
	g := serve(t, Limits{}, func(l *Listener) { l.max = 3 })
	busy, first, second := g.dial().send(unending), g.dial(), g.dial()
	g.c.Assert(first.send(request).status(), qt.Equals, http.StatusOK)
	g.waitFor(phaseIdle, 1)
	g.c.Assert(second.send(request).status(), qt.Equals, http.StatusOK)
	g.waitFor(phaseIdle, 2)
	g.c.Assert(g.dial().send(request).status(), qt.Equals, http.StatusOK)
	g.c.Check(first.status(), qt.Equals, 0, qt.Commentf("closed without an answer"))
	g.c.Check(second.send(request).status(), qt.Equals, http.StatusOK)
	g.c.Check(busy.send("}").status(), qt.Equals, http.StatusOK)
	g.c.Check(testutil.ToFloat64(g.guard.limited.WithLabelValues("test", string(LimitConnections))), qt.Equals, 1.0)
}

// TestNewConnectionIsClosedWhileAllAreInUse checks that a client learns at once that there is no room.
func TestNewConnectionIsClosedWhileAllAreInUse(t *testing.T) {
	g := serve(t, Limits{}, func(l *Listener) { l.max = 1 })
	busy := g.dial().send(unending)
	g.waitFor(phaseBody, 1)
	refused := g.dial()
	g.c.Check(refused.status(), qt.Equals, 0)
	g.c.Check(busy.send("}").status(), qt.Equals, http.StatusOK)
}

// TestStalledRequestMakesRoom checks that a request without progress gives way, and is told that it
// has not run.
func TestStalledRequestMakesRoom(t *testing.T) {
	g := serve(t, Limits{}, func(l *Listener) { l.max = 1 })
	stalled := g.dial().send("POST / HTTP/1.1\r\nHost: x\r\n")
	time.Sleep(stallTime + 100*time.Millisecond)
	g.c.Check(g.dial().send(request).status(), qt.Equals, http.StatusOK)
	g.c.Check(stalled.status(), qt.Equals, http.StatusServiceUnavailable)
}

// TestSlowClientsAreClosed checks the times for heads, bodies and idle connections.
func TestSlowClientsAreClosed(t *testing.T) {
	g := serve(t, Limits{HeadTime: 100 * time.Millisecond, IdleTime: 300 * time.Millisecond}, nil)
	head, body, idle, silent := g.dial().send("POST / HTTP/1.1\r\n"), g.dial().send(unending), g.dial().send(request), g.dial()
	g.c.Check(head.status(), qt.Equals, http.StatusRequestTimeout)
	g.c.Check(body.status(), qt.Equals, http.StatusRequestTimeout)
	g.c.Check(idle.status(), qt.Equals, http.StatusOK)
	g.c.Check(idle.status(), qt.Equals, 0)
	g.c.Check(silent.status(), qt.Equals, 0)
}

// TestHeadsAreBounded checks a head over its limit, and heads that find no memory.
func TestHeadsAreBounded(t *testing.T) {
	g := serve(t, Limits{HeadBytes: 16 << 10}, nil)
	large := "GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 40<<10)
	g.c.Check(g.dial().send(large).status(), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	inside := "GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 15<<10) + "\r\n\r\n"
	g.c.Check(g.dial().send(inside).status(), qt.Equals, http.StatusOK)
	waiting := g.dial()
	g.c.Assert(waiting.send(request).status(), qt.Equals, http.StatusOK)
	g.waitFor(phaseIdle, 2)
	taken := g.guard.Account().Open(nil)
	defer taken.Close()
	taken.Charge(g.guard.Account().Limit())
	g.c.Check(waiting.status(), qt.Equals, 0, qt.Commentf("an idle connection gives its memory away"))
	g.c.Check(g.dial().status(), qt.Equals, 0)
}

// TestMultiplexedConnectionOutlivesTheTimeOfAHead guards against frames outside of requests that are
// taken for a head: connections between daemons are kept open by pings.
func TestMultiplexedConnectionOutlivesTheTimeOfAHead(t *testing.T) {
	g := serve(t, Limits{HeadTime: 100 * time.Millisecond, IdleTime: time.Minute}, nil)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialled := 0
	transport := &http.Transport{
		Protocols: protocols, HTTP2: &http.HTTP2Config{SendPingTimeout: 50 * time.Millisecond},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dialled++
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	}
	defer transport.CloseIdleConnections()
	for range 2 {
		resp, err := (&http.Client{Transport: transport}).Post("http://"+g.listener.Addr().String(), "", strings.NewReader("{}"))
		g.c.Assert(err, qt.IsNil)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		g.c.Check(resp.ProtoMajor, qt.Equals, 2)
		time.Sleep(3 * sweepInterval)
	}
	g.c.Check(dialled, qt.Equals, 1)
}

// TestRefusedHeadNeverRuns guards against a request whose head is complete while it is refused: the
// refusal promises that it has not run.
func TestRefusedHeadNeverRuns(t *testing.T) {
	g := serve(t, Limits{}, nil)
	ran := false
	handler := guardRequests(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran = true }))
	run := func(c *conn) {
		defer func() { _ = recover() }() // The handler aborts the connection.
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		handler.ServeHTTP(httptest.NewRecorder(), r.WithContext(context.WithValue(r.Context(), connKey{}, c)))
	}
	begin := func() *conn {
		server, client := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		c := newConn(g.listener, server)
		c.enter(phaseHead)
		return c
	}
	refused := begin()
	g.c.Check(refused.giveUp(refusalBusy), qt.IsTrue)
	refused.setState(http.StateActive)
	run(refused)
	g.c.Check(ran, qt.IsFalse)
	running := begin()
	running.setState(http.StateActive)
	g.c.Check(running.giveUp(refusalBusy), qt.IsFalse)
	run(running)
	g.c.Check(ran, qt.IsTrue)
}

// TestRefusalDoesNotWaitForTheBody guards against a refusal that is sent only when the rest of the
// body has come, and against connections that stay open behind it.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	g := serve(t, Limits{}, nil)
	for _, head := range []string{"Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n", "Content-Length: 100\r\n\r\nb", "Content-Length: 100000\r\n\r\nb"} {
		refused := g.dial().send("POST /refused HTTP/1.1\r\nHost: x\r\n" + head)
		g.c.Check(refused.status(), qt.Equals, http.StatusNotFound)
		_, err := refused.r.ReadByte()
		g.c.Check(err, qt.Equals, io.EOF)
	}
	kept := g.dial()
	for range 2 {
		kept.send("POST /refused HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nb")
		g.c.Check(kept.status(), qt.Equals, http.StatusNotFound)
	}
}

// TestEvictedBodyIsRefused checks that a body that loses its memory is answered, and that nothing is
// held when all connections are closed.
func TestEvictedBodyIsRefused(t *testing.T) {
	g := serve(t, Limits{}, nil)
	large := g.dial().send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n80000\r\n" + strings.Repeat("b", 0x80000))
	for g.guard.Account().Used() < 0x80000 {
		time.Sleep(time.Millisecond)
	}
	taken := g.guard.Account().Open(nil)
	taken.Charge(g.guard.Account().Limit() - 0x80000)
	g.c.Check(large.status(), qt.Equals, http.StatusServiceUnavailable)
	taken.Close()
	_ = large.Close()
	for g.guard.Account().Used() != 0 {
		time.Sleep(time.Millisecond)
	}
}
