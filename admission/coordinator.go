package admission

import (
	"math"
	"time"
)

const (
	// shortestValidity and longestValidity bound the validity of a share: how long
	// it may be used after the report was sent. The validity is validityPeriods
	// times the period.
	shortestValidity = 6 * time.Second
	longestValidity  = 20 * time.Second
	validityPeriods  = 2.5
	// callTimeout bounds one call that reports usage.
	callTimeout = time.Second
	// refreshInterval is the shortest time between two divisions of a limit.
	refreshInterval = 100 * time.Millisecond
	// expiryMargin is how much later than the daemon its coordinator may regard a
	// share as expired.
	expiryMargin = callTimeout + refreshInterval
	// shortestPeriod and longestPeriod bound the time between two reports.
	// lowUsePeriod is used while demand is below highUseThreshold.
	shortestPeriod = 250 * time.Millisecond
	lowUsePeriod   = 2 * time.Second
	longestPeriod  = 8 * time.Second
	// reportSpacing lengthens the period with the number of daemons that report,
	// so that the coordinator of one organisation gets at most 14 reports a second
	// with up to 114 daemons, and 51 with 410.
	reportSpacing = 70 * time.Millisecond
	// highUseThreshold is the part of a limit above which daemons report often.
	highUseThreshold = 0.5
	// silentReserveTime is how long an equal part of the limit stays reserved for a
	// live daemon that has stopped reporting.
	silentReserveTime = 10 * time.Minute
)

// report processes a daemon's report and returns its share. It returns false for
// a report that arrived after a later one.
func (a *allocation) report(now time.Time, u usage, view fleetView) (grantResult, bool) {
	a.advanceDay(now)
	s := a.daemonState(u)
	if u.report < s.report {
		return grantResult{}, false
	}
	first := s.reportedAt.IsZero()
	before := a.outstanding(now, u.daemon, s, view)
	a.recordReport(now, s, u)
	s.equalSpend = u.acknowledged + max(0, a.limit[dimSpend]-u.fleetSpent)/float64(max(view.live, 1)) - u.spent
	s.ungranted = a.ungranted(s, u, view)
	if first {
		for d := range a.initialUse {
			a.initialUse[d] += s.ungranted[d]
		}
	}
	if now.Sub(a.refreshed) >= refreshInterval || a.refreshed.IsZero() {
		a.refresh(now, view)
	} else {
		after := a.outstanding(now, u.daemon, s, view)
		a.addCommitted(before, -1)
		a.addCommitted(after, 1)
	}
	if u.idle {
		return grantResult{day: a.day, fleetSpent: a.spent(), period: longestPeriod}, true
	}
	return a.grantShare(now, u, s, view), true
}

// daemonState returns the state of the reporting daemon. The first report of a
// process carries the spend that earlier coordinators counted.
func (a *allocation) daemonState(u usage) *daemonState {
	s := a.daemons[u.daemon]
	if s == nil {
		s = &daemonState{validity: shortestValidity}
		a.daemons[u.daemon] = s
	}
	if s.incarnation != u.incarnation || s.reportedAt.IsZero() {
		s.incarnation = u.incarnation
		s.spent, s.report = 0, 0
		s.grants = nil
		if u.day == a.day {
			s.spent = u.acknowledged
			a.earlierSpend = max(a.earlierSpend, u.fleetSpent)
		}
	}
	return s
}

// recordReport records a report. It names the newest share that the daemon has
// received, so older ones are no longer in use.
func (a *allocation) recordReport(now time.Time, s *daemonState, u usage) {
	s.reportedAt = now
	s.report = u.report
	s.idle = u.idle
	s.wanted = u.wanted
	s.inUse = u.inUse
	if u.day == a.day && u.spent > s.spent {
		a.reportedSpend += u.spent - s.spent
		s.spent = u.spent
	}
	kept := s.grants[:0]
	for _, g := range s.grants {
		current := u.coordinator != a.id || g.sequence >= u.sequence
		if current && now.Before(g.expires) && !u.idle {
			kept = append(kept, g)
		}
	}
	s.grants = kept
}

// ungranted returns what a reporting daemon may use that this coordinator did not
// grant.
func (a *allocation) ungranted(s *daemonState, u usage, view fleetView) amounts {
	switch {
	case u.idle || (u.sequence != 0 && u.coordinator == a.id):
		return amounts{}
	case u.sequence != 0:
		return u.held
	}
	return a.equalPart(s, view)
}

// setLimit changes the limit. Grants are scaled in proportion, as the daemons do
// with the shares that they hold.
func (a *allocation) setLimit(limit amounts) {
	for _, s := range a.daemons {
		for i := range s.grants {
			for d := range limit {
				if a.limit.limited(d) {
					s.grants[i].amounts[d] *= limit[d] / a.limit[d]
				}
			}
		}
	}
	a.limit = limit
	a.refreshed = time.Time{}
}

