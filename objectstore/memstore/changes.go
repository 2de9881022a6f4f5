package memstore

import (
	"slices"
	"strings"

	"github.com/bronzeturn/bronzeturn/objectstore"
)

// compactionSlack is the number of log entries, beyond two for each object, at
// which superseded entries are removed.
const compactionSlack = 1024

// change records that key was written at revision.
type change struct {
	revision uint64
	key      string
}

// changeLog lists the writes in revision order, so that a watch does not have to
// scan all objects.
type changeLog struct {
	list []change
}

// add appends a write and, once the log is long compared to the number of
// objects, removes the superseded entries.
func (c *changeLog) add(revision uint64, key string, objects map[string]objectstore.Object) {
	c.list = append(c.list, change{revision: revision, key: key})
	if len(c.list) < 2*len(objects)+compactionSlack {
		return
	}
	c.list = slices.DeleteFunc(c.list, func(w change) bool { return objects[w.key].Revision != w.revision })
}

// changedSince returns the objects with the prefix whose revision is above after,
// in revision order.
func (c *changeLog) changedSince(prefix string, after uint64, objects map[string]objectstore.Object) []objectstore.Object {
	at, _ := slices.BinarySearchFunc(c.list, after+1, func(w change, revision uint64) int {
		switch {
		case w.revision < revision:
			return -1
		case w.revision > revision:
			return 1
		}
		return 0
	})
	var found []objectstore.Object
	for _, w := range c.list[at:] {
		if strings.HasPrefix(w.key, prefix) && objects[w.key].Revision == w.revision {
			found = append(found, objects[w.key])
		}
	}
	return found
}
