package follow

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/s2"
)

// itemShards is the number of shards of a set of items. A change copies the shard table
// (6 KB) and the affected shards (about 40 references each with 10,000 items).
const itemShards = 256

// items is an immutable set of items by name. Successive sets share unmodified shards.
type items struct {
	// shards are indexed by the hash of the item's name, each sorted by name. It is nil for
	// the empty set.
	shards *[itemShards][]*object
	count  int
	// dict is the dictionary for objects that are added. It is nil until the set has
	// minDictObjects objects and another one of suitable size is added.
	dict *s2.Dict
}

// shardOf returns the index of the shard for a name.
func shardOf(name string) int { return int(xxhash.Sum64String(name) % itemShards) }

// find returns the position of a name in a shard and whether it is present.
func find(shard []*object, name string) (int, bool) {
	return slices.BinarySearchFunc(shard, name, func(o *object, name string) int { return cmp.Compare(o.name, name) })
}

// get returns the item with the name, or nil.
func (s items) get(name string) *object {
	if s.shards == nil {
		return nil
	}
	shard := s.shards[shardOf(name)]
	pos, ok := find(shard, name)
	if !ok {
		return nil
	}
	return shard[pos]
}

// shard returns the n-th shard, which must not be modified.
func (s items) shard(n int) []*object {
	if s.shards == nil {
		return nil
	}
	return s.shards[n]
}

// all returns the items in no particular order.
func (s items) all() iter.Seq[*object] {
	return func(yield func(*object) bool) {
		if s.shards == nil {
			return
		}
		for _, shard := range s.shards {
			for _, item := range shard {
				if !yield(item) {
					return
				}
			}
		}
	}
}

// itemsEdit is a copy-on-write modification of a set.
type itemsEdit struct {
	items
	// owned marks the shards that have been copied.
	owned [itemShards]bool
}

// edit returns an itemsEdit that leaves s unmodified.
func (s items) edit() *itemsEdit {
	e := &itemsEdit{items: items{shards: &[itemShards][]*object{}, count: s.count, dict: s.dict}}
	if s.shards != nil {
		*e.shards = *s.shards
	}
	return e
}

// mutableShard returns the n-th shard, copied if it is still shared.
func (e *itemsEdit) mutableShard(n int) []*object {
	if !e.owned[n] {
		e.owned[n] = true
		e.shards[n] = slices.Clone(e.shards[n])
	}
	return e.shards[n]
}

// put inserts or replaces an item.
func (e *itemsEdit) put(item *Item) {
	if e.dict == nil && e.count >= minDictObjects {
		e.dict = newDict(item)
	}
	o := newObject(item, e.dict)
	n := shardOf(item.Name)
	shard := e.mutableShard(n)
	pos, ok := find(shard, item.Name)
	if ok {
		shard[pos] = o
		return
	}
	e.shards[n] = slices.Insert(shard, pos, o)
	e.count++
}

// remove deletes the item with the name, if present.
func (e *itemsEdit) remove(name string) {
	n := shardOf(name)
	if pos, ok := find(e.shards[n], name); ok {
		e.shards[n] = slices.Delete(e.mutableShard(n), pos, pos+1)
		e.count--
	}
}
