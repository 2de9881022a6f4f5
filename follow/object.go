package follow

import (
	"fmt"

	"github.com/klauspost/compress/s2"

	"github.com/bronzeturn/bronzeturn/revision"
)

// Size limits of a dictionary. The content of a single object serves as the dictionary, since
// objects of a kind have similar content.
const (
	minDictBytes = 64
	maxDictBytes = 4 << 10
)

// minDictObjects is the number of objects a set must hold before a dictionary is created.
// Objects added earlier remain uncompressed.
const minDictObjects = 16

// object is the stored form of an Item. It is immutable.
type object struct {
	name              string
	revision, created uint64
	// content is the spec followed by the status, compressed with dict unless dict is nil.
	content string
	dict    *s2.Dict
	// specBytes and contentBytes are the uncompressed lengths of the spec and of the
	// spec and status together.
	specBytes, contentBytes int32
}

// newDict returns a dictionary made of the item's content, or nil if the content is too short
// or too long.
func newDict(item *Item) *s2.Dict {
	content := item.content()
	if len(content) < minDictBytes || len(content) > maxDictBytes {
		return nil
	}
	return s2.MakeDict(content, nil)
}

// newObject returns the stored form of an item. The content is compressed if dict is not nil
// and compression makes it smaller.
func newObject(item *Item, dict *s2.Dict) *object {
	content := item.content()
	o := &object{
		name: item.Name, revision: item.Revision, created: item.Created,
		specBytes: int32(len(item.Spec)), contentBytes: int32(len(content)),
	}
	if dict != nil {
		if compressed := dict.Encode(nil, content); len(compressed) < len(content) {
			o.content, o.dict = string(compressed), dict
			return o
		}
	}
	o.content = string(content)
	return o
}

// item returns the object as an Item, with the content decompressed.
func (o *object) item() Item {
	content := []byte(o.content)
	if o.dict != nil {
		var err error
		if content, err = o.dict.Decode(nil, content); err != nil {
			panic(fmt.Sprintf("follow: decompress stored object %q: %v", o.name, err))
		}
	}
	item := Item{Name: o.name, Revision: o.revision, Created: o.created}
	if o.specBytes > 0 {
		item.Spec = content[:o.specBytes:o.specBytes]
	}
	if o.contentBytes > o.specBytes {
		item.Status = content[o.specBytes:]
	}
	return item
}

// size returns the approximate encoded size of the object in bytes.
func (o *object) size() int { return len(o.name) + int(o.contentBytes) }

// equal reports whether two states of an object have the same counter of the revision, spec and
// status. The era may differ: a restored store has the objects of before with its new era.
func (o *object) equal(other *object) bool {
	if revision.Counter(o.revision) != revision.Counter(other.revision) || o.specBytes != other.specBytes || o.contentBytes != other.contentBytes {
		return false
	}
	if o.dict == other.dict {
		return o.content == other.content
	}
	return o.item().equal(other.item())
}
