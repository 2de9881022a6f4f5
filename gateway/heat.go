package gateway

import (
	"math"
	"sync"
	"time"
)

const (
	// heatHalfLife halves the remembered work of a prefix.
	heatHalfLife = 4 * time.Second
	// homeLoad is the part of an engine's time that the requests of one prefix may
	// take before another engine reads the prefix too.
	homeLoad = 0.35
	// maxHeat bounds the prefixes remembered; coldHeat is the work in engine
	// seconds below which one is forgotten then.
	maxHeat  = 8192
	coldHeat = 0.01
)

// heats remember how much work the requests of each prefix have been of late, so
// that a prefix that much of the traffic is about is read by more engines. Each
// daemon sees its own requests only and takes the others' to be alike.
type heats struct {
	mu       sync.Mutex
	byPrefix map[uint64]heat
}

// heat is decayed work in engine seconds as of a time.
type heat struct {
	work float64
	at   time.Time
}

func newHeats() *heats { return &heats{byPrefix: make(map[uint64]heat)} }

// decayed returns the work as of now.
func (h heat) decayed(now time.Time) float64 {
	return h.work * math.Exp2(-now.Sub(h.at).Seconds()/heatHalfLife.Seconds())
}

// add takes in one request and returns how many engines should read its prefix, in a
// fleet of so many daemons. What counts is the work before this request: of a large
// fleet's traffic one daemon sees so little that a single request, taken for what every
// daemon sees, would make any prefix look hot. Among 295 daemons it then had 17 homes,
// each of which read it anew.
func (s *heats) add(prefix uint64, work float64, daemons int, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	before := s.byPrefix[prefix].decayed(now)
	s.byPrefix[prefix] = heat{work: before + work, at: now}
	rate := before * math.Ln2 / heatHalfLife.Seconds()
	return 1 + int(rate*float64(max(daemons, 1))/homeLoad)
}

// forget drops cold prefixes when there are too many. The caller holds mu.
func (s *heats) forget(now time.Time) {
	if len(s.byPrefix) < maxHeat {
		return
	}
	for prefix, h := range s.byPrefix {
		if h.decayed(now) < coldHeat {
			delete(s.byPrefix, prefix)
		}
	}
	if len(s.byPrefix) >= maxHeat {
		clear(s.byPrefix)
	}
}
