package ledger

import (
	"sync"
	"time"
)

// Bounds of the cache of conversation versions.
const (
	pinCacheShards   = 16
	maxPinsPerShard  = 4096
	pinFreshFraction = 2
	pinsEvicted      = 64
)

// pinCache remembers the versions of conversations that this daemon has used
// lately, so that they cost no call and go on while the store is down. An entry
// is dropped before the ledger may have forgotten it.
type pinCache struct {
	shards [pinCacheShards]pinCacheShard
}

type pinCacheShard struct {
	mu   sync.Mutex
	pins map[fingerprint]cachedPin
}

type cachedPin struct {
	version string
	// fresh is until when the entry is used without asking, valid is until when
	// it is used if nobody answers.
	fresh time.Time
	valid time.Time
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

// put remembers a version that the ledger keeps for at least the given time.
func (c *pinCache) put(fp fingerprint, version string, remaining time.Duration) {
	now := time.Now()
	s := c.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pins) >= maxPinsPerShard {
		s.evict()
	}
	s.pins[fp] = cachedPin{
		version: version,
		fresh:   now.Add(remaining / pinFreshFraction),
		valid:   now.Add(remaining),
	}
}

// evict makes room by dropping arbitrary entries. Map order is random enough.
func (s *pinCacheShard) evict() {
	for fp := range s.pins {
		delete(s.pins, fp)
		if len(s.pins) <= maxPinsPerShard-pinsEvicted {
			return
		}
	}
}

// get returns the version, or "". fresh tells that it may be used without
// asking the ledger.
func (c *pinCache) get(fp fingerprint) (version string, fresh bool) {
	now := time.Now()
	s := c.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pins[fp]
	if !ok || !now.Before(p.valid) {
		delete(s.pins, fp)
		return "", false
	}
	return p.version, now.Before(p.fresh)
}
