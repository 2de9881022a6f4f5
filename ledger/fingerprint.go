package ledger

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Class is the kind of a record. Each class has its own key space.
type Class uint8

// Classes of records.
const (
	ClassClaim Class = 1
	ClassPin   Class = 2
	ClassBill  Class = 3
)

// idBytes is the length of fingerprints and nonces.
const idBytes = 16

// fingerprint identifies a (class, organisation, key). It is a truncated
// cryptographic hash, so that no organisation can construct a key that collides
// with another organisation's.
type fingerprint [idBytes]byte

// Nonce identifies one attempt to create a record. It is unique per attempt.
type Nonce [idBytes]byte

// newNonce returns a fresh random nonce.
func newNonce() Nonce {
	var n Nonce
	rand.Read(n[:]) // never fails, see crypto/rand
	return n
}

// fingerprintOf hashes a class, organisation and key. The organisation's length
// is hashed too, so that moving bytes between organisation and key gives
// another fingerprint.
func fingerprintOf(class Class, organisation, key string) fingerprint {
	buf := make([]byte, 0, 128)
	buf = append(buf, byte(class))
	buf = binary.AppendUvarint(buf, uint64(len(organisation)))
	buf = append(buf, organisation...)
	buf = append(buf, key...)
	sum := sha256.Sum256(buf)
	return fingerprint(sum[:idBytes])
}

// shardOf maps a fingerprint to one of n shards.
func shardOf(fp fingerprint, n uint32) uint32 {
	return uint32(xxhash.Sum64(fp[:]) % uint64(n))
}

// toFingerprint converts bytes received over the wire. ok is false if the
// length is wrong.
func toFingerprint(b []byte) (fp fingerprint, ok bool) {
	if len(b) != idBytes {
		return fp, false
	}
	return fingerprint(b), true
}
