package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
)

// errBrokenOff reports an answer without a length that ended too early.
var errBrokenOff = &attempt.Error{
	Stage: attempt.Answered, Reason: attempt.Network, Cause: errors.New("the connection ended before the answer was complete"),
}

// outlivedTimeout bounds the time to find out whether an engine has outlived its answer. A health
// check waits for a slot.
const outlivedTimeout = 500 * time.Millisecond

// checkEnd returns an error if an answer may have been broken off by the end of its engine. Only an
// answer that ends with its connection can look complete then: it counts as complete if the engine
// that gave it is shown to run still.
func (g *Gateway) checkEnd(ctx context.Context, t *task, to *target, x *attempt.Exchange) *attemptError {
	if !x.UntilClose {
		return nil
	}
	began := time.Now()
	evidence := g.outlived(ctx, t, to)
	g.recordEnd(t, evidence, time.Since(began))
	if evidence == endProbed {
		return nil
	}
	return sendError(errBrokenOff)
}

// endEvidence is what decided whether an answer without a length is complete.
type endEvidence string

const (
	// endProbed: the engine answered a probe.
	endProbed endEvidence = "probe"
	// endOtherInstance: another instance answered at the engine's address.
	endOtherInstance endEvidence = "other_instance"
	// endUnreachable: the probe was not answered because its connection failed.
	endUnreachable endEvidence = "unreachable"
	// endUnknown: nothing was learned in time.
	endUnknown endEvidence = "unknown"
)

// endCheck is the check of the end of an answer without a length.
type endCheck struct {
	evidence endEvidence
	took     time.Duration
}

// recordEnd records the check of the end of an answer.
func (g *Gateway) recordEnd(t *task, evidence endEvidence, took time.Duration) {
	t.request.trace.end = endCheck{evidence, took}
	g.metrics.ends.WithLabelValues(string(evidence)).Inc()
	g.metrics.endTime.Observe(took.Seconds())
}

// outlived finds out whether the engine runs still that a request was sent to. That something accepts
// connections at its address does not show it: engines start again at the same address under another
// id, and that one refuses a request that names the earlier id.
func (g *Gateway) outlived(ctx context.Context, t *task, to *target) endEvidence {
	service, known := t.request.tables.Routes.Service(t.service)
	if !known || service.HealthPath == "" {
		return endUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, outlivedTimeout)
	defer cancel()
	header := make(http.Header)
	g.Codec.Apply(header, Sent{Instance: to.engine.ID, Left: outlivedTimeout})
	x, err := attempt.Send(ctx, g.Transport, attempt.Request{
		Method: http.MethodGet, URL: "http://" + to.engine.Address + service.HealthPath, Host: to.engine.Address, Header: header,
	})
	switch {
	case ctx.Err() != nil:
		return endUnknown
	case err != nil:
		return endUnreachable
	}
	_ = x.Close() // Only the header is needed.
	receipt := g.Codec.Receipt(x.Status, x.Header)
	if receipt.Instance != "" || x.Status == http.StatusMisdirectedRequest {
		return endOtherInstance
	}
	return endProbed
}
