package router

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/hedge"
)

// maxCopies bounds the copies of one request that run at a time.
const maxCopies = 2

// sent is the result of one copy.
type sent struct {
	number  int
	attempt *attempt
	err     *engine.Error
}

// race sends the request to the chosen engine and, when the hedging policy says
// so, to a second one. A request that is linked to the end of an engine gets no second copy,
// which could crash another engine. The first to begin its answer wins, the other is
// canceled. Both count as attempts.
func (r *Router) race(ctx context.Context, l *launch, first *balance.Decision) (*attempt, *engine.Error) {
	l.count(first.Engine.GetName())
	if !l.mayHedge() || l.retrying || r.Quarantine.Crashes(l.call.hash) > 0 {
		return r.send(ctx, l, first)
	}
	start := time.Now()
	r.Hedges.Request(start)
	delay, measured := r.Hedges.Delay(l.call.kind.GetName())
	var got *attempt
	var err *engine.Error
	if measured {
		got, err = r.raceAfter(ctx, l, first, delay, start)
	} else {
		got, err = r.send(ctx, l, first)
	}
	if err == nil {
		r.Hedges.Answered(hedge.Answered{Kind: l.call.kind.GetName(), Latency: time.Since(start)})
	}
	return got, err
}

// mayHedge tells whether the rules allow a second copy at all.
func (l *launch) mayHedge() bool {
	return l.call.kind.GetHedge() && l.call.idempotent()
}

// raceAfter waits for the first attempt, and after the delay for a second one
// too.
func (r *Router) raceAfter(ctx context.Context, l *launch, first *balance.Decision, delay time.Duration, start time.Time) (*attempt, *engine.Error) {
	results := make(chan sent, maxCopies)
	cancels := []context.CancelFunc{r.sendAside(ctx, l, first, 0, results)}
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
			if second, ok := r.secondEngine(l, delay, start); ok {
				l.count(second.Engine.GetName())
				cancels = append(cancels, r.sendAside(ctx, l, second, len(cancels), results))
				pending++
			}
		}
	}
	return nil, failed
}

// sendAside sends in a goroutine of its own. The function returned cancels it.
func (r *Router) sendAside(ctx context.Context, l *launch, d *balance.Decision, number int, results chan<- sent) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		got, err := r.send(ctx, l, d)
		if err != nil {
			cancel()
		}
		results <- sent{number: number, attempt: got, err: err}
	}()
	return cancel
}

// cancelLosers cancels all copies but the winner, and closes those that begin
// their answer all the same. The winner's context ends with the request's.
func (r *Router) cancelLosers(cancels []context.CancelFunc, winner int, results <-chan sent, pending int) {
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
				r.failed(loser.attempt, &engine.Error{Kind: engine.Canceled})
			}
		}
	}()
}

// combine returns the later of two failures, and remembers of the earlier one
// whether it may have run.
func (l *launch) combine(earlier, later *engine.Error) *engine.Error {
	if earlier != nil {
		l.ran = worstRan(l.ran, earlier.Ran)
	}
	return later
}

// secondEngine decides on a hedge and its engine.
func (r *Router) secondEngine(l *launch, delay time.Duration, start time.Time) (*balance.Decision, bool) {
	second, f := r.chooseEngine(l, true)
	if f != nil {
		return nil, false
	}
	now := time.Now()
	granted, reason := r.Hedges.Next(hedge.Request{
		Kind:         l.call.kind.GetName(),
		Idempotent:   l.call.idempotent(),
		Flagged:      l.call.kind.GetHedge(),
		Delay:        delay,
		Elapsed:      now.Sub(start),
		Left:         l.call.deadline.Sub(now),
		SecondWait:   second.ExpectedWait,
		SecondAnswer: second.ExpectedAnswer,
	}, now)
	r.logHedge(l, &second, granted, reason)
	return &second, granted
}
