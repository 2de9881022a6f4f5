package router

import (
	"bytes"
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/ledger"
)

// tokensPerPriceUnit is the number of tokens to which the prices in the register apply.
const tokensPerPriceUnit = 1_000_000

// settlement adds up the usage of one request, and records its single bill and the
// outcome of its claim.
type settlement struct {
	router *Router
	call   *call
	claim  claim
	grant  *grant
	// version is the version that answered last. The counts and the cost are sums over
	// all versions that ran.
	version          string
	promptTokens     int64
	completionTokens int64
	costMicros       int64
	billed           bool
	// attempts counts the requests sent to engines.
	attempts int
	// settled is set once the bill of a complete answer is recorded.
	settled bool
	// accepted is set if the answer passed the check of a cascade.
	accepted bool
}

// addUsage adds the tokens and the cost of one version.
func (s *settlement) addUsage(version string, u engine.Usage) {
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

// settle records the bill of a complete answer, then its outcome. If it fails, the end
// of the answer must not be sent. The outcome is recorded second, so that a repeat never
// gets an answer that was not billed.
func (s *settlement) settle(outcome *ledger.Outcome) *failure.Error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if f := s.bill(ctx); f != nil {
		return f
	}
	s.settled = true
	s.router.recordOutcome(ctx, s.call, s.claim, ledger.StateDone, outcome)
	s.router.reportAnswered(s)
	return nil
}

// bill records the bill of the request. It must be called at most once.
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
	s.router.recordBilled(s, durability)
	return nil
}

// addInterrupted adds the usage of an answer that ended early. An answer that the caller
// abandoned is billed for the tokens generated; one that the engine broke off costs
// nothing.
func (s *settlement) addInterrupted(rl *relay, byCaller bool) {
	if s.settled {
		return
	}
	if byCaller {
		s.addUsage(rl.attempt.version, rl.usage())
	}
	s.version = rl.attempt.version
}

// settleFailed records a request that got no complete answer: a bill if a version ran
// for it, and the state of its claim. A settled request keeps its outcome, even if the
// caller did not read the end of its answer.
func (s *settlement) settleFailed(f *failure.Error) {
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
	s.router.recordOutcome(ctx, s.call, s.claim, claimStateAfter(f), nil)
}

// usageOnlyMark occurs in events that carry token counts and no content.
var usageOnlyMark = []byte(`"choices":[]`)

// isUsageOnly reports whether an event carries no content.
func isUsageOnly(data []byte) bool { return bytes.Contains(data, usageOnlyMark) }
