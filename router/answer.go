package router

import (
	"net/http"
	"strconv"
	"time"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/failure"
)

// answer is the caller's side of one request. It is used by one goroutine.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	call    *call
	// started tells that the status line went out.
	started   bool
	sent      int64
	firstByte time.Duration
	// stall bounds one write, so that a caller that went silent frees the
	// engine. Zero means no bound.
	stall time.Duration
	// deadlineSet is when the write deadline was last moved.
	deadlineSet time.Time
}

func newAnswer(w http.ResponseWriter, c *call) *answer {
	return &answer{w: w, control: http.NewResponseController(w), call: c}
}

// begin sends the status line. A length of -1 means that it is not known.
func (a *answer) begin(status int, contentType, version string, length int) {
	h := a.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	if version != "" {
		h.Set(callerapi.HeaderVersion, version)
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	a.started = true
	a.firstByte = time.Since(a.call.received)
	a.w.WriteHeader(status)
}

// write sends data. An error means that the caller is gone or silent.
func (a *answer) write(data []byte) error {
	a.extendDeadline()
	n, err := a.w.Write(data)
	a.sent += int64(n)
	return err
}

// flush sends what is buffered.
func (a *answer) flush() error { return a.control.Flush() }

// extendDeadline moves the write deadline, at most a few times per stall time,
// since each move costs more than the write of one token. The deadline is never
// less than the stall time away, since HTTP/2 ends a stream at it even when
// nothing is being written.
func (a *answer) extendDeadline() {
	const movesPerStall = 4
	if a.stall <= 0 {
		return
	}
	now, step := time.Now(), a.stall/movesPerStall
	if now.Sub(a.deadlineSet) < step {
		return
	}
	a.deadlineSet = now
	// A writer without deadlines, as in tests, needs none.
	_ = a.control.SetWriteDeadline(now.Add(a.stall + step))
}

// clearDeadline takes the write deadline away while the answer waits for
// something else than the caller.
func (a *answer) clearDeadline() {
	if a.deadlineSet.IsZero() {
		return
	}
	a.deadlineSet = time.Time{}
	_ = a.control.SetWriteDeadline(time.Time{})
}

// setReadDeadline bounds the reading of the request's body. The zero time means
// no bound.
func (a *answer) setReadDeadline(t time.Time) {
	_ = a.control.SetReadDeadline(t) // A reader without deadlines needs none.
}

// fail ends the request with a failure. After the first byte of an answer the
// connection is cut, so that a broken answer never ends like a whole one.
func (a *answer) fail(f *failure.Error) {
	if !a.started {
		writeFailure(a.w, f)
		return
	}
	if a.call.chat.stream {
		_ = a.write(brokenEvent(f))
		_ = a.flush()
	}
	panic(http.ErrAbortHandler)
}

// brokenEvent is the server-sent event that marks a broken stream.
func brokenEvent(f *failure.Error) []byte {
	data := append([]byte("data: "), encodeFailure(f)...)
	return append(data, "\n\n"...)
}
