package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/retry"
)

// nonStreamingSilenceFactor multiplies the expected time of a non-streaming answer
// to give the time after which its connection counts as silent, since the engine
// sends nothing until the answer is complete.
const nonStreamingSilenceFactor = 4

// launch is the state of sending one request to the engines of a version.
type launch struct {
	call    *call
	version string
	body    []byte
	fence   uint64
	tried   [balance.MaxExclude]string
	// attempts counts the attempts sent. ran says whether any of them ran the
	// request, as far as known.
	attempts int
	ran      failure.Ran
	// quarantineRetry is set while the quarantine permits one send of a held
	// request.
	quarantineRetry bool
}

// attempt is one send of a request to one engine.
type attempt struct {
	engine  string
	version string
	work    balance.Work
	stream  *engine.Stream
	first   engine.Event
	cancel  context.CancelFunc
	sentAt  time.Time
	firstAt time.Time
	// expected is the time to the first token that the balancer expected.
	expected time.Duration
	// nonStreaming is set if the answer comes in one piece.
	nonStreaming bool
	// reported is set once the end has been reported to the balancer.
	reported bool
	// engineStart, content and send identify the engine, the request and the send to the
	// quarantine.
	engineStart inventory.Engine
	content     quarantine.Content
	send        *quarantine.Send
}

// sendWithRetries sends the request to one engine after another until an engine
// begins to answer, the retry policy refuses another attempt, or the deadline passes.
func (r *Router) sendWithRetries(ctx context.Context, l *launch) (*attempt, *failure.Error) {
	r.Budget.Request(time.Now())
	for {
		if f := l.checkDeadline(ctx); f != nil {
			return nil, f
		}
		if f := r.checkQuarantine(ctx, l); f != nil {
			return nil, f
		}
		decision, f := r.chooseEngine(l, !l.call.idempotent())
		if f != nil {
			return nil, f
		}
		got, err := r.sendHedged(ctx, l, &decision)
		l.quarantineRetry = false
		if err == nil {
			return got, nil
		}
		if isQuarantined(err) {
			l.ran = worstRan(l.ran, err.Ran)
			return nil, r.quarantineFailure(l)
		}
		if f := r.retryOrFail(ctx, l, err); f != nil {
			return nil, f
		}
	}
}

// checkDeadline refuses an attempt that would begin after the request has ended.
// It also compares the clock, since the context's timer may not have fired yet if
// the process was suspended.
func (l *launch) checkDeadline(ctx context.Context) *failure.Error {
	switch {
	case !time.Now().Before(l.call.deadline):
		return failure.New(failure.CodeDeadlinePassed, l.ran, "the deadline passed before an answer came")
	case ctx.Err() != nil:
		return failure.New(failure.CodeCanceled, l.ran, "the request was canceled")
	}
	return nil
}

// chooseEngine checks the version against the newest configuration and chooses an
// engine for it. It must be called before each attempt. noProbe excludes engines
// on probation.
func (r *Router) chooseEngine(l *launch, noProbe bool) (balance.Decision, *failure.Error) {
	if f := r.staleFailure(l.ran); f != nil {
		return balance.Decision{}, f
	}
	newest := r.Tables()
	if f := checkUsable(newest.Snapshot, l.call.organisation.GetName(), l.version); f != nil {
		f.Ran = l.ran
		return balance.Decision{}, f
	}
	now := time.Now()
	req := balance.Request{
		Version:    l.version,
		DataCentre: r.DataCentre,
		Work:       l.work(),
		PrefixHash: l.call.chat.prefixHash,
		Exclude:    l.tried,
		Leaving:    r.Members.BackendLeaving,
		NoProbe:    noProbe,
		MaxWait:    l.call.deadline.Sub(now),
	}
	var decision balance.Decision
	var ok bool
	r.withRand(func(rng *rand.Rand) {
		decision, ok = r.Engines.Choose(newest.Engines, &req, now, rng)
	})
	if !ok {
		r.logEngine(l, &decision)
		return decision, failure.New(failure.CodeNoCapacity, l.ran, "no engine can answer in time").WithRetryAfter(decision.RetryAfter)
	}
	r.logEngine(l, &decision)
	return decision, nil
}

