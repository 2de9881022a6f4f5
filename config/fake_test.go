package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

// faultyStore is a store that delays calls, refuses them, loses them or their answers,
// and lets some take effect after the caller got an error. It records every head that
// was in force and every part that was ever stored.
type faultyStore struct {
	inner *memstore.Store

	mu      sync.Mutex
	random  *rand.Rand
	healthy bool
	heads   [][]byte
	parts   map[Digest][]byte
}

var errNoAnswer = errors.New("no answer")

func newFaultyStore(seed uint64) *faultyStore {
	return &faultyStore{
		inner:  memstore.New(),
		random: rand.New(rand.NewPCG(seed, 1)),
		parts:  make(map[Digest][]byte),
	}
}

// randomBelow returns a random number below n, or n-1 when the store is healthy.
func (f *faultyStore) randomBelow(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.healthy {
		return n - 1
	}
	return f.random.IntN(n)
}

// call runs op after a delay. At random it drops the call or its answer, runs op later,
// or refuses the call by a rate limit.
func (f *faultyStore) call(key string, op func() error) error {
	lost := &objectstore.UnavailableError{Op: "call", Key: key, Cause: errNoAnswer}
	time.Sleep(time.Duration(40-f.randomBelow(40)) * time.Millisecond)
	switch f.randomBelow(12) {
	case 0, 1:
		return lost
	case 2, 3:
		_ = op()
		return lost
	case 4:
		delay := time.Duration(f.randomBelow(3000)) * time.Millisecond
		time.AfterFunc(delay, func() { _ = op() })
		return lost
	case 5:
		return &objectstore.RateLimitError{RetryAfter: 10 * time.Millisecond}
	default:
		return op()
	}
}

func (f *faultyStore) Get(ctx context.Context, key string) (obj objectstore.Object, err error) {
	var got objectstore.Object
	err = f.call(key, func() (err error) { got, err = f.inner.Get(ctx, key); return err })
	if err != nil {
		return objectstore.Object{}, err
	}
	return got, nil
}

func (f *faultyStore) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error) {
	return f.inner.List(ctx, prefix, after, limit)
}

func (f *faultyStore) Create(_ context.Context, key string, value []byte) (objectstore.Object, error) {
	return objectstore.Object{}, f.call(key, func() error { return f.write(key, value, 0) })
}

func (f *faultyStore) Update(_ context.Context, key string, value []byte, revision uint64) (objectstore.Object, error) {
	return objectstore.Object{}, f.call(key, func() error { return f.write(key, value, revision) })
}

func (f *faultyStore) Delete(_ context.Context, key string, revision uint64) error {
	return f.call(key, func() error { return f.inner.Delete(context.Background(), key, revision) })
}

// write updates the object and records the head or the part.
func (f *faultyStore) write(key string, value []byte, revision uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.inner.Update(context.Background(), key, value, revision)
	if err == nil && key == HeadKey {
		f.heads = append(f.heads, value)
	} else if err == nil {
		f.parts[DigestOf(value)] = value
	}
	return err
}

// settle ends all faults and waits for delayed calls.
func (f *faultyStore) settle() {
	f.mu.Lock()
	f.healthy = true
	f.mu.Unlock()
	time.Sleep(10 * time.Second)
}

// history returns the heads that were in force, oldest first.
func (f *faultyStore) history() [][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heads
}
