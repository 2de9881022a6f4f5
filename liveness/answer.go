package liveness

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// Answer is an answer of an engine that is being read.
type Answer struct {
	engine *engine
	// began is when the head of the answer was received.
	began time.Time
	// last is the last wait for data, at first that for the head.
	last atomic.Pointer[wait]
	// endWait is when the read began that returned the end of the body. It is written by the reader only.
	endWait time.Time
}

// wait is a wait for data that was received. The process ran when it began: data that had been sent before would
// have been there.
type wait struct{ began, received time.Time }

// minWait is the least time of a read that counts as a wait. Data that has already been received is returned
// sooner, and does not show when it was sent.
const minWait = time.Millisecond

// Reader returns a reader of the body that records when data is received.
func (a *Answer) Reader(body io.Reader) io.Reader { return &reader{answer: a, body: body} }

type reader struct {
	answer *Answer
	body   io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	began := time.Now()
	n, err := r.body.Read(p)
	now := time.Now()
	if n > 0 && now.Sub(began) >= minWait {
		r.answer.last.Store(&wait{began, now})
		r.answer.engine.dataReceived()
	}
	if err != nil {
		r.answer.endWait = began
	}
	return n, err
}

// Outlived waits until it is known whether the engine has outlived the answer, whose body has just ended with its
// connection, or ctx ends.
func (a *Answer) Outlived(ctx context.Context) Verdict {
	return a.engine.await(ctx, &end{answer: a, at: time.Now(), waited: a.endWait, lastData: a.last.Load().began})
}

// Close ends the use of the answer. complete is set if it is known to be complete.
func (a *Answer) Close(complete bool) {
	e := a.engine
	e.mu.Lock()
	_, open := e.answers[a]
	delete(e.answers, a)
	if open && complete {
		e.extend(a.span(), Data)
	}
	e.signal()
	unused := !e.inUse()
	e.mu.Unlock()
	if unused {
		e.monitor.remove(e)
	}
}

// span returns the time during which the process that gives the answer is known to have run.
func (a *Answer) span() span { return span{a.began, a.last.Load().began.Add(-inFlight)} }

// end is the end of an answer with its connection.
type end struct {
	answer *Answer
	at     time.Time
	// waited is when the read began that returned the end.
	waited time.Time
	// lastData is the last time at which the process that gave the answer is known to have run.
	lastData time.Time
}
