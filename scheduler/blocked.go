package scheduler

import "slices"

// block sets a request aside for which every free engine is excluded, so that others can start.
func (s *Scheduler) block(it *item) {
	s.queue.remove(it)
	it.blocked = true
	it.flow.account.blocked++
	s.blocked = append(s.blocked, it)
}

// unlist removes an item from the blocked ones.
func (s *Scheduler) unlist(it *item) {
	it.blocked = false
	it.flow.account.blocked--
	i := slices.Index(s.blocked, it)
	last := len(s.blocked) - 1
	s.blocked[i] = s.blocked[last]
	s.blocked[last] = nil
	s.blocked = s.blocked[:last]
}

// unblock lets the n best requests that may use an engine compete again. Only requests that
// were sent before name excluded engines, so there are few.
func (s *Scheduler) unblock(e *engine, n int) {
	for ; n > 0; n-- {
		var best *item
		for _, it := range s.blocked {
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

// unblockAll lets all blocked requests compete again.
func (s *Scheduler) unblockAll() {
	for _, it := range s.blocked {
		it.blocked = false
		it.flow.account.blocked--
		s.queue.add(it)
	}
	clear(s.blocked)
	s.blocked = s.blocked[:0]
}
