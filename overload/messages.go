package overload

import (
	"encoding/binary"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// streamType begins the content types of calls that are streams of messages. The body of any
	// other call is one message.
	streamType = "application/connect+"
	// prefixBytes is the size of the prefix of a message in a stream: a byte of flags and four of
	// the message's length.
	prefixBytes = 5
	// messageCopies is the memory of a message that is being received, as a multiple of the bytes
	// that have come: its buffer doubles, and is copied then.
	messageCopies = 3
)

// BoundMessages returns a handler for calls of the Connect protocol that accounts for the messages
// which are being received. A message that finds no memory, or loses it to another client, fails its
// call.
func (a *Account) BoundMessages(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := a.OpenRequest(w, r)
		defer q.Close()
		if q.ReserveHead() != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		q.setReading(true)
		defer q.setReading(false)
		m := &messages{ReadCloser: r.Body, request: q, stream: strings.HasPrefix(r.Header.Get("Content-Type"), streamType)}
		m.keepPlace()
		r.Body = m
		next.ServeHTTP(w, r)
	})
}

// messages is the body of a call.
type messages struct {
	io.ReadCloser
	request *Request
	// stream is set if the body is a stream of messages.
	stream bool
	// prefix is the part of the next message's prefix that has come, left the part of the present
	// message that has not, and held what has come of it, in bytes.
	prefix     []byte
	left, held int64
}

// Read implements io.Reader.
func (m *messages) Read(p []byte) (int, error) {
	n, err := m.ReadCloser.Read(p)
	if n == 0 {
		return n, err
	}
	m.request.holder.Progress(time.Now())
	reserve := int64(n)
	if m.stream {
		reserve = m.follow(p[:n])
	}
	if full := m.request.holder.Reserve(messageCopies * reserve); full != nil {
		return 0, full
	}
	m.held += reserve
	m.keepPlace()
	return n, err
}

// keepPlace lets a call lose its place only while it holds a part of a message: a stream without
// messages is not stalled.
func (m *messages) keepPlace() {
	if m.stream && m.held == 0 {
		m.request.holder.Pin()
		return
	}
	m.request.holder.SetEvict(m.request.stop)
}

// follow follows the messages in what has come. It releases what complete messages hold, and returns
// the bytes that belong to an incomplete one.
func (m *messages) follow(p []byte) (incomplete int64) {
	for len(p) > 0 {
		if m.left == 0 {
			n := min(prefixBytes-len(m.prefix), len(p))
			m.prefix = append(m.prefix, p[:n]...)
			p = p[n:]
			if len(m.prefix) < prefixBytes {
				return incomplete
			}
			m.left, m.prefix = int64(binary.BigEndian.Uint32(m.prefix[1:])), m.prefix[:0]
			continue
		}
		n := min(m.left, int64(len(p)))
		incomplete += n
		m.left -= n
		p = p[n:]
		if m.left == 0 {
			m.request.holder.Release(messageCopies * m.held)
			m.held, incomplete = 0, 0
		}
	}
	return incomplete
}
