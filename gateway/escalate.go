package gateway

import (
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
)

// minEscalation is the least time left for which a larger model is asked.
const minEscalation = 500 * time.Millisecond

// escalates tells whether a larger model should answer instead, and picks it.
// The caller must not have any of the answer, and the attempts must leave one
// for the larger model.
func (g *Gateway) escalates(t *task, confidence int) bool {
	t.request.trace.confidence = append(t.request.trace.confidence, confidence)
	if t.model == "" || t.answer.begun() || !t.route.Repeatable() || t.runs+1 >= t.route.Attempts {
		return false
	}
	larger, ok := g.Models.Larger(t.route, t.model, confidence)
	if !ok || time.Until(t.deadline) < minEscalation || !g.Models.Doubts(confidence, g.shareOfTarget(t, larger)) {
		return false
	}
	if !g.budgets.of(t.service).Take(time.Now()) {
		return false
	}
	t.model = larger
	t.request.trace.model = larger
	t.tried = nil
	return true
}

// shareOfTarget returns the part of the route's target that will have passed when
// a larger model begins to answer.
func (g *Gateway) shareOfTarget(t *task, model string) float64 {
	engines := g.Tables().Engines
	if engines == nil || t.route.Target <= 0 {
		return 0
	}
	small := t.model
	t.model = model
	r := t.balanceRequest(g.DataCentre, engines, g.Models)
	t.model = small
	r.NoProbe = true
	r.Exclude = [balance.MaxExclude]string{}
	decision, ok := g.ask(engines, r, time.Now())
	if !ok {
		return 1
	}
	begins := t.wholeLatency() + decision.Backlog + decision.ExpectedFirstToken
	return begins.Seconds() / t.route.Target.Seconds()
}
