package liveness

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/inventory"
)

const (
	// inFlight bounds the time for which data that a process has sent may be on its way when it ends,
	// including one retransmission.
	inFlight = 300 * time.Millisecond
	// confirmation is the time for which an answer must stay open after data for it to count. After a pause of
	// this daemon, data is read before the end that came with it.
	confirmation = 20 * time.Millisecond
	// closeSkew bounds the time between the ends of two connections that a process closes by its end.
	closeSkew = inFlight
	// registrationDelay bounds the time after which it is known that an engine has started again, registrationPoll
	// is the interval at which that is checked.
	registrationDelay = time.Second
	registrationPoll  = 50 * time.Millisecond
)

// span is a time during which one process is known to have run. It is empty if until is before since.
type span struct{ since, until time.Time }

// covers reports whether the process ran at both times and so between them.
func (s span) covers(from, to time.Time) bool { return !s.since.After(from) && !s.until.Before(to) }

// overlaps reports whether two spans belong to the same process: at one time, an engine has only one.
func (s span) overlaps(o span) bool { return !o.since.After(s.until) && !s.since.After(o.until) }

// engine is the evidence about one start of an engine.
type engine struct {
	monitor *Monitor
	facts   inventory.Engine

	mu      sync.Mutex
	answers map[*Answer]struct{}
	// lived is the last span shown by probes and complete answers, by is what extended it last.
	lived span
	by    Evidence
	// answered is when the last probe was sent that the engine has answered.
	answered time.Time
	// kept is the number of open connections on which the engine has answered a probe.
	kept int
	// lost is when the other side last closed such a connection.
	lost time.Time
	// replaced is when another instance last answered at the address, refused when its host last refused a
	// connection.
	replaced, refused time.Time
	// probing holds when the probes in flight were sent.
	probing map[*probe]time.Time
	// nextProbe is the earliest time for another probe.
	nextProbe time.Time
	// noReports is set if the engine does not answer QuestionReport, noHealth if it does not answer QuestionHealth.
	noReports, noHealth bool
	// waiting is the number of ends that wait for a verdict. It is written with mu held.
	waiting atomic.Int32
	// changed is closed and replaced when there is new evidence.
	changed chan struct{}
}

func newEngine(m *Monitor, facts inventory.Engine) *engine {
	return &engine{
		monitor: m, facts: facts, answers: make(map[*Answer]struct{}), probing: make(map[*probe]time.Time), changed: make(chan struct{}),
	}
}

// inUse reports whether the evidence may be needed again. The caller holds mu.
func (e *engine) inUse() bool {
	return len(e.answers) > 0 || e.waiting.Load() > 0 || len(e.probing) > 0 || e.kept > 0
}

// signal wakes those that wait for evidence. The caller holds mu.
func (e *engine) signal() {
	if e.waiting.Load() > 0 {
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// dataReceived records that data of an answer has been received.
func (e *engine) dataReceived() {
	if e.waiting.Load() == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.signal()
}

// extend adds a span. The caller holds mu.
func (e *engine) extend(s span, by Evidence) {
	switch {
	case s.until.Before(s.since):
		return
	case !e.lived.overlaps(s):
		if s.until.After(e.lived.until) {
			e.lived, e.by = s, by
		}
		return
	case s.until.After(e.lived.until):
		e.lived.until, e.by = s.until, by
	}
	if s.since.Before(e.lived.since) {
		e.lived.since = s.since
	}
}

// await waits for a verdict on the end of an answer. It probes the engine as long as there is none.
func (e *engine) await(ctx context.Context, d *end) Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.answers, d.answer) // It gives no more data.
	e.signal()
	e.waiting.Add(1)
	defer e.waiting.Add(-1)
	for {
		now := time.Now()
		verdict, again := e.judge(d, now)
		if verdict.Known() || e.cannotTell(d) {
			return verdict
		}
		if e.answered.Before(d.at) && e.needsProbe(d) {
			again = earliest(again, e.startProbe(now))
		}
		if !e.sleep(ctx, again) {
			return Verdict{Unknown}
		}
	}
}

// sleep releases mu until there is new evidence or the time comes, if it is not zero. It returns false if ctx
// ends before.
func (e *engine) sleep(ctx context.Context, until time.Time) bool {
	changed := e.changed
	e.mu.Unlock()
	defer e.mu.Lock()
	var timeout <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timeout:
	}
	return true
}

// earliest returns the earlier of two times, of which zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// judge weighs the evidence. Without a verdict, it returns when to judge again though there is no new evidence,
// or the zero time. The caller holds mu.
func (e *engine) judge(d *end, now time.Time) (v Verdict, again time.Time) {
	if e.lived.covers(d.lastData, d.at) {
		return Verdict{e.by}, time.Time{}
	}
	confirmed, mayContinue := e.otherAnswers(d)
	switch {
	case !confirmed.IsZero() && !now.Before(confirmed):
		return Verdict{Data}, time.Time{}
	case e.replaced.After(d.lastData) || e.monitor.Restarted(e.facts):
		return Verdict{OtherInstance}, time.Time{}
	case !e.refused.Before(d.at) && !mayContinue:
		return Verdict{Refused}, time.Time{} // An engine that leaves may close its listener before it ends.
	case e.answered.Before(d.at):
		return Verdict{Unknown}, confirmed
	case e.lostWith(d) && now.Sub(e.lost) < registrationDelay:
		return Verdict{Unknown}, earliest(confirmed, now.Add(registrationPoll))
	}
	return Verdict{NewConnection}, time.Time{}
}

// cannotTell reports whether there will be no evidence about an end: the engine cannot be asked, and no other answer
// may show that it runs on. The caller holds mu.
func (e *engine) cannotTell(d *end) bool {
	if !e.noReports || !e.noHealth {
		return false
	}
	_, mayContinue := e.otherAnswers(d)
	return !mayContinue
}

// otherAnswers returns from when on the data of another answer shows that the engine has outlived the end, the
// zero time if none does, and whether any may yet do so. The caller holds mu.
func (e *engine) otherAnswers(d *end) (confirmed time.Time, mayContinue bool) {
	for a := range e.answers {
		if a.began.After(d.lastData) {
			continue
		}
		mayContinue = true
		if last := a.last.Load(); !last.began.Add(-inFlight).Before(d.at) {
			confirmed = earliest(confirmed, last.received.Add(confirmation))
		}
	}
	return confirmed, mayContinue
}

// lostWith reports whether a kept connection may have been lost with that of the answer, by the end of an engine
// that keeps its id when it starts again. One that was lost much earlier, while the answer's connection was seen to
// stay open, was idle for too long. The caller holds mu.
func (e *engine) lostWith(d *end) bool {
	if e.facts.Started.IsZero() || !e.lost.After(d.lastData) || e.lost.Sub(d.at) > closeSkew {
		return false
	}
	return d.at.Sub(e.lost) <= closeSkew || e.lost.Before(d.waited)
}

// needsProbe reports whether none of the probes in flight can decide on the end. The caller holds mu.
func (e *engine) needsProbe(d *end) bool {
	for _, sent := range e.probing {
		if !sent.Before(d.at) {
			return false
		}
	}
	return true
}
