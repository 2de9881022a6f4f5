package gateway

import (
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
)

// minEscalation is the minimum time to the deadline for an escalation to a larger model.
const minEscalation = 500 * time.Millisecond

// noConfidence is the value of a confidence that was not reported.
const noConfidence = -1

// chooseModel picks the model for the first attempt, unless the caller named one.
func (g *Gateway) chooseModel(t *task) {
	if !t.meta.AnyModel || len(t.route.Models) == 0 {
		return
	}
	t.sized = g.Models.Sized(t.route, t.backend, t.meta.PromptTokens, t.likelyTokens())
	single := !t.route.Repeatable() || t.route.Attempts < 2 || !g.budgets.forService(t.service).Ready(time.Now())
	t.model = g.Models.First(t.sized, single)
	t.request.trace.model, t.request.trace.worth = t.model, t.sized.worth
}

// tryEscalate reports whether a larger model should answer instead. If so, it has set the
// model and taken the attempt from the retry budget. It escalates only if none of the
// answer has been sent to the caller, an attempt is left for the larger model, and an engine has
// a free slot if the service is contended: otherwise the second attempt would take the place of
// another request.
func (g *Gateway) tryEscalate(t *task, to *target, confidence int) bool {
	t.request.trace.confidence = append(t.request.trace.confidence, confidence)
	if t.sized == nil {
		return false
	}
	t.request.trace.chance = g.Models.ChanceRight(confidence)
	t.request.trace.price += t.sized.price(t.model)
	g.Models.ObserveConfidence(t.sized, t.model, confidence, t.replacedConfidence)
	if t.answer.begun() || g.slotsTaken(t.service) || !t.route.Repeatable() || t.runs+1 >= t.route.Attempts || g.mayOutlastStop(t) {
		return false
	}
	draw := g.random()
	// First the cheap check: whether the larger model would pay if its answer were in time.
	inTime := func(string) float64 { return 0 }
	t.sized.delayCost, t.sized.completes = 0, nil
	if _, ok := g.Models.Larger(t.sized, t.model, confidence, inTime, draw); !ok || time.Until(t.deadline) < minEscalation {
		return false
	}
	larger, ok := g.Models.Larger(t.sized, t.model, confidence, g.startEstimator(t), draw)
	if !ok || !g.takeEscalation(t.service) {
		return false
	}
	// The latency of the dropped answer counts for its version.
	g.reportStartLatency(t, to, time.Since(to.sent))
	t.model, t.replacedConfidence = larger, confidence
	t.request.trace.model = larger
	t.tried, t.failedAt = nil, nil
	return true
}

// escalationReserve is the share of the retry budget that escalations leave to other attempts
// while these are denied for want of budget, and for escalationPause after. A retry saves a
// request, an escalation only improves its answer. When engines that ran a third of the streams
// crashed, escalations had used up the budget and the streams broke off. At other times there is
// no reserve: a permanent one of half of the budget cost a fifth of the escalations.
const (
	escalationReserve = 0.5
	escalationPause   = 2 * time.Second
)

// takeEscalation takes one escalation from the retry budget and reports whether there was one.
func (g *Gateway) takeEscalation(service string) bool {
	now, reserve := time.Now(), 0.0
	if g.schedulesLoad() && now.Sub(g.budgets.lastDenied(service)) < escalationPause {
		reserve = escalationReserve
	}
	return g.budgets.forService(service).TakeUnreserved(now, reserve)
}

// schedulesLoad reports whether decisions take into account what they cost other requests.
func (g *Gateway) schedulesLoad() bool {
	if g.SchedulesLoad == nil {
		return g.Dispatcher != nil
	}
	return g.SchedulesLoad()
}

// startEstimator returns a function that estimates the share of the route's target that will
// have passed when a model begins to answer. The estimate is based on the balancer's choice
// for the largest model. For the other models the time for the prompt is scaled by their
// weight. It also sets the delay cost of the request and its
// chances to be complete in time.
func (g *Gateway) startEstimator(t *task) func(model string) float64 {
	engines := g.Tables().Engines
	if engines == nil || t.route.Target <= 0 {
		return func(string) float64 { return 0 }
	}
	small := t.model
	t.model = t.route.Models[len(t.route.Models)-1]
	r := t.balanceRequest(g.DataCentre, engines, g.Models)
	t.model = small
	r.NoProbe = true
	r.Exclude = [balance.MaxExclude]string{}
	now := time.Now()
	r.Skip = g.skipFilter(t, engines, now)
	decision, ok := g.queryBalancer(engines, r, now)
	if !ok {
		return func(string) float64 { return 1 }
	}
	if g.schedulesLoad() {
		left := time.Until(t.deadline) - decision.Backlog - decision.ExpectedFirstToken
		t.sized.completes = func(model string) float64 {
			return g.answerLengths.completes(t.service, model, t.meta.LikelyTokens, left)
		}
		if g.ChargesDelay {
			t.sized.delayCost = g.Models.DelayCost(t.backend, decision.Backlog, decision.Requests)
		}
	}
	waits, reads := t.elapsed()+decision.Backlog, decision.ExpectedFirstToken.Seconds()
	return func(model string) float64 {
		return (waits.Seconds() + reads*g.Models.Weight(t.backend, model)) / t.route.Target.Seconds()
	}
}
