package router

import (
	"context"
	"net/http"
	"time"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/ledger"
	"github.com/bronzeturn/bronzeturn/selection"
)

// Content types of chat completions.
const (
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
)

// recordTimeout bounds the recording of a bill and an outcome after the answer.
// It replaces the deadline of the request's context, which may have ended by then.
const recordTimeout = 10 * time.Second

// answerChat runs an admitted chat completion and records how it ended.
func (r *Router) answerChat(ctx context.Context, a *answer, c *call, d *selection.Decision, g *grant, held claim) *failure.Error {
	r.logVersion(c, d)
	a.stallTimeout = c.kind.GetProgressTimeout().AsDuration()
	s := &settlement{router: r, call: c, claim: held, grant: g}
	f := r.runVersions(ctx, a, c, d, s)
	if f != nil {
		s.settleFailed(f)
	}
	return f
}

// runVersions runs the chosen version. In a cascade it also runs the stronger
// version if the answer does not pass the check; otherwise it tries other versions
// if none of the chosen version's engines took the request.
func (r *Router) runVersions(ctx context.Context, a *answer, c *call, d *selection.Decision, s *settlement) *failure.Error {
	if d.Escalatable {
		return r.runCascade(ctx, a, c, d, s)
	}
	got, f := r.startAttempt(ctx, c, d.Version, s)
	for f != nil {
		if s.attempts > 0 {
			// A request that was sent to an engine has used its retries already.
			return f
		}
		next, ok := r.chooseFallback(c, d, f)
		if !ok {
			return f
		}
		d = &next
		got, f = r.startAttempt(ctx, c, d.Version, s)
	}
	return r.deliver(ctx, a, c, got, s)
}

// startAttempt sends the request to an engine of a version and returns the
// attempt with the first event of its answer.
func (r *Router) startAttempt(ctx context.Context, c *call, version string, s *settlement) (*attempt, *failure.Error) {
	body, err := c.chat.forwardBody(c.organisation.GetName(), version)
	if err != nil {
		return nil, failure.Wrap(err, failure.CodeMalformedRequest, failure.RanNo, "the body could not be encoded")
	}
	l := &launch{call: c, version: version, body: body, fence: s.claim.ticket.Fence, ran: failure.RanNo}
	got, f := r.sendWithRetries(ctx, l)
	s.attempts += l.attempts
	return got, f
}

// deliver streams an answer to the caller. The last event is sent only after the
// bill is recorded.
func (r *Router) deliver(ctx context.Context, a *answer, c *call, t *attempt, s *settlement) *failure.Error {
	defer t.close()
	rl := &relay{router: r, answer: a, call: c, attempt: t, settlement: s}
	if err := rl.run(); err != nil {
		return rl.handleError(ctx, err)
	}
	return nil
}

// close closes the stream from the engine and releases the attempt.
func (t *attempt) close() {
	_ = t.stream.Close()
	t.release()
}

// release ends the attempt's registration with the quarantine and cancels its
// context.
func (t *attempt) release() {
	t.send.Done()
	t.cancel()
}

// relay forwards the events of one answer from the engine to the caller.
type relay struct {
	router     *Router
	answer     *answer
	call       *call
	attempt    *attempt
	settlement *settlement
	// events counts the events that carry content.
	events int64
	// recorded is the answer of a claimed request, for its outcome in the ledger.
	recorded ledger.Body
}

// run forwards all events. The error is an *engine.Error, a *writeError or a
// *failure.Error.
func (rl *relay) run() error {
	event := rl.attempt.first
	for {
		if event.Last {
			return rl.finish(event.Data)
		}
		if err := rl.forward(event.Data); err != nil {
			return err
		}
		var err error
		if event, err = rl.attempt.stream.Next(); err != nil {
			return err
		}
	}
}

// forward sends one event other than the last.
func (rl *relay) forward(data []byte) error {
	if rl.hidesUsage(data) {
		return nil
	}
	rl.events++
	rl.record(data)
	rl.begin(-1)
	if err := rl.answer.write(data); err != nil {
		return &writeError{Cause: err}
	}
	if rl.attempt.stream.Buffered() {
		return nil
	}
	if err := rl.answer.flush(); err != nil {
		return &writeError{Cause: err}
	}
	return nil
}

// finish records the bill and the outcome, then sends the last event.
func (rl *relay) finish(data []byte) error {
	rl.router.reportFinished(rl.attempt, rl.events)
	if rl.answer.started {
		// Events that were forwarded must not be held up while the bill is recorded.
		if err := rl.answer.flush(); err != nil {
			return &writeError{Cause: err}
		}
		rl.answer.clearDeadline()
	}
	rl.record(data)
	usage := rl.usage()
	contentType := contentTypeJSON
	if rl.call.chat.stream {
		contentType = contentTypeEvents
	}
	var outcome *ledger.Outcome
	if rl.settlement.claim.held {
		outcome = rl.recorded.Outcome(http.StatusOK, contentType, rl.attempt.version)
	}
	rl.settlement.addUsage(rl.attempt.version, usage)
	if f := rl.settlement.settle(outcome); f != nil {
		return f
	}
	length := -1
	if !rl.call.chat.stream {
		length = len(data)
	}
	rl.begin(length)
	if err := rl.answer.write(data); err != nil {
		return &writeError{Cause: err}
	}
	if err := rl.answer.flush(); err != nil {
		return &writeError{Cause: err}
	}
	return nil
}

// begin sends the status line unless it has been sent.
func (rl *relay) begin(length int) {
	if rl.answer.started {
		return
	}
	contentType := contentTypeJSON
	if rl.call.chat.stream {
		contentType = contentTypeEvents
	}
	rl.answer.begin(http.StatusOK, contentType, rl.attempt.version, length)
	rl.router.metrics.firstByte.WithLabelValues(rl.call.kind.GetName()).Observe(rl.answer.firstByte.Seconds())
}

// record adds an event to the recorded answer if the request is claimed.
func (rl *relay) record(data []byte) {
	if rl.settlement.claim.held {
		rl.recorded.Write(data)
	}
}

// usage returns the token counts reported by the engine, or an estimate if it
// reported none.
func (rl *relay) usage() engine.Usage {
	if u, ok := rl.attempt.stream.Usage(); ok {
		return u
	}
	return engine.Usage{PromptTokens: rl.call.chat.promptTokens, CompletionTokens: max(rl.events, 1)}
}

// hidesUsage reports whether an event carries only token counts and the caller
// did not ask for them.
func (rl *relay) hidesUsage(data []byte) bool {
	if rl.call.chat.wantsUsage {
		return false
	}
	_, seen := rl.attempt.stream.Usage()
	return seen && isUsageOnly(data)
}

// handleError reports the end of an incomplete answer to the balancer and the
// settlement, and returns the failure for the caller.
func (rl *relay) handleError(ctx context.Context, err error) *failure.Error {
	switch e := err.(type) {
	case *engine.Error:
		rl.router.reportFailed(rl.attempt, e)
		rl.settlement.addInterrupted(rl, e.Kind == engine.KindCanceled)
		return brokenAnswerFailure(ctx, e)
	case *writeError:
		rl.router.reportFailed(rl.attempt, &engine.Error{Kind: engine.KindCanceled})
		rl.settlement.addInterrupted(rl, true)
		return callerWriteFailure(e, failure.RanYes)
	default:
		return failure.From(err)
	}
}

// writeError reports a failed write to the caller.
type writeError struct {
	Cause error
}

// Error implements error.
func (e *writeError) Error() string { return "write answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *writeError) Unwrap() error { return e.Cause }
