package router

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/ledger"
)

// Ledger records bills, claims of idempotency keys and pinned conversations for
// all daemons. Of concurrent claims or pins of one key, exactly one is first.
type Ledger interface {
	ReserveBuffer() (*ledger.Reservation, error)
	Claim(ctx context.Context, req ledger.ClaimRequest) (ledger.ClaimResult, error)
	CompleteClaim(ctx context.Context, req ledger.CompleteRequest) (ledger.Durability, error)
	WaitForClaim(ctx context.Context, organisation, key string) (ledger.ClaimResult, bool, error)
	PinVersion(ctx context.Context, req ledger.PinRequest) (ledger.PinResult, error)
	PinnedVersion(ctx context.Context, organisation, conversation string) (string, bool, error)
	Bill(ctx context.Context, b ledger.Bill) (ledger.Durability, error)
}

// inProgressRetryAfter is the Retry-After for repeats of a request that is still
// running.
const inProgressRetryAfter = time.Second

// claim is the right to run a request that names an idempotency key.
type claim struct {
	// held is set if this request holds the claim. Requests without an idempotency
	// key need none.
	held bool
	// replayed is set if another request holds the claim and the caller was
	// answered with its outcome.
	replayed bool
	ticket   ledger.Ticket
}

// claim takes the claim of the request's idempotency key. If another request holds
// it, claim answers with that request's outcome, and releases the grant first so
// that the wait does not use capacity.
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

// ledgerKey returns the idempotency key, prefixed to separate the keys of chat
// completions and of each plain service.
func (c *call) ledgerKey() string {
	if c.service != nil {
		return "service/" + c.service.GetName() + "/" + c.idempotencyKey
	}
	return "chat/" + c.idempotencyKey
}

// replay answers a repeated request with the outcome of the first one.
func (r *Router) replay(ctx context.Context, a *answer, c *call, result ledger.ClaimResult) *failure.Error {
	if result.State == ledger.StateRunning {
		settled, ok, err := r.Ledger.WaitForClaim(ctx, c.organisation.GetName(), c.ledgerKey())
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
		return callerWriteFailure(err, failure.RanYes)
	}
	return nil
}

// recordOutcome records how a claimed request ended. If that fails, the claim reads
// as unknown after its deadline, which is safe.
func (r *Router) recordOutcome(ctx context.Context, c *call, held claim, state ledger.ClaimState, outcome *ledger.Outcome) {
	if !held.held {
		return
	}
	_, err := r.Ledger.CompleteClaim(ctx, ledger.CompleteRequest{
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

// claimStateAfter returns the state of a claim whose request ended with a failure.
func claimStateAfter(f *failure.Error) ledger.ClaimState {
	if f.Ran == failure.RanNo {
		return ledger.StateNotRun
	}
	return ledger.StateUnknown
}
