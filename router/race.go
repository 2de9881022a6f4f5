package router

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/hedge"
)

// maxCopies bounds the number of concurrent copies of one request.
const maxCopies = 2

// sendResult is the result of one copy.
type sendResult struct {
	number  int
	attempt *attempt
	err     *engine.Error
}

// sendHedged sends the request to the chosen engine and, if the hedging policy allows
// it, to a second one. A request that was in progress at an engine when the engine ended
// gets no second copy, which could crash another engine. The first copy to begin its
// answer wins; the other is canceled. Both count as attempts.
func (r *Router) sendHedged(ctx context.Context, l *launch, first *balance.Decision) (*attempt, *engine.Error) {
	l.markTried(first.Engine.GetName())
	if !l.mayHedge() || l.quarantineRetry || r.Quarantine.Suspicion(l.call.content).Crashes > 0 {
		return r.sendOnce(ctx, l, first)
	}
	start := time.Now()
	r.Hedges.Request(start)
	delay, measured := r.Hedges.Delay(l.call.kind.GetName())
	var got *attempt
	var err *engine.Error
	if measured {
		got, err = r.sendWithHedge(ctx, l, first, delay, start)
	} else {
		got, err = r.sendOnce(ctx, l, first)
	}
	if err == nil {
		r.Hedges.Answered(hedge.Answered{Kind: l.call.kind.GetName(), Latency: time.Since(start)})
	}
	return got, err
}

// mayHedge reports whether the rules allow hedging for this request.
func (l *launch) mayHedge() bool {
	return l.call.kind.GetHedge() && l.call.idempotent()
}

// sendWithHedge sends the first copy, and a second one if the first has not begun its
// answer after the delay. It returns the first copy that begins its answer.
func (r *Router) sendWithHedge(ctx context.Context, l *launch, first *balance.Decision, delay time.Duration, start time.Time) (*attempt, *engine.Error) {
	results := make(chan sendResult, maxCopies)
	cancels := []context.CancelFunc{r.sendAsync(ctx, l, first, 0, results)}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var failed *engine.Error
	for pending := 1; pending > 0; {
		select {
		case result := <-results:
			pending--
			if result.err == nil {
				r.cancelLosers(cancels, result.number, results, pending)
				return result.attempt, nil
			}
			failed = l.combine(failed, result.err)
		case <-timer.C:
			if second, ok := r.hedgeEngine(l, delay, start); ok {
				l.markTried(second.Engine.GetName())
				cancels = append(cancels, r.sendAsync(ctx, l, second, len(cancels), results))
				pending++
			}
		}
	}
	return nil, failed
}

// sendAsync sends a copy in its own goroutine. The returned function cancels it.
func (r *Router) sendAsync(ctx context.Context, l *launch, d *balance.Decision, number int, results chan<- sendResult) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		got, err := r.sendOnce(ctx, l, d)
		if err != nil {
			cancel()
		}
		results <- sendResult{number: number, attempt: got, err: err}
	}()
	return cancel
}

// cancelLosers cancels all copies but the winner, and closes those that begin their
// answer nevertheless. The winner's context ends with that of the request.
func (r *Router) cancelLosers(cancels []context.CancelFunc, winner int, results <-chan sendResult, pending int) {
	for number, cancel := range cancels {
		if number != winner {
			cancel()
		}
	}
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			if loser := <-results; loser.err == nil {
				loser.attempt.close()
				r.reportFailed(loser.attempt, &engine.Error{Kind: engine.KindCanceled})
			}
		}
	}()
}

// combine returns the later of two errors. It records in l.ran whether the earlier
// attempt ran.
func (l *launch) combine(earlier, later *engine.Error) *engine.Error {
	if earlier != nil {
		l.ran = worstRan(l.ran, earlier.Ran)
	}
	return later
}

// hedgeEngine decides whether to hedge and chooses the engine for the second copy.
func (r *Router) hedgeEngine(l *launch, delay time.Duration, start time.Time) (*balance.Decision, bool) {
	second, f := r.chooseEngine(l, true)
	if f != nil {
		return nil, false
	}
	now := time.Now()
	granted, reason := r.Hedges.Next(hedge.Request{
		Kind:           l.call.kind.GetName(),
		Idempotent:     l.call.idempotent(),
		HedgingEnabled: l.call.kind.GetHedge(),
		Delay:          delay,
		Elapsed:        now.Sub(start),
		Left:           l.call.deadline.Sub(now),
		SecondWait:     second.ExpectedWait,
		SecondAnswer:   second.ExpectedAnswer,
	}, now)
	r.logHedge(l, &second, granted, reason)
	return &second, granted
}
