package liveness

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/bronzeturn/bronzeturn/inventory"
)

// Question is what a probe asks for.
type Question string

const (
	// QuestionReport asks for the state of the engine, which is answered without waiting for a slot.
	QuestionReport Question = "report"
	// QuestionHealth asks whether the engine is healthy, which waits for a slot like a request.
	QuestionHealth Question = "health"
)

// Reply is how a probe was answered.
type Reply string

// The replies.
const (
	// ReplyInstance: the engine with the id answered.
	ReplyInstance Reply = "instance"
	// ReplyStart: the engine with the id and the start time answered.
	ReplyStart Reply = "start"
	// ReplyOther: another instance or another start answered.
	ReplyOther Reply = "other"
	// ReplyUnsupported: the question cannot be asked.
	ReplyUnsupported Reply = "unsupported"
)

// Prober sends probes.
type Prober interface {
	// Probe sends a question to an engine, over a connection of a Transport, and returns how it was answered.
	// keeps is set if the connection stays open after the answer.
	Probe(ctx context.Context, e inventory.Engine, q Question) (r Reply, keeps bool, err error)
}

const (
	// maxProbes bounds the number of probes of one engine in flight.
	maxProbes = 4
	// probeSpacing is the least time between the sends of two probes that are in flight together. One probe
	// serves all answers that end before it is sent.
	probeSpacing = 250 * time.Millisecond
	// probeTimeout bounds the time of one probe. Another one follows while its result is needed.
	probeTimeout = 10 * time.Second
	// probeRetryDelay is the delay after a probe that failed.
	probeRetryDelay = 100 * time.Millisecond
	// reportHeadStart is the time after which QuestionHealth is asked too if QuestionReport is not answered.
	reportHeadStart = 100 * time.Millisecond
)

// probe is a probe in flight.
type probe struct{ question Question }

// keepConnection sends a probe if there is no connection on which the engine has answered. The caller holds mu.
func (e *engine) keepConnection(now time.Time) {
	if e.kept == 0 && len(e.probing) == 0 {
		e.startProbe(now)
	}
}

// startProbe sends a probe, unless it must wait. It returns the time until which it must, the zero time if that
// depends on the probes in flight only. The caller holds mu.
func (e *engine) startProbe(now time.Time) time.Time {
	at := e.nextProbe
	for _, sent := range e.probing {
		if next := sent.Add(probeSpacing); next.After(at) {
			at = next
		}
	}
	switch {
	case len(e.probing) >= maxProbes:
		return time.Time{}
	case at.After(now):
		return at
	}
	question := QuestionReport
	if e.noReports {
		question = QuestionHealth
	}
	e.send(question, now)
	return time.Time{}
}

// send sends a probe. The caller holds mu.
func (e *engine) send(q Question, now time.Time) {
	p := &probe{question: q}
	e.probing[p] = now
	go e.run(p, now) // Ends with probeTimeout.
}

// run sends a probe and records its result.
func (e *engine) run(p *probe, sent time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if p.question == QuestionReport {
		timer := time.AfterFunc(reportHeadStart, e.askHealth)
		defer timer.Stop()
	}
	ctx, used := withUsedConn(ctx)
	acknowledgement := time.AfterFunc(inFlight, func() { e.checkAcknowledged(p, used, sent) })
	defer acknowledgement.Stop()
	reply, keeps, err := e.monitor.Prober.Probe(ctx, e.facts, p.question)
	e.record(p, result{reply: reply, keeps: keeps, err: err, conn: used.conn(), sent: sent, at: time.Now()})
}

// askHealth asks QuestionHealth beside QuestionReport.
func (e *engine) askHealth() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.probing) < maxProbes {
		e.send(QuestionHealth, time.Now())
	}
}

// checkAcknowledged records that the process runs if a probe that it has not answered yet was received on a
// connection on which it had answered before: the connection would have been closed by the end of the process, and
// what was sent on it afterwards reset.
func (e *engine) checkAcknowledged(p *probe, used *usedConn, sent time.Time) {
	conn := used.conn()
	if conn == nil || !used.written.Load() {
		return
	}
	first, acknowledged := conn.acknowledged(e)
	if !acknowledged {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, unanswered := e.probing[p]; unanswered {
		e.extend(span{first, sent}, Acknowledged)
		e.signal()
	}
}

// result is the result of a probe.
type result struct {
	reply Reply
	keeps bool
	err   error
	// conn is the connection that was used, nil if none was opened.
	conn     *keptConn
	sent, at time.Time
}

// outcome returns the outcome for the metric.
func (r *result) outcome() string {
	if r.err != nil {
		return "failed"
	}
	return string(r.reply)
}

// record records the result of a probe.
func (e *engine) record(p *probe, r result) {
	e.monitor.probes.WithLabelValues(string(p.question), r.outcome()).Inc()
	e.mu.Lock()
	delete(e.probing, p)
	switch {
	case errors.Is(r.err, syscall.ECONNREFUSED):
		e.refused = r.at
		e.nextProbe = r.at.Add(probeRetryDelay)
	case r.err != nil:
		e.nextProbe = r.at.Add(probeRetryDelay)
	case r.reply == ReplyOther:
		e.replaced = r.at
	case r.reply == ReplyUnsupported:
		e.recordUnsupported(p.question, r.at)
	default:
		e.recordAnswered(&r)
	}
	e.signal()
	unused := !e.inUse()
	e.mu.Unlock()
	if unused {
		e.monitor.remove(e)
	}
}

// recordUnsupported records that a question cannot be asked. The caller holds mu.
func (e *engine) recordUnsupported(q Question, now time.Time) {
	if q == QuestionHealth {
		e.noHealth, e.nextProbe = true, now.Add(probeTimeout)
		return
	}
	e.noReports = true
	if len(e.probing) == 0 {
		e.send(QuestionHealth, now)
	}
}

// recordAnswered records an answer of the engine. The caller holds mu.
func (e *engine) recordAnswered(r *result) {
	e.answered = latest(e.answered, r.sent)
	by := Probe
	if r.reply == ReplyStart {
		// The process has run since its start, which is before any of its answers.
		e.extend(span{time.Time{}, r.sent}, Start)
		by = Start
	}
	if r.conn == nil {
		return
	}
	if first, again := r.conn.identify(e, r.keeps, r.at); again {
		e.extend(span{first, r.sent}, by)
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// connKept records that a connection on which the engine has answered stays open, or does not any more. The
// caller holds mu.
func (e *engine) connKept(kept bool) {
	if kept {
		e.kept++
	} else {
		e.kept--
	}
}

// connClosed records that a kept connection is closed. lost is set if the other side has closed it.
func (e *engine) connClosed(lost bool) {
	e.mu.Lock()
	e.kept--
	if lost {
		e.lost = time.Now()
		e.signal()
	}
	unused := !e.inUse()
	e.mu.Unlock()
	if unused {
		e.monitor.remove(e)
	}
}
