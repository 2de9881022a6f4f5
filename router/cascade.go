package router

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/cascade"
	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/overload"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/selection"
)

const (
	// maxBufferedBytes bounds the size of a cheap answer that is buffered for its
	// check, less if memory is short.
	maxBufferedBytes = 2 << 20
	// eventOverhead is the size of a buffered event beside its bytes.
	eventOverhead = 64
)

// checker checks cheap answers.
var checker = cascade.BasicChecker{}

// runCascade buffers the cheap answer and checks it. If the check flags it, the
// stronger version runs and its answer is sent instead. If no engine answers for
// the stronger version, the cheap answer is sent after all.
func (r *Router) runCascade(ctx context.Context, a *answer, c *call, d *selection.Decision, s *settlement) *failure.Error {
	cheap, f := r.startAttempt(ctx, c, d.Version, s)
	if f != nil {
		return f
	}
	buffered, err := bufferAnswer(cheap, c.memory)
	if err != nil {
		cheap.close()
		return r.failBuffered(ctx, cheap, buffered, s, err)
	}
	r.reportFinished(cheap, buffered.events)
	next := r.checkAnswer(c, d, buffered, s)
	if next == "" {
		return r.deliverBuffered(a, c, cheap, buffered, s)
	}
	cheap.close()
	strong, f := r.startAttempt(ctx, c, next, s)
	if f != nil && ctx.Err() == nil {
		// A flagged answer is better than none.
		return r.deliverBuffered(a, c, cheap, buffered, s)
	}
	s.addUsage(d.Version, buffered.usage)
	if f != nil {
		f.Ran = failure.RanYes
		return f
	}
	s.accepted = false
	r.metrics.escalations.Inc()
	return r.deliver(ctx, a, c, strong, s)
}

// checkAnswer checks the cheap answer and returns the version to run next, or ""
// if the cheap answer is to be sent.
func (r *Router) checkAnswer(c *call, d *selection.Decision, buffered *bufferedAnswer, s *settlement) string {
	verdict := checker.Check(buffered.describe(c))
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

// deliverBuffered sends a cheap answer that passed the check or that no answer of
// a stronger version replaces.
func (r *Router) deliverBuffered(a *answer, c *call, t *attempt, buffered *bufferedAnswer, s *settlement) *failure.Error {
	defer t.close()
	rl := &relay{router: r, answer: a, call: c, attempt: t, settlement: s, events: buffered.events}
	for _, event := range buffered.data[:len(buffered.data)-1] {
		if err := rl.forward(event); err != nil {
			s.addInterrupted(rl, true)
			return callerWriteFailure(err, failure.RanYes)
		}
	}
	if err := rl.finish(buffered.data[len(buffered.data)-1]); err != nil {
		if f, ok := err.(*failure.Error); ok {
			return f
		}
		return callerWriteFailure(err, failure.RanYes)
	}
	return nil
}

// failBuffered ends a request whose cheap answer failed while it was buffered.
func (r *Router) failBuffered(ctx context.Context, t *attempt, buffered *bufferedAnswer, s *settlement, err error) *failure.Error {
	e := asEngineError(err)
	r.reportFailed(t, e)
	s.addInterrupted(&relay{attempt: t, call: s.call, events: buffered.events}, e.Kind == engine.KindCanceled)
	return brokenAnswerFailure(ctx, e)
}

// errAnswerTooLong reports a cheap answer that is too large to be buffered.
var errAnswerTooLong = errors.New("the answer is too large to be checked")

// bufferedAnswer is a complete answer in memory.
type bufferedAnswer struct {
	data [][]byte
	// size is that of the events with their overhead, in bytes.
	size   int64
	events int64
	usage  engine.Usage
}

// bufferAnswer reads a complete answer into the memory of its request.
func bufferAnswer(t *attempt, memory *overload.Request) (*bufferedAnswer, error) {
	buffered, limit := &bufferedAnswer{}, memory.MaxAnswer(maxBufferedBytes)
	event := t.first
	for {
		size := int64(len(event.Data) + eventOverhead)
		if buffered.size += size; buffered.size > limit {
			return buffered, engine.NewError(engine.KindFailed, failure.RanYes, errAnswerTooLong)
		}
		if err := memory.ReserveAnswer(size); err != nil {
			return buffered, engine.NewError(engine.KindFailed, failure.RanYes, err)
		}
		buffered.data = append(buffered.data, bytes.Clone(event.Data))
		if event.Last {
			break
		}
		buffered.events++
		var err error
		if event, err = t.stream.Next(); err != nil {
			return buffered, err
		}
	}
	buffered.usage = engine.Usage{CompletionTokens: max(buffered.events, 1)}
	if u, ok := t.stream.Usage(); ok {
		buffered.usage = u
	}
	return buffered, nil
}

// completion holds the fields of an answer, or of one event of a stream, that the
// check reads.
type completion struct {
	Choices []struct {
		Message      struct{ Content string }
		Delta        struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
}

// dataPrefix precedes the JSON of a server-sent event.
const dataPrefix = "data:"

// describe returns the answer as input for the check.
func (b *bufferedAnswer) describe(c *call) *cascade.Answer {
	var text strings.Builder
	answer := &cascade.Answer{Kind: c.kind.GetName()}
	for _, data := range b.data {
		var part completion
		if json.Unmarshal(bytes.TrimPrefix(data, []byte(dataPrefix)), &part) != nil {
			continue // The [DONE] marker of a stream is not JSON.
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
