// Package standin implements stand-ins for the systems that bronzeturn depends
// on: object API, host list, rating service, weight store, model engine and plain
// service. They are for demos and tests, run in a process of their own or inside
// another one, and inject faults that are set over a control endpoint. They are
// not meant for production.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"gopkg.in/tomb.v2"
)

// server is the common part of all stand-ins: fault injection, the control
// endpoint and serving.
type server struct {
	faults  faultState
	conns   connections
	handler http.Handler
	control http.Handler
}

// ServeHTTP implements http.Handler. Faults.SilenceConnections has an effect only
// on connections that Serve accepted.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isControl(r) {
		s.control.ServeHTTP(w, r)
		return
	}
	s.faults.apply(s.handler, w, r)
}

// SetFaults replaces the faults, like a PUT to PathFaults. A PUT does not silence
// its own connection.
func (s *server) SetFaults(f Faults) {
	s.faults.set(f)
	if f.SilenceConnections {
		s.conns.silence(nil)
	}
}

// Serve serves on the listener until ctx is cancelled, then closes all
// connections.
func (s *server) Serve(ctx context.Context, l net.Listener) error {
	srv := &http.Server{
		Handler:     s,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	// tomb.WithContext has a data race if its parent context is cancelled right
	// away.
	var t tomb.Tomb
	t.Go(func() error {
		if err := srv.Serve(&listener{Listener: l, conns: &s.conns}); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	t.Go(func() error {
		select {
		case <-ctx.Done():
		case <-t.Dying():
		}
		s.conns.closeAll()
		return srv.Close()
	})
	return t.Wait()
}

// connKey is the context key for the connection of a request.
type connKey struct{}

// listener wraps accepted connections so that they can be made silent.
type listener struct {
	net.Listener
	conns *connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.add(c), nil
}

// connections tracks the open connections of a stand-in.
type connections struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

func (cs *connections) add(c net.Conn) *conn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open == nil {
		cs.open = make(map[*conn]struct{})
	}
	wrapped := &conn{Conn: c, owner: cs, released: make(chan struct{})}
	cs.open[wrapped] = struct{}{}
	return wrapped
}

func (cs *connections) remove(c *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.open, c)
}

// silence makes all open connections other than except permanently silent.
func (cs *connections) silence(except net.Conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.open {
		if net.Conn(c) != except {
			c.setSilent()
		}
	}
}

// closeAll closes all connections, including silent ones.
func (cs *connections) closeAll() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.open {
		c.release()
		_ = c.Conn.Close() // An error changes nothing, as the connection is discarded.
	}
	clear(cs.open)
}

// conn is a connection that can be made silent, to simulate a network that drops
// all packets: writes are discarded, and nothing that the peer sends arrives, not
// even the end of the connection.
type conn struct {
	net.Conn
	owner *connections

	mu       sync.Mutex
	silent   bool
	once     sync.Once
	released chan struct{}
}

func (c *conn) setSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *conn) release() { c.once.Do(func() { close(c.released) }) }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.released
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. If the connection is silent, it stays open so that
// the peer does not notice.
func (c *conn) Close() error {
	c.release()
	if c.isSilent() {
		return nil
	}
	c.owner.remove(c)
	return c.Conn.Close()
}
