package overload

import (
	"net"
	"sync"
	"time"
)

// receiveBufferBytes is the size of the kernel's receive buffer of a connection, of which the kernel
// reserves twice as much. Bytes that a client sends while the daemon does not read stay there.
const receiveBufferBytes = 32 << 10

// Listener bounds the connections that it accepts.
type Listener struct {
	net.Listener
	guard   *Guard
	options ListenerOptions
	// max is the maximum number of connections.
	max int

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Accept implements net.Listener. Connections beyond the maximum take the place of one that is idle
// or makes no progress. If there is none, they are closed unread, so that clients may use another
// daemon.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
	}
}

// admit returns the guarded connection. If there is no room for it, it closes the connection and
// returns nil.
func (l *Listener) admit(accepted net.Conn) *conn {
	if !l.makeRoom(time.Now()) {
		l.guard.met(l.options.Name, LimitConnections, accepted.RemoteAddr())
		_ = accepted.Close()
		return nil
	}
	if sized, ok := accepted.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = sized.SetReadBuffer(receiveBufferBytes) // The default buffer works as well.
	}
	c := newConn(l, accepted)
	l.add(c)
	if c.holder.Reserve(connectionBytes) != nil {
		l.guard.met(l.options.Name, LimitMemory, accepted.RemoteAddr())
		_ = c.Close()
		return nil
	}
	return c
}

// makeRoom closes a connection if the maximum is reached. It reports whether there is room for
// another one.
func (l *Listener) makeRoom(now time.Time) bool {
	l.mu.Lock()
	full := len(l.conns) >= l.max
	var victim *conn
	if full {
		victim = l.leastActive(now)
	}
	l.mu.Unlock()
	if victim == nil {
		return !full
	}
	l.guard.met(l.options.Name, LimitConnections, victim.RemoteAddr())
	victim.refuse(refusalBusy)
	_ = victim.Close()
	return true
}

// leastActive returns the connection that has been idle for longest or, if none is idle, that has
// made no progress with its request for longest, and at least for stallTime. It returns nil if
// there is none. The caller holds the lock.
func (l *Listener) leastActive(now time.Time) *conn {
	var idle, stalled *conn
	var idleFor, stalledFor time.Duration
	for c := range l.conns {
		phase, quiet := c.quiet(now)
		switch {
		case phase == phaseIdle && quiet >= idleFor:
			idle, idleFor = c, quiet
		case phase != phaseIdle && phase != phaseRunning && quiet >= max(stalledFor, stallTime):
			stalled, stalledFor = c, quiet
		}
	}
	if idle != nil {
		return idle
	}
	return stalled
}

// crowdedShare is the share of the maximum of connections from which on a listener is crowded.
const crowdedShare = 0.75

// crowded reports whether few connections are left.
func (l *Listener) crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.conns)) > crowdedShare*float64(l.max)
}

// add adds a connection. It must be called before the connection can lose its place.
func (l *Listener) add(c *conn) {
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	l.guard.open.WithLabelValues(l.options.Name).Inc()
}

// remove removes a connection that has been closed.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	_, found := l.conns[c]
	delete(l.conns, c)
	l.mu.Unlock()
	if found {
		l.guard.open.WithLabelValues(l.options.Name).Dec()
	}
}

// sweep ends what exceeds its time. A daemon that was paused finds bytes that came in time only
// after it has read them, so a connection must exceed its time in two sweeps.
func (l *Listener) sweep(now time.Time) {
	limits := l.options.Limits()
	var late []*conn
	l.mu.Lock()
	for c := range l.conns {
		if c.late(now, limits) {
			late = append(late, c)
		}
	}
	l.mu.Unlock()
	for _, c := range late {
		c.expire()
	}
}
