package orders

import (
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/engine"
)

// Reason says why an order is sent or held back.
type Reason string

// The reasons. Those from ReasonPending on hold an order back.
const (
	ReasonMissing     Reason = "version_missing"
	ReasonNotDesired  Reason = "version_not_desired"
	ReasonRole        Reason = "role_differs"
	ReasonPending     Reason = "pending"
	ReasonLoading     Reason = "others_loading"
	ReasonDraining    Reason = "draining"
	ReasonWeightLimit Reason = "weight_store_limit"
)

// change is one difference between desired and observed state.
type change struct {
	op      engine.Op
	version string
	role    string
}

// decision is what to do about one change.
type decision struct {
	target Target
	change change
	reason Reason
	// hold tells that nothing is sent now.
	hold bool
}

// observed is what is known of one engine.
type observed struct {
	load engine.LoadReport
	// fresh tells that load was read in this round.
	fresh bool
	// pending gives the time until which a change already ordered is waited for.
	pending map[change]time.Time
	// unwantedSince gives the time since which a loaded version is not desired.
	unwantedSince map[string]time.Time
}

func newObserved() *observed {
	return &observed{
		pending:       make(map[change]time.Time),
		unwantedSince: make(map[string]time.Time),
	}
}

// see takes in a load report and forgets what it settles.
func (o *observed) see(load engine.LoadReport, target Target, now time.Time) {
	o.load = load
	o.fresh = true
	for c, until := range o.pending {
		if !now.Before(until) || c.done(load) {
			delete(o.pending, c)
		}
	}
	for version := range o.unwantedSince {
		if !slices.Contains(load.Versions, version) || slices.Contains(target.Versions, version) {
			delete(o.unwantedSince, version)
		}
	}
	for _, version := range load.Versions {
		if _, ok := o.unwantedSince[version]; !ok && !slices.Contains(target.Versions, version) {
			o.unwantedSince[version] = now
		}
	}
}

// done tells whether the report shows the change.
func (c change) done(load engine.LoadReport) bool {
	switch c.op {
	case engine.OpLoad:
		return slices.Contains(load.Versions, c.version)
	case engine.OpUnload:
		return !slices.Contains(load.Versions, c.version)
	default:
		return load.Role == c.role
	}
}

// bounds are the limits that decide keeps.
type bounds struct {
	maxLoading int
	// weightsFrom is the time from which the weight store may be asked again.
	weightsFrom time.Time
}

// decide compares the desired state with the observed one. Engines that were
// not read in this round are left alone.
func decide(d Desired, seen map[string]*observed, b bounds, now time.Time) []decision {
	loading := 0
	for _, o := range seen {
		loading += o.loading()
	}
	var decisions []decision
	for _, target := range d.Engines {
		o := seen[target.Name]
		if o == nil || !o.fresh {
			continue
		}
		for _, c := range differences(target, o.load) {
			dec := o.judge(target, c, d.Grace, now)
			if c.op == engine.OpLoad && !dec.hold {
				dec = b.admit(dec, loading, now)
			}
			if c.op == engine.OpLoad && !dec.hold {
				loading++
			}
			decisions = append(decisions, dec)
		}
	}
	return decisions
}

// loading counts the loads that are waited for.
func (o *observed) loading() int {
	n := 0
	for c := range o.pending {
		if c.op == engine.OpLoad {
			n++
		}
	}
	return n
}

// differences returns the changes that lead from the report to the target.
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

// judge decides about one change of one engine by itself.
func (o *observed) judge(target Target, c change, grace time.Duration, now time.Time) decision {
	dec := decision{target: target, change: c}
	if _, ok := o.pending[c]; ok {
		dec.reason, dec.hold = ReasonPending, true
		return dec
	}
	switch c.op {
	case engine.OpLoad:
		dec.reason = ReasonMissing
	case engine.OpSetRole:
		dec.reason = ReasonRole
	case engine.OpUnload:
		dec.reason = ReasonNotDesired
		if o.busy() && now.Sub(o.unwantedSince[c.version]) < grace {
			dec.reason, dec.hold = ReasonDraining, true
		}
	}
	return dec
}

// busy tells whether the engine has requests. Reports do not tell of which
// version they are.
func (o *observed) busy() bool {
	return o.load.RunningRequests > 0 || o.load.QueuedRequests > 0
}

// admit holds a load back while too many engines load or the weight store has
// asked for patience.
func (b bounds) admit(dec decision, loading int, now time.Time) decision {
	switch {
	case now.Before(b.weightsFrom):
		dec.reason, dec.hold = ReasonWeightLimit, true
	case loading >= b.maxLoading:
		dec.reason, dec.hold = ReasonLoading, true
	}
	return dec
}
