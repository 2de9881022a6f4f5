// Package inventory keeps the engines that register themselves in the store and
// vanish from it. It is a list of what may get new work, nothing else: load and
// health live in package balance.
package inventory

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
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
	// Engines are sorted by key. Successive views share unmodified engines, which must not
	// be modified.
	Engines []*Engine
	// Generation rises with every change.
	Generation uint64
}

// Engine returns the engine with the key.
func (v *View) Engine(key string) (Engine, bool) {
	pos, known := find(v.Engines, key)
	if !known {
		return Engine{}, false
	}
	return *v.Engines[pos], true
}

// find returns the position of a key in a list sorted by key and whether it is present.
func find(engines []*Engine, key string) (int, bool) {
	return slices.BinarySearchFunc(engines, key, func(e *Engine, key string) int { return cmp.Compare(e.key, key) })
}

// lapse is an engine whose entry vanished with an outage.
type lapse struct {
	engine *Engine
	until  time.Time
}

// Change is a change to the registrations.
type Change struct {
	// Registered are the new and changed registrations.
	Registered []Engine
	// Removed are the ids of engines that are no longer registered.
	Removed []string
	// Outage reports whether the store has just recovered from an outage. Removed engines
	// then stay in use until the grace period ends.
	Outage bool
}

// Set follows the registrations. The cost of a change is proportional to its size, except
// for copying the view's slice of pointers. It is safe for concurrent use.
type Set struct {
	mu sync.Mutex
	// listed and lapsed are keyed by id.
	listed map[string]*Engine
	lapsed map[string]lapse
	// forgotten are the keys of listed engines that Forget has removed from the view.
	forgotten map[string]struct{}
	// interned are the names of services, data centres and versions, shared by all engines.
	interned map[string]string
	grace    time.Duration
	view     *View
	changed  func(old, now *View)
}

// New returns an empty set that calls changed after every change, one call at a
// time. The grace is how long an engine whose entry vanished with an outage of
// the store is still used: most that live have registered again by then, and one
// that has really left must get no work much longer.
func New(grace time.Duration, changed func(old, now *View)) *Set {
	return &Set{
		listed: make(map[string]*Engine), lapsed: make(map[string]lapse), forgotten: make(map[string]struct{}),
		interned: make(map[string]string), grace: grace, view: &View{}, changed: changed,
	}
}

// View returns the newest view.
func (s *Set) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Apply applies a change.
func (s *Set) Apply(c Change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit := newViewEdit(s.view)
	for _, id := range c.Removed {
		s.remove(id, c.Outage, now, edit)
	}
	for _, e := range c.Registered {
		s.register(e, edit)
	}
	s.commit(edit)
}

// register adds or updates an engine. The caller holds mu.
func (s *Set) register(e Engine, edit *viewEdit) {
	e.key = e.Key()
	e.ID = e.key[:len(e.ID)]
	e.Service, e.DataCentre, e.Version = s.intern(e.Service), s.intern(e.DataCentre), s.intern(e.Version)
	previous := s.listed[e.ID]
	if l, lapsed := s.lapsed[e.ID]; lapsed {
		// It is registered again, or has restarted and counts as another engine.
		delete(s.lapsed, e.ID)
		edit.remove(l.engine)
	}
	if previous != nil && *previous == e {
		if _, forgotten := s.forgotten[e.key]; !forgotten && !e.Draining {
			edit.put(previous)
		}
		return
	}
	if previous != nil {
		edit.remove(previous)
		delete(s.forgotten, previous.key)
	}
	s.listed[e.ID] = &e
	if !e.Draining {
		edit.put(&e)
	}
}

// intern returns a shared copy of a string. The caller holds mu.
func (s *Set) intern(name string) string {
	if known, ok := s.interned[name]; ok {
		return known
	}
	if len(s.interned) >= maxInterned {
		clear(s.interned)
	}
	name = strings.Clone(name)
	s.interned[name] = name
	return name
}

// maxInterned bounds the number of interned strings.
const maxInterned = 1024

// remove removes a registration. After an outage, an engine that takes work stays in use
// for the grace period. The caller holds mu.
func (s *Set) remove(id string, outage bool, now time.Time, edit *viewEdit) {
	e := s.listed[id]
	if e == nil {
		return
	}
	_, forgotten := s.forgotten[e.key]
	delete(s.listed, id)
	delete(s.forgotten, e.key)
	if outage && !e.Draining && !forgotten {
		s.lapsed[id] = lapse{engine: e, until: now.Add(s.grace)}
		return
	}
	edit.remove(e)
}

// Expire drops the engines that are still missing after the grace. It returns
// when to call again, or zero.
func (s *Set) Expire(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next time.Time
	edit := newViewEdit(s.view)
	for id, l := range s.lapsed {
		switch {
		case !now.Before(l.until):
			delete(s.lapsed, id)
			edit.remove(l.engine)
		case next.IsZero() || l.until.Before(next):
			next = l.until
		}
	}
	s.commit(edit)
	return next
}

// Exclude drops the engine with the key at once, because another one answered at its
// address. Its entry is ignored until it changes.
func (s *Set) Exclude(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pos, known := find(s.view.Engines, key)
	if !known {
		return
	}
	e := s.view.Engines[pos]
	if s.listed[e.ID] == e {
		s.forgotten[key] = struct{}{}
	}
	delete(s.lapsed, e.ID)
	edit := newViewEdit(s.view)
	edit.remove(e)
	s.commit(edit)
}

// commit replaces the view with the edited one and calls changed if they differ. The
// caller holds mu.
func (s *Set) commit(edit *viewEdit) {
	engines, changed := edit.result()
	if !changed {
		return
	}
	old := s.view
	s.view = &View{Engines: engines, Generation: old.Generation + 1}
	s.changed(old, s.view)
}