// work returns the size of the request for the balancer.
func (l *launch) work() balance.Work {
	return balance.Work{
		Priority:       l.call.priority,
		PromptTokens:   l.call.chat.promptTokens,
		ExpectedTokens: l.call.expectedTokens(),
	}
}

// sendOnce sends the request to one engine and waits for the first event. Several
// calls for one launch may run concurrently.
func (r *Router) sendOnce(ctx context.Context, l *launch, d *balance.Decision) (*attempt, *engine.Error) {
	attemptCtx, cancel := context.WithCancel(ctx)
	sendCtx, send := r.Quarantine.Sending(attemptCtx, l.call.content)
	a := &attempt{
		engine: d.Engine.GetName(), version: l.version, work: l.work(), cancel: cancel,
		sentAt: time.Now(), expected: d.ExpectedFirstToken, nonStreaming: !l.call.chat.stream,
		engineStart: r.engineOf(l, d), content: l.call.content, send: send,
	}
	r.Engines.Dispatched(balance.Dispatched{Engine: a.engine, Work: a.work, PrefixHash: l.call.chat.prefixHash, At: a.sentAt})
	err := r.openStream(sendCtx, l, d, a)
	if err != nil {
		err = quarantinedCause(sendCtx, err)
		a.release()
		r.reportFailed(a, err)
		if err.Kind == engine.KindBroken {
			// Whether and where the request is sent next depends on whether this engine
			// has ended.
			r.Quarantine.Wait(ctx, a.engineStart.Key())
		}
		return nil, err
	}
	a.send.Begun()
	a.firstAt = time.Now()
	r.reportFirstToken(a)
	return a, nil
}

// openStream sends the request and reads the first event.
func (r *Router) openStream(ctx context.Context, l *launch, d *balance.Decision, a *attempt) *engine.Error {
	// The request may have been quarantined between the last check and Sending, which
	// cancels the context only if the request is quarantined afterwards.
	if r.Quarantine.Held(l.call.content) && !l.quarantineRetry {
		return newQuarantinedError(failure.RanNo)
	}
	stream, err := r.EngineClient.Open(ctx, engine.Request{
		Address:         d.Engine.GetAddress(),
		RequestID:       l.call.requestID,
		Version:         l.version,
		Priority:        int(l.call.priority),
		Fencing:         l.fence,
		Body:            l.body,
		Stream:          l.call.chat.stream,
		ProgressTimeout: l.progressTimeout(d),
		Memory:          l.call.memory,
	})
	if err != nil {
		return asEngineError(err)
	}
	event, err := stream.Next()
	if err != nil {
		_ = stream.Close()
		return asEngineError(err)
	}
	a.stream = stream
	a.first = event
	return nil
}

// progressTimeout returns how long a connection may make no progress.
func (l *launch) progressTimeout(d *balance.Decision) time.Duration {
	timeout := l.call.kind.GetProgressTimeout().AsDuration()
	if l.call.chat.stream {
		return timeout + d.ExpectedWait
	}
	return timeout + nonStreamingSilenceFactor*d.ExpectedAnswer
}

// markTried counts an attempt at an engine and excludes the engine from later
// attempts.
func (l *launch) markTried(name string) {
	l.attempts++
	for i := range l.tried {
		if l.tried[i] == "" {
			l.tried[i] = name
			return
		}
	}
}

// retryOrFail decides whether to retry a failed attempt, and waits for the backoff
// if so. Otherwise it returns the failure that ends the request.
func (r *Router) retryOrFail(ctx context.Context, l *launch, err *engine.Error) *failure.Error {
	l.ran = worstRan(l.ran, err.Ran)
	again, wait, reason := r.nextAttempt(retry.Attempt{
		Kind:       retryKinds[err.Kind],
		Ran:        l.ran,
		Idempotent: l.call.idempotent(),
		Number:     l.attempts,
		Left:       time.Until(l.call.deadline),
	})
	r.logRetry(l, err, again, reason)
	if again && backoff.Sleep(ctx, wait) == nil {
		return nil
	}
	return engineFailure(ctx, err, l.ran)
}

