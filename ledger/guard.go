package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/objectstore"
)

// Circuit breaker for the object store; each daemon has one.
const (
	breakerFailures = 4
	breakerMin      = 250 * time.Millisecond
	breakerMax      = 5 * time.Second
)

// errBreakerOpen reports that a call was not made because earlier calls failed.
var errBreakerOpen = errors.New("store failed lately, call not made")

// guardedStore adds a timeout to each call and a circuit breaker to a store:
// after several consecutive failures it lets through only one probe at a time,
// each after a random delay, until the store answers again.
type guardedStore struct {
	store   Store
	timeout time.Duration
	jitter  func(time.Duration) time.Duration

	mu       sync.Mutex
	failures int
	failedAt time.Time
	probeAt  time.Time
	probing  bool
}

func newGuardedStore(store Store, timeout time.Duration, jitter func(time.Duration) time.Duration) *guardedStore {
	return &guardedStore{store: store, timeout: timeout, jitter: jitter}
}

// admit returns an error if no call may be made now. probe is set if the call
// tests whether the store has recovered.
func (g *guardedStore) admit() (probe bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures < breakerFailures {
		return false, nil
	}
	if g.probing || time.Now().Before(g.probeAt) {
		return false, &objectstore.UnavailableError{Op: "breaker", Cause: errBreakerOpen}
	}
	g.probing = true
	return true, nil
}

// finish records the result of a call. A refusal by the store's rate limit or a
// lost conditional write counts as an answer.
func (g *guardedStore) finish(probe bool, err error) {
	var unavailable *objectstore.UnavailableError
	failed := errors.As(err, &unavailable) || errors.Is(err, context.DeadlineExceeded)
	g.mu.Lock()
	defer g.mu.Unlock()
	if probe {
		g.probing = false
	}
	if !failed {
		g.failures = 0
		return
	}
	g.failures++
	g.failedAt = time.Now()
	wait := min(breakerMin<<min(max(g.failures-breakerFailures, 0), 10), breakerMax)
	g.probeAt = g.failedAt.Add(wait/2 + g.jitter(wait/2))
}

// failedWithin reports whether a call failed within the last d.
func (g *guardedStore) failedWithin(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.failedAt.IsZero() && time.Since(g.failedAt) < d
}

// callGuarded makes a call with the breaker and the timeout.
func callGuarded[T any](ctx context.Context, g *guardedStore, call func(context.Context) (T, error)) (T, error) {
	probe, err := g.admit()
	if err != nil {
		var zero T
		return zero, err
	}
	callCtx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	out, err := call(callCtx)
	g.finish(probe, err)
	return out, err
}

// Get implements Store.
func (g *guardedStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	return callGuarded(ctx, g, func(ctx context.Context) (objectstore.Object, error) {
		return g.store.Get(ctx, key)
	})
}

// List implements Store.
func (g *guardedStore) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error) {
	return callGuarded(ctx, g, func(ctx context.Context) ([]objectstore.Object, error) {
		return g.store.List(ctx, prefix, after, limit)
	})
}

// Create implements Store.
func (g *guardedStore) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return callGuarded(ctx, g, func(ctx context.Context) (objectstore.Object, error) {
		return g.store.Create(ctx, key, value)
	})
}

// Update implements Store.
func (g *guardedStore) Update(ctx context.Context, key string, value []byte, revision uint64) (objectstore.Object, error) {
	return callGuarded(ctx, g, func(ctx context.Context) (objectstore.Object, error) {
		return g.store.Update(ctx, key, value, revision)
	})
}

// Delete implements Store.
func (g *guardedStore) Delete(ctx context.Context, key string, revision uint64) error {
	_, err := callGuarded(ctx, g, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, g.store.Delete(ctx, key, revision)
	})
	return err
}
