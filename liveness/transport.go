package liveness

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bronzeturn/bronzeturn/attempt"
)

const (
	// keepFor is how long an idle connection is kept, less than most servers do.
	keepFor = 4 * time.Second
	// keptPerEngine bounds the idle connections to one engine.
	keptPerEngine = maxProbes
)

// NewTransport returns the transport for a Prober. It keeps connections for further probes.
func NewTransport(dial attempt.DialFunc) http.RoundTripper {
	return attempt.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &keptConn{Conn: conn}, nil
		},
		DisableCompression: true, IdleConnTimeout: keepFor, MaxIdleConnsPerHost: keptPerEngine,
		MaxResponseHeaderBytes: attempt.MaxAnswerHeaderBytes,
	})
}

// keptConn is a connection of a Transport. It tells the engine that has answered on it of its end.
type keptConn struct {
	net.Conn

	mu sync.Mutex
	// engine is the engine that has answered, nil before, first is when it first did.
	engine *engine
	first  time.Time
	// kept is set while the engine counts the connection as kept.
	kept, ended bool
}

// identify records that an engine has answered. again is set if it had before, first when it did first. keeps is
// set if the connection stays open. The caller holds the lock of the engine.
func (c *keptConn) identify(e *engine, keeps bool, now time.Time) (first time.Time, again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	again = c.engine == e
	if c.engine == nil {
		c.engine, c.first = e, now
	}
	if keep := keeps && !c.ended && c.engine == e; keep != c.kept {
		c.kept = keep
		e.connKept(keep)
	}
	return c.first, again
}

// acknowledged reports whether the connection is open on which an engine has answered, since when, and the host of the
// engine has acknowledged all that was sent. It is not known of a connection through another daemon.
func (c *keptConn) acknowledged(e *engine) (first time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.engine != e {
		return time.Time{}, false
	}
	direct, ok := c.Conn.(syscall.Conn)
	if !ok {
		return time.Time{}, false
	}
	raw, err := direct.SyscallConn()
	if err != nil {
		return time.Time{}, false
	}
	unacknowledged := -1
	if err := raw.Control(func(fd uintptr) { unacknowledged, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return time.Time{}, false
	}
	return c.first, err == nil && unacknowledged == 0
}

// Read implements net.Conn. The transport reads all the time, so that it notices the end at once.
func (c *keptConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.end(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *keptConn) Close() error {
	c.end(false)
	return c.Conn.Close()
}

// end records the end of the connection. Calls after the first have no effect.
func (c *keptConn) end(lost bool) {
	c.mu.Lock()
	kept := c.kept
	c.kept, c.ended = false, true
	c.mu.Unlock()
	if kept {
		c.engine.connClosed(lost)
	}
}

// usedConn holds the connection that a probe uses.
type usedConn struct {
	last atomic.Pointer[keptConn]
	// written is set once the probe has been written.
	written atomic.Bool
}

// conn returns the connection, nil if there was none.
func (u *usedConn) conn() *keptConn { return u.last.Load() }

// withUsedConn returns a context that records the connection that a request uses.
func withUsedConn(ctx context.Context) (context.Context, *usedConn) {
	used := &usedConn{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn
			if inner, ok := conn.(interface{ NetConn() net.Conn }); ok {
				conn = inner.NetConn()
			}
			if kept, ok := conn.(*keptConn); ok {
				used.last.Store(kept)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { used.written.Store(info.Err == nil) },
	}), used
}
