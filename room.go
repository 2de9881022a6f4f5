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
	// roomInterval is the time between two updates of what admission knows of
	// the engines.
	roomInterval = time.Second
	// roomFresh is how long a load report counts.
	roomFresh = 10 * time.Second
)

// occupancy remembers what each engine last reported, for admission's bound on
// bulk work. It is safe for concurrent use.
type occupancy struct {
	mu      sync.Mutex
	reports map[string]occupied
}

// occupied is the last report of one engine.
type occupied struct {
	requests int
	at       time.Time
}

func newOccupancy() *occupancy { return &occupancy{reports: make(map[string]occupied)} }

// reported takes in a load report.
func (o *occupancy) reported(name string, load engine.LoadReport, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reports[name] = occupied{requests: load.RunningRequests + load.QueuedRequests, at: at}
}

// rooms adds up the engines of each version. Engines without a fresh report are
// left out.
func (o *occupancy) rooms(engines []*bronzeturnv1.Engine, sharers int, now time.Time) map[string]admission.GroupLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	rooms := make(map[string]admission.GroupLoad)
	for _, e := range engines {
		report, ok := o.reports[e.GetName()]
		if !ok || now.Sub(report.at) > roomFresh {
			continue
		}
		for _, version := range e.GetVersions() {
			room := rooms[version]
			room.Daemons = sharers
			room.Add(int(e.GetSlots()), report.requests)
			rooms[version] = room
		}
	}
	return rooms
}

// fullLoad is the multiple of a daemon's fair part of the engine slots at which
// it counts as fully loaded, so that callers are sent elsewhere.
const fullLoad = 2

// loadShare is the share of this daemon's capacity in use, 0 to 1: its requests in
// progress against its fair part of the slots of the engines that it sees.
func (d *Daemon) loadShare() float64 {
	slots := 0
	for _, e := range d.compiler.visibleEngines() {
		slots += int(e.GetSlots())
	}
	if slots == 0 {
		return 0
	}
	fair := float64(slots) / float64(d.compiler.sharers())
	return min(float64(d.router.InProgress())/(fullLoad*fair), 1)
}

// keepRoom tells admission about the engines, and the fleet about the load of
// this daemon, until ctx ends.
func (d *Daemon) keepRoom(ctx context.Context) error {
	for backoff.Sleep(ctx, roomInterval) == nil {
		visible, sharers := d.compiler.visibleEngines(), d.compiler.sharers()
		for version, room := range d.decisions.occupancy.rooms(visible, sharers, time.Now()) {
			d.decisions.admission.SetGroupLoad(version, room)
		}
		d.fleet.members.SetLoad(d.loadShare())
	}
	return nil
}

// reachable estimates how many live daemons this one hears, itself included,
// from the sample that membership keeps.
func (f *fleet) reachable() int {
	live := f.members.View().Live()
	known, heard := f.members.PeersKnown(), f.members.PeersHeard()
	if known == 0 || heard >= known {
		return live
	}
	others := float64(live-1) * float64(heard) / float64(known)
	return 1 + int(math.Round(others))
}
