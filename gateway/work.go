package gateway

import (
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// plainWork is the work of a request to a plain service. It is worth about 15 ms
// of one of its slots.
const plainWork = 30

// prefixTokenWorth is how much longer a request may wait for each token of its prefix
// that an engine holds already. It lets a prefix of 5,000 tokens outweigh 0.4 s, a fifth
// of a usual target: reading it takes 0.04 s, and delays all others at that engine. Half
// as much has a quarter to a third more tokens read again; twice as much has fewer still,
// but requests then wait too long for their homes.
const prefixTokenWorth = 80 * time.Microsecond

// countHomes returns how many engines should read the request's prefix.
func (g *Gateway) countHomes(t *task) int {
	if t.prefix == "" {
		return 0
	}
	w := t.work(g.Models)
	seconds := (PromptPart*float64(w.PromptTokens) + float64(w.ExpectedTokens)) / engineRate
	return g.heats.add(t.prefixHash, seconds, g.Daemons(), time.Now())
}

// likelyTokens is the expected length of the answer.
func (t *task) likelyTokens() int {
	if t.meta.LikelyTokens > 0 {
		return t.meta.LikelyTokens
	}
	return t.meta.MaxTokens / 2
}

// work estimates the size of the request, in the tokens of the largest model.
func (t *task) work(models *ModelChoice) balance.Work {
	if !t.ranked {
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
