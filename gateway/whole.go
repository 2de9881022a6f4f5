package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/retry"
)

// bufferedAnswer is a complete answer of an engine.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// readBuffered reads an answer to its end. One that exceeds its bounds counts as broken, since an
// engine in trouble may send bytes without end.
func (g *Gateway) readBuffered(t *task, to *target, x *attempt.Exchange) (*bufferedAnswer, *attemptError) {
	body, err := t.readAnswer(t.boundReader(to, x, to.bodyOf(x)), x.Length, maxAnswer(g.Memory))
	switch {
	case errors.Is(err, errAnswerTooLong):
		return nil, &attemptError{Kind: retry.KindBroken, Ran: failure.RanUnknown, Cause: err}
	case err != nil:
		failed := sendError(err)
		failed.Ran = failure.RanUnknown
		return nil, failed
	}
	return &bufferedAnswer{status: x.Status, header: x.Header, body: body}, nil
}

// deliver sends the answer to the caller.
func (w *bufferedAnswer) deliver(a *answer) *failure.Error {
	a.w.Header()["Content-Length"] = []string{strconv.Itoa(len(w.body))}
	a.begin(w.status, w.header)
	return a.write(w.body)
}

// deliverBuffered reads the complete answer and passes it on.
func (g *Gateway) deliverBuffered(ctx context.Context, t *task, to *target, x *attempt.Exchange) *attemptError {
	buffered, failed := g.readBuffered(t, to, x)
	if failed != nil {
		return failed
	}
	if x.UntilClose && len(buffered.body) == 0 {
		return sendError(errBrokenOff) // Only the head came.
	}
	latency := time.Since(to.sent)
	g.release(t, to, g.paceBaselines.ratio(paceKind{t.service, t.model, false}, latency))
	if failed := g.checkEnd(ctx, t, to, x); failed != nil {
		return failed
	}
	g.observeRunTime(t, to, latency)
	g.Introductions.Observe(t.service, t.route.Name, to.engine.Version, false, latency)
	g.Quarantine.Completed(t.content, time.Now())
	t.request.trace.first = t.elapsed()
	if f := buffered.deliver(t.answer); f != nil {
		t.answer.fail(f)
	}
	return nil
}

// deliverFailure handles an error answer of an engine. It is kept, to be passed on if no
// other engine may be tried or none succeeds.
func (g *Gateway) deliverFailure(t *task, to *target, x *attempt.Exchange) *attemptError {
	buffered, failed := g.readBuffered(t, to, x)
	if failed != nil {
		return failed
	}
	kind := retry.KindError
	if x.Status < http.StatusInternalServerError {
		kind = retry.KindRejected
	}
	if promisesNotRun(x.Status) {
		// The engine may have run the request, but callers would read its status as "has
		// not run", so the answer is not passed on.
		return &attemptError{Kind: kind, Ran: failure.RanUnknown, Cause: errEngineFailure}
	}
	if !t.answer.begun() {
		t.failedAnswer = buffered
	}
	return &attemptError{Kind: kind, Ran: failure.RanYes, Cause: errEngineFailure}
}

// promisesNotRun reports whether callers read a status as "has not run".
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
