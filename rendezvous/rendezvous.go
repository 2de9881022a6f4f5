// Package rendezvous chooses preferred owners of keys by rendezvous (highest
// random weight) hashing. The choice depends only on the key and the set of
// names: it is even, and removing a name moves only the keys it owned.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Set is an immutable set of names with their hashes worked out. It is safe
// for concurrent use, and Owner does not allocate.
type Set struct {
	names  []string
	hashes []uint64
}

// NewSet returns the set of names. The order of names does not matter.
func NewSet(names []string) *Set {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	hashes := make([]uint64, len(sorted))
	for i, name := range sorted {
		hashes[i] = xxhash.Sum64String(name)
	}
	return &Set{names: sorted, hashes: hashes}
}

// Len returns the number of names.
func (s *Set) Len() int { return len(s.names) }

// Owner returns the preferred owner of key, or "" when the set is empty.
func (s *Set) Owner(key string) string {
	keyHash := xxhash.Sum64String(key)
	best := -1
	var bestScore uint64
	for i, h := range s.hashes {
		score := mix(keyHash ^ h)
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return ""
	}
	return s.names[best]
}

// Top returns the n most preferred names for key, the owner first. It returns
// fewer when the set is smaller.
func (s *Set) Top(key string, n int) []string {
	keyHash := xxhash.Sum64String(key)
	order := make([]int, len(s.names))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return compareScores(mix(keyHash^s.hashes[a]), mix(keyHash^s.hashes[b]), a, b)
	})
	n = max(0, min(n, len(order)))
	top := make([]string, n)
	for i := range top {
		top[i] = s.names[order[i]]
	}
	return top
}

// Owner returns the preferred owner of key among names, or "" without names.
// Callers that ask often should keep a Set.
func Owner(key string, names []string) string {
	return NewSet(names).Owner(key)
}

// Top returns the n most preferred names for key among names, the owner first.
func Top(key string, names []string, n int) []string {
	return NewSet(names).Top(key, n)
}

// compareScores orders the higher score first and breaks ties by position.
func compareScores(x, y uint64, i, j int) int {
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	default:
		return i - j
	}
}

// mix is the 64-bit finalizer of MurmurHash3. It spreads every input bit over
// the whole word, so that the combined hashes of key and name are independent.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
