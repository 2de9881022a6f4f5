package overload

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// receiveBufferBytes is the size of the kernel's receive buffer of a connection, of which the
	// kernel reserves twice as much. Bytes that a client sends while the daemon does not read stay
	// there.
	receiveBufferBytes = 16 << 10
	// minBacklog and maxBacklog bound the connections that wait to be accepted. Each may have sent
	// as much as its receive buffer holds.
	minBacklog = 64
	maxBacklog = 512
)

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

// boundBuffers sets the receive buffer of the connections to a listener, and the number of those that
// wait to be accepted. Without it, a crowd of connections that wait may have sent any multiple of the
// memory of a small host.
func boundBuffers(l net.Listener, backlog int) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil // It is not a socket.
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes),
			unix.Listen(int(fd), min(max(backlog, minBacklog), maxBacklog)),
		)
	})
	return errors.Join(err, failed)
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
	if !victim.giveUp(refusalBusy) {
		return false // Its request runs by now.
	}
	l.guard.met(l.options.Name, LimitConnections, victim.RemoteAddr())
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

// StopReading ends the reading of all requests' bodies that have not come whole. Their handlers answer
// them.
func (l *Listener) StopReading() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for c := range l.conns {
		if phase, _ := c.quiet(now); phase == phaseBody {
			_ = c.SetReadDeadline(now)
		}
	}
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
