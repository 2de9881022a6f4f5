package attempt

import (
	"net"
	"sync"
)

// checkedConn is a connection of a Transport. It records how much of a request has been written, and checks the
// heads of the answers to it.
//
// The system reports a reset once. If Write gets it, Read gets io.EOF, as after an answer that has ended in order.
type checkedConn struct {
	net.Conn
	// writing is held while Write runs. It guards request.
	writing sync.Mutex
	request requestProgress
	// reading guards head, which is nil before the first request.
	reading sync.Mutex
	head    *headCheck
}

// begin prepares the connection for a request with a number of bytes in its body, negative if unknown.
func (c *checkedConn) begin(bodyBytes int64) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.request = requestProgress{bodyLeft: bodyBytes}
	c.reading.Lock()
	defer c.reading.Unlock()
	c.head = &headCheck{}
}

// NetConn returns the connection that is checked.
func (c *checkedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It fails with a *HeadError if the head of an answer is malformed.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.head == nil {
		return n, err
	}
	if malformed := c.head.read(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.request.wrote(p[:n])
	return n, err
}

// requestWritten reports whether the whole request has been written, once Read has returned io.EOF. It closes the
// connection, which ends a Write that still runs.
func (c *checkedConn) requestWritten() bool {
	_ = c.Close() // The other side has closed it.
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.request.whole()
}

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// requestProgress tells how much of a request has been written.
type requestProgress struct {
	// headMatched is how many bytes of headEnd have been written in a row, all once the head has been.
	headMatched int
	// bodyLeft is the number of bytes of the body to be written, negative if unknown.
	bodyLeft int64
}

// wrote records written bytes.
func (r *requestProgress) wrote(p []byte) {
	for len(p) > 0 && r.headMatched < len(headEnd) {
		switch p[0] {
		case headEnd[r.headMatched]:
			r.headMatched++
		case headEnd[0]:
			r.headMatched = 1
		default:
			r.headMatched = 0
		}
		p = p[1:]
	}
	r.bodyLeft -= int64(len(p))
}

// whole reports whether the whole request has been written.
func (r *requestProgress) whole() bool { return r.headMatched == len(headEnd) && r.bodyLeft == 0 }
