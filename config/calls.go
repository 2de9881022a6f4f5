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
	// callTimeout bounds one attempt of a call to the object API.
	callTimeout = 2 * time.Second
	// callAttempts bounds the attempts of one call.
	callAttempts = 8
	backoffBase  = 50 * time.Millisecond
	backoffMax   = 2 * time.Second
)

// retryingStore wraps a store. Each attempt of a call has a timeout, and calls
// that got no answer or were rate limited are retried after a backoff. put alone
// makes a single attempt, as its callers have to handle a lost answer.
type retryingStore struct {
	store  Store
	random *rand.Rand
}

// get reads an object. It returns the zero object if there is none.
func (s retryingStore) get(ctx context.Context, key string) (objectstore.Object, error) {
	var obj objectstore.Object
	err := s.retry(ctx, func(ctx context.Context) error {
		var err error
		obj, err = s.store.Get(ctx, key)
		return err
	})
	if errors.Is(err, objectstore.ErrNotFound) {
		return objectstore.Object{}, nil
	}
	return obj, err
}

// ensure stores a content-addressed object. A conflict is no error: an existing
// object under the same key has the same content.
func (s retryingStore) ensure(ctx context.Context, key string, value []byte) error {
	err := s.retry(ctx, func(ctx context.Context) error {
		_, err := s.store.Create(ctx, key, value)
		return err
	})
	if objectstore.IsConflict(err) {
		return nil
	}
	return err
}

// put makes one attempt to write the object, with Create if revision is zero.
func (s retryingStore) put(ctx context.Context, key string, value []byte, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if revision == 0 {
		_, err = s.store.Create(ctx, key, value)
	} else {
		_, err = s.store.Update(ctx, key, value, revision)
	}
	return err
}

// retry calls f until it returns no retryable error, the attempts are used up, or
// ctx ends.
func (s retryingStore) retry(ctx context.Context, f func(context.Context) error) error {
	pauses := &backoff.Backoff{Base: backoffBase, Max: backoffMax, Random: s.random}
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

// retryable reports whether a call got no answer or was rate limited, and the
// delay that the rate limit asked for.
func retryable(err error) (time.Duration, bool) {
	if pause, limited := retryAfter(err); limited {
		return pause, true
	}
	var unavailable *objectstore.UnavailableError
	return 0, errors.As(err, &unavailable)
}

// retryAfter reports whether a rate limit refused the call, which then had no
// effect, and the delay that it asked for.
func retryAfter(err error) (time.Duration, bool) {
	var limited *objectstore.RateLimitError
	if errors.As(err, &limited) {
		return limited.RetryAfter, true
	}
	return 0, false
}
