package scheduler

import "slices"

// park sets a request aside for which every free engine is excluded, so that others can start.
func (s *Scheduler) park(it *item) {
	s.queue.remove(it)
	it.parked = true
	it.flow.account.parked++
	s.parked = append(s.parked, it)
}

// unlist removes an item from the parked ones.
func (s *Scheduler) unlist(it *item) {
	it.parked = false
	it.flow.account.parked--
	i := slices.Index(s.parked, it)
	last := len(s.parked) - 1
	s.parked[i] = s.parked[last]
	s.parked[last] = nil
	s.parked = s.parked[:last]
}

// unpark lets the n best requests that may use an engine compete again. Only requests that
// were sent before name excluded engines, so there are few.
func (s *Scheduler) unpark(e *engine, n int) {
	for ; n > 0; n-- {
		var best *item
		for _, it := range s.parked {
			if !slices.Contains(it.Excluded, e.Hash) && (best == nil || parkedBefore(it, best)) {
				best = it
			}
		}
		if best == nil {
			return
		}
		s.unlist(best)
		s.queue.add(best)
	}
}

// parkedBefore orders requests as the queue does.
func parkedBefore(a, b *item) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	if f, g := a.flow.account, b.flow.account; f != g && f.tag != g.tag {
		return f.tag < g.tag
	}
	return compareArrival(a, b) < 0
}

// unparkAll lets all parked requests compete again.
func (s *Scheduler) unparkAll() {
	for _, it := range s.parked {
		it.parked = false
		it.flow.account.parked--
		s.queue.add(it)
	}
	clear(s.parked)
	s.parked = s.parked[:0]
}
