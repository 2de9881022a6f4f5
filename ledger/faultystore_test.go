package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/objectstore"
)

// faultyStore is the store as one daemon reaches it.
type faultyStore struct {
	objectstore.Store
	mu    sync.Mutex
	rand  *rand.Rand
	fault int // percent of calls that meet a fault
	gone  bool
}

// call lets fn take effect now, late, or not at all, and may lose its answer.
// A late call takes effect even when its caller has given up or crashed.
func (f *faultyStore) call(ctx context.Context, fn func()) error {
	f.mu.Lock()
	fate, delay := 0, time.Duration(0)
	if f.rand.IntN(100) < f.fault {
		fate = 1 + f.rand.IntN(4)
		delay = time.Duration(f.rand.IntN(4000)) * time.Millisecond
	}
	gone := f.gone
	f.mu.Unlock()
	lost := &objectstore.UnavailableError{Op: "test", Cause: errCut}
	done := make(chan struct{})
	switch {
	case gone || fate == 1: // refused
		return lost
	case fate == 2: // takes effect, answer lost
		fn()
		return lost
	case fate == 3: // takes effect late, the caller may be gone by then
		go func() {
			time.Sleep(delay)
			fn()
			close(done)
		}()
	case fate == 4: // answer late
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
	return lossy(ctx, f, func() (objectstore.Object, error) { return f.Store.Get(context.Background(), key) })
}

func (f *faultyStore) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error) {
	return lossy(ctx, f, func() ([]objectstore.Object, error) { return f.Store.List(context.Background(), prefix, after, limit) })
}

func (f *faultyStore) Create(ctx context.Context, key string, v []byte) (objectstore.Object, error) {
	return lossy(ctx, f, func() (objectstore.Object, error) { return f.Store.Create(context.Background(), key, v) })
}

func (f *faultyStore) Update(ctx context.Context, key string, v []byte, rev uint64) (objectstore.Object, error) {
	return lossy(ctx, f, func() (objectstore.Object, error) { return f.Store.Update(context.Background(), key, v, rev) })
}

func (f *faultyStore) Delete(ctx context.Context, key string, rev uint64) error {
	_, err := lossy(ctx, f, func() (struct{}, error) { return struct{}{}, f.Store.Delete(context.Background(), key, rev) })
	return err
}
