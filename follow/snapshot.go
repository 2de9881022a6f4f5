package follow

import "bytes"

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

// Snapshot is an immutable state of all objects of a kind.
type Snapshot struct {
	// Revision is that of the store when the state was read.
	Revision uint64
	Items    map[string]Item
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

// with returns the state after the changes.
func (s *Snapshot) with(c *Changes) *Snapshot {
	next := &Snapshot{Revision: max(s.Revision, c.Revision), Items: s.Items}
	if c.empty() && s.Items != nil {
		return next
	}
	next.Items = make(map[string]Item, len(s.Items)+len(c.Changed))
	for name, item := range s.Items {
		next.Items[name] = item
	}
	for _, item := range c.Changed {
		if item.Revision >= next.Items[item.Name].Revision {
			next.Items[item.Name] = item
		}
	}
	for _, name := range c.Removed {
		delete(next.Items, name)
	}
	return next
}

// diff returns the changes that lead from one state to another.
func (s *Snapshot) diff(next *Snapshot) Changes {
	c := Changes{Revision: next.Revision}
	for name, item := range next.Items {
		if old, ok := s.Items[name]; !ok || !old.equal(item) {
			c.Changed = append(c.Changed, item)
		}
	}
	for name := range s.Items {
		if _, ok := next.Items[name]; !ok {
			c.Removed = append(c.Removed, name)
		}
	}
	return c
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
	state := &Snapshot{Items: map[string]Item{}}
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
	c := (&Snapshot{}).diff(state)
	for name := range removed {
		c.Removed = append(c.Removed, name)
	}
	return c, true
}
