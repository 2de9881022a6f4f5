package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/retry"
	"github.com/bronzeturn/bronzeturn/route"
)

// errDeadline is why a request ends at its deadline.
var errDeadline = errors.New("the deadline has passed")

const (
	// maxSends bounds the sends of one request, those included that an engine
	// refused unseen or that never left this daemon.
	maxSends = 6
	// minAttempt is the least time worth an attempt.
	minAttempt = 10 * time.Millisecond
	// busyRetry is the advice when no engine takes a request now.
	busyRetry = 400 * time.Millisecond
)

// task is a request on its way through engines.
type task struct {
	*request
	answer *answer
	// model is the size it runs on, "" when the caller named one, and sized what its
	// choice goes by.
	model string
	sized *sizedRequest
	// doubted is the confidence of the answer that the model is to replace, or
	// noConfidence.
	doubted int
	// group of engines, and whether it is the version being introduced.
	group string
	trial bool
	tried []string
	// prefixHomes is how many engines read the request's prefix.
	prefixHomes int
	// runs counts the sends after which the request may have run.
	runs int
	// ran is the worst that is known of all attempts.
	ran failure.Ran
	// last is an engine's answer that tells of a failure, passed on when no
	// better one comes.
	last *wholeAnswer
	// stream is the state of a stream that has begun.
	stream streamState
	// prepaid tells that the next send was taken from the budget already.
	prepaid atomic.Bool
	// retrying tells that the next send of a request in quarantine is allowed.
	retrying bool
}

// target is the engine chosen for one attempt.
type target struct {
	engine inventory.Engine
	work   balance.Work
	// expected is the time to the first token.
	expected time.Duration
	sent     time.Time
	// firstSeen tells whether the first token was reported.
	firstSeen bool
}

// attemptError tells why an attempt gave no answer that can be passed on.
type attemptError struct {
	Kind  retry.Kind
	Ran   failure.Ran
	Cause error
	// comeBack is the engine's advice.
	comeBack time.Duration
}

// Error implements error.
func (e *attemptError) Error() string { return "attempt: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.Cause }

// run sends the request to engines until one answers it whole.
func (g *Gateway) run(ctx context.Context, q *request, a *answer) *failure.Error {
	g.budgets.of(q.service).Request(time.Now())
	t := &task{request: q, answer: a, ran: failure.RanNo, doubted: noConfidence}
	t.stream.lastID = q.meta.LastEvent
	if f := g.refuseStopped(ctx, t); f != nil {
		return f
	}
	g.chooseModel(t)
	t.prefixHomes = g.countHomes(t)
	for {
		if f := g.screen(ctx, t); f != nil {
			return g.settle(t, f)
		}
		to, f := g.choose(ctx, t)
		if f != nil {
			return g.settle(t, f)
		}
		err := g.try(ctx, t, to)
		if err == nil {
			g.noteVersion(t)
			return nil
		}
		if f := g.again(ctx, t, to, err); f != nil {
			return g.settle(t, f)
		}
	}
}

// settle passes on an engine's own answer rather than a failure of ours.
func (g *Gateway) settle(t *task, f *failure.Error) *failure.Error {
	if t.runs > 0 {
		g.noteVersion(t)
	}
	if t.last == nil || t.answer.begun() {
		return f
	}
	return t.last.deliver(t.answer)
}

// ended tells why no further attempt makes sense, nil while one does.
func (g *Gateway) ended(ctx context.Context, t *task) *failure.Error {
	switch {
	case ctx.Err() == nil && time.Until(t.deadline) > minAttempt:
		return nil
	case ctx.Err() == nil || errors.Is(context.Cause(ctx), errDeadline):
		return failure.New(failure.CodeDeadlinePassed, t.ran, "the deadline passed before an answer came")
	default:
		return failure.New(failure.CodeCanceled, t.ran, "the caller went away")
	}
}

// deliver checks the head of an answer and passes the answer on.
func (g *Gateway) deliver(t *task, to *target, x *attempt.Exchange) *attemptError {
	receipt := g.Codec.Receipt(x.Status, x.Header)
	if receipt.Genuine {
		g.denials.kept(t.placeOf(to))
	}
	switch {
	case receipt.Instance != "" && receipt.Instance != to.engine.ID:
		g.misdirected(t, to)
		return &attemptError{Kind: retry.KindMisdirected, Ran: failure.RanNo, Cause: errOtherInstance}
	case receipt.NotRun:
		return &attemptError{Kind: retry.KindRefused, Ran: failure.RanNo, Cause: errEngineRefused}
	case receipt.RequestID != t.meta.ID:
		return &attemptError{Kind: retry.KindBroken, Ran: failure.RanUnknown, Cause: errForeignAnswer}
	case !receipt.Genuine:
		return &attemptError{Kind: retry.KindBroken, Ran: failure.RanUnknown, Cause: errUnsignedAnswer}
	case x.Status < http.StatusOK || x.Status >= http.StatusMultipleChoices:
		return g.deliverFailure(t, to, x)
	case g.escalates(t, to, receipt.Confidence):
		return &attemptError{Kind: retry.KindDoubted, Ran: failure.RanYes, Cause: errDoubted}
	case t.route.Kind == route.Stream:
		return g.deliverStream(t, to, x)
	default:
		return g.deliverWhole(t, to, x)
	}
}

// misdirected takes in that another engine answered than the one that was meant.
func (g *Gateway) misdirected(t *task, to *target) {
	g.Misdirected(to.engine.Key())
	p := t.placeOf(to)
	if g.denials.denied(p, time.Now()) {
		g.Log.Info().Str("request", t.meta.ID).Str("service", p.service).Str("data_centre", p.dataCentre).
			Dur("tables_age_ms", time.Since(g.Tables().Changed)).Msg("the list of engines is doubted")
	}
}

// placeOf returns where a target is.
func (t *task) placeOf(to *target) place { return place{t.service, to.engine.DataCentre} }

// Reasons why an answer is not passed on.
var (
	errOtherInstance  = errors.New("another engine answers at this address")
	errEngineRefused  = errors.New("the engine refused the request unseen")
	errForeignAnswer  = errors.New("the answer belongs to another request")
	errUnsignedAnswer = errors.New("the answer bears no mark of the engine")
	errDoubted        = errors.New("the model doubts its answer")
	errEngineFailure  = errors.New("the engine answered with a failure")
)
