package gateway

import (
	"context"
	"errors"

	"github.com/bronzeturn/bronzeturn/attempt"
)

// errBrokenOff reports an answer without a length that ended too early.
var errBrokenOff = &attempt.Error{
	Stage: attempt.Answered, Reason: attempt.Network, Cause: errors.New("the connection ended before the answer was complete"),
}

// checkEnd returns an error if an answer was broken off by the end of its engine. Only an answer
// that ends with its connection can look complete then. certain is false if that is unknown.
func (g *Gateway) checkEnd(ctx context.Context, to *target, x *attempt.Exchange) (certain bool, failed *attemptError) {
	if !x.UntilClose {
		return true, nil
	}
	alive, known := g.Quarantine.Alive(ctx, to.engine)
	if known && !alive {
		return true, sendError(errBrokenOff)
	}
	return known, nil
}
