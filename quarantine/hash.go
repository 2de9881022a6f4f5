// Package quarantine finds the requests that crash the engines that run them, and keeps
// them away from engines. Such a request comes again under other ids, from its caller and
// by repeats of daemons, so nothing that one daemon knows of one attempt tells.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Hash identifies the work that a request asks for, whatever its id, connection, session
// or daemon. It is cryptographic, so that no organisation can craft a request that counts
// as another one's.
type Hash [16]byte

// String returns the hash as in logs.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Strings returns hashes as in logs.
func Strings(hashes []Hash) []string {
	texts := make([]string, len(hashes))
	for i, h := range hashes {
		texts[i] = h.String()
	}
	return texts
}

// ParseHash reads what String returns. It reports false for anything else.
func ParseHash(text string) (Hash, bool) {
	var h Hash
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(h) {
		return Hash{}, false
	}
	copy(h[:], data)
	return h, h.String() == text
}

// Hasher takes in a request.
type Hasher struct{ digest hash.Hash }

// NewHasher returns a Hasher of a request of an organisation, "" for none, to a host and
// target, without its body.
func NewHasher(organisation, method, host, target string) *Hasher {
	h := &Hasher{digest: sha256.New()}
	for _, part := range []string{organisation, method, host, target} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.digest.Write(size[:]) // A hash takes every write.
		_, _ = io.WriteString(h.digest, part)
	}
	return h
}

// Write takes in a piece of the body. It never fails.
func (h *Hasher) Write(p []byte) (int, error) { return h.digest.Write(p) }

// Sum returns the hash of what was taken in.
func (h *Hasher) Sum() (sum Hash) {
	copy(sum[:], h.digest.Sum(nil))
	return sum
}
