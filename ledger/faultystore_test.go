package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/objectstore"
)

// faultyStore injects faults into the store calls of one daemon.
type faultyStore struct {
	objectstore.Store
	mu           sync.Mutex
	rand         *rand.Rand
	faultPercent int // percentage of calls with a fault
	crashed      bool
}

// call runs fn now, later, or not at all, and may lose its response. A delayed
// call takes effect even if its caller has given up or crashed.
func (f *faultyStore) call(ctx context.Context, fn func()) error {
	f.mu.Lock()
	fault, delay := 0, time.Duration(0)
	if f.rand.IntN(100) < f.faultPercent {
		fault = 1 + f.rand.IntN(4)
		delay = time.Duration(f.rand.IntN(4000)) * time.Millisecond
	}
	crashed := f.crashed
	f.mu.Unlock()
	lost := &objectstore.UnavailableError{Op: "test", Cause: errCut}
	done := make(chan struct{})
	switch {
	case crashed || fault == 1: // fails without effect
		return lost
	case fault == 2: // takes effect, response lost
		fn()
		return lost
	case fault == 3: // takes effect late, possibly after the caller has given up
		go func() {
			time.Sleep(delay)
			fn()
			close(done)
		}()
	case fault == 4: // takes effect, response late
		fn()
		go func() {
			time.Sleep(delay)
			close(done)
		}()
	default:
		fn()
		return nil
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return lost
	}
}

func (f *faultyStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	return callWithFaults(ctx, f, func() (objectstore.Object, error) { return f.Store.Get(context.Background(), key) })
}

func (f *faultyStore) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error) {
	return callWithFaults(ctx, f, func() ([]objectstore.Object, error) { return f.Store.List(context.Background(), prefix, after, limit) })
}

func (f *faultyStore) Create(ctx context.Context, key string, v []byte) (objectstore.Object, error) {
	return callWithFaults(ctx, f, func() (objectstore.Object, error) { return f.Store.Create(context.Background(), key, v) })
}

func (f *faultyStore) Update(ctx context.Context, key string, v []byte, rev uint64) (objectstore.Object, error) {
	return callWithFaults(ctx, f, func() (objectstore.Object, error) { return f.Store.Update(context.Background(), key, v, rev) })
}

func (f *faultyStore) Delete(ctx context.Context, key string, rev uint64) error {
	_, err := callWithFaults(ctx, f, func() (struct{}, error) { return struct{}{}, f.Store.Delete(context.Background(), key, rev) })
	return err
}
