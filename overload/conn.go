package overload

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// connectionBytes is the memory of a connection without its requests: its goroutine's stack
	// and its buffers.
	connectionBytes = 24 << 10
	// fieldBytes is the memory of a field of a head beside its text, of which there are two
	// copies while it is read.
	fieldBytes = 160
	textCopies = 2
	// headSlack is the size of a read that may contain the end of a head and a part of the body.
	headSlack = 4 << 10
	// lingerTime and lingerBytes bound what is read and dropped after a refusal, so that the
	// client gets to read it before the connection is reset.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// refusalWriteTime bounds the time to write a refusal, which fits into the kernel's buffer
	// unless the client has left earlier answers unread.
	refusalWriteTime = 10 * time.Millisecond
)

// multiplexedPreface begins the first bytes of HTTP/2 without TLS. No method of HTTP/1.1 begins so.
const multiplexedPreface = "PRI "

// Refusals that are sent before there is a request.
const (
	refusalBusy      = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalLate      = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalHeadBytes = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// phase is what a connection is used for.
type phase int

const (
	// phaseNew is before the first byte, phaseHead while a request's head comes.
	phaseNew phase = iota
	phaseHead
	// phaseBody is while a request's body is read, phaseRunning any other time in a request.
	phaseBody
	phaseRunning
	// phaseIdle is between two requests.
	phaseIdle
)

// conn is a connection of a client.
type conn struct {
	net.Conn
	listener *Listener
	holder   *Holder

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// head is the size of the head so far, and held what the request has reserved, in bytes.
	head int
	held int64
	// multiplexed is set if requests share the connection, as with HTTP/2. Its phase then follows
	// the HTTP server only.
	multiplexed bool
	// ahead is set if the client has sent bytes behind its request before the answer.
	ahead bool
	// stalled is set if the reading of the present body was ended because it made no progress.
	stalled bool
	// lingering is set after the handler of a request whose body may not have been read.
	lingering bool
	// expired is the phase that was found to exceed its time, by its beginning.
	expired time.Time
	// givenUp is set once the connection is to be closed. A request that has not begun to run by then
	// never does.
	givenUp bool
	closed  bool
}

// newConn returns a guarded connection.
func newConn(l *Listener, accepted net.Conn) *conn {
	c := &conn{Conn: accepted, listener: l, since: time.Now()}
	c.holder = l.guard.account.Open(c.evict)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) && c.mustSend(p) {
			c.listener.guard.met(c.listener.options.Name, LimitRequestTime, c.RemoteAddr())
		}
		return n, err
	}
	now := time.Now()
	c.holder.Progress(now)
	if limit, refusal := c.received(p, n, now); limit != "" {
		c.listener.guard.met(c.listener.options.Name, limit, c.RemoteAddr())
		c.refuse(refusal)
		c.linger()
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: net.ErrClosed}
	}
	return n, err
}

// mustSend reports whether the client had to send what was to be read into p until a deadline. The HTTP
// server also ends its own reads by deadlines: those of one byte, and those between requests.
func (c *conn) mustSend(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(p) > 1 && (c.lingering || c.listener.options.RequestTime > 0 && (c.phase == phaseHead || c.phase == phaseRunning))
}

// setLingering records that the handler has ended, and what the client still sends is dropped.
func (c *conn) setLingering() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering = true
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.guard.met(c.listener.options.Name, LimitAnswerTime, c.RemoteAddr())
	}
	return n, err
}

// received accounts for n bytes that were read into p. It returns the limit that they exceed, "" for
// none, and the refusal to send.
func (c *conn) received(p []byte, n int, now time.Time) (Limit, string) {
	memory, headBytes, ahead := c.count(p, n, now)
	if ahead {
		c.holder.Charge(receiveBufferBytes) // A request in progress keeps its place.
		return "", ""
	}
	if most := c.listener.options.Limits().HeadBytes; most > 0 && headBytes > most+headSlack {
		return LimitHeadBytes, refusalHeadBytes
	}
	if memory > 0 && c.holder.Reserve(memory) != nil {
		return LimitMemory, refusalBusy
	}
	return "", ""
}

