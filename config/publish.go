package config

import (
	"context"
	"fmt"

	"github.com/bronzeturn/bronzeturn/backoff"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// headWrite is the conditional write of a head, with what is known of its outcome.
type headWrite struct {
	store retryingStore
	// base is the head that the write replaces, nil for the first one.
	base     *bronzeturnv1.Head
	revision uint64
	head     *bronzeturnv1.Head
	value    []byte
	result   Result
	// uncertain is set when an attempt got no answer and may have taken effect.
	uncertain bool
}

// publish writes the head and determines the outcome of the write.
func (p *Publisher) publish(ctx context.Context, cur StoredConfig, head *bronzeturnv1.Head, fresh []Part) (Result, error) {
	value, err := EncodeHead(head)
	if err != nil {
		return Result{}, err
	}
	w := &headWrite{store: p.store, base: cur.Head, revision: cur.Revision, head: head, value: value}
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

// run retries the write until its outcome is known. Retrying is safe: all attempts
// have the same condition, so at most one takes effect.
func (w *headWrite) run(ctx context.Context) (Result, error) {
	pauses := &backoff.Backoff{Base: backoffBase, Max: backoffMax, Random: w.store.random}
	var cause error
	for range callAttempts {
		cause = w.store.put(ctx, HeadKey, w.value, w.revision)
		if cause == nil {
			return w.result, nil
		}
		pause, again := retryable(cause)
		if objectstore.IsConflict(cause) || again {
			if result, resolved, err := w.resolve(ctx, cause); resolved {
				return result, err
			}
		} else if !w.uncertain {
			return Result{}, fmt.Errorf("write head: %w", cause)
		}
		if backoff.Sleep(ctx, max(pause, pauses.Next())) != nil {
			break
		}
	}
	if w.uncertain {
		return Result{}, &OutcomeError{Generation: w.head.GetGeneration(), Cause: cause}
	}
	return Result{}, fmt.Errorf("write head: %w", cause)
}

// resolve reads the head back after a conflict, a rate limit or a lost answer. The
// outcome stays open while the read returns the head to be replaced or, being stale,
// an older one.
func (w *headWrite) resolve(ctx context.Context, cause error) (result Result, resolved bool, err error) {
	lost := objectstore.IsConflict(cause)
	if _, limited := retryAfter(cause); !lost && !limited {
		w.uncertain = true
	}
	obj, err := w.store.get(ctx, HeadKey)
	switch {
	case err == nil && obj.Revision > w.revision:
		result, err := w.outcomeFrom(obj)
		return result, true, err
	case lost && !w.uncertain:
		return Result{}, true, newConflictError(w.result.Base, w.base)
	default:
		return Result{}, false, nil
	}
}

// outcomeFrom determines from a newer head whether ours was written.
func (w *headWrite) outcomeFrom(found objectstore.Object) (Result, error) {
	head, err := DecodeHead(found.Value)
	if err != nil {
		return Result{}, &OutcomeError{Generation: w.head.GetGeneration(), Cause: err}
	}
	if writtenBy(head, w.head.GetNonce()) {
		result := w.result
		result.Superseded = head.GetGeneration() > w.head.GetGeneration()
		return result, nil
	}
	lost := newConflictError(w.result.Base, head)
	if w.uncertain && head.GetGeneration() > w.head.GetGeneration()+maxPreviousNonces {
		return Result{}, &OutcomeError{Generation: w.head.GetGeneration(), Cause: lost}
	}
	return Result{}, lost
}
