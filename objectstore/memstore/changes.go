package memstore

import (
	"slices"
	"strings"

	"github.com/bronzeturn/bronzeturn/objectstore"
)

// compactAbove is the number of superseded changes that are kept at least.
const compactAbove = 1024

// change tells that key was written at revision.
type change struct {
	revision uint64
	key      string
}

// changes lists the writes in revision order, so that a watch does not look at
// every object.
type changes struct {
	list []change
}

// add appends a write and drops the superseded ones when they prevail.
func (c *changes) add(revision uint64, key string, objects map[string]objectstore.Object) {
	c.list = append(c.list, change{revision: revision, key: key})
	if len(c.list) < 2*len(objects)+compactAbove {
		return
	}
	c.list = slices.DeleteFunc(c.list, func(w change) bool { return objects[w.key].Revision != w.revision })
}

// newer returns the objects with the prefix whose last write is above after.
func (c *changes) newer(prefix string, after uint64, objects map[string]objectstore.Object) []objectstore.Object {
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
