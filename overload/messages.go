package overload

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// streamType begins the content types of calls that are streams of messages. The body of any
	// other call is one message.
	streamType = "application/connect+"
	// prefixBytes is the size of the prefix of a message in a stream: a byte of flags and four of
	// the message's length.
	prefixBytes = 5
	// messageCopies is the memory that a call keeps for its largest message, as a multiple of it: the
	// buffer of the Connect library, which doubles and is kept while the call waits for its next
	// message.
	messageCopies = 2
	// callShare is the share of the account that the calls of one listener may use.
	callShare = 0.5
)

// BoundMessages returns a handler for the listener's calls of the Connect protocol, with messages of at
// most limit bytes. It hands on whole messages: what has come of an unfinished one is in the account. A
// message that finds no memory, or loses it to another client, fails its call. All calls of the
// listener share a part of the account: streams that carry no messages for long must not displace
// callers.
func (l *Listener) BoundMessages(next http.Handler, limit int64) http.Handler {
	account := l.guard.account
	part := newQuota(int64(callShare * float64(account.limit)))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := account.openRequest(w, r, account.quota, part)
		defer q.Close()
		if q.ReserveHead() != nil {
			l.metMemory(r)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		q.setReading(true)
		defer q.setReading(false)
		m := &messages{
			ReadCloser: r.Body, request: q, limit: limit, length: r.ContentLength,
			stream: strings.HasPrefix(r.Header.Get("Content-Type"), streamType),
		}
		if m.stream {
			q.holder.SetIdle(q.stop)
		}
		r.Body = m
		next.ServeHTTP(w, r)
		if m.full.Load() {
			l.metMemory(r)
		}
	})
}

// metMemory records that a call found no memory.
func (l *Listener) metMemory(r *http.Request) {
	if c := connOf(r.Context()); c != nil {
		l.guard.met(l.options.Name, LimitMemory, c.RemoteAddr())
	}
}

// messages is the body of a call.
type messages struct {
	io.ReadCloser
	request *Request
	// limit is the maximum size of a message, length the announced one of the body, or -1, in bytes.
	limit, length int64
	// stream is set if the body is a stream of messages, ended if it is one message that has come.
	stream, ended bool
	// whole reads the present message with its prefix. held is the memory of it, and copied that of
	// the call's largest message in the library, in bytes.
	whole        io.Reader
	held, copied int64
	// full is set if the call has found no memory, or lost it. A call may be read until after it has
	// ended.
	full atomic.Bool
}

// Read implements io.Reader.
func (m *messages) Read(p []byte) (int, error) {
	for {
		if m.whole != nil {
			if n, _ := m.whole.Read(p); n > 0 || len(p) == 0 {
				return n, nil
			}
			m.whole = nil
			m.request.holder.Release(m.held)
			m.held = 0
		}
		if err := m.receive(); err != nil {
			var full *FullError
			if errors.As(err, &full) || m.request.holder.lost() {
				m.full.Store(true)
			}
			return 0, err
		}
	}
}

// receive receives the next message as a whole. It returns io.EOF if there is none.
func (m *messages) receive() error {
	if m.ended {
		return io.EOF
	}
	length, source := m.length, io.Reader(m.ReadCloser)
	var prefix [prefixBytes]byte
	if m.stream {
		m.request.holder.SetIdle(m.request.stop)
		if _, err := io.ReadFull(m.ReadCloser, prefix[:]); err != nil {
			return err
		}
		length = int64(binary.BigEndian.Uint32(prefix[1:]))
		source = io.LimitReader(m.ReadCloser, length)
	}
	h := m.request.holder
	h.Progress(time.Now())
	h.SetEvict(m.request.stop)
	body, err := ReadBody(source, h, length, m.limit)
	switch {
	case errors.Is(err, ErrTooLarge):
		return &http.MaxBytesError{Limit: m.limit}
	case err != nil:
		return err
	case m.stream && int64(len(body)) < length:
		return io.ErrUnexpectedEOF
	}
	m.held, m.ended, m.whole = int64(cap(body)), !m.stream, bytes.NewReader(body)
	if m.stream {
		m.whole = io.MultiReader(bytes.NewReader(prefix[:]), m.whole)
	}
	if copies := messageCopies * int64(len(body)); copies > m.copied {
		if err := h.Reserve(copies - m.copied); err != nil {
			return err
		}
		m.copied = copies
	}
	if !h.Pin() {
		return &FullError{Limit: h.account.limit, Evicted: true}
	}
	if m.ended {
		m.request.setReading(false)
	}
	return nil
}
