package attempt_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/attempt"
)

// muteConn discards what the peer sends once mute is set, like a connection whose state the
// peer or the network has lost. Reads then block until the connection is closed.
type muteConn struct {
	net.Conn
	mute   *atomic.Bool
	closed chan struct{}
	once   *sync.Once
}

func (m muteConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if m.mute.Load() {
		<-m.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (m muteConn) Close() error {
	m.once.Do(func() { close(m.closed) })
	return m.Conn.Close()
}

func TestSilentConnectionClosesTheIdleOnesToItsHost(t *testing.T) {
	c := qt.New(t)
	const together = 4
	var arrived sync.WaitGroup
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			arrived.Done()
			arrived.Wait() // Keeps all requests open, so that each uses its own connection.
		}
	}))
	defer server.Close()
	var dials atomic.Int32
	mute := &atomic.Bool{}
	transport := attempt.NewTransports(&http.Transport{
		MaxIdleConnsPerHost: together,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return muteConn{Conn: conn, mute: mute, closed: make(chan struct{}), once: &sync.Once{}}, err
		},
	})
	defer transport.CloseIdleConnections()

	arrived.Add(together)
	failed := make(chan error, together)
	for range together {
		go func() { failed <- send(transport, attempt.Request{Method: "POST", URL: server.URL + "/together"}) }()
	}
	for range together {
		c.Assert(<-failed, qt.IsNil)
	}
	c.Assert(dials.Load(), qt.Equals, int32(together))

	old := mute
	old.Store(true)
	mute = &atomic.Bool{} // New connections work.
	r := attempt.Request{Method: "POST", URL: server.URL, ProgressTimeout: 50 * time.Millisecond}
	err := send(transport, r)
	c.Assert(stageOf(c, err), qt.Equals, attempt.Sent)
	r.ProgressTimeout = 5 * time.Second
	c.Assert(send(transport, r), qt.IsNil) // Would time out on any of the old connections.
	c.Assert(dials.Load(), qt.Equals, int32(together+1))
}

func TestTransportsPoolConnectionsPerHost(t *testing.T) {
	c := qt.New(t)
	var received atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		_, _ = io.WriteString(w, "ok")
	})
	one, two := httptest.NewServer(handler), httptest.NewServer(handler)
	defer one.Close()
	defer two.Close()
	var dials atomic.Int32
	transport := attempt.NewTransports(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	})
	defer transport.CloseIdleConnections()
	both := func() {
		for _, server := range []*httptest.Server{one, two} {
			c.Assert(send(transport, attempt.Request{Method: "GET", URL: server.URL}), qt.IsNil)
		}
	}
	both()
	both()
	c.Assert(dials.Load(), qt.Equals, int32(2))
	transport.DropIdle(one.Listener.Addr().String())
	both()
	c.Assert(dials.Load(), qt.Equals, int32(3))
	c.Assert(received.Load(), qt.Equals, int32(6))
}
