package follow

import (
	"bytes"
	"iter"
	"slices"

	"github.com/bronzeturn/bronzeturn/revision"
)

// Item is one object.
type Item struct {
	Name string
	// Revision is the revision of the object's last change.
	Revision uint64
	// Created is the revision at which the object was created.
	Created uint64
	// Spec and Status are encoded as in the store.
	Spec, Status []byte
}

// size returns the approximate encoded size of the object in bytes.
func (i *Item) size() int { return len(i.Name) + len(i.Spec) + len(i.Status) }

// content returns the spec followed by the status.
func (i *Item) content() []byte { return slices.Concat(i.Spec, i.Status) }

// equal reports whether two states of an object have the same counter of the revision, spec and
// status. The era may differ: a restored store has the objects of before with its new era.
func (i Item) equal(o Item) bool {
	return revision.Counter(i.Revision) == revision.Counter(o.Revision) && bytes.Equal(i.Spec, o.Spec) && bytes.Equal(i.Status, o.Status)
}

// Snapshot is an immutable state of all objects of a kind. Successive snapshots share
// unmodified objects.
type Snapshot struct {
	// Revision is the store's revision when the state was read.
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
	o := s.items.get(name)
	if o == nil {
		return Item{}, false
	}
	return o.item(), true
}

// All returns the objects in no particular order.
func (s *Snapshot) All() iter.Seq[Item] {
	return func(yield func(Item) bool) {
		for o := range s.items.all() {
			if !yield(o.item()) {
				return
			}
		}
	}
}

// Changes holds the differences after a revision.
type Changes struct {
	// Revision is the revision after which the next watch continues.
	Revision uint64
	Changed  []Item
	Removed  []string
}

// empty reports whether there are no changes.
func (c *Changes) empty() bool { return len(c.Changed) == 0 && len(c.Removed) == 0 }

// size returns the approximate encoded size of the changes in bytes.
func (c *Changes) size() int {
	size := 0
	for i := range c.Changed {
		size += c.Changed[i].size()
	}
	for _, name := range c.Removed {
		size += len(name)
	}
	return size
}

// withRemoved returns the changes with additional removed names. Names that are already
// among the changed or removed objects are skipped.
func (c Changes) withRemoved(names []string) Changes {
	if len(names) == 0 {
		return c
	}
	known := make(map[string]struct{}, len(c.Removed)+len(c.Changed))
	for _, name := range c.Removed {
		known[name] = struct{}{}
	}
	for i := range c.Changed {
		known[c.Changed[i].Name] = struct{}{}
	}
	all := slices.Clone(c.Removed)
	for _, name := range names {
		if _, ok := known[name]; !ok {
			all = append(all, name)
		}
	}
	c.Removed = all
	return c
}

// with returns the state after the changes. Changed objects older than the known ones are
// ignored.
func (s *Snapshot) with(c *Changes) *Snapshot {
	next := &Snapshot{Revision: max(s.Revision, c.Revision), items: s.items}
	if c.empty() {
		return next
	}
	edit := s.items.edit()
	for _, item := range c.Changed {
		if known := edit.get(item.Name); known == nil || item.Revision >= known.revision {
			edit.put(&item)
		}
	}
	for _, name := range c.Removed {
		edit.remove(name)
	}
	next.items = edit.items
	return next
}

// partBytes is the size at which a part of a copy ends. Parts consist of complete shards, so
// the last shard may exceed it. At 20 Mbit/s a part takes about 50 ms; a copy with thousands
// of objects exceeds the message size limit.
const partBytes = 128 << 10

// part returns objects from the given shard on, up to about partBytes, and the shard at
// which the next part starts, or zero after the last part.
func (s *Snapshot) part(from int) (objects []Item, next int) {
	size := 0
	for n := max(from, 0); n < itemShards; n++ {
		if size >= partBytes {
			return objects, n
		}
		for _, o := range s.items.shard(n) {
			objects = append(objects, o.item())
			size += o.size()
		}
	}
	return objects, 0
}

// maxNamesBytes limits the size of the object names in one response. Beyond it, the full
// copy is sent in parts.
const maxNamesBytes = 512 << 10

// namesSize returns the approximate encoded size of the names in bytes.
func namesSize(names []string) int {
	size := 0
	for _, name := range names {
		size += len(name)
	}
	return size
}

// changedSince returns the objects that changed after a revision and the names of all
// objects.
func (s *Snapshot) changedSince(revision uint64) (changed []Item, names []string) {
	names = make([]string, 0, s.Len())
	for o := range s.items.all() {
		names = append(names, o.name)
		if o.revision > revision {
			changed = append(changed, o.item())
		}
	}
	return changed, names
}

// reconciled returns the state after a response with the names of all objects of another
// daemon. Objects that are not named are removed unless they are newer than the response.
func (s *Snapshot) reconciled(p *PullResponse) *Snapshot {
	known := make(map[string]struct{}, len(p.Names))
	for _, name := range p.Names {
		known[name] = struct{}{}
	}
	c := p.Changes
	for o := range s.items.all() {
		if _, ok := known[o.name]; !ok && o.revision <= p.Changes.Revision {
			c.Removed = append(c.Removed, o.name)
		}
	}
	return s.with(&c)
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
func (c *Changes) addShardDiff(old, next []*object) {
	if len(old) == len(next) && (len(old) == 0 || &old[0] == &next[0]) {
		return // Shared between both states.
	}
	for _, o := range next {
		pos, known := find(old, o.name)
		if !known || old[pos] != o && !old[pos].equal(o) {
			c.Changed = append(c.Changed, o.item())
		}
	}
	for _, o := range old {
		if _, still := find(next, o.name); !still {
			c.Removed = append(c.Removed, o.name)
		}
	}
}
