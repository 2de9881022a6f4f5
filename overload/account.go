// Package overload bounds what the clients of a daemon hold of its host: connections, the memory of
// request heads, bodies and answers, and the time for which they hold it without progress. All
// listeners of a daemon share one account of memory. When it is full, whoever holds much or makes
// no progress loses its place to the others.
package overload

import (
	"math"
	"slices"
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
	// idleTime is the time without progress after which an idle holder may be evicted.
	idleTime = 5 * time.Second
	// evictionTime is the longest time that a holder waits until those that lost their places have
	// returned their memory.
	evictionTime = 250 * time.Millisecond
	// answerShare is the share of the account that one answer may take, as a divisor.
	answerShare = 16
	// unlimitedBytes is the limit of an account if the memory of the process is not known.
	unlimitedBytes = math.MaxInt64 / 2
)

// FullError reports that the account has no room for a holder, or that the holder lost its place to
// another one.
type FullError struct {
	// Bytes is what the holder asked for, Limit the size of the account, or of the part that is full.
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

// quota is a limit of what some holders have together.
type quota struct {
	// limit is its size, largeLimit the part that large holders may use.
	limit, largeLimit int64
	// used is what holders have that keep their places, leaving what others have that lost them and
	// still have to end, in bytes.
	used, leaving atomic.Int64
}

// newQuota returns a quota of the given size in bytes.
func newQuota(limit int64) *quota {
	return &quota{limit: limit, largeLimit: limit - int64(smallShare*float64(limit))}
}

// Account tracks the memory that clients hold. It is safe for concurrent use.
type Account struct {
	*quota
	shards [shardCount]shard
	next   atomic.Uint32

	mu sync.Mutex
	// returned is closed when some of leaving is returned.
	returned chan struct{}
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
	a := &Account{quota: newQuota(limit), returned: make(chan struct{})}
	for i := range a.shards {
		a.shards[i].holders = make(map[*Holder]struct{})
	}
	return a
}

// Used returns the bytes that are held, also by those that lost their places and have not ended.
func (a *Account) Used() int64 { return a.used.Load() + a.leaving.Load() }

// Limit returns the size of the account in bytes.
func (a *Account) Limit() int64 { return a.limit }

// MaxAnswer returns the size in bytes of the largest answer of a backend server that is kept in memory
// until it is complete, where most is the size that suits the kind of answer.
func (a *Account) MaxAnswer(most int64) int64 { return max(min(most, a.limit/answerShare), smallBytes) }

// Holder is a part of an account that belongs to one connection, body or answer. Its methods may be
// called concurrently.
type Holder struct {
	account *Account
	shard   *shard
	// quotas are that of the account and, if the holder belongs to a part of it, that of the part.
	quotas []*quota

	mu sync.Mutex
	// bytes is what it holds with its place, leaving without.
	bytes, leaving int64
	// progress is when the client last sent or took something.
	progress time.Time
	// evict makes the owner end. It is nil while the holder must keep its place. idle is set while it
	// may lose it only after idleTime without progress.
	evict   func()
	idle    bool
	evicted bool
	closed  bool
}

// Open adds a holder. If evict is not nil, it may be called once, when the holder loses its place;
// it must not block.
func (a *Account) Open(evict func()) *Holder { return a.open(evict, a.quota) }

// open adds a holder whose bytes count in the quotas.
func (a *Account) open(evict func(), quotas ...*quota) *Holder {
	h := &Holder{account: a, shard: &a.shards[a.next.Add(1)%shardCount], quotas: quotas, progress: time.Now(), evict: evict}
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	h.shard.holders[h] = struct{}{}
	return h
}

// Close removes the holder and returns its bytes to the account. It holds nothing from then on.
func (h *Holder) Close() {
	h.shard.mu.Lock()
	delete(h.shard.holders, h)
	h.shard.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.use(-h.bytes)
	h.returnLeaving(h.leaving)
	h.bytes, h.evict, h.closed = 0, nil, true
}

// use adds bytes to what is in use with places.
func (h *Holder) use(bytes int64) {
	for _, q := range h.quotas {
		q.used.Add(bytes)
	}
}

// returnLeaving returns bytes of a holder that has lost its place. The caller holds the lock.
func (h *Holder) returnLeaving(bytes int64) {
	if bytes == 0 {
		return
	}
	h.leaving -= bytes
	for _, q := range h.quotas {
		q.leaving.Add(-bytes)
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.returned)
	a.returned = make(chan struct{})
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
	h.evict, h.idle = evict, false
}

// SetIdle is SetEvict for a holder whose client need not send anything for some time.
func (h *Holder) SetIdle(evict func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evict, h.idle = evict, true
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

// Reserve takes bytes from the account. If it is full, larger or stalled holders lose their places, and
// it waits a short time until they have ended: until then, their memory is in use. The error is a
// *FullError.
func (h *Holder) Reserve(bytes int64) error {
	a := h.account
	var returned <-chan struct{}
	var waitUntil <-chan time.Time
	for {
		taken, full := h.take(bytes)
		switch taken {
		case roomTaken:
			return nil
		case roomLost:
			return &FullError{Bytes: bytes, Limit: a.limit, Evicted: true}
		case roomUsed:
			victim := a.victim(h, h.held()+bytes, full, time.Now())
			if victim == nil {
				return &FullError{Bytes: bytes, Limit: full.limit}
			}
			victim.lose()
		case roomLeaving:
			if returned == nil {
				returned = a.nextReturn()
				continue // Some may have been returned before.
			}
			if waitUntil == nil {
				waitUntil = time.After(evictionTime)
			}
			select {
			case <-returned:
				returned = nil
			case <-waitUntil:
				return &FullError{Bytes: bytes, Limit: full.limit}
			}
		}
	}
}

// nextReturn returns a channel that is closed when some of leaving is returned.
func (a *Account) nextReturn() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.returned
}

// Charge takes bytes from the account even if it is full. Other holders lose their places for them.
func (h *Holder) Charge(bytes int64) {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return
	}
	h.bytes += bytes
	h.use(bytes)
	h.mu.Unlock()
	for a := h.account; a.used.Load() > a.limit; {
		victim := a.victim(h, 0, a.quota, time.Now())
		if victim == nil {
			return
		}
		victim.lose()
	}
}

