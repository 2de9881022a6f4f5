package balance

import (
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Plan holds the engines of one configuration snapshot, compiled into tables for
// Choose. It is immutable and safe for concurrent use.
type Plan struct {
	engines  []*engine
	specs    []*bronzeturnv1.Engine
	capacity []capacity
	// index maps engine IDs to indexes into engines, -1 for engines not in the plan.
	index    []int32
	versions map[string]*candidates
	pools    map[string]*poolMembers
}

// capacity is the registered capacity of an engine.
type capacity struct {
	slots float64
	// rate is the generation rate of one stream in tokens per second.
	rate float64
}

// poolMembers are the engines of one pool, as indexes into Plan.engines.
type poolMembers struct{ indexes []int32 }

// Values for engines without a registered capacity.
const (
	defaultSlots = 1
	defaultRate  = 30
)

func newCapacity(spec *bronzeturnv1.Engine) capacity {
	c := capacity{slots: float64(spec.GetSlots()), rate: spec.GetTokensPerSecond()}
	if c.slots < 1 {
		c.slots = defaultSlots
	}
	if c.rate <= 0 {
		c.rate = defaultRate
	}
	return c
}

// candidates are the visible engines that serve one version, as indexes into
// Plan.engines, grouped by data centre.
type candidates struct {
	all    []int32
	groups []group
	member []bool
}

// group holds the engines of one data centre and those of all others.
type group struct {
	dataCentre string
	engines    []int32
	remote     []int32
}

// Engines returns the number of visible engines.
func (p *Plan) Engines() int { return len(p.engines) }

// Serving returns the number of visible engines that serve the version.
func (p *Plan) Serving(version string) int {
	c, ok := p.versions[version]
	if !ok {
		return 0
	}
	return len(c.all)
}

// Plan compiles the register into a plan for this daemon. The function visible
// selects the engines that the daemon sees; nil means all. The runtime state of
// engines that stay is kept; that of engines that are gone is dropped by the first
// plan that finds them idle.
func (s *State) Plan(reg *bronzeturnv1.Register, visible func(*bronzeturnv1.Engine) bool) *Plan {
	p := newPlan(len(reg.GetEngines()))
	for _, spec := range reg.GetEngines() {
		if visible != nil && !visible(spec) {
			continue
		}
		p.add(spec)
	}
	for _, c := range p.versions {
		c.finish(len(p.specs))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attachEngines(p)
	assignPools(p.specs, p.engines)
	p.index = make([]int32, s.nextID)
	for i := range p.index {
		p.index[i] = -1
	}
	for i, e := range p.engines {
		p.index[e.id] = int32(i)
	}
	return p
}

// indexOf returns the index of an engine and whether it is in the plan. e may be nil.
func (p *Plan) indexOf(e *engine) (int32, bool) {
	if e == nil || int(e.id) >= len(p.index) {
		return -1, false
	}
	i := p.index[e.id]
	if i < 0 || p.engines[i] != e {
		return -1, false // The ID has been reused.
	}
	return i, true
}

// newPlan returns an empty plan with capacity for n engines.
func newPlan(n int) *Plan {
	return &Plan{
		specs: make([]*bronzeturnv1.Engine, 0, n), capacity: make([]capacity, 0, n),
		versions: make(map[string]*candidates), pools: make(map[string]*poolMembers),
	}
}

func (p *Plan) add(spec *bronzeturnv1.Engine) {
	index := int32(len(p.specs))
	p.specs = append(p.specs, spec)
	p.capacity = append(p.capacity, newCapacity(spec))
	pool := p.pools[spec.GetPool()]
	if pool == nil {
		pool = &poolMembers{}
		p.pools[spec.GetPool()] = pool
	}
	pool.indexes = append(pool.indexes, index)
	for _, version := range spec.GetVersions() {
		c, ok := p.versions[version]
		if !ok {
			c = &candidates{}
			p.versions[version] = c
		}
		c.add(index, spec.GetDataCentre())
	}
}

func (c *candidates) add(index int32, dataCentre string) {
	if n := len(c.all); n > 0 && c.all[n-1] == index {
		return // The engine lists the version twice.
	}
	c.all = append(c.all, index)
	for i := range c.groups {
		if c.groups[i].dataCentre == dataCentre {
			c.groups[i].engines = append(c.groups[i].engines, index)
			return
		}
	}
	c.groups = append(c.groups, group{dataCentre: dataCentre, engines: []int32{index}})
}

// finish builds the tables that depend on the complete set of engines.
func (c *candidates) finish(engines int) {
	c.member = make([]bool, engines)
	for _, i := range c.all {
		c.member[i] = true
	}
	for i := range c.groups {
		for j := range c.groups {
			if i != j {
				c.groups[i].remote = append(c.groups[i].remote, c.groups[j].engines...)
			}
		}
	}
}

// split returns the engines of the data centre and those of all others. If the
// data centre has no engines, local is nil and remote holds all engines.
func (c *candidates) split(dataCentre string) (local, remote []int32) {
	for i := range c.groups {
		if c.groups[i].dataCentre == dataCentre {
			return c.groups[i].engines, c.groups[i].remote
		}
	}
	return nil, c.all
}

// Name returns the name of the engine at a Decision's Index.
func (p *Plan) Name(index int) string { return p.specs[index].GetName() }
