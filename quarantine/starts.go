package quarantine

import (
	"maps"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/inventory"
)

const (
	// sameCrashWindow is the time within which two reports of a crash of an engine count as one
	// crash. It exceeds the delay between daemons and is shorter than the time in which an
	// engine loads its weights and crashes again.
	sameCrashWindow = time.Second
	// maxTrackedEngines is the number of tracked engines from which entries older than
	// evidenceTTL are removed.
	maxTrackedEngines = 4096
)

// StartTracker identifies the starts of engines that do not report their start time, by the
// crashes that this daemon detected or that were reported to it. Without it, two crashes of one
// engine would count as one. It is safe for concurrent use.
type StartTracker struct {
	mu   sync.Mutex
	byID map[string]engineStarts
}

// engineStarts holds the last two starts of an engine, each identified by the time at which
// this daemon learned of the crash before it. The first start is the zero time.
type engineStarts struct {
	current, previous time.Time
}

// NewStartTracker returns a StartTracker without any crashes.
func NewStartTracker() *StartTracker { return &StartTracker{byID: make(map[string]engineStarts)} }

// Current returns e with its current start.
func (s *StartTracker) Current(e inventory.Engine) inventory.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Started = s.byID[e.ID].current
	return e
}

// RecordCrash records the crash of the given start of an engine. It ignores crashes of earlier
// starts.
func (s *StartTracker) RecordCrash(e inventory.Engine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Started.Equal(s.byID[e.ID].current) {
		s.advance(e.ID, now)
	}
}

// RecordReported records a crash that another daemon detected, unless it is already known, and
// returns e with the start that crashed, as this daemon identifies it.
func (s *StartTracker) RecordReported(e inventory.Engine, now time.Time) inventory.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byID[e.ID]
	if !known.current.IsZero() && now.Sub(known.current) < sameCrashWindow {
		e.Started = known.previous
		return e
	}
	e.Started = known.current
	s.advance(e.ID, now)
	return e
}

// advance makes now the current start of an engine. The caller holds mu.
func (s *StartTracker) advance(id string, now time.Time) {
	if len(s.byID) >= maxTrackedEngines {
		maps.DeleteFunc(s.byID, func(_ string, one engineStarts) bool { return now.Sub(one.current) > evidenceTTL })
	}
	s.byID[id] = engineStarts{current: now, previous: s.byID[id].current}
}