// room is the outcome of an attempt to take bytes.
type room int

const (
	// roomTaken means that the bytes were taken, roomLost that the holder has lost its place or ended.
	roomTaken room = iota
	roomLost
	// roomUsed means that others use the room and keep it, roomLeaving that it is still in use by
	// those that lost their places.
	roomUsed
	roomLeaving
)

// take takes bytes if there is room in all quotas of the holder. Otherwise it returns the one that is
// full.
func (h *Holder) take(bytes int64) (room, *quota) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evicted || h.closed {
		return roomLost, nil
	}
	large := h.bytes+bytes > smallBytes
	for i, q := range h.quotas {
		if taken := q.take(bytes, large); taken != roomTaken {
			for _, earlier := range h.quotas[:i] {
				earlier.used.Add(-bytes)
			}
			return taken, q
		}
	}
	h.bytes += bytes
	return roomTaken, nil
}

// take takes bytes for a small or a large holder if there is room.
func (q *quota) take(bytes int64, large bool) room {
	limit := q.limit
	if large {
		limit = q.largeLimit
	}
	used := q.used.Add(bytes)
	if used+q.leaving.Load() <= limit {
		return roomTaken
	}
	q.used.Add(-bytes)
	if used > limit {
		return roomUsed
	}
	return roomLeaving
}

// Release returns bytes to the account.
func (h *Holder) Release(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := min(bytes, h.bytes)
	h.bytes -= kept
	h.use(-kept)
	h.returnLeaving(min(bytes-kept, h.leaving))
}

// held returns the bytes of the holder.
func (h *Holder) held() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes
}

// lost reports whether the holder has lost its place.
func (h *Holder) lost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evicted
}

// lose takes the holder's place away, unless it must keep it. Its memory is in use until it is closed.
func (h *Holder) lose() {
	h.mu.Lock()
	evict := h.evict
	if evict == nil || h.evicted {
		h.mu.Unlock()
		return
	}
	h.evicted, h.evict = true, nil
	for _, q := range h.quotas {
		q.leaving.Add(h.bytes)
	}
	h.use(-h.bytes)
	h.leaving, h.bytes = h.bytes, 0
	h.mu.Unlock()
	evict()
}

// Restore gives a holder its place back whose owner can't end.
func (h *Holder) Restore() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.evicted || h.closed {
		return
	}
	h.evicted = false
	h.use(h.leaving)
	h.bytes += h.leaving
	h.returnLeaving(h.leaving)
}

// victim returns the holder that loses its place when another one wants to grow to the given size and
// a quota is full: the largest of those that are larger or stalled, or nil.
func (a *Account) victim(asker *Holder, size int64, full *quota, now time.Time) *Holder {
	var victim *Holder
	var largest int64
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for h := range s.holders {
			if h == asker || !slices.Contains(h.quotas, full) {
				continue
			}
			if bytes, ok := h.evictable(size, now); ok && bytes > largest {
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
	quiet := now.Sub(h.progress)
	if h.evict == nil || h.evicted {
		return h.bytes, false
	}
	if h.idle {
		return h.bytes, quiet >= idleTime
	}
	return h.bytes, h.bytes > size || quiet >= stallTime
}
