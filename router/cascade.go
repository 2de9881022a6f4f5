package router

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/cascade"
	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/selection"
)

// maxHeldBytes bounds a cheap answer that is held back for its check.
const maxHeldBytes = 1 << 20

// checker judges cheap answers.
var checker = cascade.BasicChecker{}

// runCascade holds the cheap answer back until it is checked. Only when the
// check finds a fault does the stronger version run, and its answer is sent. The
// cheap answer is sent after all when no engine answers for the stronger one.
func (r *Router) runCascade(ctx context.Context, a *answer, c *call, d *selection.Decision, s *settlement) *failure.Error {
	cheap, f := r.start(ctx, c, d.Version, s)
	if f != nil {
		return f
	}
	held, err := hold(cheap)
	if err != nil {
		cheap.close()
		return r.heldFailed(ctx, cheap, held, s, err)
	}
	r.finished(cheap, held.events)
	next := r.afterCheck(c, d, held, s)
	if next == "" {
		return r.deliverHeld(a, c, cheap, held, s)
	}
	cheap.close()
	strong, f := r.start(ctx, c, next, s)
	if f != nil && ctx.Err() == nil {
		// The answer at hand is better than none.
		return r.deliverHeld(a, c, cheap, held, s)
	}
	s.add(d.Version, held.usage)
	if f != nil {
		f.Ran = failure.RanYes
		return f
	}
	s.accepted = false
	r.metrics.escalations.Inc()
	return r.deliver(ctx, a, c, strong, s)
}

// afterCheck checks the cheap answer and returns the version to run next, or "".
func (r *Router) afterCheck(c *call, d *selection.Decision, held *heldAnswer, s *settlement) string {
	verdict := checker.Check(held.describe(c))
	s.accepted = verdict.OK()
	r.Quality.AddCheck(quality.CheckResult{Version: d.Version, Kind: c.kind.GetName(), Flagged: !verdict.OK()})
	newest, now := r.Tables().Snapshot, time.Now()
	left, limited := r.Admission.SpendLeft(c.organisation.GetName(), now)
	decision := cascade.Next(&d.Cascade, &cascade.State{
		Verdict:         verdict,
		Deadline:        c.deadline,
		SpendLimited:    limited,
		SpendLeftMicros: left,
		NextRefused:     checkUsable(newest, c.organisation.GetName(), d.Cascade.Next) != nil,
	}, now)
	r.logCascade(c, d, verdict, decision)
	return decision.Version
}

// deliverHeld sends a cheap answer that passed, or that no other replaces.
func (r *Router) deliverHeld(a *answer, c *call, t *attempt, held *heldAnswer, s *settlement) *failure.Error {
	defer t.close()
	p := &pump{router: r, answer: a, call: c, attempt: t, settlement: s, events: held.events}
	for _, event := range held.data[:len(held.data)-1] {
		if err := p.forward(event); err != nil {
			s.interrupted(p, true)
			return callerGone(err, failure.RanYes)
		}
	}
	if err := p.last(held.data[len(held.data)-1]); err != nil {
		if f, ok := err.(*failure.Error); ok {
			return f
		}
		return callerGone(err, failure.RanYes)
	}
	return nil
}

// heldFailed ends a request whose cheap answer broke while it was held back.
func (r *Router) heldFailed(ctx context.Context, t *attempt, held *heldAnswer, s *settlement, err error) *failure.Error {
	e := asEngineError(err)
	r.failed(t, e)
	s.interrupted(&pump{attempt: t, call: s.call, events: held.events}, e.Kind == engine.Canceled)
	return brokenAnswer(ctx, e)
}

// heldAnswer is a whole answer in memory.
type heldAnswer struct {
	data   [][]byte
	size   int
	events int64
	usage  engine.Usage
}

// hold reads a whole answer.
func hold(t *attempt) (*heldAnswer, error) {
	held := &heldAnswer{}
	event := t.first
	for {
		held.data = append(held.data, bytes.Clone(event.Data))
		held.size += len(event.Data)
		if held.size > maxHeldBytes {
			return held, &engine.Error{Kind: engine.Failed, Ran: failure.RanYes}
		}
		if event.Last {
			break
		}
		held.events++
		var err error
		if event, err = t.stream.Next(); err != nil {
			return held, err
		}
	}
	held.usage = engine.Usage{CompletionTokens: max(held.events, 1)}
	if u, ok := t.stream.Usage(); ok {
		held.usage = u
	}
	return held, nil
}

// completion is the part of an answer, whole or one event, that the check reads.
type completion struct {
	Choices []struct {
		Message      struct{ Content string }
		Delta        struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
}

// dataPrefix precedes the JSON of a server-sent event.
const dataPrefix = "data:"

// describe returns the answer in the form that the check takes.
func (h *heldAnswer) describe(c *call) *cascade.Answer {
	var text strings.Builder
	answer := &cascade.Answer{Kind: c.kind.GetName()}
	for _, data := range h.data {
		var part completion
		if json.Unmarshal(bytes.TrimPrefix(data, []byte(dataPrefix)), &part) != nil {
			continue // The end mark of a stream is not JSON.
		}
		for _, choice := range part.Choices {
			text.WriteString(choice.Message.Content)
			text.WriteString(choice.Delta.Content)
			if choice.FinishReason != "" {
				answer.FinishReason = choice.FinishReason
			}
		}
	}
	answer.Text = text.String()
	return answer
}
