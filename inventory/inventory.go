// Package inventory keeps the engines that register themselves in the store and
// vanish from it. It is a list of what may get new work, nothing else: load and
// health live in package balance.
package inventory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Engine is one start of an engine. A restart is a new Engine, even at the same
// address.
type Engine struct {
	// ID is the instance, unique for all time.
	ID      string
	Service string
	// Address is the IP and port that takes requests.
	Address    string
	DataCentre string
	// Version is that of the engine's software or weights.
	Version string
	Slots   int
	// Draining engines finish what they have and get nothing new.
	Draining bool
}

// View is an immutable list of the engines that may get new work.
type View struct {
	// Engines are in the order of their ids.
	Engines []Engine
	// Generation rises with every change.
	Generation uint64

	byID map[string]int
}

// Engine returns the engine with the id.
func (v *View) Engine(id string) (Engine, bool) {
	i, ok := v.byID[id]
	if !ok {
		return Engine{}, false
	}
	return v.Engines[i], true
}

// lapse is an engine whose entry vanished with an outage.
type lapse struct {
	engine Engine
	until  time.Time
}

// Set follows the registrations. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	listed  map[string]Engine
	lapsed  map[string]lapse
	grace   time.Duration
	view    *View
	changed func(old, now *View)
}

// New returns an empty set that calls changed after every change, one call at a
// time. The grace is how long an engine whose entry vanished with an outage of
// the store is still used: most that live have registered again by then, and one
// that has really left must get no work much longer.
func New(grace time.Duration, changed func(old, now *View)) *Set {
	return &Set{
		listed: make(map[string]Engine), lapsed: make(map[string]lapse),
		grace: grace, view: &View{}, changed: changed,
	}
}

// View returns the newest view.
func (s *Set) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Replace takes in the registrations of now. With outage set, the store has just
// come back from an outage: engines whose entries are missing stay in use until
// Expire finds them missing after the grace.
func (s *Set) Replace(engines []Engine, outage bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]Engine, len(engines))
	for _, e := range engines {
		next[e.ID] = e
		delete(s.lapsed, e.ID)
	}
	if outage {
		for id, e := range s.listed {
			if _, still := next[id]; !still && !e.Draining {
				s.lapsed[id] = lapse{engine: e, until: now.Add(s.grace)}
			}
		}
	}
	s.listed = next
	s.rebuild()
}

// Expire drops the engines that are still missing after the grace. It returns
// when to call again, or zero.
func (s *Set) Expire(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next time.Time
	for id, l := range s.lapsed {
		switch {
		case !now.Before(l.until):
			delete(s.lapsed, id)
		case next.IsZero() || l.until.Before(next):
			next = l.until
		}
	}
	s.rebuild()
	return next
}

// Forget drops one engine at once, because another one answered at its address.
func (s *Set) Forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listed, id)
	delete(s.lapsed, id)
	s.rebuild()
}

// rebuild makes the view anew and tells of a change. The caller holds mu.
func (s *Set) rebuild() {
	v := &View{byID: make(map[string]int)}
	for e := range maps.Values(s.listed) {
		if !e.Draining {
			v.Engines = append(v.Engines, e)
		}
	}
	for l := range maps.Values(s.lapsed) {
		v.Engines = append(v.Engines, l.engine)
	}
	slices.SortFunc(v.Engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(v.Engines, s.view.Engines) {
		return
	}
	for i, e := range v.Engines {
		v.byID[e.ID] = i
	}
	old := s.view
	v.Generation = old.Generation + 1
	s.view = v
	s.changed(old, v)
}
