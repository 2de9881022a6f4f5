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

// wholeAnswerSlack multiplies the expected time of a whole answer before its
// connection counts as silent, since nothing comes until it is complete.
const wholeAnswerSlack = 4

// launch is what is needed to send one request to engines.
type launch struct {
	call    *call
	version string
	body    []byte
	fence   uint64
	tried   [balance.MaxExclude]string
	// attempts counts those sent, ran is the worst that is known of them.
	attempts int
	ran      failure.Ran
	// retrying is set while one send of a quarantined request is permitted.
	retrying bool
}

// attempt is one request at one engine that began to answer.
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
	// whole tells that the answer comes in one piece.
	whole bool
	// reported tells that the balancer knows the end.
	reported bool
	// engineStart, hash and send identify the engine, the request and the send in progress to
	// the quarantine.
	engineStart inventory.Engine
	hash        quarantine.Hash
	send        *quarantine.Send
}

// begin sends the request to engines, one after the other, until one begins to
// answer, the retry rules say no, or the deadline comes.
func (r *Router) begin(ctx context.Context, l *launch) (*attempt, *failure.Error) {
	r.Budget.Request(time.Now())
	for {
		if f := l.late(ctx); f != nil {
			return nil, f
		}
		if f := r.screen(ctx, l); f != nil {
			return nil, f
		}
		decision, f := r.chooseEngine(l, !l.call.idempotent())
		if f != nil {
			return nil, f
		}
		got, err := r.race(ctx, l, &decision)
		l.retrying = false
		if err == nil {
			return got, nil
		}
		if isQuarantined(err) {
			l.ran = worstRan(l.ran, err.Ran)
			return nil, r.quarantined(l)
		}
		if f := r.again(ctx, l, err); f != nil {
			return nil, f
		}
	}
}

// late refuses an attempt that would begin after the request has ended. It
// compares the clock too, since the timer of the context of a process that was
// frozen may not have run yet.
func (l *launch) late(ctx context.Context) *failure.Error {
	switch {
	case !time.Now().Before(l.call.deadline):
		return failure.New(failure.CodeDeadlinePassed, l.ran, "the deadline passed before an answer came")
	case ctx.Err() != nil:
		return failure.New(failure.CodeCanceled, l.ran, "the request was canceled")
	}
	return nil
}

