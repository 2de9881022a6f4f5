package overload

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// streamBytes is the memory of a request that shares its connection, without its head and body: its
// goroutine's stack, and the state of its stream.
const streamBytes = 16 << 10

// refusalBodyBytes is the size of an unread body up to which a refusal leaves the connection open.
const refusalBodyBytes = 16 << 10

// RefusalRetryAfter is when a request that found no memory may come again. By then, what makes no
// progress has lost its memory.
const RefusalRetryAfter = stallTime

// Request is the memory of one request: its body and, with HTTP/2, its head, and the answers to it. Its
// methods must be called by the request's handler unless they say otherwise.
type Request struct {
	http    *http.Request
	control *http.ResponseController
	holder  *Holder

	mu sync.Mutex
	// reading is set while the body is read.
	reading bool
}

// OpenRequest adds a request to the account. Close must be called when the handler ends.
func (a *Account) OpenRequest(w http.ResponseWriter, r *http.Request) *Request {
	return a.openRequest(w, r, a.quota)
}

// openRequest is OpenRequest for a request whose bytes count in the quotas.
func (a *Account) openRequest(w http.ResponseWriter, r *http.Request, quotas ...*quota) *Request {
	q := &Request{http: r, control: http.NewResponseController(w)}
	q.holder = a.open(q.stop, quotas...)
	q.holder.Pin()
	return q
}

// Context returns the context of the HTTP request.
func (q *Request) Context() context.Context { return q.http.Context() }

// Close returns the memory to the account.
func (q *Request) Close() { q.holder.Close() }

// ReserveHead accounts for the head of a request whose connection does not: with HTTP/2, many
// requests share one. The error is a *FullError.
func (q *Request) ReserveHead() error {
	if q.http.ProtoMajor < 2 {
		return nil
	}
	n := streamBytes
	for name, values := range q.http.Header {
		for _, value := range values {
			n += len(name) + len(value) + fieldBytes
		}
	}
	return q.holder.Reserve(int64(n))
}

// ReadBody reads the body, of at most limit bytes, until the deadline. Errors are those of the
// function ReadBody, ErrStalled, or os.ErrDeadlineExceeded.
func (q *Request) ReadBody(limit int64, deadline time.Time) ([]byte, error) {
	_ = q.control.SetReadDeadline(deadline) // Readers without deadlines, as in tests, need none.
	q.setReading(true)
	body, err := ReadBody(q.http.Body, q.holder, q.http.ContentLength, min(limit, q.holder.account.maxBody()))
	q.setReading(false)
	c := connOf(q.http.Context())
	if !q.holder.Pin() || c != nil && c.isGivenUp() {
		return nil, &FullError{Limit: q.holder.account.limit, Evicted: true}
	}
	if err == nil {
		_ = q.control.SetReadDeadline(time.Time{})
	}
	if err != nil && c != nil && c.bodyStalled() {
		err = ErrStalled
	}
	return body, err
}

// Crowded reports whether the listener of a request's connection has few connections left, so that
// answers should ask clients to close theirs.
func Crowded(ctx context.Context) bool {
	c := connOf(ctx)
	return c != nil && c.listener.crowded()
}

// MaxAnswer is that of the account.
func (q *Request) MaxAnswer(most int64) int64 { return q.holder.account.MaxAnswer(most) }

// ReserveAnswer takes memory for a part of the answer of a backend server, which is there for a small
// part even if the account is full. The error is a *FullError. Like ReadAnswer and Release, it may be
// called concurrently.
func (q *Request) ReserveAnswer(bytes int64) error { return q.holder.reserveAnswer(bytes) }

// Release returns memory of an answer before the request ends.
func (q *Request) Release(bytes int64) { q.holder.Release(bytes) }

// ReadAnswer reads the answer of a backend server, of at most limit bytes. length is its announced
// length, or -1. Errors are those of the function ReadAnswer.
func (q *Request) ReadAnswer(r io.Reader, length, limit int64) ([]byte, error) {
	return ReadAnswer(r, q.holder, length, limit)
}

// MaxBody returns the size in bytes of the largest body that the account can hold together with some
// copies of it.
func (q *Request) MaxBody(copies int64) int64 { return q.holder.account.largeLimit / (copies + 1) }

// Reserve takes memory for what is made of the body. The error is a *FullError.
func (q *Request) Reserve(bytes int64) error { return q.holder.Reserve(bytes) }

// Charge takes memory for the request even if the account is full.
func (q *Request) Charge(bytes int64) { q.holder.Charge(bytes) }

// maxBody returns the size of the largest body that the account can hold.
func (a *Account) maxBody() int64 { return a.largeLimit / (growth + 1) * growth }

// setReading begins or ends the reading of the body.
func (q *Request) setReading(reading bool) {
	q.mu.Lock()
	q.reading = reading
	q.mu.Unlock()
	c := connOf(q.http.Context())
	if reading {
		q.holder.Progress(time.Now())
		q.holder.SetEvict(q.stop)
	}
	if c == nil || q.http.ProtoMajor > 1 {
		return
	}
	if reading {
		c.enter(phaseBody)
	} else {
		c.enter(phaseRunning)
	}
}

// stop ends the reading of a body that has lost its memory.
func (q *Request) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reading {
		_ = q.control.SetReadDeadline(time.Now())
	}
}

// Refuse prepares the refusal of a request whose body has not been read. The server would otherwise
// read the rest of the body before it sends the refusal.
func (q *Request) Refuse(w http.ResponseWriter) {
	if q.http.ProtoMajor == 1 && (q.http.ContentLength < 0 || q.http.ContentLength > refusalBodyBytes) {
		w.Header().Set("Connection", "close")
	}
}
