package config

import (
	"context"
	"fmt"

	"github.com/bronzeturn/bronzeturn/backoff"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// headWrite is the write of one head and what is known of its fate.
type headWrite struct {
	calls calls
	// base is the head that the write replaces, nil for the first one.
	base     *bronzeturnv1.Head
	revision uint64
	head     *bronzeturnv1.Head
	value    []byte
	result   Result
	// maybe is set when a try got no answer and may have taken effect.
	maybe bool
}

// publish writes the head and settles its fate.
func (p *Publisher) publish(ctx context.Context, cur Stored, head *bronzeturnv1.Head, fresh []Part) (Result, error) {
	value, err := EncodeHead(head)
	if err != nil {
		return Result{}, err
	}
	w := &headWrite{calls: p.calls, base: cur.Head, revision: cur.Revision, head: head, value: value}
	w.result = Result{
		Generation: head.GetGeneration(), Base: cur.Head.GetGeneration(),
		Unchanged: len(fresh) == 0 && len(head.GetParts()) == len(cur.Parts),
		NewParts:  len(fresh), Parts: len(head.GetParts()), HeadBytes: len(value),
	}
	for _, part := range fresh {
		w.result.NewBytes += len(part.Value)
	}
	return w.run(ctx)
}

// run repeats the write until its fate is known. Repeating is safe: all tries
// carry the same condition, so at most one takes effect.
func (w *headWrite) run(ctx context.Context) (Result, error) {
	pauses := &backoff.Backoff{Base: backoffBase, Max: backoffMax, Random: w.calls.random}
	var cause error
	for range callAttempts {
		cause = w.calls.put(ctx, HeadKey, w.value, w.revision)
		if cause == nil {
			return w.result, nil
		}
		pause, again := retryable(cause)
		if objectstore.IsConflict(cause) || again {
			if result, settled, err := w.settle(ctx, cause); settled {
				return result, err
			}
		} else if !w.maybe {
			return Result{}, fmt.Errorf("write head: %w", cause)
		}
		if backoff.Sleep(ctx, max(pause, pauses.Next())) != nil {
			break
		}
	}
	if w.maybe {
		return Result{}, &OutcomeError{Generation: w.head.GetGeneration(), Cause: cause}
	}
	return Result{}, fmt.Errorf("write head: %w", cause)
}

// settle reads the head back after a try without success. It is not settled
// while the replaced head, or by a lagging read an older one, is found.
func (w *headWrite) settle(ctx context.Context, cause error) (result Result, settled bool, err error) {
	lost := objectstore.IsConflict(cause)
	if _, limited := retryAfter(cause); !lost && !limited {
		w.maybe = true
	}
	obj, err := w.calls.get(ctx, HeadKey)
	switch {
	case err == nil && obj.Revision > w.revision:
		result, err := w.judge(obj)
		return result, true, err
	case lost && !w.maybe:
		return Result{}, true, conflict(w.result.Base, w.base)
	default:
		return Result{}, false, nil
	}
}

// judge tells from a newer head whether ours was written.
func (w *headWrite) judge(found objectstore.Object) (Result, error) {
	head, err := DecodeHead(found.Value)
	if err != nil {
		return Result{}, &OutcomeError{Generation: w.head.GetGeneration(), Cause: err}
	}
	if wrote(head, w.head.GetNonce()) {
		result := w.result
		result.Superseded = head.GetGeneration() > w.head.GetGeneration()
		return result, nil
	}
	lost := conflict(w.result.Base, head)
	if w.maybe && head.GetGeneration() > w.head.GetGeneration()+maxPreviousNonces {
		return Result{}, &OutcomeError{Generation: w.head.GetGeneration(), Cause: lost}
	}
	return Result{}, lost
}