// chooseEngine checks the version against the newest configuration and picks
// an engine for it. It is called before each attempt. noProbe keeps the request
// away from engines on probation.
func (r *Router) chooseEngine(l *launch, noProbe bool) (balance.Decision, *failure.Error) {
	if f := r.stale(l.ran); f != nil {
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

// work is the size of the request for the balancer.
func (l *launch) work() balance.Work {
	return balance.Work{
		Priority:       l.call.priority,
		PromptTokens:   l.call.chat.promptTokens,
		ExpectedTokens: l.call.expectedTokens(),
	}
}

// send sends the request to one engine and waits for the first event. Several
// calls for one launch may run at once.
func (r *Router) send(ctx context.Context, l *launch, d *balance.Decision) (*attempt, *engine.Error) {
	attemptCtx, cancel := context.WithCancel(ctx)
	sendCtx, send := r.Quarantine.Sending(attemptCtx, l.call.hash)
	a := &attempt{
		engine: d.Engine.GetName(), version: l.version, work: l.work(), cancel: cancel,
		sentAt: time.Now(), expected: d.ExpectedFirstToken, whole: !l.call.chat.stream,
		engineStart: r.engineOf(l, d), hash: l.call.hash, send: send,
	}
	r.Engines.Dispatched(balance.Dispatched{Engine: a.engine, Work: a.work, PrefixHash: l.call.chat.prefixHash, At: a.sentAt})
	err := r.open(sendCtx, l, d, a)
	if err != nil {
		err = quarantinedCause(sendCtx, err)
		a.release()
		r.failed(a, err)
		if err.Kind == engine.Broken {
			// The choice of the next engine depends on whether this one has ended.
			r.Quarantine.Wait(ctx, a.engineStart.Key())
		}
		return nil, err
	}
	a.send.Begun()
	a.firstAt = time.Now()
	r.firstToken(a)
	return a, nil
}

// open sends the request and reads the first event.
func (r *Router) open(ctx context.Context, l *launch, d *balance.Decision, a *attempt) *engine.Error {
	// The request may have been convicted between the last check and Sending, which cancels
	// the context only for later convictions.
	if r.Quarantine.Held(l.call.hash) && !l.retrying {
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

// progressTimeout bounds the silence of a connection.
func (l *launch) progressTimeout(d *balance.Decision) time.Duration {
	timeout := l.call.kind.GetProgressTimeout().AsDuration()
	if l.call.chat.stream {
		return timeout + d.ExpectedWait
	}
	return timeout + wholeAnswerSlack*d.ExpectedAnswer
}

// count records that an attempt goes to an engine and keeps later ones away
// from it.
func (l *launch) count(name string) {
	l.attempts++
	for i := range l.tried {
		if l.tried[i] == "" {
			l.tried[i] = name
			return
		}
	}
}

// again decides on a retry and waits for its turn. A failure ends the request.
func (r *Router) again(ctx context.Context, l *launch, err *engine.Error) *failure.Error {
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

// nextAttempt asks the retry rules about a failed attempt.
func (r *Router) nextAttempt(a retry.Attempt) (again bool, wait time.Duration, reason retry.Reason) {
	r.withRand(func(rng *rand.Rand) {
		again, wait, reason = r.Retries.Next(a, r.Budget, time.Now(), rng)
	})
	return again, wait, reason
}

// firstToken tells the balancer that an answer began. The first token of an
// answer that comes whole is not measured.
func (r *Router) firstToken(a *attempt) {
	ev := balance.FirstToken{Engine: a.engine, Work: a.work, Expected: a.expected, At: a.firstAt}
	if !a.whole {
		ev.Latency = a.firstAt.Sub(a.sentAt)
	}
	r.Engines.FirstToken(ev)
}

// finished tells the balancer that an answer is whole, unless it knows that
// already. Call it when the last event came, since the engine is free then.
func (r *Router) finished(a *attempt, events int64) {
	if a.reported {
		return
	}
	a.reported = true
	now := time.Now()
	r.metrics.attempts.WithLabelValues(codeOK).Inc()
	r.Quarantine.Completed(a.hash, now)
	tokens := max(events, 1)
	if u, ok := a.stream.Usage(); ok {
		tokens = u.CompletionTokens
	}
	r.Engines.Finished(balance.Finished{
		Engine: a.engine, Work: a.work, FirstTokenSeen: true,
		Tokens: tokens, Generation: a.generation(now), At: now,
	})
}

// generation is the time from the first token to the last, estimated for an
// answer that comes whole.
func (a *attempt) generation(now time.Time) time.Duration {
	if a.whole {
		return max(a.firstAt.Sub(a.sentAt)-a.expected, 0)
	}
	return now.Sub(a.firstAt)
}

// failed tells the balancer that an attempt got no whole answer, unless it
// knows the end already.
func (r *Router) failed(a *attempt, err *engine.Error) {
	if a.reported {
		return
	}
	a.reported = true
	now := time.Now()
	r.metrics.attempts.WithLabelValues(string(err.Kind)).Inc()
	r.tellQuarantine(a, err)
	kind, tells := balanceKinds[err.Kind]
	if !tells {
		r.Engines.Finished(balance.Finished{Engine: a.engine, Work: a.work, FirstTokenSeen: !a.firstAt.IsZero(), Cancelled: true, At: now})
		return
	}
	r.Engines.Failed(balance.Failed{
		Engine: a.engine, Work: a.work, FirstTokenSeen: !a.firstAt.IsZero(),
		Kind: kind, RetryAfter: err.RetryAfter, At: now,
	})
}

// balanceKinds maps failures that tell something of the engine. The others are
// the caller's.
var balanceKinds = map[engine.Kind]balance.FailureKind{
	engine.Unreachable: balance.FailureUnreachable,
	engine.Refused:     balance.FailureBusy,
	engine.Failed:      balance.FailureError,
	engine.Broken:      balance.FailureError,
	engine.Silent:      balance.FailureSilent,
}

// retryKinds maps failures to those of the retry rules.
var retryKinds = map[engine.Kind]retry.Kind{
	engine.Unreachable: retry.KindConnect,
	engine.Refused:     retry.KindRefused,
	engine.Failed:      retry.KindError,
	engine.Rejected:    retry.KindRejected,
	engine.Fenced:      retry.KindRejected,
	engine.Broken:      retry.KindBroken,
	engine.Silent:      retry.KindSilent,
	engine.Canceled:    retry.KindCancelled,
}

// asEngineError returns err as an *engine.Error. Any other error is read as
// unknown, the only safe reading.
func asEngineError(err error) *engine.Error {
	var e *engine.Error
	if errors.As(err, &e) {
		return e
	}
	return &engine.Error{Kind: engine.Broken, Ran: failure.RanUnknown}
}
