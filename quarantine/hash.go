// Package quarantine identifies the requests that crash the engines that run them, and keeps
// them away from engines. Such a request comes back with other ids, because its caller repeats
// it or daemons retry it, or different requests share what crashes engines, such as a part of their
// prompts. So requests are identified by their content, as a whole and in parts, and the crashes
// that all daemons detect count together.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"iter"
	"slices"
)

// Hash identifies the work that a request asks for, independently of its id, connection,
// session and daemon. It is cryptographic, so that no organisation can craft a request that
// counts as one of another organisation.
type Hash [16]byte

// String returns the hash in hexadecimal, as in logs.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Strings returns the hashes in hexadecimal, as in logs.
func Strings(hashes []Hash) []string {
	texts := make([]string, len(hashes))
	for i, h := range hashes {
		texts[i] = h.String()
	}
	return texts
}

// ParseHash parses the output of String. It reports false for any other text.
func ParseHash(text string) (Hash, bool) {
	var h Hash
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(h) {
		return Hash{}, false
	}
	copy(h[:], data)
	return h, h.String() == text
}

// Hasher computes the Hash of a request.
type Hasher struct{ digest hash.Hash }

// NewHasher returns a Hasher for a request of an organisation, "" for none, to a host and a
// target. The body is added by Write.
func NewHasher(organisation, method, host, target string) *Hasher {
	h := &Hasher{digest: sha256.New()}
	for _, part := range []string{organisation, method, host, target} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.digest.Write(size[:]) // Writes to a hash never fail.
		_, _ = io.WriteString(h.digest, part)
	}
	return h
}

// Content identifies a request by the keys under which it may be held.
type Content struct {
	// Request is the hash of the whole request.
	Request Hash
	// Shared identify what other requests may have in common with it, the narrowest first.
	Shared []Hash
}

// keys returns all keys of the request, the narrowest first.
func (c *Content) keys() iter.Seq[Hash] {
	return func(yield func(Hash) bool) {
		if !yield(c.Request) {
			return
		}
		for _, key := range c.Shared {
			if !yield(key) {
				return
			}
		}
	}
}

// size returns the number of keys.
func (c *Content) size() int { return 1 + len(c.Shared) }

// has reports whether a request has a key.
func (c *Content) has(key Hash) bool { return key == c.Request || slices.Contains(c.Shared, key) }

// hasAll reports whether a request has all of the given keys.
func (c *Content) hasAll(keys []Hash) bool {
	return !slices.ContainsFunc(keys, func(key Hash) bool { return !c.has(key) })
}

// MaxSharedParts bounds the parts of a prompt that have keys. Of longer prompts, these are the first
// and the last ones.
const MaxSharedParts = 16

// SharedKeys returns the keys for the parts of a prompt, in the order of the prompt, that other
// requests may share. A part has a key within the organisation and one for all of them: the latter
// is held only if requests of several organisations have crashed engines under it, so that no
// organisation can have another one's requests held. Later parts of a prompt occur in fewer requests.
func SharedKeys(service, organisation string, parts []string) []Hash {
	if len(parts) > MaxSharedParts {
		parts = slices.Concat(parts[:MaxSharedParts/2], parts[len(parts)-MaxSharedParts/2:])
	}
	keys := make([]Hash, 0, 2*len(parts))
	for _, scope := range []string{organisation, ""} {
		for _, part := range slices.Backward(parts) {
			if key := partHash(service, scope, part); !slices.Contains(keys, key) {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// PartHash returns the hash that identifies a part of prompts to the engines of a service, whatever
// request it occurs in.
func PartHash(service, part string) Hash { return partHash(service, "", part) }

func partHash(service, organisation, part string) Hash {
	text := make([]byte, 0, 128)
	for _, field := range []string{"prompt part", service, organisation, part} {
		text = binary.LittleEndian.AppendUint64(text, uint64(len(field)))
		text = append(text, field...)
	}
	sum := sha256.Sum256(text)
	return Hash(sum[:len(Hash{})])
}

// Write adds a part of the body. It never fails.
func (h *Hasher) Write(p []byte) (int, error) { return h.digest.Write(p) }

// Sum returns the hash of the request so far.
func (h *Hasher) Sum() (sum Hash) {
	copy(sum[:], h.digest.Sum(nil))
	return sum
}