// nextAttempt asks the retry policy about a failed attempt.
func (r *Router) nextAttempt(a retry.Attempt) (again bool, wait time.Duration, reason retry.Reason) {
	r.withRand(func(rng *rand.Rand) {
		again, wait, reason = r.Retries.Next(a, r.Budget, time.Now(), rng)
	})
	return again, wait, reason
}

// reportFirstToken reports to the balancer that an answer began. It reports no
// first-token latency for non-streaming answers, where it cannot be measured.
func (r *Router) reportFirstToken(a *attempt) {
	ev := balance.FirstToken{Engine: a.engine, Work: a.work, Expected: a.expected, At: a.firstAt}
	if !a.nonStreaming {
		ev.Latency = a.firstAt.Sub(a.sentAt)
	}
	r.Engines.FirstToken(ev)
}

// reportFinished reports to the balancer that an answer is complete, unless the
// end was reported already. It must be called as soon as the last event has
// arrived, since the engine is free from then on.
func (r *Router) reportFinished(a *attempt, events int64) {
	if a.reported {
		return
	}
	a.reported = true
	now := time.Now()
	r.metrics.attempts.WithLabelValues(codeOK).Inc()
	r.Quarantine.Completed(a.content, now)
	tokens := max(events, 1)
	if u, ok := a.stream.Usage(); ok {
		tokens = u.CompletionTokens
	}
	r.Engines.Finished(balance.Finished{
		Engine: a.engine, Work: a.work, FirstTokenSeen: true,
		Tokens: tokens, Generation: a.generation(now), At: now,
	})
}

// generation returns the time from the first token to the last. It is an estimate
// for a non-streaming answer.
func (a *attempt) generation(now time.Time) time.Duration {
	if a.nonStreaming {
		return max(a.firstAt.Sub(a.sentAt)-a.expected, 0)
	}
	return now.Sub(a.firstAt)
}

// reportFailed reports to the balancer that an attempt got no complete answer,
// unless the end was reported already.
func (r *Router) reportFailed(a *attempt, err *engine.Error) {
	if a.reported {
		return
	}
	a.reported = true
	now := time.Now()
	r.metrics.attempts.WithLabelValues(string(err.Kind)).Inc()
	r.reportToQuarantine(a, err)
	kind, known := balanceKinds[err.Kind]
	if !known {
		r.Engines.Finished(balance.Finished{Engine: a.engine, Work: a.work, FirstTokenSeen: !a.firstAt.IsZero(), Cancelled: true, At: now})
		return
	}
	r.Engines.Failed(balance.Failed{
		Engine: a.engine, Work: a.work, FirstTokenSeen: !a.firstAt.IsZero(),
		Kind: kind, RetryAfter: err.RetryAfter, At: now,
	})
}

// balanceKinds maps the failures that say something about the state of the engine
// to those of the balancer. The others are due to the caller or the request.
var balanceKinds = map[engine.ErrorKind]balance.FailureKind{
	engine.KindUnreachable: balance.FailureUnreachable,
	engine.KindRefused:     balance.FailureBusy,
	engine.KindFailed:      balance.FailureError,
	engine.KindBroken:      balance.FailureError,
	engine.KindSilent:      balance.FailureSilent,
}

// retryKinds maps failures to those of the retry policy.
var retryKinds = map[engine.ErrorKind]retry.Kind{
	engine.KindUnreachable: retry.KindConnect,
	engine.KindRefused:     retry.KindRefused,
	engine.KindFailed:      retry.KindError,
	engine.KindRejected:    retry.KindRejected,
	engine.KindFenced:      retry.KindRejected,
	engine.KindBroken:      retry.KindBroken,
	engine.KindSilent:      retry.KindSilent,
	engine.KindCanceled:    retry.KindCancelled,
}

// asEngineError returns err as an *engine.Error. For any other error it is unknown
// whether the request ran, the only safe assumption.
func asEngineError(err error) *engine.Error {
	var e *engine.Error
	if errors.As(err, &e) {
		return e
	}
	return &engine.Error{Kind: engine.KindBroken, Ran: failure.RanUnknown}
}
