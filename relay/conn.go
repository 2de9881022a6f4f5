package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// clientStream is a call of RelayService.Connect.
type clientStream = connect.BidiStreamForClient[bronzeturnv1.ConnectRequest, bronzeturnv1.ConnectResponse]

// relayedConn is a connection through another daemon. Read and Write may be called concurrently
// with each other and with Close.
type relayedConn struct {
	daemon  string
	address relayedAddr
	stream  *clientStream
	cancel  context.CancelFunc
	// unread is the part of the last message that has not been read.
	unread []byte
	// sent is the number of bytes sent to the other daemon, forwarded the number of those that it wrote to
	// the backend server, nil unless it has stated that the connection ended in order.
	sent      atomic.Uint64
	forwarded *uint64
}

var _ net.Conn = (*relayedConn)(nil)

// relayedAddr is the address of the remote end of a relayed connection.
type relayedAddr string

// Network implements net.Addr.
func (relayedAddr) Network() string { return "relay" }

// String implements net.Addr.
func (a relayedAddr) String() string { return string(a) }

// connectThrough opens a connection to an address through another daemon. The connection
// outlives ctx, and the call to the daemon has none of its values: the trace of the request that
// waits for the connection would record the call's own connection as the one to the backend server.
func connectThrough(ctx context.Context, client bronzeturnv1connect.RelayServiceClient, daemon, address string, timeout time.Duration) (net.Conn, error) {
	inner, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, cancel)
	c := &relayedConn{daemon: daemon, address: relayedAddr(address), cancel: cancel, stream: client.Connect(inner)}
	err := c.open(address, timeout)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// open requests the connection and waits for the outcome.
func (c *relayedConn) open(address string, timeout time.Duration) error {
	request := &bronzeturnv1.ConnectRequest{Address: address, WithinMs: uint32(timeout.Milliseconds())}
	if err := c.stream.Send(request); err != nil && !errors.Is(err, io.EOF) {
		return &CallError{Daemon: c.daemon, Cause: err}
	}
	// The reason why Send returned io.EOF is the error of Receive.
	answer, err := c.stream.Receive()
	if err != nil {
		return &CallError{Daemon: c.daemon, Cause: err}
	}
	if answer.GetOutcome() != bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_CONNECTED {
		return &RefusalError{Daemon: c.daemon, Outcome: answer.GetOutcome()}
	}
	return nil
}

// Read implements net.Conn.
func (c *relayedConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		m, err := c.stream.Receive()
		if errors.Is(err, io.EOF) {
			return 0, c.endError()
		}
		if err != nil {
			return 0, &CallError{Daemon: c.daemon, Cause: err}
		}
		c.unread, c.forwarded = m.GetData(), m.RequestBytes
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// errNotForwarded reports a connection that ended before the other daemon had written all bytes to it.
var errNotForwarded = errors.New("the connection ended before all bytes had been forwarded")

// endError returns io.EOF if the connection ended in order after all bytes had been forwarded.
func (c *relayedConn) endError() error {
	if c.forwarded == nil || *c.forwarded < c.sent.Load() {
		return &CallError{Daemon: c.daemon, Cause: errNotForwarded}
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *relayedConn) Write(p []byte) (written int, err error) {
	for len(p) > 0 {
		n := min(len(p), chunkBytes)
		c.sent.Add(uint64(n))
		if err := c.stream.Send(&bronzeturnv1.ConnectRequest{Data: p[:n]}); err != nil {
			return written, &CallError{Daemon: c.daemon, Cause: err}
		}
		written += n
		p = p[n:]
	}
	return written, nil
}

// Close implements net.Conn. The other daemon closes its connection as soon as it learns of it.
// CloseRequest wakes up the transport, which may be waiting for the next message to send and
// would then not notice the cancellation.
func (c *relayedConn) Close() error {
	c.cancel()
	return c.stream.CloseRequest()
}

// LocalAddr implements net.Conn.
func (c *relayedConn) LocalAddr() net.Addr { return relayedAddr(c.daemon) }

// RemoteAddr implements net.Conn.
func (c *relayedConn) RemoteAddr() net.Addr { return c.address }

// SetDeadline implements net.Conn. Deadlines are not supported; callers cancel by Close.
func (c *relayedConn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn.
func (c *relayedConn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.Conn.
func (c *relayedConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
