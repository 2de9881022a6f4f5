package admission

import (
	"math"
	"time"
)

const (
	// shortestValidity and longestValidity bound how long a share may be used
	// after the report was sent. It is validityPeriods times the period.
	shortestValidity = 6 * time.Second
	longestValidity  = 20 * time.Second
	validityPeriods  = 2.5
	// callTimeout bounds one report.
	callTimeout = time.Second
	// refreshEvery bounds how often a coordinator divides a limit anew.
	refreshEvery = 100 * time.Millisecond
	// settleTime is how much later than a daemon its coordinator may see the
	// end of a share.
	settleTime = callTimeout + refreshEvery
	// shortestPeriod and longestPeriod bound the time between two reports.
	// farPeriod is used far from the limit.
	shortestPeriod = 250 * time.Millisecond
	farPeriod      = 2 * time.Second
	longestPeriod  = 8 * time.Second
	// reportSpacing stretches the period with the number of daemons that
	// report, so that the coordinator of one organisation gets at most 14
	// reports a second up to 114 daemons, and 51 from 410.
	reportSpacing = 70 * time.Millisecond
	// nearLimit is the part of a limit from which daemons report often.
	nearLimit = 0.5
	// silentReserve is how long a live daemon that fell silent keeps an equal
	// part of the limit set aside for it.
	silentReserve = 10 * time.Minute
)

// report takes a daemon's report and returns its share. It returns false for
// a report that arrived after a later one.
func (a *allocation) report(now time.Time, u usage, view fleetView) (grantResult, bool) {
	a.roll(now)
	h := a.holder(u)
	if u.report < h.report {
		return grantResult{}, false
	}
	first := h.heard.IsZero()
	before := a.outstanding(now, u.daemon, h, view)
	a.hear(now, h, u)
	h.equalSpend = u.told + max(0, a.limit[dimSpend]-u.fleetSpent)/float64(max(view.live, 1)) - u.spent
	h.unproven = a.unproven(h, u, view)
	if first {
		for d := range a.proven {
			a.proven[d] += h.unproven[d]
		}
	}
	if now.Sub(a.refreshed) >= refreshEvery || a.refreshed.IsZero() {
		a.refresh(now, view)
	} else {
		after := a.outstanding(now, u.daemon, h, view)
		a.addOut(before, -1)
		a.addOut(after, 1)
	}
	if u.idle {
		return grantResult{day: a.day, fleetSpent: a.spent(), period: longestPeriod}, true
	}
	return a.hand(now, u, h, view), true
}

// holder returns the state of the reporting daemon. A process that reports for
// the first time brings the spend that earlier coordinators counted.
func (a *allocation) holder(u usage) *holder {
	h := a.holders[u.daemon]
	if h == nil {
		h = &holder{validity: shortestValidity}
		a.holders[u.daemon] = h
	}
	if h.incarnation != u.incarnation || h.heard.IsZero() {
		h.incarnation = u.incarnation
		h.spent, h.report = 0, 0
		h.grants = nil
		if u.day == a.day {
			h.spent = u.told
			a.spendBase = max(a.spendBase, u.fleetSpent)
		}
	}
	return h
}

// hear records a report. The report names the newest share that the daemon
// knows of, so older ones are no longer in use.
func (a *allocation) hear(now time.Time, h *holder, u usage) {
	h.heard = now
	h.report = u.report
	h.idle = u.idle
	h.wanted = u.wanted
	h.inUse = u.inUse
	if u.day == a.day && u.spent > h.spent {
		a.spendMore += u.spent - h.spent
		h.spent = u.spent
	}
	kept := h.grants[:0]
	for _, g := range h.grants {
		current := u.coordinator != a.id || g.sequence >= u.sequence
		if current && now.Before(g.expires) && !u.idle {
			kept = append(kept, g)
		}
	}
	h.grants = kept
}

// unproven is what a reporting daemon may use that was not granted here.
func (a *allocation) unproven(h *holder, u usage, view fleetView) amounts {
	switch {
	case u.idle || (u.sequence != 0 && u.coordinator == a.id):
		return amounts{}
	case u.sequence != 0:
		return u.held
	}
	return a.equalPart(h, view)
}

// setLimit changes the limit. What is handed out follows in proportion, as it
// does on the daemons that hold it.
func (a *allocation) setLimit(limit amounts) {
	for _, h := range a.holders {
		for i := range h.grants {
			for d := range limit {
				if a.limit.limited(d) {
					h.grants[i].amounts[d] *= limit[d] / a.limit[d]
				}
			}
		}
	}
	a.limit = limit
	a.refreshed = time.Time{}
}

