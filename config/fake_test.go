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
func (u *faultyStore) randomBelow(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.healthy {
		return n - 1
	}
	return u.random.IntN(n)
}

// call runs op after a delay. At random it drops the call or its answer, runs op later,
// or refuses the call by a rate limit.
func (u *faultyStore) call(key string, op func() error) error {
	lost := &objectstore.UnavailableError{Op: "call", Key: key, Cause: errNoAnswer}
	time.Sleep(time.Duration(40-u.randomBelow(40)) * time.Millisecond)
	switch u.randomBelow(12) {
	case 0, 1:
		return lost
	case 2, 3:
		_ = op()
		return lost
	case 4:
		delay := time.Duration(u.randomBelow(3000)) * time.Millisecond
		time.AfterFunc(delay, func() { _ = op() })
		return lost
	case 5:
		return &objectstore.RateLimitError{RetryAfter: 10 * time.Millisecond}
	default:
		return op()
	}
}

func (u *faultyStore) Get(ctx context.Context, key string) (obj objectstore.Object, err error) {
	var got objectstore.Object
	err = u.call(key, func() (err error) { got, err = u.inner.Get(ctx, key); return err })
	if err != nil {
		return objectstore.Object{}, err
	}
	return got, nil
}

func (u *faultyStore) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error) {
	return u.inner.List(ctx, prefix, after, limit)
}

func (u *faultyStore) Create(_ context.Context, key string, value []byte) (objectstore.Object, error) {
	return objectstore.Object{}, u.call(key, func() error { return u.write(key, value, 0) })
}

func (u *faultyStore) Update(_ context.Context, key string, value []byte, revision uint64) (objectstore.Object, error) {
	return objectstore.Object{}, u.call(key, func() error { return u.write(key, value, revision) })
}

func (u *faultyStore) Delete(_ context.Context, key string, revision uint64) error {
	return u.call(key, func() error { return u.inner.Delete(context.Background(), key, revision) })
}

// write updates the object and records the head or the part.
func (u *faultyStore) write(key string, value []byte, revision uint64) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, err := u.inner.Update(context.Background(), key, value, revision)
	if err == nil && key == HeadKey {
		u.heads = append(u.heads, value)
	} else if err == nil {
		u.parts[DigestOf(value)] = value
	}
	return err
}

// settle ends all faults and waits for delayed calls.
func (u *faultyStore) settle() {
	u.mu.Lock()
	u.healthy = true
	u.mu.Unlock()
	time.Sleep(10 * time.Second)
}

// history returns the heads that were in force, oldest first.
func (u *faultyStore) history() [][]byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.heads
}
