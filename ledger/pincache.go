package ledger

import (
	"sync"
	"time"
)

// Limits of the cache of conversation versions.
const (
	pinCacheShards   = 16
	maxPinsPerShard  = 4096
	pinFreshDivisor  = 2
	pinEvictionBatch = 64
)

// pinCache caches the versions of recently used conversations, so that most
// requests need no ledger call and known conversations continue while the store
// is down. An entry is removed before the ledger may have dropped its pin.
type pinCache struct {
	shards [pinCacheShards]pinCacheShard
}

type pinCacheShard struct {
	mu   sync.Mutex
	pins map[fingerprint]cachedPin
}

type cachedPin struct {
	version string
	// The entry is used without asking the ledger until freshUntil, and until
	// validUntil if the ledger does not answer.
	freshUntil time.Time
	validUntil time.Time
}

func newPinCache() *pinCache {
	c := &pinCache{}
	for i := range c.shards {
		c.shards[i].pins = make(map[fingerprint]cachedPin)
	}
	return c
}

func (c *pinCache) shard(fp fingerprint) *pinCacheShard {
	return &c.shards[fp[0]%pinCacheShards]
}

// put caches a version that the ledger keeps for at least the remaining time.
func (c *pinCache) put(fp fingerprint, version string, remaining time.Duration) {
	now := time.Now()
	s := c.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pins) >= maxPinsPerShard {
		s.evict()
	}
	s.pins[fp] = cachedPin{
		version:    version,
		freshUntil: now.Add(remaining / pinFreshDivisor),
		validUntil: now.Add(remaining),
	}
}

// evict makes room by removing arbitrary entries, in map order.
func (s *pinCacheShard) evict() {
	for fp := range s.pins {
		delete(s.pins, fp)
		if len(s.pins) <= maxPinsPerShard-pinEvictionBatch {
			return
		}
	}
}

// get returns the cached version, or "". fresh reports whether it may be used
// without asking the ledger.
func (c *pinCache) get(fp fingerprint) (version string, fresh bool) {
	now := time.Now()
	s := c.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pins[fp]
	if !ok || !now.Before(p.validUntil) {
		delete(s.pins, fp)
		return "", false
	}
	return p.version, now.Before(p.freshUntil)
}
