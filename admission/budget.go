package admission

import (
	"math"
	"time"
)

// target returns the daemon's part of the limit: its max-min fair part, and up to
// as much again as an equal part of half of the surplus.
func (a *allocation) target(s *daemonState) amounts {
	var t amounts
	for d := range t {
		want := s.wanted[d]
		t[d] = min(want, a.levels[d])
		if a.surplus[d] > 0 && a.active > 0 {
			t[d] += min(want, a.surplus[d]/2/float64(a.active))
		}
	}
	t[dimConcurrent] = math.Ceil(t[dimConcurrent])
	return t
}

// budget returns what this coordinator may grant in total: the part of the limit
// for the daemons that it can reach. The others use their equal parts without a
// grant. While shares of an earlier coordinator may be in use, the budget is
// bounded by what the daemons that reported may use already.
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
	if now.Before(a.created.Add(recoveryTime(view.live))) {
		b = minOf(b, a.initialUse)
	}
	return b
}

// recoveryTime returns how long shares of an earlier coordinator may be in use in
// a fleet of that many daemons.
func recoveryTime(live int) time.Duration {
	return validityOf(min(max(lowUsePeriod, time.Duration(live)*reportSpacing), longestPeriod)) + expiryMargin
}
