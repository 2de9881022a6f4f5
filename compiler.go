package bronzeturn

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/router"
	"github.com/bronzeturn/bronzeturn/selection"
	"github.com/bronzeturn/bronzeturn/subset"
)

// compiler turns the configuration and the list of live daemons into the tables
// of the decisions, and swaps them in whole.
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

// setSnapshot puts a configuration in force, unless it already is. It returns
// when the tables are published.
func (c *compiler) setSnapshot(s *config.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && c.snapshot.Generation() >= s.Generation() {
		return
	}
	c.snapshot = s
	c.compile()
	c.log.Info().Uint64("generation", s.Generation()).Int("engines", len(c.visible)).Msg("configuration in force")
}

// setView follows the live daemons, over which engines and limits are divided.
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
		c.log.Info().Int("daemons", len(live)).Int("engines", len(c.visible)).Msg("engines divided anew")
	}
}

// visibleEngines are those that this daemon uses.
func (c *compiler) visibleEngines() []*bronzeturnv1.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.visible
}

// sharers is how many daemons send work to the same engines as this one.
func (c *compiler) sharers() int {
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

// compile builds and publishes the tables. The caller holds the lock.
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

// setCapacities bounds the requests in progress of each version by the slots
// of the visible engines that serve it. The engines' own queues order what
// several daemons send at once.
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

// dropBreakers forgets the breakers of service instances that are gone, since
// hosts are replaced all the time.
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

// liveNames are the daemons among which work is divided.
func liveNames(v *membership.View) []string {
	var names []string
	for _, m := range v.Members {
		if m.State == membership.Live {
			names = append(names, m.Name)
		}
	}
	return names
}
