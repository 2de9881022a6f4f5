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

// unstable is a store that delays, refuses and loses calls, and lets writes
// whose answer was lost take effect late. It keeps every head that was in force
// and every part that was ever stored.
type unstable struct {
	inner *memstore.Store

	mu     sync.Mutex
	random *rand.Rand
	calm   bool
	heads  [][]byte
	parts  map[Digest][]byte
}

var errTrouble = errors.New("no answer")

func newUnstable(seed uint64) *unstable {
	return &unstable{
		inner:  memstore.New(),
		random: rand.New(rand.NewPCG(seed, 1)),
		parts:  make(map[Digest][]byte),
	}
}

// roll returns a number below n, the highest one when the store is calm.
func (u *unstable) roll(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.calm {
		return n - 1
	}
	return u.random.IntN(n)
}

// call runs op with a delay before it and, by chance, without it or its answer.
func (u *unstable) call(key string, op func() error) error {
	lost := &objectstore.UnavailableError{Op: "call", Key: key, Cause: errTrouble}
	time.Sleep(time.Duration(40-u.roll(40)) * time.Millisecond)
	switch u.roll(12) {
	case 0, 1:
		return lost
	case 2, 3:
		_ = op()
		return lost
	case 4:
		delay := time.Duration(u.roll(3000)) * time.Millisecond
		time.AfterFunc(delay, func() { _ = op() })
		return lost
	case 5:
		return &objectstore.RateLimitError{RetryAfter: 10 * time.Millisecond}
	default:
		return op()
	}
}

func (u *unstable) Get(ctx context.Context, key string) (obj objectstore.Object, err error) {
	var got objectstore.Object
	err = u.call(key, func() (err error) { got, err = u.inner.Get(ctx, key); return err })
	if err != nil {
		return objectstore.Object{}, err
	}
	return got, nil
}

func (u *unstable) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error) {
	return u.inner.List(ctx, prefix, after, limit)
}

func (u *unstable) Create(_ context.Context, key string, value []byte) (objectstore.Object, error) {
	return objectstore.Object{}, u.call(key, func() error { return u.write(key, value, 0) })
}

func (u *unstable) Update(_ context.Context, key string, value []byte, revision uint64) (objectstore.Object, error) {
	return objectstore.Object{}, u.call(key, func() error { return u.write(key, value, revision) })
}

func (u *unstable) Delete(_ context.Context, key string, revision uint64) error {
	return u.call(key, func() error { return u.inner.Delete(context.Background(), key, revision) })
}

// write changes the object and keeps a head that came into force.
func (u *unstable) write(key string, value []byte, revision uint64) error {
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

// settle ends all faults and waits for late calls.
func (u *unstable) settle() {
	u.mu.Lock()
	u.calm = true
	u.mu.Unlock()
	time.Sleep(10 * time.Second)
}

// history returns the heads that were in force, oldest first.
func (u *unstable) history() [][]byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.heads
}
