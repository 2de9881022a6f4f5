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
	register := &bronzeturnv1.Register{}
	e := &Engines{View: view, members: make(map[string]*rendezvous.Set)}
	keys := make(map[string][]string)
	for _, engine := range view.Engines {
		groups := assign(engine)
		if len(groups) == 0 {
			continue
		}
		register.Engines = append(register.Engines, &bronzeturnv1.Engine{
			Name: engine.Key(), Host: engine.Key(), Pool: groups[0], DataCentre: engine.DataCentre,
			Address: engine.Address, Versions: groups,
			Slots: int32(max(engine.Slots, plainSlots)), TokensPerSecond: streamRate(engine.Slots),
		})
		for _, group := range groups {
			keys[group] = append(keys[group], engine.Key())
		}
	}
	for group, names := range keys {
		e.members[group] = rendezvous.NewSet(names)
	}
	e.Plan = state.Plan(register, nil)
	return e
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
