package admission

import (
	"math"
	"time"
)

// target is the daemon's part of the limit: its fair part of what all want,
// and up to as much again from half of what the wants leave.
func (a *allocation) target(h *holder) amounts {
	var t amounts
	for d := range t {
		want := h.wanted[d]
		t[d] = min(want, a.levels[d])
		if a.rest[d] > 0 && a.active > 0 {
			t[d] += min(want, a.rest[d]/2/float64(a.active))
		}
	}
	t[dimConcurrent] = math.Ceil(t[dimConcurrent])
	return t
}

// budget is what this coordinator may hand out: the part of the limit for the
// daemons that it can reach. The others use theirs without it. While shares of
// an earlier coordinator may be in use, it is only what the daemons that
// reported use already.
func (a *allocation) budget(now time.Time, view fleetView) amounts {
	part := 1.0
	if view.live > 0 && view.reachable < view.live {
		part = float64(max(view.reachable, 1)) / float64(view.live)
	}
	var b amounts
	for d := range b {
		b[d] = a.limit[d] * part
	}
	b[dimSpend] = max(0, a.limit[dimSpend]-a.spent()) * part
	if now.Before(a.since.Add(recoveryTime(view.live))) {
		b = minOf(b, a.proven)
	}
	return b
}

// recoveryTime is how long shares of an earlier coordinator may be in use in
// a fleet of that many daemons.
func recoveryTime(live int) time.Duration {
	return validityOf(min(max(farPeriod, time.Duration(live)*reportSpacing), longestPeriod)) + settleTime
}
