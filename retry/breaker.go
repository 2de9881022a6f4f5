package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BreakerOptions configures a Breaker.
type BreakerOptions struct {
	// Failures is the number of consecutive failures that open the breaker.
	Failures int
	// OpenFor is the time before the first probe. It doubles with each failed
	// probe, up to MaxOpen.
	OpenFor time.Duration
	MaxOpen time.Duration
	// ProbeTimeout is the time after which a probe without an outcome counts
	// as failed.
	ProbeTimeout time.Duration
}

// DefaultBreakerOptions returns options for targets inside the platform.
func DefaultBreakerOptions() BreakerOptions {
	return BreakerOptions{
		Failures:     5,
		OpenFor:      time.Second,
		MaxOpen:      30 * time.Second,
		ProbeTimeout: 10 * time.Second,
	}
}

// BreakerState is the state of a Breaker.
type BreakerState uint8

// The states of a Breaker.
const (
	Closed BreakerState = iota
	Open
	HalfOpen
)

// String returns the name used in logs and metrics.
func (s BreakerState) String() string {
	return [...]string{"closed", "open", "half_open"}[s]
}

// Breaker is a circuit breaker: it stops calls to a failing target and lets
// single probes through. It is safe for concurrent use.
type Breaker struct {
	options BreakerOptions

	mu       sync.Mutex
	state    BreakerState
	failures int
	openFor  time.Duration
	// until is the end of the Open state, or in HalfOpen the timeout of the probe.
	until time.Time
	// pausedUntil is the end of the pause that the target asked for.
	pausedUntil time.Time
}

// NewBreaker returns a closed breaker.
func NewBreaker(o BreakerOptions) *Breaker {
	return &Breaker{options: o}
}

// Allow reports whether a call may be made. Every allowed call must be followed
// by Success, Failure or Abandon.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.pausedUntil) {
		return false
	}
	if b.state == Closed {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	if b.state == HalfOpen {
		b.reopen(now)
		return false
	}
	b.state = HalfOpen
	b.until = now.Add(b.options.ProbeTimeout)
	return true
}

// Pause keeps calls, probes included, from a target that has asked for none for some time. It
// does not shorten an earlier pause.
func (b *Breaker) Pause(now time.Time, retryAfter time.Duration) {
	if retryAfter <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := now.Add(retryAfter); until.After(b.pausedUntil) {
		b.pausedUntil = until
	}
}

// NextCall returns the earliest time at which Allow may permit a call.
func (b *Breaker) NextCall() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state != Closed && b.until.After(b.pausedUntil) {
		return b.until
	}
	return b.pausedUntil
}

// Success records a call that the target answered. It closes the breaker,
// unless the breaker is open: the answer then belongs to a call made before it
// opened.
func (b *Breaker) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == Open {
		return
	}
	b.state = Closed
	b.failures = 0
	b.openFor = 0
}

// Failure records a call that failed because of the target.
func (b *Breaker) Failure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch b.state {
	case Closed:
		b.failures++
		if b.failures >= b.options.Failures {
			b.reopen(now)
		}
	case HalfOpen:
		b.reopen(now)
	}
}

// Abandon records a call whose outcome says nothing about the target, for
// example because the caller disconnected. If it was a probe, another one may be
// sent at once.
func (b *Breaker) Abandon(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == HalfOpen {
		b.state = Open
		b.until = now
	}
}

// State returns the current state.
func (b *Breaker) State() BreakerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// reopen opens the breaker for twice as long as the last time, at most MaxOpen.
func (b *Breaker) reopen(now time.Time) {
	b.openFor = min(max(2*b.openFor, b.options.OpenFor), b.options.MaxOpen)
	b.state = Open
	b.failures = 0
	b.until = now.Add(b.openFor)
}

// breakerShards is the number of shards of the map of breakers, each with its own lock.
const breakerShards = 16

// Breakers holds one breaker per target, created on first use.
type Breakers struct {
	options BreakerOptions
	shards  [breakerShards]breakerShard
}

type breakerShard struct {
	mu sync.Mutex
	m  map[string]*Breaker
}

// NewBreakers returns an empty set whose breakers have the given options.
func NewBreakers(o BreakerOptions) *Breakers {
	return &Breakers{options: o}
}

// Target returns the breaker of the target.
func (s *Breakers) Target(name string) *Breaker {
	sh := s.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b, ok := sh.m[name]
	if !ok {
		if sh.m == nil {
			sh.m = make(map[string]*Breaker)
		}
		b = NewBreaker(s.options)
		sh.m[name] = b
	}
	return b
}

// Keep removes the breakers of targets for which keep returns false.
func (s *Breakers) Keep(keep func(name string) bool) {
	for i := range s.shards {
		s.shards[i].drop(keep)
	}
}

func (sh *breakerShard) drop(keep func(name string) bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name := range sh.m {
		if !keep(name) {
			delete(sh.m, name)
		}
	}
}

func (s *Breakers) shard(name string) *breakerShard {
	return &s.shards[xxhash.Sum64String(name)%breakerShards]
}
