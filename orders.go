package bronzeturn

import (
	"time"

	"github.com/bronzeturn/bronzeturn/orders"
	"github.com/bronzeturn/bronzeturn/router"
)

// newOrders returns the runner that orders engines to load their desired versions,
// or nil when the settings name no weight store.
func newOrders(d *Daemon) (*orders.Runner, error) {
	if d.platform.weights == nil {
		return nil, nil
	}
	return orders.New(orders.Dependencies{
		Store:      d.platform.store,
		Engines:    d.platform.reports,
		Weights:    d.platform.weights,
		Source:     poolSource{d},
		Owner:      d.fleet.members.Owner,
		Log:        d.log,
		Rand:       d.rand(randOrders),
		Registerer: d.options.Registry,
	}, orders.DefaultOptions(d.settings.GetName()))
}

// poolSource reads the desired state of each pool from the configuration in force.
type poolSource struct{ d *Daemon }

// Pools implements orders.Source.
func (s poolSource) Pools() []string {
	tables := s.d.tables.Load()
	if tables == nil {
		return nil
	}
	var names []string
	for _, pool := range tables.Snapshot.Register().GetPools() {
		names = append(names, pool.GetName())
	}
	return names
}

// DesiredState implements orders.Source. It reports false while the configuration may be
// stale, so that the daemon sends no orders.
func (s poolSource) DesiredState(pool string) (orders.DesiredState, bool) {
	tables := s.d.tables.Load()
	if tables == nil || s.d.checkFresh(time.Now()) != nil {
		return orders.DesiredState{}, false
	}
	withdrawn := func(version string) bool {
		_, is := tables.Snapshot.Withdrawal(version)
		return is
	}
	return orders.DesiredFromRegister(tables.Snapshot.Generation(), tables.Snapshot.PoolEngines(pool), withdrawn, longestDeadline(tables)), true
}

// longestDeadline returns the longest deadline of all task kinds, which bounds how
// long a request can still run on a withdrawn version.
func longestDeadline(tables *router.Tables) time.Duration {
	var longest time.Duration
	for _, kind := range tables.Snapshot.Rules().GetKinds() {
		longest = max(longest, kind.GetDeadline().AsDuration())
	}
	return longest
}
