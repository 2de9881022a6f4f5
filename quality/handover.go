package quality

import (
	"cmp"
	"slices"
	"time"
)

// namedCell is a cell with its key.
type namedCell struct {
	key  key
	cell *Cell
}

// cellsOf returns the cells of a version in a fixed order.
func (s *Store) cellsOf(version string) []namedCell {
	var found []namedCell
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.RLock()
		for k, c := range h.cells {
			if k.version == version {
				found = append(found, namedCell{k, c})
			}
		}
		h.mu.RUnlock()
	}
	slices.SortFunc(found, func(a, b namedCell) int { return compareKeys(a.key, b.key) })
	return found
}

func compareKeys(a, b key) int {
	if order := cmp.Compare(a.kind, b.kind); order != 0 || a.accepted == b.accepted {
		return order
	}
	if b.accepted {
		return -1
	}
	return 1
}

// takeFresh hands over the fresh evidence of a version, which counts as sent
// from now on.
func (s *Store) takeFresh(version string) []Counts {
	var counts []Counts
	for _, n := range s.cellsOf(version) {
		counts = n.cell.takeFresh(n.key, counts)
	}
	return counts
}

// addMerged adds counts that this daemon collects as the aggregator.
func (s *Store) addMerged(counts []Counts) {
	s.change(counts, func(r *record, m moments) { r.merged.add(m) })
}

// setSent makes counts the only sent evidence of a version.
func (s *Store) setSent(version string, counts []Counts) {
	for _, n := range s.cellsOf(version) {
		n.cell.clearSent()
	}
	s.change(counts, func(r *record, m moments) { r.sent.add(m) })
}

func (s *Store) change(counts []Counts, f func(*record, moments)) {
	for _, n := range counts {
		c := s.cell(key{n.Version, n.Kind, n.Accepted})
		c.change(n.Organisation, moments{n.Sum, n.Weight}, f)
	}
}

// merged returns the evidence of a version to publish: what this daemon
// collected as the aggregator on top of earlier publications.
func (s *Store) merged(version string, now time.Time) map[key]moments {
	all := make(map[key]moments)
	for _, n := range s.cellsOf(version) {
		if m := n.cell.collected(now); m.weight >= negligibleWeight {
			all[n.key] = m
		}
	}
	return all
}

// adopt replaces what this daemon knows of a version by merged evidence. Fresh
// and sent evidence stays.
func (s *Store) adopt(version string, all map[key]moments, now time.Time) {
	for k := range all {
		s.cell(k)
	}
	for _, n := range s.cellsOf(version) {
		n.cell.adopt(all[n.key], now)
	}
}

func (c *Cell) takeFresh(k key, counts []Counts) []Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.ratings.records {
		r := &c.ratings.records[i]
		if r.fresh.weight == 0 {
			continue
		}
		counts = append(counts, Counts{
			Organisation: r.organisation, Version: k.version, Kind: k.kind, Accepted: k.accepted,
			Sum: r.fresh.sum, Weight: r.fresh.weight,
		})
		r.sent.add(r.fresh)
		r.fresh = moments{}
	}
	return counts
}

func (c *Cell) change(organisation string, m moments, f func(*record, moments)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.ratings.of(organisation)
	f(r, m)
	r.merged.limit(c.options.MaxWeight)
	c.limit()
	c.publish(c.at)
}

func (c *Cell) clearSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.ratings.records {
		c.ratings.records[i].sent = moments{}
	}
	c.publish(c.at)
}

// collected returns base and merged evidence without the organisation that has
// the largest influence.
func (c *Cell) collected(now time.Time) moments {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discount(now)
	old := evidence{records: slices.Clone(c.ratings.records)}
	for i := range old.records {
		old.records[i].fresh, old.records[i].sent = moments{}, moments{}
	}
	return c.merged(&old)
}

func (c *Cell) adopt(base moments, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discount(now)
	c.base = base
	for i := range c.ratings.records {
		c.ratings.records[i].merged = moments{}
	}
	c.publish(now)
}
