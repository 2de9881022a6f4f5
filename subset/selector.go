package subset

import (
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Selector remembers the last selection, so that a change of the configuration
// that leaves daemons and engines alone costs little. The zero value is ready
// for use, also concurrently.
type Selector struct {
	mu   sync.Mutex
	key  uint64
	last Selection
}

// Choose returns what the function Choose does.
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

// inputKey digests everything that a selection depends on. Zero stands for no
// selection yet.
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
