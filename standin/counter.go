package standin

import "maps"

// counter counts by id and removes the oldest id when it exceeds its limit. It is
// not safe for concurrent use.
type counter struct {
	limit  int
	counts map[string]int
	order  []string
}

func newCounter(limit int) *counter {
	return &counter{limit: limit, counts: make(map[string]int)}
}

// add increments the count of id and returns it.
func (c *counter) add(id string) int {
	c.counts[id]++
	if c.counts[id] == 1 {
		c.order = append(c.order, id)
	}
	if len(c.order) > c.limit {
		delete(c.counts, c.order[0])
		c.order = c.order[1:]
	}
	return c.counts[id]
}

func (c *counter) all() map[string]int { return maps.Clone(c.counts) }
