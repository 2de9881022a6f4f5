package bronzeturn

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/admission"
	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/engine"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// loadUpdateInterval is the time between two updates of the engines' load in
	// admission and of this daemon's load in membership.
	loadUpdateInterval = time.Second
	// reportMaxAge is the age above which a load report is ignored.
	reportMaxAge = 10 * time.Second
)

// occupancy holds the last load report of each engine. Admission bounds the bulk
// requests in progress according to these reports. It is safe for concurrent use.
type occupancy struct {
	mu      sync.Mutex
	reports map[string]engineLoad
}

// engineLoad is the last load report of one engine.
type engineLoad struct {
	requests int
	at       time.Time
}

func newOccupancy() *occupancy { return &occupancy{reports: make(map[string]engineLoad)} }

// record stores a load report.
func (o *occupancy) record(name string, load engine.LoadReport, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reports[name] = engineLoad{requests: load.RunningRequests + load.QueuedRequests, at: at}
}

// groupLoads sums up the load of the engines of each version. It ignores engines without
// a recent report.
func (o *occupancy) groupLoads(engines []*bronzeturnv1.Engine, daemonsPerEngine int, now time.Time) map[string]admission.GroupLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	loads := make(map[string]admission.GroupLoad)
	for _, e := range engines {
		report, ok := o.reports[e.GetName()]
		if !ok || now.Sub(report.at) > reportMaxAge {
			continue
		}
		for _, version := range e.GetVersions() {
			load := loads[version]
			load.Daemons = daemonsPerEngine
			load.Add(int(e.GetSlots()), report.requests)
			loads[version] = load
		}
	}
	return loads
}

// fullLoadFactor is the multiple of its fair share of the engine slots at which a
// daemon reports full load, so that callers are directed to other daemons.
const fullLoadFactor = 2

// loadShare returns the share of this daemon's capacity in use, 0 to 1: its requests
// in progress divided by fullLoadFactor times its fair share of the slots of the
// engines that it uses.
func (d *Daemon) loadShare() float64 {
	slots := 0
	for _, e := range d.compiler.visibleEngines() {
		slots += int(e.GetSlots())
	}
	if slots == 0 {
		return 0
	}
	fair := float64(slots) / float64(d.compiler.daemonsPerEngine())
	return min(float64(d.router.InProgress())/(fullLoadFactor*fair), 1)
}

// updateLoads periodically passes the engines' load to admission and this daemon's
// load to membership, until ctx ends.
func (d *Daemon) updateLoads(ctx context.Context) error {
	for backoff.Sleep(ctx, loadUpdateInterval) == nil {
		visible, daemonsPerEngine := d.compiler.visibleEngines(), d.compiler.daemonsPerEngine()
		for version, load := range d.decisions.occupancy.groupLoads(visible, daemonsPerEngine, time.Now()) {
			d.decisions.admission.SetGroupLoad(version, load)
		}
		d.fleet.members.SetLoad(d.loadShare())
	}
	return nil
}

// reachable estimates the number of live daemons that this one hears, itself
// included, from the sample of neighbours that membership keeps.
func (f *fleet) reachable() int {
	live := f.members.View().Live()
	known, heard := f.members.PeersKnown(), f.members.PeersHeard()
	if known == 0 || heard >= known {
		return live
	}
	others := float64(live-1) * float64(heard) / float64(known)
	return 1 + int(math.Round(others))
}
