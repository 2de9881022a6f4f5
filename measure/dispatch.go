package measure

import (
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/hedge"
	"github.com/bronzeturn/bronzeturn/retry"
)

// startVersion begins to execute the request at the selected version, or at the next
// version of its cascade. Attempts that belong to an earlier start are superseded.
func (s *sim) startVersion(r *request, version string) {
	f := &r.flow
	f.version, f.winner, f.liveAttempts = version, nil, nil
	f.startNumber++
	f.attempts = 0
	f.tried = [balance.MaxExclude]string{}
	r.daemon.budget.Request(s.now)
	s.dispatch(r)
}

// dispatch selects an engine, sends the request to it and schedules a hedge.
func (s *sim) dispatch(r *request) {
	if r.ended {
		return
	}
	engine, decision, ok := s.policy.engine(s, r)
	if !ok {
		if r.flow.attempts > 0 {
			s.refuse(r, failure.CodeNoCapacity)
			return
		}
		s.handleNoRoom(r)
		return
	}
	r.flow.sentAt = s.now
	if s.policy.hedges() && r.kind.GetHedge() && r.kind.GetIdempotent() {
		r.daemon.hedges.Request(s.now)
		if delay, measured := r.daemon.hedges.Delay(r.kind.GetName()); measured {
			startNumber, attempts := r.flow.startNumber, r.flow.attempts+1
			s.after(delay, func() { s.hedge(r, delay, startNumber, attempts) })
		}
	}
	s.send(r, engine, decision)
}

// hedge sends a second attempt if the first one has produced no token yet and the
// hedging policy grants it.
func (s *sim) hedge(r *request, delay time.Duration, startNumber, attempts int) {
	f := &r.flow
	if r.ended || f.winner != nil || f.startNumber != startNumber || f.attempts != attempts || len(f.liveAttempts) != 1 {
		return
	}
	engine, second, ok := s.policy.engine(s, r)
	if !ok {
		return
	}
	granted, _ := r.daemon.hedges.Next(hedge.Request{
		Kind: r.kind.GetName(), Idempotent: r.kind.GetIdempotent(), HedgingEnabled: r.kind.GetHedge(),
		Delay: delay, Elapsed: s.now.Sub(f.sentAt), Left: r.deadline.Sub(s.now),
		SecondWait: second.ExpectedWait, SecondAnswer: second.ExpectedAnswer,
	}, s.now)
	if granted {
		s.result.recordHedge()
		s.send(r, engine, second)
	}
}

// send sends one attempt to an engine.
func (s *sim) send(r *request, e *fakeEngine, d balance.Decision) {
	f := &r.flow
	f.attempts++
	for i := range f.tried {
		if f.tried[i] == "" {
			f.tried[i] = e.GetName()
			break
		}
	}
	s.result.recordDispatch(s, f.version)
	hop := remoteHopLatency
	if e.GetDataCentre() == r.daemon.dataCentre {
		hop = localHopLatency
	}
	a := &attempt{
		request: r, engine: e, sentAt: s.now, startNumber: f.startNumber, expectedFirst: d.ExpectedFirstToken,
		onFirst: func(a *attempt) { s.after(hop, func() { s.handleFirstToken(a) }) },
		onDone:  func(a *attempt) { s.after(hop, func() { s.handleAnswer(a) }) },
		onFail:  func(a *attempt, ran bool) { a.done = true; s.after(hop+failDelay, func() { s.handleFailure(a, ran) }) },
	}
	f.liveAttempts = append(f.liveAttempts, a)
	r.daemon.state.Dispatched(balance.Dispatched{Engine: e.GetName(), Work: work(r), PrefixHash: r.prefix, At: s.now})
	s.after(hop, func() { e.submit(a) })
}

// work returns the size of a request as the balancer estimates it.
func work(r *request) balance.Work {
	return balance.Work{
		Priority: r.kind.GetPriority(), PromptTokens: r.prompt,
		ExpectedTokens: r.kind.GetExpectedCompletionTokens(),
	}
}

