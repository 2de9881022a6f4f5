package gateway

import (
	"net/http"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
)

// writer writes to the caller's connection.
type writer struct {
	http.ResponseWriter
	control *http.ResponseController
}

// setWriteDeadline makes writes to a caller that does not read fail writeGrace after the
// given time.
func (w *writer) setWriteDeadline(at time.Time) { _ = w.control.SetWriteDeadline(at.Add(writeGrace)) }

// flush sends buffered data to the caller.
func (w *writer) flush() error { return w.control.Flush() }

// writeGrace is the time for sending the answer to a request that timed out.
const writeGrace = 2 * time.Second

// answer is the response to the caller.
type answer struct {
	w       *writer
	codec   Codec
	request *request
	// closes reports whether the caller is asked to close its connection. Nil means no.
	closes func() bool
	// status is zero until the header is sent.
	status int
	// broken is set if the answer ended before its body was complete.
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

// begun reports whether any of the answer has been sent to the caller.
func (a *answer) begun() bool { return a.status != 0 }

// begin sends the header of an engine's answer.
func (a *answer) begin(status int, from http.Header) {
	copyAnswerHeaders(a.w.Header(), from)
	a.askToClose()
	a.status = status
	a.w.WriteHeader(status)
}

// askToClose asks the caller to close its connection, if it is to.
func (a *answer) askToClose() {
	if a.closes != nil && a.closes() {
		a.w.Header().Set("Connection", "close")
	}
}

// write sends a part of the body.
func (a *answer) write(data []byte) *failure.Error {
	if _, err := a.w.Write(data); err != nil {
		return failure.Wrap(err, failure.CodeCanceled, failure.RanYes, "the caller does not read")
	}
	return nil
}

// fail ends the request with a failure: an error response, or an aborted connection if
// part of the answer has already been sent.
func (a *answer) fail(f *failure.Error) {
	a.failure = f
	if a.begun() {
		a.broken = true
		return
	}
	if !a.request.bodyRead {
		a.request.memory.Refuse(a.w)
	}
	a.askToClose()
	a.codec.Refuse(a.w.Header(), a.request.meta.ID, f.RetryAfter)
	a.status = statusOf(f)
	a.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	a.w.WriteHeader(a.status)
	// An error means that the caller has disconnected.
	_, _ = a.w.Write([]byte(f.Message + "\n"))
}

// statusOf returns the HTTP status of a failure. Statuses that callers read as "has not
// run" are used only if the request is known not to have run.
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
