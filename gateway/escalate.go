package gateway

import (
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
)

// minEscalation is the least time left for which a larger model is asked.
const minEscalation = 500 * time.Millisecond

// noConfidence stands for a confidence that no model told.
const noConfidence = -1

// chooseModel picks the model of the first attempt, unless the caller named one.
func (g *Gateway) chooseModel(t *task) {
	if !t.meta.AnyModel || len(t.route.Models) == 0 {
		return
	}
	t.sized = g.Models.Sized(t.route, t.backend, t.meta.PromptTokens, t.likelyTokens())
	single := !t.route.Repeatable() || t.route.Attempts < 2 || !g.budgets.of(t.service).Ready(time.Now())
	t.model = g.Models.First(t.sized, single)
	t.request.trace.model, t.request.trace.worth = t.model, t.sized.worth
}

// escalates tells whether a larger model should answer instead, and picks it.
// The caller must not have any of the answer, and the attempts must leave one
// for the larger model.
func (g *Gateway) escalates(t *task, to *target, confidence int) bool {
	t.request.trace.confidence = append(t.request.trace.confidence, confidence)
	if t.sized == nil {
		return false
	}
	t.request.trace.chance = g.Models.Right(confidence)
	t.request.trace.price += t.sized.price(t.model)
	g.Models.Told(t.sized, t.model, confidence, t.doubted)
	if t.answer.begun() || !t.route.Repeatable() || t.runs+1 >= t.route.Attempts {
		return false
	}
	draw := g.random()
	// The cheap question first: whether it would pay if the answer were in time.
	inTime := func(string) float64 { return 0 }
	if _, ok := g.Models.Larger(t.sized, t.model, confidence, inTime, draw); !ok || time.Until(t.deadline) < minEscalation {
		return false
	}
	larger, ok := g.Models.Larger(t.sized, t.model, confidence, g.outlook(t), draw)
	if !ok || !g.budgets.of(t.service).Take(time.Now()) {
		return false
	}
	// The answer that is dropped tells about its version too.
	g.observeFirst(t, to, time.Since(to.sent))
	t.model, t.doubted = larger, confidence
	t.request.trace.model = larger
	t.tried = nil
	return true
}

// outlook returns which part of the route's target will have passed when a model
// begins to answer. It asks for an engine for the largest one; the others take less
// time for the prompt, in proportion to their weight.
func (g *Gateway) outlook(t *task) func(model string) float64 {
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
	r.Skip = g.skips(t, engines, now)
	decision, ok := g.compare(engines, r, now)
	if !ok {
		return func(string) float64 { return 1 }
	}
	waits, reads := t.wholeLatency()+decision.Backlog, decision.ExpectedFirstToken.Seconds()
	return func(model string) float64 {
		return (waits.Seconds() + reads*g.Models.Weight(t.backend, model)) / t.route.Target.Seconds()
	}
}