// superseded reports whether events of an attempt no longer matter, since its
// request ended, was started again at another version, or dropped the attempt.
func (s *sim) superseded(a *attempt) bool {
	return a.request.ended || a.startNumber != a.request.flow.startNumber || !containsAttempt(a.request.flow.liveAttempts, a)
}

// handleFirstToken handles the first token of an attempt. That attempt wins, and the
// other one is cancelled.
func (s *sim) handleFirstToken(a *attempt) {
	r := a.request
	if s.superseded(a) {
		return
	}
	a.firstTokenSeen = true
	r.daemon.state.FirstToken(balance.FirstToken{
		Engine: a.engine.GetName(), Work: work(r), Latency: s.now.Sub(a.sentAt), Expected: a.expectedFirst, At: s.now,
	})
	r.flow.winner = a
	for _, other := range r.flow.liveAttempts {
		if other != a {
			s.cancel(other)
		}
	}
	r.flow.liveAttempts = []*attempt{a}
	if s.policy.hedges() && r.kind.GetHedge() {
		r.daemon.hedges.Answered(hedge.Answered{Kind: r.kind.GetName(), Latency: s.now.Sub(r.flow.sentAt)})
	}
}

// cancel cancels an attempt. The tokens that it has generated are paid for.
func (s *sim) cancel(a *attempt) {
	r := a.request
	if !a.startedAt.IsZero() && !a.done {
		generated := float64(s.now.Sub(a.startedAt)-a.prefill) / float64(max(a.generate, 1))
		tokens := int64(max(0, min(generated, 1)) * float64(r.completion))
		r.cost += s.truth.cost(r.flow.version, r.prompt, tokens)
	}
	if !a.done {
		a.engine.remove(a)
	}
	r.daemon.state.Finished(balance.Finished{Engine: a.engine.GetName(), Work: work(r), FirstTokenSeen: a.firstTokenSeen, Cancelled: true, At: s.now})
}

// handleAnswer handles a complete answer.
func (s *sim) handleAnswer(a *attempt) {
	r := a.request
	if s.superseded(a) {
		return
	}
	r.daemon.state.Finished(balance.Finished{
		Engine: a.engine.GetName(), Work: work(r), FirstTokenSeen: a.firstTokenSeen,
		Tokens: r.completion, Generation: a.generate, At: s.now,
	})
	r.flow.liveAttempts = nil
	r.cost += s.truth.cost(r.flow.version, r.prompt, r.completion)
	s.evaluateAnswer(r)
}

// handleFailure handles an attempt that got no complete answer. If no other attempt
// is running, the request is retried when the retry policy allows it, and fails
// otherwise.
func (s *sim) handleFailure(a *attempt, ran bool) {
	r := a.request
	if s.superseded(a) {
		return
	}
	d := r.daemon
	d.failedAt[a.engine] = s.now
	kind, retryKind, outcome := balance.FailureUnreachable, retry.KindConnect, failure.RanNo
	if ran {
		kind, retryKind, outcome = balance.FailureError, retry.KindBroken, failure.RanUnknown
	}
	d.state.Failed(balance.Failed{Engine: a.engine.GetName(), Work: work(r), FirstTokenSeen: a.firstTokenSeen, Kind: kind, At: s.now})
	r.flow.liveAttempts = withoutAttempt(r.flow.liveAttempts, a)
	if len(r.flow.liveAttempts) > 0 {
		return
	}
	sent := int64(0)
	if a.firstTokenSeen {
		sent = 1
	}
	again, wait, _ := d.retries.Next(retry.Attempt{
		Kind: retryKind, Ran: outcome, Idempotent: r.kind.GetIdempotent(), Number: r.flow.attempts,
		Left: r.deadline.Sub(s.now), BytesSent: sent,
	}, d.budget, s.now, d.rng)
	if !again {
		s.fail(r)
		return
	}
	s.after(wait, func() { s.dispatch(r) })
}

func containsAttempt(list []*attempt, a *attempt) bool {
	for _, o := range list {
		if o == a {
			return true
		}
	}
	return false
}

func withoutAttempt(list []*attempt, a *attempt) []*attempt {
	var kept []*attempt
	for _, o := range list {
		if o != a {
			kept = append(kept, o)
		}
	}
	return kept
}
