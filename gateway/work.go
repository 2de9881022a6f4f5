package gateway

import (
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// plainWork is the work of a request to a plain service, in tokens. It is worth about
// 15 ms of one of its slots.
const plainWork = 30

// prefixTokenWorth is the additional wait accepted per prefix token that an engine has
// cached. A prefix of 5,000 tokens outweighs 0.4 s, a fifth of a usual target: reading it
// takes 0.04 s and delays all other requests at the engine. With half the value a quarter
// to a third more tokens are read again. With twice the value fewer tokens are read again,
// but requests wait too long for the engines that cache their prefix.
const prefixTokenWorth = 80 * time.Microsecond

// countHomes returns the number of engines that should cache the request's prefix.
func (g *Gateway) countHomes(t *task) int {
	if t.prefix == "" {
		return 0
	}
	w := t.work(g.Models)
	seconds := (PromptTokenWork*float64(w.PromptTokens) + float64(w.ExpectedTokens)) / engineRate
	return g.prefixLoads.add(t.prefixHash, seconds, g.Daemons(), time.Now())
}

// likelyTokens returns the expected length of the answer in tokens.
func (t *task) likelyTokens() int {
	if t.meta.LikelyTokens > 0 {
		return t.meta.LikelyTokens
	}
	return t.meta.MaxTokens / 2
}

// work returns the estimated work of the request in tokens of the largest model.
func (t *task) work(models *ModelChoice) balance.Work {
	if !t.runsModels {
		return balance.Work{Priority: bronzeturnv1.Priority_PRIORITY_NORMAL, ExpectedTokens: plainWork}
	}
	expected := t.likelyTokens()
	weight := models.Weight(t.backend, t.model)
	scale := func(tokens int) int64 { return int64(weight * float64(tokens)) }
	return balance.Work{
		Priority:     bronzeturnv1.Priority_PRIORITY_NORMAL,
		PromptTokens: scale(t.meta.PromptTokens), ExpectedTokens: scale(expected), PrefixTokens: scale(t.prefixTokens),
	}
}
