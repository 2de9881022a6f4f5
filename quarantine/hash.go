// Package quarantine identifies the requests that crash the engines that run them, and keeps
// them away from engines. Such a request comes back with other ids, because its caller repeats
// it or daemons retry it. So it is identified by its content, and the crashes that all daemons
// detect count together.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
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

// PartHash returns the hash that identifies a part of prompts to the engines of a service, whatever
// request it occurs in.
func PartHash(service, part string) Hash { return NewHasher("", "PART", service, part).Sum() }

// Write adds a part of the body. It never fails.
func (h *Hasher) Write(p []byte) (int, error) { return h.digest.Write(p) }

// Sum returns the hash of the request so far.
func (h *Hasher) Sum() (sum Hash) {
	copy(sum[:], h.digest.Sum(nil))
	return sum
}