// grantShare grants a share to a daemon that has just reported.
func (a *allocation) grantShare(now time.Time, u usage, s *daemonState, view fleetView) grantResult {
	before := a.outstanding(now, u.daemon, s, view)
	budget := a.budget(now, view)
	given := a.target(s)
	for d := range given {
		free := max(0, budget[d]-(a.committed[d]-before[d]))
		given[d] = min(given[d], free)
	}
	given[dimConcurrent] = math.Floor(given[dimConcurrent])
	a.sequence++
	absolute := given
	absolute[dimSpend] += u.spent
	period := a.period()
	s.validity = validityOf(period)
	s.grants = append(s.grants, grant{amounts: absolute, sequence: a.sequence, expires: now.Add(s.validity)})
	after := a.outstanding(now, u.daemon, s, view)
	a.addCommitted(before, -1)
	a.addCommitted(after, 1)
	return grantResult{
		amounts: given, sequence: a.sequence, day: a.day, fleetSpent: a.spent(),
		period: period, validity: s.validity,
	}
}

// equalPart returns what a daemon may use without a share. The spend depends on
// the fleet's spend that the daemon was last sent.
func (a *allocation) equalPart(s *daemonState, view fleetView) amounts {
	part := a.limit.equalPart(view.live)
	left := max(0, a.limit[dimSpend]-a.spent()) / float64(max(view.live, 1))
	part[dimSpend] = max(left, s.equalSpend)
	return part
}

// outstanding returns what the daemon may be using now.
func (a *allocation) outstanding(now time.Time, name string, s *daemonState, view fleetView) amounts {
	var out amounts
	if s.reportedAt.IsZero() || s.idle {
		return out
	}
	valid := false
	for _, g := range s.grants {
		if !now.Before(g.expires) {
			continue
		}
		valid = true
		for d := range out {
			out[d] = max(out[d], g.amounts[d])
		}
	}
	out[dimSpend] = max(0, out[dimSpend]-s.spent)
	for d := range out {
		out[d] = max(out[d], s.ungranted[d])
	}
	silent := !now.Before(s.reportedAt.Add(s.validity))
	if !valid && silent {
		if now.After(s.reportedAt.Add(silentReserveTime)) || !view.isLive(name) {
			return amounts{}
		}
		out = a.equalPart(s, view)
	}
	out[dimConcurrent] = max(out[dimConcurrent], s.inUse)
	return out
}

// refresh recomputes the division of the limit among the active daemons.
func (a *allocation) refresh(now time.Time, view fleetView) {
	a.refreshed = now
	a.committed = amounts{}
	var wants [dimensions][]float64
	var wanted, reserved amounts
	a.active = 0
	for name, s := range a.daemons {
		out := a.outstanding(now, name, s, view)
		a.addCommitted(out, 1)
		if s.idle || !now.Before(s.reportedAt.Add(s.validity)) {
			for d := range reserved {
				reserved[d] += out[d]
			}
			continue
		}
		a.active++
		for d := range wants {
			wants[d] = append(wants[d], s.wanted[d])
			wanted[d] += s.wanted[d]
		}
	}
	budget := a.budget(now, view)
	a.highUse = false
	for d := range wants {
		a.levels[d], a.surplus[d] = waterLevel(budget[d]-reserved[d], wants[d])
		if a.limit.limited(d) && wanted[d] > highUseThreshold*(budget[d]-reserved[d]) {
			a.highUse = true
		}
	}
}

// period returns the time until a daemon's next report.
func (a *allocation) period() time.Duration {
	p := lowUsePeriod
	if a.highUse {
		p = shortestPeriod
	}
	return min(max(p, time.Duration(a.active)*reportSpacing), longestPeriod)
}

// validityOf returns the validity of a share that is renewed once per period.
func validityOf(period time.Duration) time.Duration {
	return min(max(shortestValidity, time.Duration(validityPeriods*float64(period))), longestValidity)
}

// spent returns the spend of the fleet on the day, as far as it was reported.
func (a *allocation) spent() float64 { return a.earlierSpend + a.reportedSpend }

// advanceDay resets the spend at the start of a new UTC day.
func (a *allocation) advanceDay(now time.Time) {
	if d := dayOf(now); d > a.day {
		a.day = d
		a.earlierSpend, a.reportedSpend = 0, 0
		a.refreshed = time.Time{}
		for _, s := range a.daemons {
			s.spent = 0
			for i := range s.grants {
				s.grants[i].amounts[dimSpend] = 0
			}
		}
	}
}

func (a *allocation) addCommitted(part amounts, sign float64) {
	for d := range part {
		a.committed[d] += sign * part[d]
	}
}
