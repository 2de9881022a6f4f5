package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// Store is the part of the object API that a Publisher uses.
type Store interface {
	Get(ctx context.Context, key string) (objectstore.Object, error)
	Create(ctx context.Context, key string, value []byte) (objectstore.Object, error)
	Update(ctx context.Context, key string, value []byte, revision uint64) (objectstore.Object, error)
}

const (
	// callTimeout bounds one call of the object API.
	callTimeout = 2 * time.Second
	// callAttempts bounds the tries of one call.
	callAttempts = 8
	backoffBase  = 50 * time.Millisecond
	backoffMax   = 2 * time.Second
)

// calls wraps a store: each call has a deadline, and what failed without an
// answer is tried again after a pause. Only calls that may be repeated go
// through it.
type calls struct {
	store  Store
	random *rand.Rand
}

// get reads an object. The zero object stands for an absent one.
func (c calls) get(ctx context.Context, key string) (objectstore.Object, error) {
	var obj objectstore.Object
	err := c.repeat(ctx, func(ctx context.Context) error {
		var err error
		obj, err = c.store.Get(ctx, key)
		return err
	})
	if errors.Is(err, objectstore.ErrNotFound) {
		return objectstore.Object{}, nil
	}
	return obj, err
}

// ensure stores a content-addressed object. One that is there already has the
// same content.
func (c calls) ensure(ctx context.Context, key string, value []byte) error {
	err := c.repeat(ctx, func(ctx context.Context) error {
		_, err := c.store.Create(ctx, key, value)
		return err
	})
	if objectstore.IsConflict(err) {
		return nil
	}
	return err
}

// put writes the object once, by Create if revision is zero.
func (c calls) put(ctx context.Context, key string, value []byte, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if revision == 0 {
		_, err = c.store.Create(ctx, key, value)
	} else {
		_, err = c.store.Update(ctx, key, value, revision)
	}
	return err
}

// repeat calls f until it answers, the attempts are used up, or ctx ends.
func (c calls) repeat(ctx context.Context, f func(context.Context) error) error {
	pauses := &backoff.Backoff{Base: backoffBase, Max: backoffMax, Random: c.random}
	for attempt := 1; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := f(callCtx)
		cancel()
		pause, again := retryable(err)
		if !again {
			return err
		}
		if attempt == callAttempts {
			return fmt.Errorf("gave up after %d attempts: %w", attempt, err)
		}
		if backoff.Sleep(ctx, max(pause, pauses.Next())) != nil {
			return err
		}
	}
}

// retryable tells whether a call got no answer, and the pause asked for.
func retryable(err error) (time.Duration, bool) {
	if pause, limited := retryAfter(err); limited {
		return pause, true
	}
	var unavailable *objectstore.UnavailableError
	return 0, errors.As(err, &unavailable)
}

// retryAfter tells whether the call was refused unseen by a rate limit.
func retryAfter(err error) (time.Duration, bool) {
	var limited *objectstore.RateLimitError
	if errors.As(err, &limited) {
		return limited.RetryAfter, true
	}
	return 0, false
}
