// Package inventory maintains the list of engines that may get new requests, from their
// registrations in the store. Load and health are tracked by package balance.
package inventory

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is one run of an engine process. After a restart it is a different Engine, even
// with the same id and address, as it has lost its state.
type Engine struct {
	// ID identifies the instance and stays the same across restarts, unlike Key.
	ID string
	// Started is the start time by the clock of the engine, zero if it does not report one.
	Started time.Time
	Service string
	// Address is the IP address and port for requests.
	Address    string
	DataCentre string
	// Version is the version of the engine's software or weights.
	Version string
	Slots   int
	// Draining is set if the engine finishes its current requests and gets no new ones.
	Draining bool

	// key caches the result of Key for the engines of a Set. With thousands of engines,
	// computing the keys took most of the time of a change.
	key string
}

// Registration is an engine's report about itself.
type Registration struct {
	Engine Engine
	// ColdFor is the time for which the engine remains cold, as of the registration.
	ColdFor time.Duration
}

// keySeparator separates the id and the start time in a key. Ids do not contain it.
const keySeparator = "@"

// Key identifies this run of the engine. State about engines is kept by key, so that none
// of it applies to the engine after a restart.
func (e Engine) Key() string {
	if e.key != "" {
		return e.key
	}
	if e.Started.IsZero() {
		return e.ID
	}
	return e.ID + keySeparator + strconv.FormatInt(e.Started.UnixMilli(), 10)
}

// View is an immutable list of the engines that may get new requests.
type View struct {
	// Engines are sorted by key. Successive views share unmodified engines, which must not
	// be modified.
	Engines []*Engine
	// Generation is incremented with every change.
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

// Restarted reports whether an engine is known to have started again: another start of it is in the view.
func (v *View) Restarted(e Engine) bool {
	prefix := e.ID + keySeparator
	pos, _ := find(v.Engines, prefix)
	return pos < len(v.Engines) && strings.HasPrefix(v.Engines[pos].key, prefix) && v.Engines[pos].key != e.Key()
}

// find returns the position of a key in a list sorted by key and whether it is present.
func find(engines []*Engine, key string) (int, bool) {
	return slices.BinarySearchFunc(engines, key, func(e *Engine, key string) int { return cmp.Compare(e.key, key) })
}

// lapsedEngine is an engine whose registration was lost in an outage of the store. The engine
// stays in use until the time in until.
type lapsedEngine struct {
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
	// Restored reports whether the store has come back from a copy since the last change.
	// Engines that left or were removed before, and that the copy still has, stay out of use
	// until they register again or restoredGrace has passed. Removed must be set to the engines
	// that the copy lacks, Outage to true.
	Restored bool
}

// restoredGrace is how long the registration of an engine that had been removed before the store
// was restored is ignored, unless it changes. The store removes registrations that are not
// renewed for some seconds.
const restoredGrace = 10 * time.Second

// Set follows the registrations. The cost of a change is proportional to its size, except
// for copying the view's slice of pointers. It is safe for concurrent use.
type Set struct {
	mu sync.Mutex
	// listed and lapsed are keyed by id.
	listed map[string]*Engine
	lapsed map[string]lapsedEngine
	// excluded are the keys of listed engines that Exclude has removed from the view.
	excluded map[string]struct{}
	// leaving maps the keys of engines that have stated in answers that they leave to the time
	// of the first such answer.
	leaving map[string]time.Time
	// gone maps the keys of the engines whose registrations were removed to the time of the
	// removal. doubted maps the keys of those that a restored store has nevertheless to the
	// time until which they are ignored.
	gone, doubted map[string]time.Time
	// interned are the names of services, data centres and versions, shared by all engines.
	interned map[string]string
	grace    time.Duration
	view     *View
	changed  func(old, now *View)
}

// New returns an empty set that calls changed after every change, one call at a time.
// grace is the period for which an engine stays in use after its registration was lost
// in an outage of the store. It should be long enough for most running engines to
// register again, and short, as engines that have really stopped still get requests in
// it.
func New(grace time.Duration, changed func(old, now *View)) *Set {
	return &Set{
		listed: make(map[string]*Engine), lapsed: make(map[string]lapsedEngine), excluded: make(map[string]struct{}), leaving: make(map[string]time.Time),
		gone: make(map[string]time.Time), doubted: make(map[string]time.Time),
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
		if e.Draining {
			s.recordLeaving(e.Key(), now)
		}
	}
	if c.Restored {
		s.doubtGone(now, edit)
	} else {
		for _, e := range c.Registered {
			delete(s.gone, e.Key())
		}
	}
	s.commit(edit)
}

// recordLeaving records that an engine leaves. The caller holds mu.
func (s *Set) recordLeaving(key string, now time.Time) {
	if _, known := s.leaving[key]; !known {
		s.leaving[key] = now
	}
}

// doubtGone takes the engines out of use that a restored store has although they had been removed.
// The caller holds mu.
func (s *Set) doubtGone(now time.Time, edit *viewEdit) {
	for _, e := range s.listed {
		if _, gone := s.gone[e.key]; gone {
			s.doubted[e.key] = now.Add(restoredGrace)
			edit.remove(e)
		}
	}
}

// Doubt takes the engines with the keys out of use until they register again or restoredGrace has
// passed, because another daemon knows that they had been removed before the store was restored.
func (s *Set) Doubt(keys []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit := newViewEdit(s.view)
	for _, key := range keys {
		s.doubted[key] = now.Add(restoredGrace)
		if pos, used := find(s.view.Engines, key); used {
			edit.remove(s.view.Engines[pos])
		}
	}
	s.commit(edit)
}

// Doubted returns the keys of the engines that are ignored, because they had been removed before
// the store was restored.
func (s *Set) Doubted() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.doubted))
}

