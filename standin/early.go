package standin

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lateReturn is the time for which a late Write of an EarlyConn goes on after its bytes, or the reset, have
// reached the other side.
const lateReturn = 20 * time.Millisecond

// EarlyConn is a connection to a server that answers once it has received the first bytes of a request, and
// then ends the connection. It is a reset if bytes of the request are left. As with a socket, the reset is
// reported once: Write returns it, and Read returns io.EOF.
type EarlyConn struct {
	net.Conn
	// Answer is all that the server sends.
	Answer string
	// Accepts is the number of bytes that the server receives before the connection ends. If Last is not
	// empty, it receives all up to these bytes instead.
	Accepts int
	Last    string
	// Late makes the reader see the end of the connection before Write has returned.
	Late bool

	once     sync.Once
	asked    func()
	answered func()
	end      func()
	// begun, read and ended are closed once a request has begun, the answer has been read and the
	// connection has ended.
	begun, read, ended chan struct{}

	mu       sync.Mutex
	received int
	answer   *strings.Reader
}

// init prepares the connection for its first use.
func (c *EarlyConn) init() {
	c.once.Do(func() {
		c.begun, c.read, c.ended = make(chan struct{}), make(chan struct{}), make(chan struct{})
		c.asked = sync.OnceFunc(func() { close(c.begun) })
		c.answered = sync.OnceFunc(func() { close(c.read) })
		c.end = sync.OnceFunc(func() { close(c.ended) })
		c.answer = strings.NewReader(c.Answer)
	})
}

// Write implements net.Conn.
func (c *EarlyConn) Write(p []byte) (int, error) {
	c.init()
	accepted := c.accept(p)
	c.asked()
	if !accepted {
		<-c.read
		return 0, c.endWrite(syscall.ECONNRESET)
	}
	if c.Last != "" && bytes.HasSuffix(p, []byte(c.Last)) {
		return len(p), c.endWrite(nil)
	}
	return len(p), nil
}

// accept records received bytes. It returns false if the server takes no more.
func (c *EarlyConn) accept(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Last == "" && c.received+len(p) > c.Accepts {
		return false
	}
	c.received += len(p)
	return true
}

// endWrite ends the connection, and returns the outcome of the last Write.
func (c *EarlyConn) endWrite(err error) error {
	if !c.Late {
		// The reader runs after the return of Write.
		time.AfterFunc(lateReturn, c.end)
		return err
	}
	c.end()
	time.Sleep(lateReturn)
	return err
}

// Read implements net.Conn.
func (c *EarlyConn) Read(p []byte) (int, error) {
	c.init()
	select {
	case <-c.begun:
	case <-c.ended:
	}
	if n, _ := c.answer.Read(p); n > 0 {
		return n, nil
	}
	c.answered()
	<-c.ended
	return 0, io.EOF
}

// Close implements net.Conn.
func (c *EarlyConn) Close() error {
	c.init()
	c.end()
	return nil
}

// The addresses and deadlines of an EarlyConn have no meaning.
func (c *EarlyConn) LocalAddr() net.Addr             { return &net.TCPAddr{} }
func (c *EarlyConn) RemoteAddr() net.Addr            { return &net.TCPAddr{} }
func (c *EarlyConn) SetDeadline(time.Time) error     { return nil }
func (c *EarlyConn) SetReadDeadline(time.Time) error { return nil }
