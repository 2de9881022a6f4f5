package standin

import (
	"container/list"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/engine"
)

// eventsKept bounds the cache events an engine still publishes.
const eventsKept = 4096

// prefixCache models the prefix cache of an engine: a bounded set of prompt
// prefixes, of which the least recently used is evicted.
type prefixCache struct {
	limit    int
	gapEvery uint64

	mu       sync.Mutex
	byPrefix map[uint64]*list.Element
	recent   *list.List // of uint64, most recently used first
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

func newPrefixCache(limit int, gapEvery uint64) *prefixCache {
	return &prefixCache{
		limit: limit, gapEvery: gapEvery,
		byPrefix: make(map[uint64]*list.Element), recent: list.New(),
	}
}

// use stores the prefixes of a prompt and returns how many leading ones were
// stored before.
func (c *prefixCache) use(now time.Time, prefixes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits, leading := 0, true
	for _, p := range prefixes {
		if e, ok := c.byPrefix[p]; ok {
			c.recent.MoveToFront(e)
			if leading {
				hits++
			}
			continue
		}
		leading = false
		c.store(now, p)
	}
	return hits
}

// store adds a prefix and evicts the oldest beyond the limit.
func (c *prefixCache) store(now time.Time, prefix uint64) {
	c.byPrefix[prefix] = c.recent.PushFront(prefix)
	c.publish(now, prefix, true)
	if c.recent.Len() <= c.limit {
		return
	}
	oldest := c.recent.Back()
	evicted := c.recent.Remove(oldest).(uint64)
	delete(c.byPrefix, evicted)
	c.publish(now, evicted, false)
}

// publish records an event. Every gapEvery-th one gets lost.
func (c *prefixCache) publish(now time.Time, prefix uint64, stored bool) {
	c.sequence++
	if c.gapEvery > 0 && c.sequence%c.gapEvery == 0 {
		return
	}
	if len(c.events) >= eventsKept {
		c.events = append(c.events[:0], c.events[eventsKept/2:]...)
	}
	event := engine.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored}
	c.events = append(c.events, timedEvent{CacheEvent: event, at: now})
}

// published returns the events above after that happened before known, and the
// sequence number reached by then.
func (c *prefixCache) published(after uint64, known time.Time) ([]engine.CacheEvent, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := []engine.CacheEvent{}
	var sequence uint64
	for _, e := range c.events {
		if e.at.After(known) {
			break
		}
		sequence = e.Sequence
		if e.Sequence > after {
			found = append(found, e.CacheEvent)
		}
	}
	return found, sequence
}
