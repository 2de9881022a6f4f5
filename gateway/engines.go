package gateway

import (
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/rendezvous"
)

// Engines holds the engines that may get new work, compiled for the balancer.
type Engines struct {
	View *inventory.View
	Plan *balance.Plan
	// specs holds the plan's entries for the engines of the view, nil for engines without
	// groups.
	specs []*bronzeturnv1.Engine
	// members holds the keys of the engines of each group, for prefix affinity.
	members map[string]*rendezvous.Set
}

// Group returns the name of the group of engines of a service that serve the version in
// force, or the one being introduced if trial is set.
func Group(service string, trial bool) string {
	if trial {
		return service + "/trial"
	}
	return service
}

// Assign returns the groups of an engine. An engine without groups gets no work.
type Assign func(e inventory.Engine) []string

// defaultSlots is the number of slots of an engine that does not report it.
const defaultSlots = 1

// NewEngines compiles a view. The balancer's state keeps its data on engines that remain.
func NewEngines(state *balance.State, view *inventory.View, assign Assign) *Engines {
	return (*Engines)(nil).Recompile(state, view, assign)
}

// Recompile compiles a newer view, reusing the parts of e that did not change. e may be
// nil.
func (e *Engines) Recompile(state *balance.State, view *inventory.View, assign Assign) *Engines {
	if e == nil {
		e = &Engines{View: &inventory.View{}}
	}
	next := &Engines{View: view, specs: make([]*bronzeturnv1.Engine, len(view.Engines)), members: make(map[string]*rendezvous.Set)}
	register := &bronzeturnv1.Register{Engines: make([]*bronzeturnv1.Engine, 0, len(view.Engines))}
	keys := make(map[string][]string)
	pos := 0 // Position in the previous view.
	for i, engine := range view.Engines {
		groups := assign(*engine)
		if len(groups) == 0 {
			continue
		}
		var spec *bronzeturnv1.Engine
		if spec, pos = e.findSpec(engine, pos); spec == nil || !slices.Equal(spec.Versions, groups) {
			spec = newSpec(engine, groups)
		}
		next.specs[i] = spec
		register.Engines = append(register.Engines, spec)
		for _, group := range groups {
			keys[group] = append(keys[group], engine.Key())
		}
	}
	for group, names := range keys {
		next.members[group] = e.members[group].WithNames(names)
	}
	next.Plan = state.Plan(register, nil)
	return next
}

// Serving returns the engines that may get requests for a service, of the version in force and of
// the one being introduced.
func (e *Engines) Serving(service string) (serving []inventory.Engine) {
	seen := make(map[string]bool)
	for _, trial := range []bool{false, true} {
		set, ok := e.members[Group(service, trial)]
		if !ok {
			continue
		}
		for _, key := range set.Names() {
			if engine, known := e.View.Engine(key); known && !seen[key] {
				seen[key] = true
				serving = append(serving, engine)
			}
		}
	}
	return serving
}

// serves reports whether an engine of a group runs a version.
func (e *Engines) serves(group, version string) bool {
	set, known := e.members[group]
	return known && slices.ContainsFunc(set.Names(), func(key string) bool {
		engine, ok := e.View.Engine(key)
		return ok && engine.Version == version
	})
}

// findSpec returns the plan's entry for an engine, or nil, and the position in the view at
// which to start the search for the next engine.
func (e *Engines) findSpec(engine *inventory.Engine, from int) (*bronzeturnv1.Engine, int) {
	for ; from < len(e.View.Engines); from++ {
		switch known := e.View.Engines[from]; {
		case known == engine:
			return e.specs[from], from + 1
		case known.Key() > engine.Key():
			return nil, from
		}
	}
	return nil, from
}

// newSpec returns a plan entry for an engine.
func newSpec(engine *inventory.Engine, groups []string) *bronzeturnv1.Engine {
	key := engine.Key()
	return &bronzeturnv1.Engine{
		Name: key, Host: key, Pool: groups[0], DataCentre: engine.DataCentre, Address: engine.Address, Versions: groups,
		Slots: int32(max(engine.Slots, defaultSlots)), TokensPerSecond: streamRate(engine.Slots),
	}
}

// engineRate is the nominal rate of an engine in tokens of the largest model per second,
// for all its streams together. The balancer measures work in these tokens. The absolute
// value does not matter, as engines are compared with others of the same service only.
const engineRate = 12800

// WorkOf returns the work that an engine does in d, in tokens.
func WorkOf(d time.Duration) int64 { return int64(engineRate * d.Seconds()) }

// PromptTokenWork is the work of one prompt token relative to a generated one.
const PromptTokenWork = 0.3

// streamRate returns the share of engineRate of one stream.
func streamRate(slots int) float64 { return engineRate / float64(max(slots, defaultSlots)) }

// forSuspect returns the engine for a request during which other engines crashed, "" for
// none. suspect is what the requests at these crashes have in common. The engine is the same on
// every daemon, so that requests that crash engines crash one engine at a time, and other requests
// that were interrupted by these crashes go to other engines.
func (e *Engines) forSuspect(group string, suspect quarantine.Hash, tried []string) string {
	set, ok := e.members[group]
	if !ok {
		return ""
	}
	for _, key := range set.Top(string(suspect[:]), min(len(tried)+1, set.Len())) {
		if !slices.Contains(tried, key) {
			return key
		}
	}
	return ""
}

// home returns the engine that should cache a prefix. It is the same on every daemon, by
// rendezvous hashing. The sessions of a prefix with several homes are divided among them.
func (e *Engines) home(group, prefix string, homes int, session uint64) (string, bool) {
	set, ok := e.members[group]
	if !ok || prefix == "" || set.Len() == 0 {
		return "", false
	}
	top := set.Top(prefix, min(max(homes, 1), set.Len()))
	return top[session%uint64(len(top))], true
}
