package quality

import (
	"cmp"
	"slices"
	"time"
)

type keyedCell struct {
	key  key
	cell *Cell
}

// cellsOf returns the cells of a version in a fixed order.
func (s *Store) cellsOf(version string) []keyedCell {
	var found []keyedCell
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.RLock()
		for k, c := range h.cells {
			if k.version == version {
				found = append(found, keyedCell{k, c})
			}
		}
		h.mu.RUnlock()
	}
	slices.SortFunc(found, func(a, b keyedCell) int { return compareKeys(a.key, b.key) })
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

// takeUnsent returns the unsent evidence of a version and marks it as sent.
func (s *Store) takeUnsent(version string) []Counts {
	var counts []Counts
	for _, n := range s.cellsOf(version) {
		counts = n.cell.takeUnsent(n.key, counts)
	}
	return counts
}

// addMerged adds counts that this daemon merges as the aggregator.
func (s *Store) addMerged(counts []Counts) {
	s.update(counts, func(r *record, m moments) { r.merged.add(m) })
}

// setSent replaces the sent evidence of a version by counts.
func (s *Store) setSent(version string, counts []Counts) {
	for _, n := range s.cellsOf(version) {
		n.cell.clearSent()
	}
	s.update(counts, func(r *record, m moments) { r.sent.add(m) })
}

func (s *Store) update(counts []Counts, f func(*record, moments)) {
	for _, n := range counts {
		c := s.cell(key{n.Version, n.Kind, n.Accepted})
		c.update(n.Organisation, moments{n.Sum, n.Weight}, f)
	}
}

// mergedEvidence returns the evidence of a version to publish: the last known
// publication plus what this daemon has merged since as the aggregator.
func (s *Store) mergedEvidence(version string, now time.Time) map[key]moments {
	all := make(map[key]moments)
	for _, n := range s.cellsOf(version) {
		if m := n.cell.mergedEvidence(now); m.weight >= negligibleWeight {
			all[n.key] = m
		}
	}
	return all
}

// adopt replaces the base and merged evidence of a version by a publication.
// Unsent and sent evidence stays.
func (s *Store) adopt(version string, all map[key]moments, now time.Time) {
	for k := range all {
		s.cell(k)
	}
	for _, n := range s.cellsOf(version) {
		n.cell.adopt(all[n.key], now)
	}
}

func (c *Cell) takeUnsent(k key, counts []Counts) []Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.ratings.records {
		r := &c.ratings.records[i]
		if r.unsent.weight == 0 {
			continue
		}
		counts = append(counts, Counts{
			Organisation: r.organisation, Version: k.version, Kind: k.kind, Accepted: k.accepted,
			Sum: r.unsent.sum, Weight: r.unsent.weight,
		})
		r.sent.add(r.unsent)
		r.unsent = moments{}
	}
	return counts
}

func (c *Cell) update(organisation string, m moments, f func(*record, moments)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.ratings.recordOf(organisation)
	f(r, m)
	r.merged.limit(c.options.MaxWeight)
	c.limitTotal()
	c.publish(c.discountedTo)
}

func (c *Cell) clearSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.ratings.records {
		c.ratings.records[i].sent = moments{}
	}
	c.publish(c.discountedTo)
}

// mergedEvidence returns the effective evidence without unsent and sent ratings.
func (c *Cell) mergedEvidence(now time.Time) moments {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discount(now)
	merged := evidence{records: slices.Clone(c.ratings.records)}
	for i := range merged.records {
		merged.records[i].unsent, merged.records[i].sent = moments{}, moments{}
	}
	return c.effectiveEvidence(&merged)
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
