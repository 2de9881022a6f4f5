package peer

import (
	"net"
	"sync/atomic"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
)

// Traffic counts the bytes of all connections between daemons, including TLS and HTTP framing.
// It is safe for concurrent use.
type Traffic struct {
	in  atomic.Uint64
	out atomic.Uint64
}

// NewTraffic returns a Traffic and registers its counters as bronzeturn_peer_bytes_total with a
// direction label. The registerer may be nil.
func NewTraffic(registerer prometheus.Registerer) (*Traffic, error) {
	t := &Traffic{}
	if registerer == nil {
		return t, nil
	}
	if err := registerer.Register(t.counter("in", &t.in)); err != nil {
		return nil, &MetricError{Cause: err}
	}
	if err := registerer.Register(t.counter("out", &t.out)); err != nil {
		return nil, &MetricError{Cause: err}
	}
	return t, nil
}

// Bytes returns the number of bytes received and sent so far.
func (t *Traffic) Bytes() (in, out uint64) {
	return t.in.Load(), t.out.Load()
}

func (t *Traffic) counter(direction string, n *atomic.Uint64) prometheus.Collector {
	opts := prometheus.CounterOpts{
		Name:        "bronzeturn_peer_bytes_total",
		Help:        "Bytes on connections between daemons.",
		ConstLabels: prometheus.Labels{"direction": direction},
	}
	return prometheus.NewCounterFunc(opts, func() float64 { return float64(n.Load()) })
}

// conn wraps c so that its bytes are counted.
func (t *Traffic) conn(c net.Conn) net.Conn {
	return &countedConn{Conn: c, traffic: t}
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(uint64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// SyscallConn implements syscall.Conn.
func (l *countedListener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return socket.SyscallConn()
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.conn(c), nil
}