// count returns what the bytes that were read add to the memory of a head and the size of the head so
// far, 0 outside of a head. ahead is set at the first bytes behind a request that is in progress.
func (c *conn) count(p []byte, n int, now time.Time) (memory int64, head int, ahead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseNew && bytes.HasPrefix(p[:n], []byte(multiplexedPreface)) {
		c.multiplexed = true
	}
	if c.multiplexed {
		return 0, 0, false
	}
	switch c.phase {
	case phaseNew, phaseIdle:
		c.phase, c.since, c.head = phaseHead, now, 0
	case phaseRunning:
		// The HTTP server waits for the client to disconnect with a read of one byte.
		if len(p) > 1 || c.ahead {
			return 0, 0, false
		}
		c.ahead = true
		c.held += receiveBufferBytes
		return 0, 0, true
	case phaseBody:
		return 0, 0, false
	}
	memory = int64(textCopies*n + fieldBytes*bytes.Count(p[:n], []byte{'\n'}))
	c.head += n
	c.held += memory
	return memory, c.head, false
}

// setMultiplexed records that requests share the connection.
func (c *conn) setMultiplexed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.multiplexed = true
}

// setState follows the HTTP server.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.enter(phaseRunning)
		c.holder.Pin()
	case http.StateIdle:
		c.mu.Lock()
		held := c.held
		c.held, c.ahead, c.lingering, c.stalled = 0, false, false, false
		c.mu.Unlock()
		c.holder.Release(held)
		c.holder.Progress(time.Now())
		c.enter(phaseIdle)
		c.holder.SetEvict(c.evict)
	}
}

// enter begins a phase.
func (c *conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, time.Now()
}

// bodyStalled reports whether the reading of the present body was ended because it made no progress.
func (c *conn) bodyStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled
}

// quiet returns the phase and the time without progress in it.
func (c *conn) quiet(now time.Time) (phase, time.Duration) {
	stalled := c.holder.StalledFor(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, min(stalled, now.Sub(c.since))
}

// late reports whether the connection exceeds the time of its phase for the second time.
func (c *conn) late(now time.Time, limits Limits) bool {
	phase, quiet := c.quiet(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	most := limits.IdleTime
	switch phase {
	case phaseRunning:
		return false
	case phaseHead:
		most, quiet = limits.HeadTime, now.Sub(c.since)
	}
	if most <= 0 || quiet <= most {
		c.expired = time.Time{}
		return false
	}
	if !c.expired.Equal(c.since) {
		c.expired = c.since
		return false
	}
	return true
}

// expire ends the connection, or the reading of the body, which leaves the answer to the request's
// handler.
func (c *conn) expire() {
	c.mu.Lock()
	phase := c.phase
	c.stalled = phase == phaseBody
	c.mu.Unlock()
	name := c.listener.options.Name
	switch phase {
	case phaseBody:
		c.listener.guard.met(name, LimitBodyTime, c.RemoteAddr())
		_ = c.SetReadDeadline(time.Now())
		return
	case phaseHead:
		c.listener.guard.met(name, LimitHeadTime, c.RemoteAddr())
	case phaseNew, phaseIdle:
		c.listener.guard.met(name, LimitIdleTime, c.RemoteAddr())
	default:
		return // A request runs by now.
	}
	c.giveUp(refusalLate)
}

// evict closes the connection because its memory is given to another client. If a request has begun
// meanwhile, the connection keeps its place.
func (c *conn) evict() {
	if !c.giveUp(refusalBusy) {
		c.holder.Restore()
		return
	}
	c.listener.guard.met(c.listener.options.Name, LimitMemory, c.RemoteAddr())
}

// giveUp closes the connection, unless a request runs, and reports whether it did.
func (c *conn) giveUp(refusal string) bool {
	if !c.refuse(refusal) {
		return false
	}
	_ = c.Close()
	return true
}

// refuse keeps a request that has not begun to run from running, and sends a refusal if its head is
// being received. It reports false if a request runs.
func (c *conn) refuse(refusal string) bool {
	c.mu.Lock()
	phase := c.phase
	c.givenUp = c.givenUp || phase != phaseRunning
	givenUp := c.givenUp
	c.mu.Unlock()
	if givenUp && phase == phaseHead && c.listener.options.Plain {
		_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime))
		_, _ = c.Conn.Write([]byte(refusal)) // The client may not read it.
	}
	return givenUp
}

// isGivenUp reports whether the connection is to be closed.
func (c *conn) isGivenUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.givenUp
}

// linger ends the sending side and drops what still comes, for a short time.
func (c *conn) linger() {
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	var dropped [headSlack]byte
	for n := 0; n < lingerBytes; {
		read, err := c.Conn.Read(dropped[:])
		if err != nil {
			return
		}
		n += read
	}
}

// CloseWrite ends the sending side, as the HTTP server does after an answer that closes the
// connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return os.ErrInvalid
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	c.listener.remove(c)
	c.holder.Close()
	return c.Conn.Close()
}
