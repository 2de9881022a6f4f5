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

// validSuspicions returns the valid suspicions: the reporter is a known daemon other than the
// target, and the target has not raised its incarnation since the report.
func validSuspicions(r *records) suspicions {
	valid := make(suspicions)
	for target, byReporter := range r.suspicions {
		d := r.daemons[target]
		if d == nil {
			continue
		}
		for reporter, c := range byReporter {
			if reporter == target || r.daemons[reporter] == nil || c.incarnation < d.GetIncarnation() {
				continue
			}
			if valid[target] == nil {
				valid[target] = make(map[string]suspicion)
			}
			valid[target][reporter] = c
		}
	}
	return valid
}

// applySuspicions marks the members that enough neighbours suspect. It processes the member
// with the most suspicions first and then discards the suspicions that this member reported: a
// daemon that is cut off from the network wrongly suspects all its neighbours.
func applySuspicions(v *View, r *records) {
	valid := validSuspicions(r)
	processed := make(map[string]struct{})
	for {
		i := mostSuspected(v, valid, processed)
		if i < 0 {
			break
		}
		m := &v.Members[i]
		processed[m.Name] = struct{}{}
		if m.State == Live && m.Name != v.Self {
			m.State, m.Reason = Suspected, reasonOf(valid[m.Name])
		}
		for _, byReporter := range valid {
			delete(byReporter, m.Name)
		}
	}
	for i := range v.Members {
		v.Members[i].PartlySuspected = len(valid[v.Members[i].Name]) > 0
	}
}

// mostSuspected returns the index of the member with the most suspicions, among those not yet
// processed that have enough of them, or -1.
func mostSuspected(v *View, valid suspicions, processed map[string]struct{}) int {
	best := -1
	for i, m := range v.Members {
		n := len(valid[m.Name])
		if _, done := processed[m.Name]; done || n == 0 {
			continue
		}
		if best >= 0 && n <= len(valid[v.Members[best].Name]) {
			continue
		}
		if n >= minReporters || n >= trustedNeighbours(v, m, valid, processed) {
			best = i
		}
	}
	return best
}

// trustedNeighbours returns the number of neighbours of the target whose reports can be
// trusted: those not yet processed that no daemon other than the target suspects.
func trustedNeighbours(v *View, target Member, valid suspicions, processed map[string]struct{}) int {
	n := 0
	for _, name := range v.rings.neighbours(target.Name, target.DataCentre) {
		if _, gone := processed[name]; gone {
			continue
		}
		suspectedBy := len(valid[name])
		if _, mutual := valid[name][target.Name]; mutual {
			suspectedBy--
		}
		if suspectedBy == 0 {
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
