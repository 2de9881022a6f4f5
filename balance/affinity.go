package balance

import (
	"math"
	"sync"
)

// The prefix cache table is a fixed array of buckets with a few ways each. A
// new entry replaces the one with the oldest news in its bucket, or among the
// holders of its prefix when there are maxHolders of them.
const (
	cacheShards = 64
	cacheWays   = 8
	maxHolders  = 4
)

// prefixCache remembers which engines lately held a prompt prefix. Prefixes
// that many requests share are held by several engines.
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

// holds tells whether the entry still says that its engine holds the prefix.
func (e *cacheEntry) holds(prefix uint64) bool {
	return e.prefix == prefix && e.engine != nil && e.epoch == e.engine.cacheEpoch.Load()
}

// holder is an engine that probably holds a prefix, with the time of the last
// news of it.
type holder struct {
	engine *engine
	newsAt int64
}

// holders are the engines that probably hold one prefix.
type holders struct {
	list  [maxHolders]holder
	count int
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
	entry := b.place(prefix, e)
	if entry.prefix == prefix && entry.engine == e && entry.newsAt > at {
		return
	}
	*entry = cacheEntry{prefix: prefix, engine: e, epoch: e.cacheEpoch.Load(), newsAt: at}
}

// place returns the entry of the prefix and engine, or the one to replace.
func (b *cacheBucket) place(prefix uint64, e *engine) *cacheEntry {
	oldest, oldestHolder, held := &b[0], (*cacheEntry)(nil), 0
	for i := range b {
		entry := &b[i]
		if entry.prefix == prefix && entry.engine == e {
			return entry
		}
		if entry.newsAt < oldest.newsAt {
			oldest = entry
		}
		if entry.prefix != prefix || entry.engine == nil {
			continue
		}
		held++
		if oldestHolder == nil || entry.newsAt < oldestHolder.newsAt {
			oldestHolder = entry
		}
	}
	if held == maxHolders {
		return oldestHolder
	}
	return oldest
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

// lookup returns the engines that probably hold the prefix.
func (c *prefixCache) lookup(prefix uint64) (found holders) {
	b, mu := c.bucket(prefix)
	mu.Lock()
	defer mu.Unlock()
	for i := range b {
		if b[i].holds(prefix) && found.count < maxHolders {
			found.list[found.count] = holder{engine: b[i].engine, newsAt: b[i].newsAt}
			found.count++
		}
	}
	return found
}

// holders returns the engines that probably hold the prefix, its homes among
// them.
func (s *State) holders(prefix uint64, homes [MaxHomes]string, now int64) holders {
	found := s.cache.lookup(prefix)
	for _, name := range homes {
		if e := s.engine(name); e != nil {
			found.add(e, now)
		}
	}
	return found
}

// add notes an engine as a holder with news of now, if there is room.
func (h *holders) add(e *engine, now int64) {
	for i := range h.count {
		if h.list[i].engine == e {
			h.list[i].newsAt = now
			return
		}
	}
	if h.count < maxHolders {
		h.list[h.count] = holder{engine: e, newsAt: now}
		h.count++
	}
}

// of returns the time of the last news that the engine holds the prefix.
func (h *holders) of(e *engine) (newsAt int64, ok bool) {
	for i := range h.count {
		if h.list[i].engine == e {
			return h.list[i].newsAt, true
		}
	}
	return 0, false
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

// shared returns the time in seconds to read the part of the prompt that may be
// cached.
func (o *Options) shared(w Work, prefill float64) float64 {
	if w.PrefixTokens <= 0 {
		return prefill
	}
	return min(prefill, float64(w.PrefixTokens)/o.PrefillTokensPerSecond)
}

// belief returns how probably an engine still holds a prefix.
func (o *Options) belief(e *engine, newsAt, now int64) float64 {
	belief := 1.0
	if age := now - newsAt; age > 0 {
		belief = math.Exp2(-float64(age) / float64(o.AffinityHalfLife))
	}
	if e.cacheGapAt.Load() > newsAt {
		belief *= gapDoubt
	}
	return belief
}

// saving returns the time in seconds that a cached prefix saves.
func (o *Options) saving(prefill float64) float64 {
	return min(prefill, o.AffinityMax.Seconds())
}

// affine tells whether a prompt is long enough for a cached prefix to matter.
func (o *Options) affine(promptTokens int64) bool {
	prefill := float64(promptTokens) / o.PrefillTokensPerSecond
	return min(prefill, o.AffinityMax.Seconds()) >= o.AffinityMin.Seconds()
}
