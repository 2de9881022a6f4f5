package gateway

import (
	"net/http"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
)

// writer is the connection to the caller.
type writer struct {
	http.ResponseWriter
	control *http.ResponseController
}

// bound ends writes to a caller that does not read at the deadline.
func (w *writer) bound(deadline time.Time) { _ = w.control.SetWriteDeadline(deadline.Add(writeGrace)) }

// boundRead ends reads of a body that does not come. The zero time removes the
// bound.
func (w *writer) boundRead(deadline time.Time) { _ = w.control.SetReadDeadline(deadline) }

// flush sends what was written.
func (w *writer) flush() error { return w.control.Flush() }

// writeGrace lets the answer to a request that timed out still go out.
const writeGrace = 2 * time.Second

// answer is what goes back to the caller.
type answer struct {
	w       *writer
	codec   Codec
	request *request
	// status is zero until the header is sent.
	status int
	// broken tells that the answer ended within its body.
	broken  bool
	failure *failure.Error
}

// newAnswer returns the answer to a request.
func newAnswer(w http.ResponseWriter, codec Codec, q *request) *answer {
	return &answer{
		w:     &writer{ResponseWriter: w, control: http.NewResponseController(w)},
		codec: codec, request: q,
	}
}

// begun tells whether the caller has a part of the answer.
func (a *answer) begun() bool { return a.status != 0 }

// begin sends the header of an engine's answer.
func (a *answer) begin(status int, from http.Header) {
	copyAnswer(a.w.Header(), from)
	a.status = status
	a.w.WriteHeader(status)
}

// write sends a part of the body.
func (a *answer) write(data []byte) *failure.Error {
	if _, err := a.w.Write(data); err != nil {
		return failure.Wrap(err, failure.CodeCanceled, failure.RanYes, "the caller does not read")
	}
	return nil
}

// fail ends the request with a failure: a refusal, or a broken connection when
// the caller has a part of the answer already.
func (a *answer) fail(f *failure.Error) {
	a.failure = f
	if a.begun() {
		a.broken = true
		return
	}
	a.codec.Refuse(a.w.Header(), a.request.meta.ID, f.RetryAfter)
	a.status = statusOf(f)
	a.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	a.w.WriteHeader(a.status)
	// A caller that is gone can't be told.
	_, _ = a.w.Write([]byte(f.Message + "\n"))
}

// statusOf returns a status that promises no more than is known: those that
// mean "not run" only for requests that did not run.
func statusOf(f *failure.Error) int {
	status := f.HTTPStatus()
	if f.Ran == failure.RanNo {
		if status >= http.StatusInternalServerError {
			return http.StatusServiceUnavailable
		}
		return status
	}
	if f.Code == failure.CodeDeadlinePassed {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
