package gateway

import (
	"context"
	"errors"
	"fmt"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/retry"
)

// screen refuses a request that crashes engines, nil for any other. It has to be asked
// before each send.
func (g *Gateway) screen(ctx context.Context, t *task) *failure.Error {
	ok, isRetry := g.Quarantine.Admit(ctx, t.hash)
	if !ok {
		return g.quarantined(t)
	}
	t.retrying = t.retrying || isRetry
	return nil
}

// quarantined returns the refusal of a request that crashes engines.
func (g *Gateway) quarantined(t *task) *failure.Error {
	known := g.Quarantine.Refused(t.hash)
	g.Log.Warn().Str("request", t.meta.ID).Stringer("hash", t.hash).EmbedObject(&known).Str("ran", string(t.ran)).Msg("request in quarantine refused")
	return failure.New(failure.CodeQuarantined, t.ran, "the request crashes engines").WithRetryAfter(known.RetryAfter())
}

// under notes that the attempt ended because its request came to be held.
func (e *attemptError) under(sending context.Context) *attemptError {
	if errors.Is(context.Cause(sending), quarantine.ErrQuarantined) {
		e.Kind = retry.KindCancelled
		e.Cause = fmt.Errorf("%w: %w", quarantine.ErrQuarantined, e.Cause)
	}
	return e
}

// stopped tells whether an attempt ended because its request came to be held.
func (e *attemptError) stopped() bool { return errors.Is(e.Cause, quarantine.ErrQuarantined) }
