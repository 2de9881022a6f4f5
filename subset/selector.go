package subset

import (
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Selector caches the last selection, so that a configuration change that does not
// affect the daemons and engines is cheap. The zero value is ready for use. A
// Selector is safe for concurrent use.
type Selector struct {
	mu   sync.Mutex
	key  uint64
	last Selection
}

// Choose is like the function Choose, with the result cached.
func (s *Selector) Choose(self string, daemons []string, engines []*bronzeturnv1.Engine, size int) Selection {
	key := inputKey(self, daemons, engines, size)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.key != key {
		s.last = Choose(self, daemons, engines, size)
		s.key = key
	}
	return s.last
}

// inputKey returns a hash of all inputs of a selection. It is never zero, which
// stands for no selection.
func inputKey(self string, daemons []string, engines []*bronzeturnv1.Engine, size int) uint64 {
	d := xxhash.New()
	add := func(text string) {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	add(self)
	add(strconv.Itoa(size))
	for _, name := range withSelf(self, daemons) {
		add(name)
	}
	for _, e := range engines {
		add("")
		add(e.GetName())
		add(e.GetDataCentre())
		for _, version := range slices.Sorted(slices.Values(e.GetVersions())) {
			add(version)
		}
	}
	return max(d.Sum64(), 1)
}
