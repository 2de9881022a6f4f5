package orders

import (
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/engine"
)

// Reason is why an order is sent or held back.
type Reason string

// Reasons. ReasonPending and those after it hold an order back.
const (
	ReasonMissing     Reason = "version_missing"
	ReasonNotDesired  Reason = "version_not_desired"
	ReasonRole        Reason = "role_differs"
	ReasonPending     Reason = "pending"
	ReasonLoading     Reason = "others_loading"
	ReasonDraining    Reason = "draining"
	ReasonWeightLimit Reason = "weight_store_limit"
)

// change is one operation that brings an engine closer to its desired state.
type change struct {
	op      engine.Op
	version string
	role    string
}

// decision tells whether to send the order for one change.
type decision struct {
	target Target
	change change
	reason Reason
	// held is true when the order is not sent in this round.
	held bool
}

// engineState is the last observed state of one engine and its open changes.
type engineState struct {
	load engine.LoadReport
	// fresh is true when load was read in this round.
	fresh bool
	// pending holds the changes already ordered, with the time after which they
	// may be ordered again.
	pending map[change]time.Time
	// unwantedSince holds the loaded versions that are not desired, with the time
	// at which this was first seen.
	unwantedSince map[string]time.Time
}

func newEngineState() *engineState {
	return &engineState{
		pending:       make(map[change]time.Time),
		unwantedSince: make(map[string]time.Time),
	}
}

// update stores a load report, removes pending changes that it shows as applied
// or that have timed out, and tracks the versions that are not desired.
func (e *engineState) update(load engine.LoadReport, target Target, now time.Time) {
	e.load = load
	e.fresh = true
	for c, until := range e.pending {
		if !now.Before(until) || c.appliedIn(load) {
			delete(e.pending, c)
		}
	}
	for version := range e.unwantedSince {
		if !slices.Contains(load.Versions, version) || slices.Contains(target.Versions, version) {
			delete(e.unwantedSince, version)
		}
	}
	for _, version := range load.Versions {
		if _, ok := e.unwantedSince[version]; !ok && !slices.Contains(target.Versions, version) {
			e.unwantedSince[version] = now
		}
	}
}

// appliedIn reports whether the load report shows the change as applied.
func (c change) appliedIn(load engine.LoadReport) bool {
	switch c.op {
	case engine.OpLoad:
		return slices.Contains(load.Versions, c.version)
	case engine.OpUnload:
		return !slices.Contains(load.Versions, c.version)
	default:
		return load.Role == c.role
	}
}

// loadLimits restrict the load orders of one round.
type loadLimits struct {
	maxLoading int
	// weightsRetryAt is the earliest time of the next request to the weight store.
	weightsRetryAt time.Time
}

// decide compares the desired state with the observed one and returns a decision
// for each difference. It skips engines that were not read in this round.
func decide(d DesiredState, engines map[string]*engineState, limits loadLimits, now time.Time) []decision {
	loading := 0
	for _, e := range engines {
		loading += e.pendingLoads()
	}
	var decisions []decision
	for _, target := range d.Engines {
		e := engines[target.Name]
		if e == nil || !e.fresh {
			continue
		}
		for _, c := range differences(target, e.load) {
			dec := e.decideChange(target, c, d.Grace, now)
			if c.op == engine.OpLoad && !dec.held {
				dec = limits.applyTo(dec, loading, now)
			}
			if c.op == engine.OpLoad && !dec.held {
				loading++
			}
			decisions = append(decisions, dec)
		}
	}
	return decisions
}

// pendingLoads returns the number of loads ordered but not yet reported.
func (e *engineState) pendingLoads() int {
	n := 0
	for c := range e.pending {
		if c.op == engine.OpLoad {
			n++
		}
	}
	return n
}

// differences returns the changes needed to get from the reported state to the
// target.
func differences(target Target, load engine.LoadReport) []change {
	var changes []change
	for _, version := range target.Versions {
		if !slices.Contains(load.Versions, version) {
			changes = append(changes, change{op: engine.OpLoad, version: version})
		}
	}
	for _, version := range load.Versions {
		if !slices.Contains(target.Versions, version) {
			changes = append(changes, change{op: engine.OpUnload, version: version})
		}
	}
	if target.Role != "" && target.Role != load.Role {
		changes = append(changes, change{op: engine.OpSetRole, role: target.Role})
	}
	return changes
}

// decideChange decides about one change without regard to the limits of the pool.
func (e *engineState) decideChange(target Target, c change, grace time.Duration, now time.Time) decision {
	dec := decision{target: target, change: c}
	if _, ok := e.pending[c]; ok {
		dec.reason, dec.held = ReasonPending, true
		return dec
	}
	switch c.op {
	case engine.OpLoad:
		dec.reason = ReasonMissing
	case engine.OpSetRole:
		dec.reason = ReasonRole
	case engine.OpUnload:
		dec.reason = ReasonNotDesired
		if e.busy() && now.Sub(e.unwantedSince[c.version]) < grace {
			dec.reason, dec.held = ReasonDraining, true
		}
	}
	return dec
}

// busy reports whether the engine has running or queued requests. Load reports
// do not break these down by version.
func (e *engineState) busy() bool {
	return e.load.RunningRequests > 0 || e.load.QueuedRequests > 0
}

// applyTo holds a load back while too many loads are in progress or the weight
// store must not be asked yet.
func (l loadLimits) applyTo(dec decision, loading int, now time.Time) decision {
	switch {
	case now.Before(l.weightsRetryAt):
		dec.reason, dec.held = ReasonWeightLimit, true
	case loading >= l.maxLoading:
		dec.reason, dec.held = ReasonLoading, true
	}
	return dec
}
