package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/retry"
)

// maxWholeBytes bounds an answer that is held until it is complete.
const maxWholeBytes = 16 << 20

// wholeAnswer is an answer that came complete.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// readWhole reads an answer to its end.
func readWhole(x *attempt.Exchange) (*wholeAnswer, *attemptError) {
	body, err := io.ReadAll(io.LimitReader(x, maxWholeBytes+1))
	if err != nil {
		failed := sendError(err)
		failed.Ran = failure.RanUnknown
		return nil, failed
	}
	if len(body) > maxWholeBytes {
		return nil, &attemptError{Kind: retry.KindRejected, Ran: failure.RanUnknown, Cause: errAnswerTooLong}
	}
	return &wholeAnswer{status: x.Status, header: x.Header, body: body}, nil
}

// deliver sends the answer to the caller.
func (w *wholeAnswer) deliver(a *answer) *failure.Error {
	a.w.Header()["Content-Length"] = []string{strconv.Itoa(len(w.body))}
	a.begin(w.status, w.header)
	return a.write(w.body)
}

// deliverWhole passes on a complete answer.
func (g *Gateway) deliverWhole(t *task, to *target, x *attempt.Exchange) *attemptError {
	whole, failed := readWhole(x)
	if failed != nil {
		return failed
	}
	latency := time.Since(to.sent)
	g.Engines.Finished(g.finished(t, to, g.paces.ratio(paceKind{t.service, t.model, false}, latency)))
	g.Introductions.Observe(t.service, t.route.Name, to.engine.Version, false, latency)
	g.Quarantine.Completed(t.hash, time.Now())
	t.request.trace.first = t.wholeLatency()
	if f := whole.deliver(t.answer); f != nil {
		t.answer.fail(f)
	}
	return nil
}

// deliverFailure handles an engine's own failure: another engine may do better
// where the request can be repeated, otherwise it is passed on as it is.
func (g *Gateway) deliverFailure(t *task, to *target, x *attempt.Exchange) *attemptError {
	whole, failed := readWhole(x)
	if failed != nil {
		return failed
	}
	kind := retry.KindError
	if x.Status < http.StatusInternalServerError {
		kind = retry.KindRejected
	}
	if promisesNotRun(x.Status) {
		// The engine ran the request; its status would promise the opposite.
		return &attemptError{Kind: kind, Ran: failure.RanUnknown, Cause: errEngineFailure}
	}
	if !t.answer.begun() {
		t.last = whole
	}
	return &attemptError{Kind: kind, Ran: failure.RanYes, Cause: errEngineFailure}
}

// promisesNotRun tells whether callers read a status as "has not run".
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
