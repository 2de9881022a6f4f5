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

// Engines are the engines that may get new work, compiled for the choice.
type Engines struct {
	View *inventory.View
	Plan *balance.Plan
	// specs are the plan's entries for the engines of the view, nil for engines without
	// groups.
	specs []*bronzeturnv1.Engine
	// members are the keys of each group, for prefix affinity.
	members map[string]*rendezvous.Set
}

// Group names the engines of a service that serve the version in force, or the
// one being introduced.
func Group(service string, trial bool) string {
	if trial {
		return service + "/trial"
	}
	return service
}

// Assign tells the groups of an engine; none means that it gets no work.
type Assign func(e inventory.Engine) []string

// plainSlots stands in where an engine does not tell its slots.
const plainSlots = 1

// NewEngines compiles a view. The balancer's state keeps what it knows of the
// engines that stay.
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
		Slots: int32(max(engine.Slots, plainSlots)), TokensPerSecond: streamRate(engine.Slots),
	}
}

// The balancer measures work in tokens of the largest model. An engine reads and
// generates engineRate of them a second for all its streams together; what each
// one does is measured against the others of its service.
const engineRate = 12800

// WorkOf returns the work that an engine does in a time.
func WorkOf(d time.Duration) int64 { return int64(engineRate * d.Seconds()) }

// PromptPart is the work of one prompt token in generated ones.
const PromptPart = 0.3

// streamRate is the part of one stream.
func streamRate(slots int) float64 { return engineRate / float64(max(slots, plainSlots)) }

// forSuspect returns the engine for a request that was at the end of others, "" for none:
// the same on every daemon, so that copies of the request that crashes engines end one of
// them at a time, and those that it has cut with itself go to other ones.
func (e *Engines) forSuspect(group string, h quarantine.Hash, tried []string) string {
	set, ok := e.members[group]
	if !ok {
		return ""
	}
	for _, key := range set.Top(string(h[:]), min(len(tried)+1, set.Len())) {
		if !slices.Contains(tried, key) {
			return key
		}
	}
	return ""
}

// home returns the engine that should read a prefix: the same on every daemon,
// without a table. A prefix with several homes has its sessions divided among them.
func (e *Engines) home(group, prefix string, homes int, session uint64) (string, bool) {
	set, ok := e.members[group]
	if !ok || prefix == "" || set.Len() == 0 {
		return "", false
	}
	top := set.Top(prefix, min(max(homes, 1), set.Len()))
	return top[session%uint64(len(top))], true
}
