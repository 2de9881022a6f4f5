package router

import (
	"net/http"
	"strconv"
	"time"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/failure"
)

// answer writes the response to the caller of one request. It must be used by
// one goroutine only.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	call    *call
	// started is set once the status line has been sent.
	started   bool
	sent      int64
	firstByte time.Duration
	// stallTimeout bounds one write, so that a caller that stops reading does not keep
	// an engine busy. Zero means no bound.
	stallTimeout time.Duration
	// deadlineSet is when the write deadline was last extended.
	deadlineSet time.Time
}

func newAnswer(w http.ResponseWriter, c *call) *answer {
	return &answer{w: w, control: http.NewResponseController(w), call: c}
}

// begin sends the status line and headers. A length of -1 means that the length
// is not known.
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

// write sends data. An error means that the caller has disconnected or has
// stopped reading.
func (a *answer) write(data []byte) error {
	a.extendDeadline()
	n, err := a.w.Write(data)
	a.sent += int64(n)
	return err
}

// flush sends buffered data.
func (a *answer) flush() error { return a.control.Flush() }

// extendDeadline moves the write deadline, at most a few times per stallTimeout,
// since each extension costs more than writing one token. The deadline is always
// at least stallTimeout away, because HTTP/2 resets a stream at its write
// deadline even when no write is in progress.
func (a *answer) extendDeadline() {
	const extensionsPerTimeout = 4
	if a.stallTimeout <= 0 {
		return
	}
	now, step := time.Now(), a.stallTimeout/extensionsPerTimeout
	if now.Sub(a.deadlineSet) < step {
		return
	}
	a.deadlineSet = now
	// Writers that do not support deadlines, as in tests, need none.
	_ = a.control.SetWriteDeadline(now.Add(a.stallTimeout + step))
}

// clearDeadline removes the write deadline while the answer waits for something
// other than the caller.
func (a *answer) clearDeadline() {
	if a.deadlineSet.IsZero() {
		return
	}
	a.deadlineSet = time.Time{}
	_ = a.control.SetWriteDeadline(time.Time{})
}

// fail ends the request with a failure. Once part of an answer has been sent, it
// aborts the connection, so that the caller cannot take a truncated answer for a
// complete one.
func (a *answer) fail(f *failure.Error) {
	if !a.started {
		if !a.call.bodyRead {
			a.call.memory.Refuse(a.w)
		}
		writeFailure(a.w, f)
		return
	}
	if a.call.chat.stream {
		_ = a.write(errorEvent(f))
		_ = a.flush()
	}
	panic(http.ErrAbortHandler)
}

// errorEvent returns the server-sent event that reports the failure of a stream.
func errorEvent(f *failure.Error) []byte {
	data := append([]byte("data: "), encodeFailure(f)...)
	return append(data, "\n\n"...)
}
