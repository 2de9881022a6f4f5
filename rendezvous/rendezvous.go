// Package rendezvous selects preferred owners of keys by rendezvous (highest random weight)
// hashing. The result depends only on the key and the set of names. Keys are distributed
// evenly, or in proportion to the weights of the names, and removing a name moves only the keys
// that it owned.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Set is an immutable set of names with precomputed hashes. It is safe for concurrent use, and
// Owner does not allocate.
type Set struct {
	names  []string
	hashes []uint64
	// weights is nil if all names have the same weight.
	weights []float64
}

// NewSet returns the set of the names. Their order does not matter.
func NewSet(names []string) *Set { return (*Set)(nil).WithNames(names) }

// WithNames returns the set of the names, all of the same weight. It reuses the hashes of the
// names that are also in s, which may be nil. The order of the names does not matter.
func (s *Set) WithNames(names []string) *Set {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	next := &Set{names: sorted, hashes: make([]uint64, len(sorted))}
	pos := 0
	for i, name := range sorted {
		for s != nil && pos < len(s.names) && s.names[pos] < name {
			pos++
		}
		if s != nil && pos < len(s.names) && s.names[pos] == name {
			next.hashes[i] = s.hashes[pos]
			continue
		}
		next.hashes[i] = xxhash.Sum64String(name)
	}
	return next
}

// NewWeighted returns the set of names with their weights: a name with twice the weight owns
// about twice as many keys. A weight that is not greater than 0 is treated as 1. If all weights
// are equal, the set ranks names like one returned by NewSet.
func NewWeighted(weights map[string]float64) *Set {
	names := make([]string, 0, len(weights))
	for name := range weights {
		names = append(names, name)
	}
	s := NewSet(names)
	s.weights = make([]float64, len(s.names))
	even := true
	for i, name := range s.names {
		s.weights[i] = 1
		if w := weights[name]; w > 0 {
			s.weights[i] = w
		}
		even = even && s.weights[i] == s.weights[0]
	}
	if even {
		s.weights = nil
	}
	return s
}

// Names returns the names in order. The slice must not be modified.
func (s *Set) Names() []string { return s.names }

// Len returns the number of names.
func (s *Set) Len() int { return len(s.names) }

// Owner returns the preferred owner of key, or "" if the set is empty.
func (s *Set) Owner(key string) string {
	keyHash := xxhash.Sum64String(key)
	best := -1
	var bestScore score
	for i := range s.hashes {
		scored := s.score(keyHash, i)
		if best < 0 || scored.compare(bestScore) > 0 {
			best, bestScore = i, scored
		}
	}
	if best < 0 {
		return ""
	}
	return s.names[best]
}

// Top returns the n most preferred names for key, the owner first, or all names if the set has
// fewer.
func (s *Set) Top(key string, n int) []string {
	keyHash := xxhash.Sum64String(key)
	order := make([]int, len(s.names))
	scores := make([]score, len(s.names))
	for i := range order {
		order[i] = i
		scores[i] = s.score(keyHash, i)
	}
	slices.SortFunc(order, func(a, b int) int {
		if c := scores[b].compare(scores[a]); c != 0 {
			return c
		}
		return a - b
	})
	n = max(0, min(n, len(order)))
	top := make([]string, n)
	for i := range top {
		top[i] = s.names[order[i]]
	}
	return top
}

// score ranks one name for one key. Equal weighted scores are ordered by the hash.
type score struct {
	weighted float64
	hash     uint64
}

// compare returns a positive number if s ranks before other.
func (s score) compare(other score) int {
	if c := cmp.Compare(s.weighted, other.weighted); c != 0 {
		return c
	}
	return cmp.Compare(s.hash, other.hash)
}

// score returns the score of the i-th name for a key. With the hash scaled to a number u
// between 0 and 1, the weighted score is -weight/ln(u): the probability that a name has the
// highest score is then proportional to its weight.
func (s *Set) score(keyHash uint64, i int) score {
	hash := mix(keyHash ^ s.hashes[i])
	if s.weights == nil {
		return score{hash: hash}
	}
	u := (float64(hash>>1) + 0.5) / (1 << 63)
	return score{weighted: -s.weights[i] / math.Log(u), hash: hash}
}

// Owner returns the preferred owner of key among names, or "" if there are none. For repeated
// lookups use a Set.
func Owner(key string, names []string) string {
	return NewSet(names).Owner(key)
}

// Top returns the n most preferred names for key among names, the owner first.
func Top(key string, names []string, n int) []string {
	return NewSet(names).Top(key, n)
}

// mix is the 64-bit finalizer of MurmurHash3. It spreads every input bit over the whole word,
// so that the combined hashes of key and name are independent.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
