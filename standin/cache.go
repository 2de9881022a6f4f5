package standin

import (
	"container/list"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/engine"
)

// eventsKept bounds the number of past cache events that can still be read.
const eventsKept = 4096

// prefixCache simulates the prefix cache of an engine: a bounded set of prompt
// prefixes with least-recently-used eviction.
type prefixCache struct {
	limit     int
	dropEvery uint64

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

func newPrefixCache(limit int, dropEvery uint64) *prefixCache {
	return &prefixCache{
		limit: limit, dropEvery: dropEvery,
		byPrefix: make(map[uint64]*list.Element), recent: list.New(),
	}
}

// insertPrompt stores the prefixes of a prompt and returns how many of them, from
// the first on, were already cached.
func (c *prefixCache) insertPrompt(now time.Time, prefixes []uint64) int {
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

// store adds a prefix and evicts the least recently used one if the cache exceeds
// its limit.
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

// publish records an event. Every dropEvery-th event is lost, but takes a sequence
// number.
func (c *prefixCache) publish(now time.Time, prefix uint64, stored bool) {
	c.sequence++
	if c.dropEvery > 0 && c.sequence%c.dropEvery == 0 {
		return
	}
	if len(c.events) >= eventsKept {
		c.events = append(c.events[:0], c.events[eventsKept/2:]...)
	}
	event := engine.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored}
	c.events = append(c.events, timedEvent{CacheEvent: event, at: now})
}

// eventsSince returns the events up to the time known whose sequence number is
// above after, and the last sequence number up to that time.
func (c *prefixCache) eventsSince(after uint64, known time.Time) ([]engine.CacheEvent, uint64) {
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
