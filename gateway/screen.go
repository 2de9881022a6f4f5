package gateway

import (
	"context"
	"errors"
	"fmt"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/retry"
)

// checkQuarantine returns the refusal of a request in quarantine, and nil for any other. It
// must be called before each attempt.
func (g *Gateway) checkQuarantine(ctx context.Context, t *task) *failure.Error {
	ok, isRetry := g.Quarantine.Admit(ctx, t.content)
	if !ok {
		return g.quarantineError(t)
	}
	t.quarantineRetry = t.quarantineRetry || isRetry
	return nil
}

// quarantineError counts, logs and returns the refusal of a request in quarantine.
func (g *Gateway) quarantineError(t *task) *failure.Error {
	known := g.Quarantine.Refused(t.content)
	g.Log.Warn().Str("request", t.meta.ID).Stringer("hash", t.content.Request).EmbedObject(&known).Str("ran", string(t.ran)).Msg("request in quarantine refused")
	return failure.New(failure.CodeQuarantined, t.ran, "the request crashes engines").WithRetryAfter(known.RetryAfter())
}

// withQuarantineCause marks the error as caused by the quarantine, if the attempt was
// cancelled because its request was put into quarantine.
func (e *attemptError) withQuarantineCause(sending context.Context) *attemptError {
	if errors.Is(context.Cause(sending), quarantine.ErrQuarantined) {
		e.Kind = retry.KindCancelled
		e.Cause = fmt.Errorf("%w: %w", quarantine.ErrQuarantined, e.Cause)
	}
	return e
}

// quarantined reports whether the attempt ended because its request was put into quarantine.
func (e *attemptError) quarantined() bool { return errors.Is(e.Cause, quarantine.ErrQuarantined) }