// RegisteredLeaving returns the keys of the engines that leave although their registrations do not
// say so.
func (s *Set) RegisteredLeaving() (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.listed {
		if _, leaves := s.leaving[e.key]; leaves && !e.Draining {
			keys = append(keys, e.key)
		}
	}
	return keys
}

// register adds or updates an engine. The caller holds mu.
func (s *Set) register(e Engine, edit *viewEdit) {
	e.key = e.Key()
	e.ID = e.key[:len(e.ID)]
	e.Service, e.DataCentre, e.Version = s.intern(e.Service), s.intern(e.DataCentre), s.intern(e.Version)
	previous := s.listed[e.ID]
	if l, lapsed := s.lapsed[e.ID]; lapsed {
		// The engine has registered again, or has restarted and is a different Engine.
		delete(s.lapsed, e.ID)
		edit.remove(l.engine)
	}
	if previous != nil && *previous == e {
		if _, excluded := s.excluded[e.key]; !excluded && s.usable(&e) {
			edit.put(previous)
		}
		return
	}
	if previous != nil {
		edit.remove(previous)
		delete(s.excluded, previous.key)
		delete(s.doubted, previous.key)
	}
	s.listed[e.ID] = &e
	if s.usable(&e) {
		edit.put(&e)
	}
}

// usable reports whether an engine may get requests by what is known beside its registration. The
// caller holds mu.
func (s *Set) usable(e *Engine) bool {
	_, doubted := s.doubted[e.key]
	return !doubted && !s.leaves(e)
}

// leaves reports whether an engine leaves, by its registration or by its answers. An engine that
// leaves does not return, and its registration may be late, so the first of them counts. The
// caller holds mu.
func (s *Set) leaves(e *Engine) bool {
	_, stated := s.leaving[e.key]
	return stated || e.Draining
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

// remove removes a registration. After an outage, an engine that was in use stays in use
// for the grace period. The caller holds mu.
func (s *Set) remove(id string, outage bool, now time.Time, edit *viewEdit) {
	e := s.listed[id]
	if e == nil {
		return
	}
	_, excluded := s.excluded[e.key]
	delete(s.listed, id)
	delete(s.excluded, e.key)
	delete(s.doubted, e.key)
	if !outage {
		s.gone[e.key] = now
	}
	if outage && !excluded && !s.leaves(e) {
		s.lapsed[id] = lapsedEngine{engine: e, until: now.Add(s.grace)}
		return
	}
	edit.remove(e)
}

// Expire removes the engines that have not registered again within the grace period. It
// returns the time for the next call, or zero if none is needed.
func (s *Set) Expire(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetLeft(now)
	var next time.Time
	edit := newViewEdit(s.view)
	s.endDoubts(now, edit)
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

// endDoubts puts the engines back into use whose registrations a restored store still has after
// restoredGrace. The caller holds mu.
func (s *Set) endDoubts(now time.Time, edit *viewEdit) {
	for key, until := range s.doubted {
		if now.Before(until) {
			continue
		}
		delete(s.doubted, key)
		id, _, _ := strings.Cut(key, keySeparator)
		if e := s.listed[id]; e != nil && e.key == key && s.usable(e) {
			edit.put(e)
		}
	}
}

// Exclude removes the engine with the key from the view at once, because another engine
// answered at its address. Its registration is ignored until it changes.
func (s *Set) Exclude(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pos, known := find(s.view.Engines, key)
	if !known {
		return
	}
	e := s.view.Engines[pos]
	if s.listed[e.ID] == e {
		s.excluded[key] = struct{}{}
	}
	s.drop(e)
}

// drop removes an engine from the view at once. The caller holds mu.
func (s *Set) drop(e *Engine) {
	delete(s.lapsed, e.ID)
	edit := newViewEdit(s.view)
	edit.remove(e)
	s.commit(edit)
}

// Leave removes an engine from the view at once, because it has stated in an answer that it
// leaves, and reports whether that was unknown. The engine does not come back under the same key.
func (s *Set) Leave(key string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.leaving[key]; known {
		return false
	}
	s.leaving[key] = now
	if pos, used := find(s.view.Engines, key); used {
		s.drop(s.view.Engines[pos])
	}
	return true
}

// keepLeaving is how long an engine that leaves is remembered without a registration, which may
// come back late.
const keepLeaving = 10 * time.Minute

// forgetLeft forgets the engines that left long ago. The caller holds mu.
func (s *Set) forgetLeft(now time.Time) {
	maps.DeleteFunc(s.leaving, func(key string, since time.Time) bool {
		id, _, _ := strings.Cut(key, keySeparator)
		e := s.listed[id]
		listed := e != nil && e.key == key
		return !listed && now.Sub(since) >= keepLeaving
	})
	maps.DeleteFunc(s.gone, func(_ string, at time.Time) bool { return now.Sub(at) >= keepGone })
}

// keepGone is how long an engine whose registration was removed is remembered. It exceeds the age
// of the copy from which a store may come back.
const keepGone = time.Minute

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
