package router

import (
	"bytes"
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/ledger"
)

// tokensPerPriceUnit is the number of tokens that prices in the register are
// given for.
const tokensPerPriceUnit = 1_000_000

// settlement collects what a request used and records its one bill and the
// outcome of its claim.
type settlement struct {
	router *Router
	call   *call
	claim  claim
	grant  *grant
	// version answered last; the others are sums over all versions that ran.
	version          string
	promptTokens     int64
	completionTokens int64
	costMicros       int64
	billed           bool
	// attempts counts the requests sent to engines.
	attempts int
	// settled tells that bill and outcome of a whole answer are recorded.
	settled bool
	// accepted tells that the check of a cascade let the answer pass.
	accepted bool
}

// add counts the work of one version.
func (s *settlement) add(version string, u engine.Usage) {
	s.version = version
	s.promptTokens += u.PromptTokens
	s.completionTokens += u.CompletionTokens
	v, _ := s.call.tables.Snapshot.Version(version)
	s.costMicros += priceOf(u.PromptTokens, v.GetPromptPriceMicros()) + priceOf(u.CompletionTokens, v.GetCompletionPriceMicros())
}

// priceOf returns the price of tokens in millionths of the currency, rounded up.
func priceOf(tokens, perMillion int64) int64 {
	return (tokens*perMillion + tokensPerPriceUnit - 1) / tokensPerPriceUnit
}

// settle records the bill of a whole answer, then its outcome. On a failure the
// last byte of the answer must not go out. The outcome comes second, so that a
// repeat never gets an answer that was not billed.
func (s *settlement) settle(outcome *ledger.Outcome) *failure.Error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if f := s.bill(ctx); f != nil {
		return f
	}
	s.settled = true
	s.router.complete(ctx, s.call, s.claim, ledger.StateDone, outcome)
	s.router.answered(s)
	return nil
}

// bill records the one bill of the request.
func (s *settlement) bill(ctx context.Context) *failure.Error {
	s.billed = true
	s.grant.used.Tokens = s.promptTokens + s.completionTokens
	s.grant.used.CostMicros = s.costMicros
	durability, err := s.router.Ledger.Bill(ctx, ledger.Bill{
		Organisation:     s.call.organisation.GetName(),
		RequestID:        s.call.requestID,
		Version:          s.version,
		Kind:             s.call.kind.GetName(),
		PromptTokens:     uint64(s.promptTokens),
		CompletionTokens: uint64(s.completionTokens),
		CostMicros:       uint64(s.costMicros),
		At:               time.Now(),
	})
	if err != nil {
		s.router.metrics.billFailures.Inc()
		return failure.Wrap(err, failure.CodeLedgerUnavailable, failure.RanYes, "the bill could not be recorded")
	}
	s.router.billed(s, durability)
	return nil
}

// interrupted bills an answer that ended early. An answer that the caller gave
// up is billed for what was generated; one that the engine broke costs nothing.
func (s *settlement) interrupted(p *pump, byCaller bool) {
	if s.settled {
		return
	}
	if byCaller {
		s.add(p.attempt.version, p.usage())
	}
	s.version = p.attempt.version
}

// abandon records a request that got no whole answer: a bill if work was done
// for it, and the state of its claim. A settled request keeps its outcome, also
// when the caller did not read the end of its answer.
func (s *settlement) abandon(f *failure.Error) {
	if s.settled {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if s.version != "" && !s.billed {
		if err := s.bill(ctx); err != nil {
			s.router.Log.Error().Err(err).Str("request", s.call.requestID).Msg("bill not recorded")
		}
	}
	s.router.complete(ctx, s.call, s.claim, claimState(f), nil)
}

// usageOnlyMark is part of events that carry token counts and no content.
var usageOnlyMark = []byte(`"choices":[]`)

// isUsageOnly tells whether an event carries no content.
func isUsageOnly(data []byte) bool { return bytes.Contains(data, usageOnlyMark) }
