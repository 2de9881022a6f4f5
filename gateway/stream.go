package gateway

import (
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

// streamState is how far a stream has got towards the caller.
type streamState struct {
	// lastID is the id of the last event that the caller has.
	lastID string
	events int
}

// resumable tells whether the stream can go on at another engine.
func (s *streamState) resumable(r *route.Route) bool {
	return r.Kind == route.Stream && r.Resumable && (s.events == 0 || s.lastID != "")
}

// deliverStream passes events on as they come, whole ones only. The header goes
// out with the first event, so that until then another engine can take over
// unseen.
func (g *Gateway) deliverStream(t *task, to *target, x *attempt.Exchange) *attemptError {
	s := newEvents(x)
	got := 0
	var firstAt time.Time
	for {
		e, err := s.next()
		if errors.Is(err, io.EOF) {
			g.streamEnded(t, to, got, firstAt)
			g.Quarantine.Completed(t.hash, time.Now())
			t.finishStream(x)
			return nil
		}
		if err == nil {
			err = follows(t.stream.lastID, e)
		}
		if err != nil {
			failed := sendError(err)
			failed.Ran = failure.RanUnknown
			return failed
		}
		if got == 0 {
			firstAt = time.Now()
			g.firstEvent(t, to, firstAt)
		}
		got++
		if f := t.passEvent(x, e); f != nil {
			t.answer.failure = f
			return &attemptError{Kind: retry.KindCancelled, Ran: failure.RanUnknown, Cause: f}
		}
	}
}

// tellDelay is the delay of a first event from which on the other daemons are told.
const tellDelay = 350 * time.Millisecond

// firstEvent tells of the first event of an attempt.
func (g *Gateway) firstEvent(t *task, to *target, at time.Time) {
	to.firstSeen = true
	latency := at.Sub(to.sent)
	g.Engines.FirstToken(balance.FirstToken{
		Engine: to.engine.Key(), Work: to.work, Latency: latency, Expected: to.expected, At: at,
	})
	if delay := latency - to.expected; delay >= tellDelay {
		g.Delayed(to.engine.Key(), delay)
	}
	if t.stream.events == 0 {
		t.request.trace.first = t.wholeLatency()
	} else {
		t.request.trace.resumed++
	}
	g.observeFirst(t, to, latency)
}

// observeFirst tells of the time that an answer took to begin.
func (g *Gateway) observeFirst(t *task, to *target, latency time.Duration) {
	ratio := g.paces.ratio(paceKind{t.service, t.model, true}, latency)
	g.Introductions.Observe(t.service, t.route.Name, to.engine.Version, false, asUsual(ratio))
}

// passEvent sends one event to the caller.
func (t *task) passEvent(x *attempt.Exchange, e event) *failure.Error {
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
	t.request.trace.sawEvent(time.Now())
	if e.id != "" {
		t.stream.lastID = e.id
	}
	return nil
}

// streamEnded tells of a stream that came to its proper end.
func (g *Gateway) streamEnded(t *task, to *target, got int, firstAt time.Time) {
	if got < 2 {
		g.Engines.Finished(g.finished(t, to, 0))
		return
	}
	pace := time.Since(firstAt) / time.Duration(got-1)
	ratio := g.paces.ratio(paceKind{t.service, t.model, false}, pace)
	g.Introductions.ObservePace(t.service, t.route.Name, to.engine.Version, asUsual(ratio))
	g.Engines.Finished(g.finished(t, to, ratio))
}

// finishStream ends the answer properly. A stream without any event has its
// header still to be sent.
func (t *task) finishStream(x *attempt.Exchange) {
	if !t.answer.begun() {
		t.answer.begin(x.Status, x.Header)
	}
}

// sawEvent notes the time of an event that the caller got.
func (t *trace) sawEvent(at time.Time) {
	if t.events > 0 {
		t.pause = max(t.pause, at.Sub(t.lastEvent))
	}
	t.events++
	t.lastEvent = at
}
