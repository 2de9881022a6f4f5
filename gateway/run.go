package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/backpressure"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/liveness"
	"github.com/bronzeturn/bronzeturn/retry"
	"github.com/bronzeturn/bronzeturn/route"
)

// errDeadline is the cancellation cause of a request that reached its deadline.
var errDeadline = errors.New("the deadline has passed")

const (
	// maxSends bounds the attempts of one request at one model, including those that an
	// engine refused without running or that never left this daemon.
	maxSends = 6
	// minAttempt is the minimum time to the deadline for another attempt.
	minAttempt = 10 * time.Millisecond
	// busyRetryAfter is the upper bound of the Retry-After sent when no engine accepts the
	// request.
	busyRetryAfter = 400 * time.Millisecond
)

// task is the state of a request across its attempts.
type task struct {
	*request
	answer *answer
	// model is the model picked by the daemon, and sized the input of that choice. They are
	// "" and nil if the daemon does not pick the model.
	model string
	sized *sizedRequest
	// replacedConfidence is the confidence of the answer that the model is to replace, or
	// noConfidence.
	replacedConfidence int
	// group is the group of engines to choose from, trial whether it serves the version
	// being introduced.
	group string
	trial bool
	// tried holds the keys of the engines tried so far.
	tried []string
	// prefixHomes is the number of engines that should cache the request's prefix.
	prefixHomes int
	// runs counts the attempts after which the request may have run.
	runs int
	// ranVersion is the version of the engine of the last such attempt.
	ranVersion string
	// ran tells whether the request may have run in any attempt so far.
	ran failure.Ran
	// failedAt holds the keys of the tried engines that did not merely refuse the request.
	failedAt []string
	// queuedSince is when the request first waited for its turn since it may last have run.
	queuedSince time.Time
	// spare is the ticket for the next attempt, if the last one was abandoned.
	spare spareTicket
	// blamed is the version against which a failure of the request was counted last, nil before
	// the first failure.
	blamed *atomic.Pointer[string]
	// lastError is the reason why the last attempt failed.
	lastError *attemptError
	// failedAnswer is the last error answer of an engine. It is passed on if no attempt
	// succeeds.
	failedAnswer *bufferedAnswer
	// stream is the progress of a streamed answer.
	stream streamState
	// budgetTaken is set if the next attempt has already been taken from the budget.
	budgetTaken atomic.Bool
	// quarantineRetry is set if the next attempt of a request in quarantine is allowed.
	quarantineRetry bool
}

// target is the engine chosen for one attempt.
type target struct {
	engine inventory.Engine
	work   balance.Work
	// expected is the time to the first token.
	expected time.Duration
	sent     time.Time
	// retryAfter is the time for which the engine asked for no requests, zero if it did not ask.
	retryAfter time.Duration
	// firstSeen is set once the first token has been reported to the balancer.
	firstSeen bool
	// leaving is set if the engine stated that it leaves.
	leaving bool
	// untilClose is set if the body of its answer ends with the connection.
	untilClose bool
	// reading is the answer of the engine, nil until it has begun.
	reading *liveness.Answer
	// released is set once the engine has ended its work and the balancer knows.
	released bool
	ticket   *attemptTicket
}

// attemptError is the reason why an attempt gave no answer that can be passed on.
type attemptError struct {
	Kind  retry.Kind
	Ran   failure.Ran
	Cause error
}

