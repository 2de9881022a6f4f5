package balance

import (
	"math"
	"sync"
	"time"
)

// The prefix cache table is a fixed array of buckets with a few ways each. A
// new entry replaces the one with the oldest news in its bucket.
const (
	cacheShards = 64
	cacheWays   = 4
)

// prefixCache remembers which engine last held a prompt prefix.
type prefixCache struct {
	mask   uint64
	shards [cacheShards]sync.Mutex
	// buckets are guarded by the shard of their index.
	buckets []cacheBucket
}

type cacheBucket [cacheWays]cacheEntry

type cacheEntry struct {
	prefix uint64
	engine *engine
	epoch  uint32
	newsAt int64
}

func newPrefixCache(entries int) *prefixCache {
	n := 1
	for n*cacheWays < entries {
		n *= 2
	}
	return &prefixCache{mask: uint64(n - 1), buckets: make([]cacheBucket, n)}
}

// bucket returns the bucket of the prefix and the lock that guards it.
func (c *prefixCache) bucket(prefix uint64) (*cacheBucket, *sync.Mutex) {
	// The multiplication spreads hashes of which only some bits vary.
	const golden = 0x9e3779b97f4a7c15
	i := (prefix * golden >> 20) & c.mask
	return &c.buckets[i], &c.shards[i%cacheShards]
}

// store remembers that the engine holds the prefix. Older news than the entry
// has is ignored.
func (c *prefixCache) store(prefix uint64, e *engine, at int64) {
	b, mu := c.bucket(prefix)
	mu.Lock()
	defer mu.Unlock()
	victim := &b[0]
	for i := range b {
		if b[i].prefix == prefix {
			victim = &b[i]
			break
		}
		if b[i].newsAt < victim.newsAt {
			victim = &b[i]
		}
	}
	if victim.prefix == prefix && victim.newsAt > at {
		return
	}
	*victim = cacheEntry{prefix: prefix, engine: e, epoch: e.cacheEpoch.Load(), newsAt: at}
}

// evict forgets the prefix unless the daemon has newer news of it.
func (c *prefixCache) evict(prefix uint64, e *engine, at int64) {
	b, mu := c.bucket(prefix)
	mu.Lock()
	defer mu.Unlock()
	for i := range b {
		if b[i].prefix == prefix && b[i].engine == e && b[i].newsAt <= at {
			b[i] = cacheEntry{}
		}
	}
}

// lookup returns the engine that probably holds the prefix and the time of the
// last news, or nil.
func (c *prefixCache) lookup(prefix uint64) (*engine, int64) {
	b, mu := c.bucket(prefix)
	mu.Lock()
	defer mu.Unlock()
	for i := range b {
		if b[i].prefix == prefix && b[i].engine != nil && b[i].epoch == b[i].engine.cacheEpoch.Load() {
			return b[i].engine, b[i].newsAt
		}
	}
	return nil, 0
}

// CacheEvent takes in news of an engine's prefix cache.
func (s *State) CacheEvent(ev CacheEvent) {
	e := s.engine(ev.Engine)
	if e == nil {
		return
	}
	at := ev.At.UnixNano()
	switch ev.Kind {
	case CacheStored:
		s.cache.store(ev.PrefixHash, e, at)
	case CacheEvicted:
		s.cache.evict(ev.PrefixHash, e, at)
	case CacheCleared:
		e.cacheEpoch.Add(1)
	case CacheGap:
		e.cacheGapAt.Store(at)
	}
}

// gapDoubt is the belief left in an entry when events after it were missed.
const gapDoubt = 0.5

// saving returns the time in seconds that a cached prefix probably saves.
func (o *Options) saving(e *engine, newsAt, now int64, prefill float64) float64 {
	belief := 1.0
	if age := now - newsAt; age > 0 {
		belief = math.Exp2(-float64(age) / float64(o.AffinityHalfLife))
	}
	if e.cacheGapAt.Load() > newsAt {
		belief *= gapDoubt
	}
	return belief * min(prefill, float64(o.AffinityMax)/float64(time.Second))
}
