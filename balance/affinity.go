package balance

import (
	"math"
	"sync"
)

// The prefix cache index is a set-associative table of fixed size. A new entry
// replaces the least recently updated entry of its bucket or, once a prefix has
// maxHolders holders, the least recently updated of these.
const (
	cacheShards = 64
	cacheWays   = 8
	maxHolders  = 4
)

// prefixCache is an index of the engines that recently held a prompt prefix in
// their cache. A prefix that many requests share has several holders.
type prefixCache struct {
	mask   uint64
	shards [cacheShards]sync.Mutex
	// buckets[i] is guarded by shards[i%cacheShards].
	buckets []cacheBucket
}

type cacheBucket [cacheWays]cacheEntry

type cacheEntry struct {
	prefix    uint64
	engine    *engine
	epoch     uint32
	updatedAt int64
}

// holds reports whether the entry is valid for the prefix. An entry is invalid
// once its engine's cache has been cleared.
func (e *cacheEntry) holds(prefix uint64) bool {
	return e.prefix == prefix && e.engine != nil && e.epoch == e.engine.cacheEpoch.Load()
}

// holder is an engine that probably holds a prefix, with the time of the last
// update about it.
type holder struct {
	engine    *engine
	updatedAt int64
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

// bucket returns the bucket of the prefix and the mutex that guards it.
func (c *prefixCache) bucket(prefix uint64) (*cacheBucket, *sync.Mutex) {
	// Fibonacci hashing distributes hashes that vary in only some of their bits.
	const golden = 0x9e3779b97f4a7c15
	i := (prefix * golden >> 20) & c.mask
	return &c.buckets[i], &c.shards[i%cacheShards]
}

// store records that the engine holds the prefix. Updates older than the
// existing entry are ignored.
func (c *prefixCache) store(prefix uint64, e *engine, at int64) {
	b, mu := c.bucket(prefix)
	mu.Lock()
	defer mu.Unlock()
	entry := b.place(prefix, e)
	if entry.prefix == prefix && entry.engine == e && entry.updatedAt > at {
		return
	}
	*entry = cacheEntry{prefix: prefix, engine: e, epoch: e.cacheEpoch.Load(), updatedAt: at}
}

// place returns the entry for the prefix and engine, or the entry to replace.
func (b *cacheBucket) place(prefix uint64, e *engine) *cacheEntry {
	oldest, oldestHolder, held := &b[0], (*cacheEntry)(nil), 0
	for i := range b {
		entry := &b[i]
		if entry.prefix == prefix && entry.engine == e {
			return entry
		}
		if entry.updatedAt < oldest.updatedAt {
			oldest = entry
		}
		if entry.prefix != prefix || entry.engine == nil {
			continue
		}
		held++
		if oldestHolder == nil || entry.updatedAt < oldestHolder.updatedAt {
			oldestHolder = entry
		}
	}
	if held == maxHolders {
		return oldestHolder
	}
	return oldest
}

// evict removes the entry unless it was updated after the eviction.
func (c *prefixCache) evict(prefix uint64, e *engine, at int64) {
	b, mu := c.bucket(prefix)
	mu.Lock()
	defer mu.Unlock()
	for i := range b {
		if b[i].prefix == prefix && b[i].engine == e && b[i].updatedAt <= at {
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
			found.list[found.count] = holder{engine: b[i].engine, updatedAt: b[i].updatedAt}
			found.count++
		}
	}
	return found
}

// holders returns the engines that probably hold the prefix, including its home
// engines.
func (s *State) holders(prefix uint64, homes [MaxHomes]string, now int64) holders {
	found := s.cache.lookup(prefix)
	for _, name := range homes {
		if e := s.engine(name); e != nil {
			found.add(e, now)
		}
	}
	return found
}

// add adds an engine as a holder updated now, if there is room.
func (h *holders) add(e *engine, now int64) {
	for i := range h.count {
		if h.list[i].engine == e {
			h.list[i].updatedAt = now
			return
		}
	}
	if h.count < maxHolders {
		h.list[h.count] = holder{engine: e, updatedAt: now}
		h.count++
	}
}

// lastUpdate returns the time of the last update that the engine holds the prefix.
func (h *holders) lastUpdate(e *engine) (updatedAt int64, ok bool) {
	for i := range h.count {
		if h.list[i].engine == e {
			return h.list[i].updatedAt, true
		}
	}
	return 0, false
}

// CacheEvent handles an event of an engine's prefix cache.
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

// gapFactor scales the hit probability of an entry when cache events after it
// were missed.
const gapFactor = 0.5

// sharedPrefill returns the prefill time in seconds of the part of the prompt
// that may be cached.
func (o *Options) sharedPrefill(w Work, prefill float64) float64 {
	if w.PrefixTokens <= 0 {
		return prefill
	}
	return min(prefill, float64(w.PrefixTokens)/o.PrefillTokensPerSecond)
}

// hitProbability estimates the probability that an engine still holds a prefix.
func (o *Options) hitProbability(e *engine, updatedAt, now int64) float64 {
	probability := 1.0
	if age := now - updatedAt; age > 0 {
		probability = math.Exp2(-float64(age) / float64(o.AffinityHalfLife))
	}
	if e.cacheGapAt.Load() > updatedAt {
		probability *= gapFactor
	}
	return probability
}

// prefillSaving returns the prefill time in seconds that a cached prefix saves.
func (o *Options) prefillSaving(prefill float64) float64 {
	return min(prefill, o.AffinityMax.Seconds())
}

// affinityApplies reports whether a prompt is long enough for a cached prefix to
// matter.
func (o *Options) affinityApplies(promptTokens int64) bool {
	prefill := float64(promptTokens) / o.PrefillTokensPerSecond
	return min(prefill, o.AffinityMax.Seconds()) >= o.AffinityMin.Seconds()
}
