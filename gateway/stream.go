package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/retry"
	"github.com/bronzeturn/bronzeturn/route"
)

var errAnswerTooLong = errors.New("answer exceeds its bound")

// streamState is the progress of a stream to the caller.
type streamState struct {
	// lastID is the id of the last event sent to the caller.
	lastID string
	events int
}

// resumable reports whether the stream can be continued by another engine.
func (s *streamState) resumable(r *route.Route) bool {
	return r.Kind == route.Stream && r.Resumable && (s.events == 0 || s.lastID != "")
}

// deliverStream forwards complete events as they arrive. The header is sent with the first
// event, so that until then another engine can take over without the caller noticing.
func (g *Gateway) deliverStream(ctx context.Context, t *task, to *target, x *attempt.Exchange) *attemptError {
	s := newEvents(to.bodyOf(x))
	got := 0
	var firstAt time.Time
	for {
		e, err := s.next()
		if errors.Is(err, io.EOF) {
			return g.endStream(ctx, t, to, x, got, firstAt)
		}
		if err == nil {
			err = follows(t.stream.lastID, e)
		} else if x.UntilClose && errors.Is(err, io.ErrUnexpectedEOF) {
			err = errBrokenOff // Within an event.
		}
		if err != nil {
			failed := sendError(err)
			failed.Ran = failure.RanUnknown
			return failed
		}
		if got == 0 {
			firstAt = time.Now()
			g.reportFirstEvent(t, to, firstAt)
		}
		got++
		if f := t.forwardEvent(x, e); f != nil {
			t.answer.failure = f
			return &attemptError{Kind: retry.KindCancelled, Ran: failure.RanUnknown, Cause: f}
		}
	}
}

// endStream handles the end of an engine's stream after the given number of events.
func (g *Gateway) endStream(ctx context.Context, t *task, to *target, x *attempt.Exchange, got int, firstAt time.Time) *attemptError {
	if x.UntilClose && got == 0 && t.stream.events == 0 {
		return sendError(errBrokenOff)
	}
	pace := streamPace(got, firstAt)
	ratio := 0.0
	if pace > 0 {
		ratio = g.paceBaselines.ratio(paceKind{t.service, t.model, false}, pace)
	}
	latency := time.Since(to.sent)
	g.release(t, to, ratio)
	if failed := g.checkEnd(ctx, t, to, x); failed != nil {
		return failed
	}
	g.observeRunTime(t, to, latency)
	if pace > 0 {
		g.answerLengths.observe(t.service, t.model, t.meta.LikelyTokens, t.stream.events, pace)
		g.Introductions.ObservePace(t.service, t.route.Name, to.engine.Version, scaledPace(ratio))
	}
	g.Quarantine.Completed(t.content, time.Now())
	t.finishStream(x)
	return nil
}

// minReportedDelay is the delay of a first event from which on it is reported to the other
// daemons.
const minReportedDelay = 350 * time.Millisecond

// reportFirstEvent reports the first event of an attempt to the balancer, the other daemons
// and the introduction of the version.
func (g *Gateway) reportFirstEvent(t *task, to *target, at time.Time) {
	to.firstSeen = true
	latency := at.Sub(to.sent)
	g.Engines.FirstToken(balance.FirstToken{
		Engine: to.engine.Key(), Work: to.work, Latency: latency, Expected: to.expected, At: at,
	})
	if delay := latency - to.expected; delay >= minReportedDelay {
		g.Delayed(to.engine.Key(), delay)
	}
	if t.stream.events == 0 {
		t.request.trace.first = t.elapsed()
	} else {
		t.request.trace.resumed++
	}
	g.reportStartLatency(t, to, latency)
}

// reportStartLatency reports the time to the first event to the introduction of the version.
func (g *Gateway) reportStartLatency(t *task, to *target, latency time.Duration) {
	ratio := g.paceBaselines.ratio(paceKind{t.service, t.model, true}, latency)
	g.Introductions.Observe(t.service, t.route.Name, to.engine.Version, false, scaledPace(ratio))
}

// forwardEvent sends one event to the caller.
func (t *task) forwardEvent(x *attempt.Exchange, e event) *failure.Error {
	if !t.answer.begun() {
		t.answer.begin(x.Status, x.Header)
	}
	if f := t.answer.write(e.data); f != nil {
		return f
	}
	if err := t.answer.w.flush(); err != nil {
		return failure.Wrap(err, failure.CodeCanceled, failure.RanYes, "the caller does not read")
	}
	t.stream.events++
	t.request.trace.recordEvent(time.Now())
	t.progress.events.Add(1)
	if e.id != "" {
		t.stream.lastID = e.id
	}
	return nil
}

// streamPace returns the mean time between two of a number of events that end now, zero for fewer than two.
// firstAt is the time of the first.
func streamPace(events int, firstAt time.Time) time.Duration {
	if events < 2 {
		return 0
	}
	return time.Since(firstAt) / time.Duration(events-1)
}

// finishStream sends the header of a stream that ended without any event.
func (t *task) finishStream(x *attempt.Exchange) {
	if !t.answer.begun() {
		t.answer.begin(x.Status, x.Header)
	}
}

// recordEvent records the time of an event sent to the caller.
func (t *trace) recordEvent(at time.Time) {
	if t.events > 0 {
		t.pause = max(t.pause, at.Sub(t.lastEvent))
	}
	t.events++
	t.lastEvent = at
}
