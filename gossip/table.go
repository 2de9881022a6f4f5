package gossip

import (
	"bytes"
	"encoding/binary"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// buckets is the number of shards of the table. Each has its own lock and digest.
	buckets = 128
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 200
	// MaxVersion is the maximum version. Without a limit, a single wrong entry could block a
	// key permanently with a version that cannot be exceeded.
	MaxVersion = uint64(1) << 62
)

// Class defines the limits of the entries whose keys begin with Prefix. If several prefixes
// match, the longest applies.
type Class struct {
	Prefix string
	// MaxEntries is the maximum number of entries, removals included.
	MaxEntries int
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes int
	// TTL is the age at which an entry expires. Zero means never.
	TTL time.Duration
	// RemovalTTL is the age at which a removal (an empty value) expires.
	RemovalTTL time.Duration
}

// ttl returns the age at which an entry with the value expires, or zero if it does not.
func (c *Class) ttl(value []byte) time.Duration {
	if len(value) == 0 {
		return c.RemovalTTL
	}
	return c.TTL
}

// entry is one immutable state of a key.
type entry struct {
	key     string
	version uint64
	value   []byte
	// publishedAt is when the entry was published, on this daemon's monotonic clock.
	publishedAt time.Time
	// hash covers key, version and value.
	hash uint64
}

// class is a Class with the number of its entries.
type class struct {
	Class
	entries atomic.Int64
}

// bucket is one shard of the table.
type bucket struct {
	mu      sync.Mutex
	entries map[string]*entry
	// digest is the exclusive or of the hashes of all entries.
	digest uint64
}

// table holds the newest known state of every key. It is safe for concurrent use. Tables that
// receive the same set of entries, in any order, end up equal.
type table struct {
	classes []*class
	buckets [buckets]bucket
}

func newTable(classes []Class) *table {
	t := &table{}
	for _, c := range classes {
		t.classes = append(t.classes, &class{Class: c})
	}
	for i := range t.buckets {
		t.buckets[i].entries = make(map[string]*entry)
	}
	return t
}

// classOf returns the class with the longest prefix of key, or nil.
func (t *table) classOf(key string) *class {
	var found *class
	for _, c := range t.classes {
		if strings.HasPrefix(key, c.Prefix) && (found == nil || len(c.Prefix) > len(found.Prefix)) {
			found = c
		}
	}
	return found
}

func (t *table) bucketOf(key string) *bucket {
	return &t.buckets[bucketIndex(key)]
}

func bucketIndex(key string) int {
	return int(xxhash.Sum64String(key) % buckets)
}

// put stores the entry if it is newer than the one held, and reports whether it did. An entry
// that exceeds the limits fails with a RefusedError.
func (t *table) put(key string, version uint64, value []byte, age time.Duration, now time.Time) (bool, error) {
	c, err := t.admit(key, version, value, age)
	if err != nil {
		return false, err
	}
	b := t.bucketOf(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.entries[key]
	if old != nil && !newer(version, value, old) {
		return false, nil
	}
	if old == nil && !c.reserve() {
		return false, &RefusedError{Key: key, Reason: ReasonFull}
	}
	e := &entry{key: key, version: version, value: bytes.Clone(value), publishedAt: now.Add(-age)}
	e.hash = hashEntry(key, version, value)
	if old != nil {
		b.digest ^= old.hash
	}
	b.digest ^= e.hash
	b.entries[key] = e
	return true, nil
}

// admit checks the limits that do not depend on the content of the table.
func (t *table) admit(key string, version uint64, value []byte, age time.Duration) (*class, error) {
	c := t.classOf(key)
	switch {
	case c == nil:
		return nil, &RefusedError{Key: key, Reason: ReasonUnknownClass}
	case len(key) > MaxKeyBytes || len(key) <= len(c.Prefix):
		return nil, &RefusedError{Key: key, Reason: ReasonKeyLength}
	case len(value) > c.MaxValueBytes:
		return nil, &RefusedError{Key: key, Reason: ReasonValueSize}
	case version == 0 || version > MaxVersion:
		return nil, &RefusedError{Key: key, Reason: ReasonVersion}
	}
	if ttl := c.ttl(value); ttl > 0 && age >= ttl {
		return nil, &RefusedError{Key: key, Reason: ReasonExpired}
	}
	return c, nil
}

// reserve counts one more entry. It returns false if the class is full.
func (c *class) reserve() bool {
	if c.entries.Add(1) > int64(c.MaxEntries) {
		c.entries.Add(-1)
		return false
	}
	return true
}

// newer reports whether a version and value take precedence over the entry held. Of two values
// with the same version, the greater one does.
func newer(version uint64, value []byte, held *entry) bool {
	if version != held.version {
		return version > held.version
	}
	return bytes.Compare(value, held.value) > 0
}

// get returns the entry of key, or nil.
func (t *table) get(key string) *entry {
	b := t.bucketOf(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries[key]
}

// expire removes the expired entries and returns them.
func (t *table) expire(now time.Time) []*entry {
	var dropped []*entry
	for i := range t.buckets {
		b := &t.buckets[i]
		b.mu.Lock()
		for key, e := range b.entries {
			c := t.classOf(key)
			ttl := c.ttl(e.value)
			if ttl <= 0 || now.Sub(e.publishedAt) < ttl {
				continue
			}
			delete(b.entries, key)
			b.digest ^= e.hash
			c.entries.Add(-1)
			dropped = append(dropped, e)
		}
		b.mu.Unlock()
	}
	return dropped
}

// each calls f for the entries of one bucket, in unspecified order.
func (t *table) each(index int, f func(*entry)) {
	b := &t.buckets[index]
	b.mu.Lock()
	held := make([]*entry, 0, len(b.entries))
	for _, e := range b.entries {
		held = append(held, e)
	}
	b.mu.Unlock()
	for _, e := range held {
		f(e)
	}
}

// digests returns the digest of every bucket.
func (t *table) digests() []uint64 {
	out := make([]uint64, buckets)
	for i := range t.buckets {
		b := &t.buckets[i]
		b.mu.Lock()
		out[i] = b.digest
		b.mu.Unlock()
	}
	return out
}

// digest returns the digest of the whole table.
func (t *table) digest() uint64 {
	var words [8 * buckets]byte
	for i, d := range t.digests() {
		binary.LittleEndian.PutUint64(words[8*i:], d)
	}
	return xxhash.Sum64(words[:])
}

// message returns the entry in the form sent to a neighbour at the time now. Its age is
// included only if the entry can expire.
func (t *table) message(e *entry, now time.Time) *bronzeturnv1.TableEntry {
	m := &bronzeturnv1.TableEntry{Key: e.key, Version: e.version, Value: e.value}
	if t.classOf(e.key).ttl(e.value) > 0 {
		m.AgeMs = uint64(max(0, now.Sub(e.publishedAt).Milliseconds()))
	}
	return m
}

// size returns the number of entries, removals included.
func (t *table) size() int {
	n := 0
	for _, c := range t.classes {
		n += int(c.entries.Load())
	}
	return n
}

// hashEntry hashes key, version and value.
func hashEntry(key string, version uint64, value []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var word [8]byte
	binary.LittleEndian.PutUint64(word[:], version)
	_, _ = d.Write(word[:])
	binary.LittleEndian.PutUint64(word[:], uint64(len(key)))
	_, _ = d.Write(word[:])
	_, _ = d.WriteString(key)
	_, _ = d.Write(value)
	return d.Sum64()
}