// Error implements error.
func (e *attemptError) Error() string { return "attempt: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.Cause }

// run sends the request to engines until one answers it completely or no further attempt
// is allowed.
func (g *Gateway) run(ctx context.Context, q *request, a *answer) *failure.Error {
	g.budgets.forService(q.service).Request(time.Now())
	t := &task{request: q, answer: a, ran: failure.RanNo, replacedConfidence: noConfidence}
	defer t.spare.close()
	t.stream.lastID = q.meta.LastEvent
	if f := g.refuseStoppedVersion(ctx, t); f != nil {
		return f
	}
	if t.meta.Session != "" {
		g.Introductions.Began(t.service, t.session)
		defer g.Introductions.Ended(t.service, t.session)
	}
	g.chooseModel(t)
	t.prefixHomes = g.countHomes(t)
	for {
		if f := g.checkQuarantine(ctx, t); f != nil {
			return g.finalFailure(t, f)
		}
		to, err, f := g.attemptOnce(ctx, t)
		if f != nil {
			return g.finalFailure(t, f)
		}
		if err == nil {
			g.recordVersion(t)
			return nil
		}
		if f := g.checkRetry(ctx, t, to, err); f != nil {
			return g.finalFailure(t, f)
		}
	}
}

// finalFailure ends a request without a successful attempt. If an engine gave an error
// answer, it passes that on instead of the daemon's own failure.
func (g *Gateway) finalFailure(t *task, f *failure.Error) *failure.Error {
	if t.runs > 0 {
		g.recordVersion(t)
	}
	if t.failedAnswer == nil || t.answer.begun() {
		return f
	}
	return t.failedAnswer.deliver(t.answer)
}

// checkTimeLeft returns a failure if the request was cancelled or there is no time for
// another attempt.
func (g *Gateway) checkTimeLeft(ctx context.Context, t *task) *failure.Error {
	switch {
	case ctx.Err() == nil && time.Until(t.deadline) > minAttempt:
		return nil
	case ctx.Err() == nil || errors.Is(context.Cause(ctx), errDeadline):
		return failure.New(failure.CodeDeadlinePassed, t.ran, "the deadline passed before an answer came")
	case errors.Is(context.Cause(ctx), ErrStopping):
		return stoppingFailure(t.ran)
	default:
		return failure.New(failure.CodeCanceled, t.ran, "the caller went away")
	}
}

// deliver checks the headers of an answer and passes the answer on to the caller.
func (g *Gateway) deliver(ctx context.Context, t *task, to *target, x *attempt.Exchange) *attemptError {
	receipt := g.Codec.Receipt(x.Status, x.Header)
	if receipt.Genuine {
		g.mismatches.recordMatch(t.locationOf(to))
	}
	g.observe(t, to, receipt)
	if receipt.Genuine && receipt.RequestID == t.meta.ID {
		to.reading = g.liveness.Open(to.engine, !x.UntilClose)
	}
	switch {
	case receipt.Instance != "" && receipt.Instance != to.engine.ID:
		g.reportMisdirected(t, to)
		return &attemptError{Kind: retry.KindMisdirected, Ran: failure.RanNo, Cause: errOtherInstance}
	case receipt.NotRun:
		return &attemptError{Kind: retry.KindRefused, Ran: failure.RanNo, Cause: errEngineRefused}
	case receipt.RequestID != t.meta.ID:
		return &attemptError{Kind: retry.KindBroken, Ran: failure.RanUnknown, Cause: errForeignAnswer}
	case !receipt.Genuine:
		return &attemptError{Kind: retry.KindBroken, Ran: failure.RanUnknown, Cause: errUnsignedAnswer}
	case x.Status < http.StatusOK || x.Status >= http.StatusMultipleChoices:
		return g.deliverFailure(t, to, x)
	case g.tryEscalate(t, to, receipt.Confidence):
		return &attemptError{Kind: retry.KindDoubted, Ran: failure.RanYes, Cause: errDoubted}
	case t.route.Kind == route.Stream:
		return g.deliverStream(ctx, t, to, x)
	default:
		return g.deliverBuffered(ctx, t, to, x)
	}
}

// observe records what an answer says about further requests to the engine. Answers of other
// engines and to other requests are ignored.
func (g *Gateway) observe(t *task, to *target, r Receipt) {
	own := r.Instance == "" || r.Instance == to.engine.ID
	complete := r.Genuine && r.RequestID == t.meta.ID && !r.NotRun
	if !own || !complete && !r.NotRun {
		return
	}
	g.Limits.Observe(backpressure.Answer{
		Engine: to.engine.Key(), Limit: r.Limit, Tolerated: r.Tolerated, Refused: r.NotRun, Sent: to.sent, At: time.Now(),
	})
	to.retryAfter = r.RetryAfter
	to.leaving = r.Leaving
	if r.Leaving {
		g.metrics.leaving.Inc()
		g.Leaving(to.engine.Key())
	}
}

// reportMisdirected records that the answer came from another instance than the target.
func (g *Gateway) reportMisdirected(t *task, to *target) {
	g.Misdirected(to.engine.Key())
	p := t.locationOf(to)
	if g.mismatches.recordMismatch(p, time.Now()) {
		g.Log.Info().Str("request", t.meta.ID).Str("service", p.service).Str("data_centre", p.dataCentre).
			Dur("tables_age_ms", time.Since(g.Tables().Changed)).Msg("the list of engines is doubted")
	}
}

// locationOf returns the service and data centre of a target.
func (t *task) locationOf(to *target) location { return location{t.service, to.engine.DataCentre} }

// Reasons for not passing on an answer.
var (
	errOtherInstance  = errors.New("another engine answers at this address")
	errEngineRefused  = errors.New("the engine refused the request without running it")
	errForeignAnswer  = errors.New("the answer belongs to another request")
	errUnsignedAnswer = errors.New("the answer lacks the header that identifies an engine")
	errDoubted        = errors.New("the confidence of the answer is low; a larger model is asked")
	errEngineFailure  = errors.New("the engine answered with an error status")
)
