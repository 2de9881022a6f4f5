package entry

import (
	"fmt"

	"github.com/bronzeturn/bronzeturn/dispatch"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// newDispatcher returns what orders the requests to contended services, or nil if the settings do
// not enable it. The fleet is created later, so it is read only when a function is called.
func newDispatcher(d *Daemon) (requestDispatcher, error) {
	if !d.Settings.Scheduling {
		return nil, nil
	}
	schedulers, err := dispatch.Schedulers(scheduler.Options{Seed: uint32(d.seed)})
	if err != nil {
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	return dispatch.New(dispatch.Options{
		Self: d.Settings.Name, Incarnation: uint64(d.started.UnixMilli()),
		Coordinator: func(service string) string { return d.fleet.coordinatorOf(service) },
		Client:      d.dispatchClient,
		Live:        func() int { return d.fleet.Live() },
		Engines:     d.serviceEngines, Weight: d.weightOf,
		Announce:     func(service string) { d.fleet.announceContended(service) },
		NewScheduler: schedulers, Log: d.logger("dispatch"), Registerer: d.registry,
	}), nil
}
