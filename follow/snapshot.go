package follow

import (
	"bytes"
	"iter"
)

// Item is one object.
type Item struct {
	Name string
	// Revision is that of the object's last change.
	Revision uint64
	// Created is the revision at which the object came to be.
	Created uint64
	// Spec and Status are encoded as the store has them.
	Spec, Status []byte
}

// equal tells whether two states of an object are the same.
func (i Item) equal(o Item) bool {
	return i.Revision == o.Revision && bytes.Equal(i.Spec, o.Spec) && bytes.Equal(i.Status, o.Status)
}

// Snapshot is an immutable state of all objects of a kind. Successive snapshots share
// unmodified objects.
type Snapshot struct {
	// Revision is that of the store when the state was read.
	Revision uint64
	items    items
}

// NewSnapshot returns a snapshot of the objects at a revision.
func NewSnapshot(revision uint64, objects iter.Seq[Item]) *Snapshot {
	edit := items{}.edit()
	for item := range objects {
		edit.put(&item)
	}
	return &Snapshot{Revision: revision, items: edit.items}
}

// Len returns the number of objects.
func (s *Snapshot) Len() int { return s.items.count }

// Item returns the object with the name and whether it exists.
func (s *Snapshot) Item(name string) (Item, bool) {
	item := s.items.get(name)
	if item == nil {
		return Item{}, false
	}
	return *item, true
}

// All returns the objects in no particular order.
func (s *Snapshot) All() iter.Seq[Item] {
	return func(yield func(Item) bool) {
		for item := range s.items.all() {
			if !yield(*item) {
				return
			}
		}
	}
}

// Changes are what happened after a revision.
type Changes struct {
	// Revision is where the next watch continues.
	Revision uint64
	Changed  []Item
	Removed  []string
}

// empty tells whether nothing happened.
func (c *Changes) empty() bool { return len(c.Changed) == 0 && len(c.Removed) == 0 }

// with returns the state after the changes. Changed objects older than the known ones are
// ignored.
func (s *Snapshot) with(c *Changes) *Snapshot {
	next := &Snapshot{Revision: max(s.Revision, c.Revision), items: s.items}
	if c.empty() {
		return next
	}
	edit := s.items.edit()
	for _, item := range c.Changed {
		if known := edit.get(item.Name); known == nil || item.Revision >= known.Revision {
			edit.put(&item)
		}
	}
	for _, name := range c.Removed {
		edit.remove(name)
	}
	next.items = edit.items
	return next
}

// Diff returns the changes that lead from s to next.
func (s *Snapshot) Diff(next *Snapshot) Changes {
	c := Changes{Revision: next.Revision}
	for n := range itemShards {
		c.addShardDiff(s.items.shard(n), next.items.shard(n))
	}
	return c
}

// addShardDiff adds the differences between two states of a shard.
func (c *Changes) addShardDiff(old, next []*Item) {
	if len(old) == len(next) && (len(old) == 0 || &old[0] == &next[0]) {
		return // Shared between both states.
	}
	for _, item := range next {
		pos, known := find(old, item.Name)
		if !known || old[pos] != item && !old[pos].equal(*item) {
			c.Changed = append(c.Changed, *item)
		}
	}
	for _, item := range old {
		if _, still := find(next, item.Name); !still {
			c.Removed = append(c.Removed, item.Name)
		}
	}
}

// maxHistory bounds the steps remembered. A daemon that is further behind gets
// the whole state.
const maxHistory = 128

// step is one change of the copy, from a revision on.
type step struct {
	from    uint64
	changes Changes
}

// history remembers the last changes of a copy.
type history struct {
	steps []step
}

// add notes one change.
func (h *history) add(from uint64, c Changes) {
	if len(h.steps) == maxHistory {
		h.steps = append(h.steps[:0], h.steps[1:]...)
	}
	h.steps = append(h.steps, step{from: from, changes: c})
}

// since returns all changes after a revision in one, or false when they are not known:
// they are forgotten, or the revision lies within a step. A step tells what differs
// between its ends only; a copy of in between may hold an object that has gone since.
func (h *history) since(after uint64) (Changes, bool) {
	if len(h.steps) == 0 || after < h.steps[0].from || after == 0 {
		return Changes{}, false
	}
	for _, s := range h.steps {
		if s.from < after && after < s.changes.Revision {
			return Changes{}, false
		}
	}
	state := &Snapshot{}
	removed := make(map[string]struct{})
	for _, s := range h.steps {
		if s.changes.Revision <= after {
			continue
		}
		for _, item := range s.changes.Changed {
			delete(removed, item.Name)
		}
		for _, name := range s.changes.Removed {
			removed[name] = struct{}{}
		}
		state = state.with(&s.changes)
	}
	c := (&Snapshot{}).Diff(state)
	for name := range removed {
		c.Removed = append(c.Removed, name)
	}
	return c, true
}
