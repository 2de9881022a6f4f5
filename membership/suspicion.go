package membership

import (
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// minReporters is the number of neighbours whose suspicions mark a daemon as suspected. Fewer
// suffice if the daemon has fewer trusted neighbours.
const minReporters = 2

// suspicion is the report of one neighbour that a daemon is down.
type suspicion struct {
	incarnation uint64
	reason      bronzeturnv1.SuspicionReason
}

// suspicions maps a target and a reporter to a valid suspicion.
type suspicions map[string]map[string]suspicion

// countedSuspicions returns the valid suspicions: the reporter is a known daemon other than the
// target, and the target has not raised its incarnation since the report.
func countedSuspicions(r *records) suspicions {
	counted := make(suspicions)
	for target, byReporter := range r.suspicions {
		d := r.daemons[target]
		if d == nil {
			continue
		}
		for reporter, c := range byReporter {
			if reporter == target || r.daemons[reporter] == nil || c.incarnation < d.GetIncarnation() {
				continue
			}
			if counted[target] == nil {
				counted[target] = make(map[string]suspicion)
			}
			counted[target][reporter] = c
		}
	}
	return counted
}

// applySuspicions marks the members that enough neighbours suspect. It processes the member
// with the most suspicions first and then discards the suspicions that this member reported: a
// daemon that is cut off from the network wrongly suspects all its neighbours.
func applySuspicions(v *View, r *records) {
	counted := countedSuspicions(r)
	out := make(map[string]struct{})
	for {
		i := mostSuspected(v, counted, out)
		if i < 0 {
			break
		}
		m := &v.Members[i]
		out[m.Name] = struct{}{}
		if m.State == Live && m.Name != v.Self {
			m.State, m.Reason = Suspected, reasonOf(counted[m.Name])
		}
		for _, byReporter := range counted {
			delete(byReporter, m.Name)
		}
	}
	for i := range v.Members {
		v.Members[i].PartlySuspected = len(counted[v.Members[i].Name]) > 0
	}
}

// mostSuspected returns the index of the member with the most suspicions, among those not yet
// in out that have enough of them, or -1.
func mostSuspected(v *View, counted suspicions, out map[string]struct{}) int {
	best := -1
	for i, m := range v.Members {
		n := len(counted[m.Name])
		if _, done := out[m.Name]; done || n == 0 {
			continue
		}
		if best >= 0 && n <= len(counted[v.Members[best].Name]) {
			continue
		}
		if n >= minReporters || n >= trustedNeighbours(v, m, counted, out) {
			best = i
		}
	}
	return best
}

// trustedNeighbours returns the number of neighbours of the target whose reports can be
// trusted: those not in out that no daemon other than the target suspects.
func trustedNeighbours(v *View, target Member, counted suspicions, out map[string]struct{}) int {
	n := 0
	for _, name := range v.rings.neighbours(target.Name, target.DataCentre) {
		if _, gone := out[name]; gone {
			continue
		}
		doubts := len(counted[name])
		if _, mutual := counted[name][target.Name]; mutual {
			doubts--
		}
		if doubts == 0 {
			n++
		}
	}
	return n
}

// reasonOf combines the reasons of several reports. A single report of FROZEN takes precedence,
// because that reporter found the daemon reachable.
func reasonOf(byReporter map[string]suspicion) Reason {
	for _, c := range byReporter {
		if c.reason == bronzeturnv1.SuspicionReason_SUSPICION_REASON_FROZEN {
			return ReasonFrozen
		}
	}
	return ReasonUnreachable
}
