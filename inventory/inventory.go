// Package inventory keeps the engines that register themselves in the store and
// vanish from it. It is a list of what may get new work, nothing else: load and
// health live in package balance.
package inventory

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Engine is one start of an engine. A restart is another Engine, even under the same
// id and at the same address: it holds and knows nothing of before.
type Engine struct {
	// ID is the instance, by which the engine knows itself. Key tells its starts apart.
	ID string
	// Started is when it started, by its own clock; zero when it does not tell.
	Started time.Time
	Service string
	// Address is the IP and port that takes requests.
	Address    string
	DataCentre string
	// Version is that of the engine's software or weights.
	Version string
	Slots   int
	// Draining engines finish what they have and get nothing new.
	Draining bool

	// key is what Key returns, worked out once for the engines of a Set: with thousands
	// of them it took most of the time of a change.
	key string
}

// Registration is what an engine says of itself.
type Registration struct {
	Engine Engine
	// ColdFor is how much longer the engine is cold, as of when it said so.
	ColdFor time.Duration
}

// keySeparator stands between id and start in a key. Ids of engines do not have it.
const keySeparator = "@"

// Key names this start of the engine. Whatever is remembered of an engine is
// remembered by its key, so that another start under the same id begins anew.
func (e Engine) Key() string {
	if e.key != "" {
		return e.key
	}
	if e.Started.IsZero() {
		return e.ID
	}
	return e.ID + keySeparator + strconv.FormatInt(e.Started.UnixMilli(), 10)
}

// View is an immutable list of the engines that may get new work.
type View struct {
	// Engines are in the order of their keys.
	Engines []Engine
	// Generation rises with every change.
	Generation uint64

	byKey map[string]int
}

// Engine returns the engine with the key.
func (v *View) Engine(key string) (Engine, bool) {
	i, ok := v.byKey[key]
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
	mu sync.Mutex
	// listed and lapsed are by key.
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
	registered := make(map[string]bool, len(engines))
	for _, e := range engines {
		e.key = e.Key()
		next[e.key] = e
		registered[e.ID] = true
	}
	if outage {
		for key, e := range s.listed {
			if !e.Draining {
				s.lapsed[key] = lapse{engine: e, until: now.Add(s.grace)}
			}
		}
	}
	// An engine that is back is listed; one that has started anew is not its old self.
	maps.DeleteFunc(s.lapsed, func(_ string, l lapse) bool { return registered[l.engine.ID] })
	s.listed = next
	s.rebuild()
}

// Expire drops the engines that are still missing after the grace. It returns
// when to call again, or zero.
func (s *Set) Expire(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next time.Time
	expired := false
	for key, l := range s.lapsed {
		switch {
		case !now.Before(l.until):
			delete(s.lapsed, key)
			expired = true
		case next.IsZero() || l.until.Before(next):
			next = l.until
		}
	}
	if expired {
		s.rebuild()
	}
	return next
}

// Forget drops the engine with the key at once, because another one answered at its
// address.
func (s *Set) Forget(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listed, key)
	delete(s.lapsed, key)
	s.rebuild()
}

// rebuild makes the view anew and tells of a change. The caller holds mu.
func (s *Set) rebuild() {
	v := &View{byKey: make(map[string]int)}
	for e := range maps.Values(s.listed) {
		if !e.Draining {
			v.Engines = append(v.Engines, e)
		}
	}
	for l := range maps.Values(s.lapsed) {
		v.Engines = append(v.Engines, l.engine)
	}
	slices.SortFunc(v.Engines, func(a, b Engine) int { return cmp.Compare(a.Key(), b.Key()) })
	if slices.Equal(v.Engines, s.view.Engines) {
		return
	}
	for i, e := range v.Engines {
		v.byKey[e.Key()] = i
	}
	old := s.view
	v.Generation = old.Generation + 1
	s.view = v
	s.changed(old, v)
}
