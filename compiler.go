package bronzeturn

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/relay"
	"github.com/bronzeturn/bronzeturn/router"
	"github.com/bronzeturn/bronzeturn/selection"
	"github.com/bronzeturn/bronzeturn/subset"
)

// compiler compiles the configuration and the list of live daemons into the
// router's tables and publishes each new set of tables atomically.
type compiler struct {
	name       string
	subsetSize int
	decisions  *decisions
	publish    func(*router.Tables)
	log        zerolog.Logger

	mu       sync.Mutex
	selector subset.Selector
	snapshot *config.Snapshot
	live     []string
	visible  []*bronzeturnv1.Engine
	// backends are the engines and plain services in the snapshot's register.
	backends *relay.Backends
}

func newCompiler(d *Daemon) *compiler {
	return &compiler{
		name:       d.settings.GetName(),
		subsetSize: int(d.settings.GetEngineSubsetSize()),
		decisions:  d.decisions,
		publish:    d.tables.Store,
		log:        logging.Part(d.log, "config"),
		live:       []string{d.settings.GetName()},
	}
}

// setSnapshot puts a configuration in force, unless it or a newer one already
// is. It returns once the tables are published.
func (c *compiler) setSnapshot(s *config.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && c.snapshot.Generation() >= s.Generation() {
		return
	}
	c.snapshot = s
	c.backends = backendsOf(s.Register())
	c.compile()
	c.log.Info().Uint64("generation", s.Generation()).Int("engines", len(c.visible)).Msg("configuration in force")
}

// setView applies a new membership view. Engines and limits are divided among
// the live daemons.
func (c *compiler) setView(v *membership.View) {
	live := liveNames(v)
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(live, c.live) {
		return
	}
	c.live = live
	if c.snapshot != nil {
		c.compile()
		c.log.Info().Int("daemons", len(live)).Int("engines", len(c.visible)).Msg("engines reassigned among the live daemons")
	}
}

// visibleEngines returns the engines that this daemon uses.
func (c *compiler) visibleEngines() []*bronzeturnv1.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.visible
}

// daemonsPerEngine estimates how many daemons send requests to each engine that this
// daemon uses, itself included.
func (c *compiler) daemonsPerEngine() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		return 1
	}
	engines := len(c.snapshot.Register().GetEngines())
	if engines == 0 {
		return 1
	}
	return max(len(c.live)*len(c.visible)/engines, 1)
}

// compile builds and publishes the tables. The caller holds mu.
func (c *compiler) compile() {
	register, rules := c.snapshot.Register(), c.snapshot.Rules()
	selected := c.selector.Choose(c.name, c.live, register.GetEngines(), c.subsetSize)
	c.visible = nil
	for _, e := range register.GetEngines() {
		if selected.Contains(e) {
			c.visible = append(c.visible, e)
		}
	}
	tables := &router.Tables{
		Snapshot: c.snapshot,
		Versions: selection.NewPlan(register, rules),
		Engines:  c.decisions.engines.Plan(register, selected.Contains),
	}
	c.decisions.versions.SetPlan(tables.Versions)
	c.decisions.admission.SetLimits(rules.GetLimits(), len(c.live))
	c.setCapacities(register)
	c.dropBreakers(register)
	c.publish(tables)
}

// setCapacities limits the requests in progress of each version to the slots
// of the visible engines that serve it. Requests that several daemons send to
// an engine at once wait in the engine's own queue.
func (c *compiler) setCapacities(register *bronzeturnv1.Register) {
	slots := make(map[string]int)
	for _, e := range c.visible {
		for _, version := range e.GetVersions() {
			slots[version] += int(e.GetSlots())
		}
	}
	for _, v := range register.GetVersions() {
		c.decisions.admission.SetCapacity(v.GetName(), slots[v.GetName()])
	}
}

// dropBreakers removes the circuit breakers of service instances that are no
// longer in the register. They would otherwise accumulate, as hosts are replaced
// all the time.
func (c *compiler) dropBreakers(register *bronzeturnv1.Register) {
	listed := make(map[string]struct{})
	for _, s := range register.GetServices() {
		for _, i := range s.GetInstances() {
			listed[i.GetAddress()] = struct{}{}
		}
	}
	c.decisions.breakers.Keep(func(address string) bool {
		_, ok := listed[address]
		return ok
	})
}

// liveNames returns the names of the live daemons, among which work is divided.
func liveNames(v *membership.View) []string {
	var names []string
	for _, m := range v.Members {
		if m.State == membership.Live {
			names = append(names, m.Name)
		}
	}
	return names
}
