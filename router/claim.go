package router

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/ledger"
)

// Ledger settles, for all daemons, who was first.
type Ledger interface {
	Reserve() (*ledger.Reservation, error)
	Claim(ctx context.Context, req ledger.ClaimRequest) (ledger.ClaimResult, error)
	Complete(ctx context.Context, req ledger.CompleteRequest) (ledger.Durability, error)
	Wait(ctx context.Context, organisation, key string) (ledger.ClaimResult, bool, error)
	Pin(ctx context.Context, req ledger.PinRequest) (ledger.PinResult, error)
	Pinned(ctx context.Context, organisation, conversation string) (string, bool, error)
	Bill(ctx context.Context, b ledger.Bill) (ledger.Durability, error)
}

// inProgressRetryAfter is when a caller should ask again for a request that
// still runs.
const inProgressRetryAfter = time.Second

// claim is the right to run a request that names an idempotency key.
type claim struct {
	// held tells that there is a claim; requests without a key need none.
	held bool
	// replayed tells that the caller got the recorded outcome.
	replayed bool
	ticket   ledger.Ticket
}

// claim takes the claim of the request, or answers with the outcome of the one
// that was first. Waiting for that takes no place from other requests.
func (r *Router) claim(ctx context.Context, a *answer, c *call, g *grant) (claim, *failure.Error) {
	if c.idempotencyKey == "" {
		return claim{}, nil
	}
	result, err := r.Ledger.Claim(ctx, ledger.ClaimRequest{
		Organisation: c.organisation.GetName(),
		Key:          c.ledgerKey(),
		BodySHA256:   c.bodySHA256(),
		RequestID:    c.requestID,
		Deadline:     c.deadline,
	})
	if err != nil {
		return claim{}, failure.From(err)
	}
	if result.First {
		return claim{held: true, ticket: result.Ticket}, nil
	}
	g.release()
	return claim{replayed: true}, r.replay(ctx, a, c, result)
}

// ledgerKey separates the keys of chat completions and of each plain service.
func (c *call) ledgerKey() string {
	if c.service != nil {
		return "service/" + c.service.GetName() + "/" + c.idempotencyKey
	}
	return "chat/" + c.idempotencyKey
}

// replay answers a repeated request from the claim that was first.
func (r *Router) replay(ctx context.Context, a *answer, c *call, result ledger.ClaimResult) *failure.Error {
	if result.State == ledger.StateRunning {
		settled, ok, err := r.Ledger.Wait(ctx, c.organisation.GetName(), c.ledgerKey())
		if err != nil {
			return failure.From(err)
		}
		if !ok {
			settled.State = ledger.StateNotRun
		}
		result = settled
	}
	switch result.State {
	case ledger.StateDone:
		return replayOutcome(a, result.Outcome)
	case ledger.StateRunning:
		return failure.New(failure.CodeInProgress, failure.RanUnknown, "the first request with this key still runs").WithRetryAfter(inProgressRetryAfter)
	case ledger.StateNotRun:
		return failure.New(failure.CodeInProgress, failure.RanNo, "the first request with this key did not run; send it again").WithRetryAfter(leavingRetryAfter)
	default:
		return failure.New(failure.CodeOutcomeUnknown, failure.RanUnknown, "the first request with this key may have run; its outcome is not known")
	}
}

// replayOutcome sends a recorded answer.
func replayOutcome(a *answer, o *ledger.Outcome) *failure.Error {
	if o == nil || !o.BodyKept {
		return failure.New(failure.CodeAnswerNotKept, failure.RanYes, "the first request with this key ran; its answer was too long to be kept")
	}
	a.begin(o.Status, o.ContentType, o.Version, len(o.Body))
	if err := a.write(o.Body); err != nil {
		return callerGone(err, failure.RanYes)
	}
	return nil
}

// complete records how a claimed request ended. A failure to record leaves the
// claim to read as unknown after its deadline, which is safe.
func (r *Router) complete(ctx context.Context, c *call, held claim, state ledger.ClaimState, outcome *ledger.Outcome) {
	if !held.held {
		return
	}
	_, err := r.Ledger.Complete(ctx, ledger.CompleteRequest{
		Organisation: c.organisation.GetName(),
		Key:          c.ledgerKey(),
		Ticket:       held.ticket,
		State:        state,
		Outcome:      outcome,
	})
	if err != nil {
		r.Log.Warn().Err(err).Str("request", c.requestID).Msg("claim outcome not recorded")
	}
}

// claimState is the claim's state after a failure.
func claimState(f *failure.Error) ledger.ClaimState {
	if f.Ran == failure.RanNo {
		return ledger.StateNotRun
	}
	return ledger.StateUnknown
}
