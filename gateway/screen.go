package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/retry"
)

// quarantineRetry is the advice to a caller whose request crashes engines: nothing is won
// by coming back soon. uncertainRetry is that while something else may be to blame, which
// one retry is about to tell.
const (
	quarantineRetry = 10 * time.Minute
	uncertainRetry  = 2 * time.Second
)

// screen refuses a request that crashes engines, nil for any other. It has to be asked
// before each send.
func (g *Gateway) screen(ctx context.Context, t *task) *failure.Error {
	g.Quarantine.Settle(ctx, t.hash)
	if !g.Quarantine.Held(t.hash) {
		return nil
	}
	if g.Quarantine.Retry(ctx, t.hash, time.Now()) {
		t.retrying = true
		return nil
	}
	return g.quarantined(t)
}

// quarantined returns the refusal of a request that crashes engines.
func (g *Gateway) quarantined(t *task) *failure.Error {
	known := g.Quarantine.Refused(t.hash)
	now := time.Now()
	g.Log.Warn().Str("request", t.meta.ID).Stringer("hash", t.hash).Strs("crashed", known.Engines).Bool("tied", known.Tied).
		Dur("first_age_ms", now.Sub(known.First)).Dur("last_age_ms", now.Sub(known.Last)).Str("told_by", known.Daemon).
		Str("ran", string(t.ran)).Msg("request in quarantine refused")
	advice := quarantineRetry
	if known.Tied {
		advice = uncertainRetry
	}
	return failure.New(failure.CodeQuarantined, t.ran, "the request crashes engines").After(advice)
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
