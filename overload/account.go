// Package overload bounds what the clients of a daemon hold of its host: connections, the memory of
// request heads, bodies and answers, and the time for which they hold it without progress. All
// listeners of a daemon share one account of memory. When it is full, whoever holds much or makes
// no progress loses its place to the others.
package overload

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shardCount is the number of shards of an Account.
	shardCount = 16
	// smallBytes is the size in bytes up to which a holder may use the whole account. Larger
	// holders leave smallShare of it free, so that ordinary requests are served beside them.
	smallBytes = 64 << 10
	smallShare = 0.25
	// stallTime is the time without progress after which a holder may be evicted in favour of a
	// holder of any size.
	stallTime = time.Second
	// unlimitedBytes is the limit of an account if the memory of the process is not known.
	unlimitedBytes = math.MaxInt64 / 2
)

// FullError reports that the account has no room for a holder, or that the holder lost its place to
// another one.
type FullError struct {
	// Bytes is what the holder asked for, Limit the size of the account.
	Bytes, Limit int64
	// Evicted is set if the holder lost its place.
	Evicted bool
}

// Error implements error.
func (e *FullError) Error() string {
	if e.Evicted {
		return "the memory of the request was given to other clients"
	}
	return "the memory for clients is in use"
}

// Account tracks the memory that clients hold. It is safe for concurrent use.
type Account struct {
	// limit is the size of the account, largeLimit the part that large holders may use.
	limit, largeLimit int64
	used              atomic.Int64
	shards            [shardCount]shard
	next              atomic.Uint32
}

// shard is a part of an account's holders.
type shard struct {
	mu      sync.Mutex
	holders map[*Holder]struct{}
}

// NewAccount returns an account of the given size in bytes, 0 for one without a limit.
func NewAccount(limit int64) *Account {
	if limit <= 0 {
		limit = unlimitedBytes
	}
	a := &Account{limit: limit, largeLimit: limit - int64(smallShare*float64(limit))}
	for i := range a.shards {
		a.shards[i].holders = make(map[*Holder]struct{})
	}
	return a
}

// Used returns the bytes that are held.
func (a *Account) Used() int64 { return a.used.Load() }

// Limit returns the size of the account in bytes.
func (a *Account) Limit() int64 { return a.limit }

// Holder is a part of an account that belongs to one connection, body or answer. Its methods may be
// called concurrently.
type Holder struct {
	account *Account
	shard   *shard

	mu    sync.Mutex
	bytes int64
	// progress is when the client last sent or took something.
	progress time.Time
	// evict makes the owner end. It is nil while the holder must keep its place.
	evict   func()
	evicted bool
}

// Open adds a holder. If evict is not nil, it may be called once, when the holder loses its place;
// it must not block.
func (a *Account) Open(evict func()) *Holder {
	h := &Holder{account: a, shard: &a.shards[a.next.Add(1)%shardCount], progress: time.Now(), evict: evict}
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	h.shard.holders[h] = struct{}{}
	return h
}

// Close removes the holder and returns its bytes to the account.
func (h *Holder) Close() {
	h.shard.mu.Lock()
	delete(h.shard.holders, h)
	h.shard.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.account.used.Add(-h.bytes)
	h.bytes, h.evict = 0, nil
}

// Pin makes the holder keep its place until Close or SetEvict. It reports whether it still has it.
func (h *Holder) Pin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evict = nil
	return !h.evicted
}

// SetEvict replaces the function that is called when the holder loses its place.
func (h *Holder) SetEvict(evict func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evict = evict
}

// Progress records that the client has sent or taken something.
func (h *Holder) Progress(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.progress = now
}

// StalledFor returns the time since the last progress.
func (h *Holder) StalledFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.progress)
}

// Reserve takes bytes from the account. If it is full, larger or stalled holders lose their places.
// The error is a *FullError.
func (h *Holder) Reserve(bytes int64) error {
	for {
		err := h.take(bytes)
		if err == nil || err.Evicted {
			return asError(err)
		}
		if victim := h.account.victim(h, h.held()+bytes, time.Now()); victim == nil || !victim.lose() {
			return err
		}
	}
}

// Charge takes bytes from the account even if it is full. Other holders lose their places for them.
func (h *Holder) Charge(bytes int64) {
	h.mu.Lock()
	h.bytes += bytes
	h.mu.Unlock()
	for a := h.account; a.used.Add(bytes) > a.limit; bytes = 0 {
		if victim := a.victim(h, 0, time.Now()); victim == nil || !victim.lose() {
			return
		}
	}
}

// asError avoids a non-nil error that holds a nil pointer.
func asError(err *FullError) error {
	if err == nil {
		return nil
	}
	return err
}

// take takes bytes from the account if there is room.
func (h *Holder) take(bytes int64) *FullError {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account
	if h.evicted {
		return &FullError{Bytes: bytes, Limit: a.limit, Evicted: true}
	}
	limit := a.limit
	if h.bytes+bytes > smallBytes {
		limit = a.largeLimit
	}
	if a.used.Add(bytes) > limit {
		a.used.Add(-bytes)
		return &FullError{Bytes: bytes, Limit: a.limit}
	}
	h.bytes += bytes
	return nil
}

// Release returns bytes to the account.
func (h *Holder) Release(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	bytes = min(bytes, h.bytes)
	h.bytes -= bytes
	h.account.used.Add(-bytes)
}

// held returns the bytes of the holder.
func (h *Holder) held() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes
}

// lose takes the holder's place away. It reports false if the holder must keep it.
func (h *Holder) lose() bool {
	h.mu.Lock()
	evict := h.evict
	if evict == nil || h.evicted {
		h.mu.Unlock()
		return false
	}
	h.evicted, h.evict = true, nil
	h.account.used.Add(-h.bytes)
	h.bytes = 0
	h.mu.Unlock()
	evict()
	return true
}

// victim returns the holder that loses its place when another one wants to grow to the given size:
// the largest of those that are larger or stalled, or nil.
func (a *Account) victim(asker *Holder, size int64, now time.Time) *Holder {
	var victim *Holder
	var largest int64
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for h := range s.holders {
			if bytes, ok := h.evictable(size, now); ok && h != asker && bytes > largest {
				victim, largest = h, bytes
			}
		}
		s.mu.Unlock()
	}
	return victim
}

// evictable returns the holder's bytes, and whether it may lose its place to one of the given size.
func (h *Holder) evictable(size int64, now time.Time) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes, h.evict != nil && !h.evicted && (h.bytes > size || now.Sub(h.progress) >= stallTime)
}