// hand grants a share to a daemon that has just been heard.
func (a *allocation) hand(now time.Time, u usage, h *holder, view fleetView) grantResult {
	before := a.outstanding(now, u.daemon, h, view)
	budget := a.budget(now, view)
	given := a.target(h)
	for d := range given {
		free := max(0, budget[d]-(a.out[d]-before[d]))
		given[d] = min(given[d], free)
	}
	given[dimConcurrent] = math.Floor(given[dimConcurrent])
	a.sequence++
	absolute := given
	absolute[dimSpend] += u.spent
	period := a.period()
	h.validity = validityOf(period)
	h.grants = append(h.grants, grant{amounts: absolute, sequence: a.sequence, expires: now.Add(h.validity)})
	after := a.outstanding(now, u.daemon, h, view)
	a.addOut(before, -1)
	a.addOut(after, 1)
	return grantResult{
		amounts: given, sequence: a.sequence, day: a.day, fleetSpent: a.spent(),
		period: period, validity: h.validity,
	}
}

// equalPart is what a daemon uses without a share. What it may spend follows
// from what it last heard of the fleet's spend.
func (a *allocation) equalPart(h *holder, view fleetView) amounts {
	part := a.limit.equalPart(view.live)
	left := max(0, a.limit[dimSpend]-a.spent()) / float64(max(view.live, 1))
	part[dimSpend] = max(left, h.equalSpend)
	return part
}

// outstanding is what the daemon may be using now.
func (a *allocation) outstanding(now time.Time, name string, h *holder, view fleetView) amounts {
	var out amounts
	if h.heard.IsZero() || h.idle {
		return out
	}
	valid := false
	for _, g := range h.grants {
		if !now.Before(g.expires) {
			continue
		}
		valid = true
		for d := range out {
			out[d] = max(out[d], g.amounts[d])
		}
	}
	out[dimSpend] = max(0, out[dimSpend]-h.spent)
	for d := range out {
		out[d] = max(out[d], h.unproven[d])
	}
	silent := !now.Before(h.heard.Add(h.validity))
	if !valid && silent {
		if now.After(h.heard.Add(silentReserve)) || !view.isLive(name) {
			return amounts{}
		}
		out = a.equalPart(h, view)
	}
	out[dimConcurrent] = max(out[dimConcurrent], h.inUse)
	return out
}

// refresh divides the limit anew among the daemons that want some.
func (a *allocation) refresh(now time.Time, view fleetView) {
	a.refreshed = now
	a.out = amounts{}
	var wants [dimensions][]float64
	var wanted, aside amounts
	a.active = 0
	for name, h := range a.holders {
		out := a.outstanding(now, name, h, view)
		a.addOut(out, 1)
		if h.idle || !now.Before(h.heard.Add(h.validity)) {
			for d := range aside {
				aside[d] += out[d]
			}
			continue
		}
		a.active++
		for d := range wants {
			wants[d] = append(wants[d], h.wanted[d])
			wanted[d] += h.wanted[d]
		}
	}
	budget := a.budget(now, view)
	a.near = false
	for d := range wants {
		a.levels[d], a.rest[d] = waterLevel(budget[d]-aside[d], wants[d])
		if a.limit.limited(d) && wanted[d] > nearLimit*(budget[d]-aside[d]) {
			a.near = true
		}
	}
}

// period tells a daemon when to report again.
func (a *allocation) period() time.Duration {
	p := farPeriod
	if a.near {
		p = shortestPeriod
	}
	return min(max(p, time.Duration(a.active)*reportSpacing), longestPeriod)
}

// validityOf returns the validity of a share that is renewed every period.
func validityOf(period time.Duration) time.Duration {
	return min(max(shortestValidity, time.Duration(validityPeriods*float64(period))), longestValidity)
}

// spent is the spend of the fleet on the day, as far as it was reported.
func (a *allocation) spent() float64 { return a.spendBase + a.spendMore }

// roll starts a new UTC day.
func (a *allocation) roll(now time.Time) {
	if d := dayOf(now); d > a.day {
		a.day = d
		a.spendBase, a.spendMore = 0, 0
		a.refreshed = time.Time{}
		for _, h := range a.holders {
			h.spent = 0
			for i := range h.grants {
				h.grants[i].amounts[dimSpend] = 0
			}
		}
	}
}

func (a *allocation) addOut(part amounts, sign float64) {
	for d := range part {
		a.out[d] += sign * part[d]
	}
}
