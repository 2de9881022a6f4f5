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

// Content types of chat answers.
const (
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
)

// recordTimeout bounds the recording of a bill and an outcome after the answer.
// The caller's own context may have ended by then.
const recordTimeout = 10 * time.Second

// answerChat runs a request that may be dispatched, and records how it ended.
func (r *Router) answerChat(ctx context.Context, a *answer, c *call, d *selection.Decision, g *grant, held claim) *failure.Error {
	r.logVersion(c, d)
	a.stall = c.kind.GetProgressTimeout().AsDuration()
	s := &settlement{router: r, call: c, claim: held, grant: g}
	f := r.runSteps(ctx, a, c, d, s)
	if f != nil {
		s.abandon(f)
	}
	return f
}

// runSteps runs the chosen version and, if its answer does not pass the check,
// the stronger one.
func (r *Router) runSteps(ctx context.Context, a *answer, c *call, d *selection.Decision, s *settlement) *failure.Error {
	if d.Escalatable {
		return r.runCascade(ctx, a, c, d, s)
	}
	got, f := r.start(ctx, c, d.Version, s)
	for f != nil {
		if s.attempts > 0 {
			// Whatever was sent has had its retries.
			return f
		}
		next, ok := r.chooseAgain(c, d, f)
		if !ok {
			return f
		}
		d = &next
		got, f = r.start(ctx, c, d.Version, s)
	}
	return r.deliver(ctx, a, c, got, s)
}

// start sends the request to a version and returns its first event.
func (r *Router) start(ctx context.Context, c *call, version string, s *settlement) (*attempt, *failure.Error) {
	body, err := c.chat.forwardBody(c.organisation.GetName(), version)
	if err != nil {
		return nil, failure.Wrap(err, failure.CodeMalformedRequest, failure.RanNo, "the body could not be encoded")
	}
	l := &launch{call: c, version: version, body: body, fence: s.claim.ticket.Fence, ran: failure.RanNo}
	got, f := r.begin(ctx, l)
	s.attempts += l.attempts
	return got, f
}

// deliver streams an answer to the caller. The last event waits until the bill
// is recorded.
func (r *Router) deliver(ctx context.Context, a *answer, c *call, t *attempt, s *settlement) *failure.Error {
	defer t.close()
	p := &pump{router: r, answer: a, call: c, attempt: t, settlement: s}
	if err := p.run(); err != nil {
		return p.ended(ctx, err)
	}
	return nil
}

// close ends the exchange with the engine.
func (t *attempt) close() {
	_ = t.stream.Close()
	t.release()
}

// release ends the send in the quarantine and cancels its context.
func (t *attempt) release() {
	t.send.Done()
	t.cancel()
}

// pump moves the events of one answer from the engine to the caller.
type pump struct {
	router     *Router
	answer     *answer
	call       *call
	attempt    *attempt
	settlement *settlement
	// events counts those with content.
	events int64
	// copied holds the answer while it may still be kept with its claim.
	copied []byte
}

// run moves all events. The error is an *engine.Error, an *answerError or a
// *failure.Error.
func (p *pump) run() error {
	event := p.attempt.first
	for {
		if event.Last {
			return p.last(event.Data)
		}
		if err := p.forward(event.Data); err != nil {
			return err
		}
		var err error
		if event, err = p.attempt.stream.Next(); err != nil {
			return err
		}
	}
}

// forward sends one event that is not the last.
func (p *pump) forward(data []byte) error {
	if p.hidesUsage(data) {
		return nil
	}
	p.events++
	p.keep(data)
	p.open(-1)
	if err := p.answer.write(data); err != nil {
		return &answerError{Cause: err}
	}
	if p.attempt.stream.Buffered() {
		return nil
	}
	if err := p.answer.flush(); err != nil {
		return &answerError{Cause: err}
	}
	return nil
}

// last records bill and outcome, then sends the end of the answer.
func (p *pump) last(data []byte) error {
	p.router.finished(p.attempt, p.events)
	if p.answer.started {
		// What came before must not wait for the bill.
		if err := p.answer.flush(); err != nil {
			return &answerError{Cause: err}
		}
		p.answer.clearDeadline()
	}
	p.keep(data)
	usage := p.usage()
	contentType := contentTypeJSON
	if p.call.chat.stream {
		contentType = contentTypeEvents
	}
	var outcome *ledger.Outcome
	if p.settlement.claim.held {
		outcome = ledger.NewOutcome(http.StatusOK, contentType, p.attempt.version, p.copied)
	}
	p.settlement.add(p.attempt.version, usage)
	if f := p.settlement.settle(outcome); f != nil {
		return f
	}
	length := -1
	if !p.call.chat.stream {
		length = len(data)
	}
	p.open(length)
	if err := p.answer.write(data); err != nil {
		return &answerError{Cause: err}
	}
	if err := p.answer.flush(); err != nil {
		return &answerError{Cause: err}
	}
	return nil
}

// open sends the status line once.
func (p *pump) open(length int) {
	if p.answer.started {
		return
	}
	contentType := contentTypeJSON
	if p.call.chat.stream {
		contentType = contentTypeEvents
	}
	p.answer.begin(http.StatusOK, contentType, p.attempt.version, length)
	p.router.metrics.firstByte.WithLabelValues(p.call.kind.GetName()).Observe(p.answer.firstByte.Seconds())
}

// keep copies the answer of a claimed request.
func (p *pump) keep(data []byte) {
	if p.settlement.claim.held {
		p.copied = append(p.copied, data...)
	}
}

// usage returns the engine's token counts, or an estimate when it gave none.
func (p *pump) usage() engine.Usage {
	if u, ok := p.attempt.stream.Usage(); ok {
		return u
	}
	return engine.Usage{PromptTokens: p.call.chat.promptTokens, CompletionTokens: max(p.events, 1)}
}

// hidesUsage tells that an event carries only token counts that the caller did
// not ask for.
func (p *pump) hidesUsage(data []byte) bool {
	if p.call.chat.wantsUsage {
		return false
	}
	_, seen := p.attempt.stream.Usage()
	return seen && isUsageOnly(data)
}

// ended translates the end of an answer that is not whole.
func (p *pump) ended(ctx context.Context, err error) *failure.Error {
	switch e := err.(type) {
	case *engine.Error:
		p.router.failed(p.attempt, e)
		p.settlement.interrupted(p, e.Kind == engine.Canceled)
		return brokenAnswer(ctx, e)
	case *answerError:
		p.router.failed(p.attempt, &engine.Error{Kind: engine.Canceled})
		p.settlement.interrupted(p, true)
		return callerGone(e, failure.RanYes)
	default:
		return failure.From(err)
	}
}

// answerError reports that the caller's side failed.
type answerError struct {
	Cause error
}

// Error implements error.
func (e *answerError) Error() string { return "write answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *answerError) Unwrap() error { return e.Cause }
