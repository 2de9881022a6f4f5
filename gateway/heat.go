package gateway

import (
	"math"
	"sync"
	"time"
)

const (
	// prefixLoadHalfLife is the half-life of the decaying load of a prefix.
	prefixLoadHalfLife = 4 * time.Second
	// maxHomeUtilization is the share of an engine's time that the requests of one prefix
	// may take before another engine becomes a home of the prefix.
	maxHomeUtilization = 0.35
	// maxPrefixes bounds the number of prefixes tracked. When it is reached, prefixes with
	// less than minPrefixWork engine seconds are evicted.
	maxPrefixes   = 8192
	minPrefixWork = 0.01
)

// prefixLoads tracks the recent load of each prefix, so that a prefix with much traffic is
// cached by more engines. Each daemon sees its own requests only and assumes that the
// other daemons see the same load.
type prefixLoads struct {
	mu       sync.Mutex
	byPrefix map[uint64]prefixLoad
}

// prefixLoad is exponentially decayed work in engine seconds as of a time.
type prefixLoad struct {
	work float64
	at   time.Time
}

func newPrefixLoads() *prefixLoads { return &prefixLoads{byPrefix: make(map[uint64]prefixLoad)} }

// decayed returns the work as of now.
func (l prefixLoad) decayed(now time.Time) float64 {
	return l.work * math.Exp2(-now.Sub(l.at).Seconds()/prefixLoadHalfLife.Seconds())
}

// add records one request and returns the number of engines that should cache its prefix,
// in a fleet of the given number of daemons. The result is based on the load before this
// request: in a large fleet one daemon sees so little of the traffic that a single request,
// multiplied by the number of daemons, would make any prefix look hot. With 295 daemons
// a prefix then had 17 homes, each of which had to read it.
func (s *prefixLoads) add(prefix uint64, work float64, daemons int, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(now)
	before := s.byPrefix[prefix].decayed(now)
	s.byPrefix[prefix] = prefixLoad{work: before + work, at: now}
	rate := before * math.Ln2 / prefixLoadHalfLife.Seconds()
	return 1 + int(rate*float64(max(daemons, 1))/maxHomeUtilization)
}

// evict drops prefixes of low load if there are too many. The caller holds mu.
func (s *prefixLoads) evict(now time.Time) {
	if len(s.byPrefix) < maxPrefixes {
		return
	}
	for prefix, l := range s.byPrefix {
		if l.decayed(now) < minPrefixWork {
			delete(s.byPrefix, prefix)
		}
	}
	if len(s.byPrefix) >= maxPrefixes {
		clear(s.byPrefix)
	}
}
