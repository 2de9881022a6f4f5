package admission

import (
	"time"
)

const (
	// activeFor is how long an organisation counts as active on a daemon after
	// its last request.
	activeFor = 10 * time.Second
	// minReportInterval is the shortest time between two reports of one
	// organisation.
	minReportInterval = 100 * time.Millisecond
	// headroom is the factor by which a daemon's request for a share exceeds its
	// measured demand.
	headroom = 1.25
	// reportThreshold is the part of an equal share up to which a daemon uses a
	// limit without reporting. It bounds the over-admission that results.
	reportThreshold = 0.05
	// minDemand is the part of an equal share that an active daemon asks for at
	// least, so that a burst after little traffic finds some share.
	minDemand = 0.05
	// earlyReportThreshold is the used part of its share above which a daemon
	// reports at once.
	earlyReportThreshold = 0.8
)

// reportState schedules the reports of one account.
type reportState struct {
	last     time.Time // when the last report was sent
	next     time.Time // when the next report is due; zero while the organisation is idle on this daemon
	sent     uint64    // reports sent
	inFlight bool
}

// due reports whether the account should report now. An idle organisation
// reports once more to release its share.
func (a *account) due(now time.Time) bool {
	if a.report.inFlight || a.report.next.IsZero() {
		return false
	}
	return !now.Before(a.report.next)
}

// mayReportEarly reports whether the account may join a batch that goes to the
// same coordinator anyway: at least half of its report period has passed.
func (a *account) mayReportEarly(now time.Time) bool {
	if a.report.inFlight || a.report.next.IsZero() {
		return false
	}
	half := a.report.next.Sub(a.report.last) / 2
	return !now.Before(a.report.next.Add(-half))
}

// schedule brings the next report forward when the account is close to its
// allowance or was refused a request, and schedules the first report when it uses
// more than it may without reporting.
func (a *account) schedule(now time.Time) {
	if a.report.next.IsZero() {
		if !a.belowReportThreshold(now) {
			a.report.next = now
		}
		return
	}
	if a.refused || a.nearAllowance(now) {
		a.report.next = earlier(a.report.next, a.report.last.Add(minReportInterval))
	}
}

// belowReportThreshold reports whether the daemon uses so little of the limit that
// it need not report.
func (a *account) belowReportThreshold(now time.Time) bool {
	part := a.limit.equalPart(a.live)
	used := amounts{
		dimRequests: a.offered[dimRequests].perSecond(now), dimTokens: a.offered[dimTokens].perSecond(now),
		dimConcurrent: float64(a.inUse), dimSpend: a.spend.spent + a.spend.reserved - a.spend.acknowledged,
	}
	for d := range used {
		if a.limit.limited(d) && used[d] > reportThreshold*part[d] {
			return false
		}
	}
	return true
}

// nearAllowance reports whether use is close to the allowance, so that an earlier
// report may get a larger share.
func (a *account) nearAllowance(now time.Time) bool {
	allowed := a.allowance(now)
	if a.limit.limited(dimConcurrent) && float64(a.inUse) >= earlyReportThreshold*allowed[dimConcurrent] {
		return true
	}
	for d := range a.offered {
		if a.limit.limited(d) && a.offered[d].perSecond(now) > earlyReportThreshold*allowed[d] {
			return true
		}
	}
	return a.limit.limited(dimSpend) && a.spend.spent+a.spend.reserved > earlyReportThreshold*allowed[dimSpend]
}

// usage returns a report and marks it as sent.
func (a *account) usage(now time.Time) usage {
	a.advanceDay(now)
	a.report.sent++
	u := usage{
		report: a.report.sent,
		inUse:  float64(a.inUse),
		day:    a.spend.day,
		spent:  a.spend.spent, acknowledged: a.spend.acknowledged, fleetSpent: a.spend.fleetTotal,
		idle: a.inUse == 0 && now.Sub(a.lastActive) > activeFor,
	}
	if u.idle {
		// The share is released; new requests use an equal part until the next grant.
		a.share = share{}
	}
	if now.Before(a.share.expires) {
		u.coordinator, u.sequence = a.share.coordinator, a.share.sequence
		u.held = a.share.granted
		u.held[dimSpend] = max(0, u.held[dimSpend]-a.spend.spent)
	}
	u.wanted = a.wanted(now)
	a.refused = false
	a.report.inFlight = true
	a.report.last = now
	return u
}

// wanted returns what the daemon expects to use.
func (a *account) wanted(now time.Time) amounts {
	var w amounts
	least := a.limit.equalPart(a.live)
	for d := range a.offered {
		w[d] = max(a.offered[d].perSecond(now)*headroom, least[d]*minDemand)
	}
	w[dimConcurrent] = float64(a.inUse+1) * headroom
	if a.refused {
		allowed := a.allowance(now)
		w[dimConcurrent] = max(w[dimConcurrent], 2*allowed[dimConcurrent])
	}
	ahead := a.costs.perSecond(now) * shortestValidity.Seconds() * headroom
	w[dimSpend] = a.spend.reserved + max(ahead, least[dimSpend]*minDemand)
	return w
}

// apply applies a granted share. The grant answers the usage sent at sentAt. A
// share older than the current one is ignored.
func (a *account) apply(sentAt time.Time, sent usage, coordinator uint64, g grantResult) {
	a.report.inFlight = false
	if sent.idle {
		if !a.lastActive.After(sentAt) {
			a.report.next = time.Time{}
		}
		return
	}
	a.report.next = sentAt.Add(g.period)
	a.recordFleetSpend(sent, g)
	if coordinator == a.share.coordinator && g.sequence <= a.share.sequence {
		return
	}
	a.share = share{
		granted: g.amounts, sequence: g.sequence, coordinator: coordinator,
		day: g.day, expires: sentAt.Add(g.validity), validity: g.validity,
	}
	a.share.granted[dimSpend] += sent.spent
}

// recordFleetSpend records the fleet's spend and the part of this daemon's spend
// that it includes.
func (a *account) recordFleetSpend(sent usage, g grantResult) {
	if g.day == a.spend.day && sent.day == a.spend.day {
		a.spend.fleetTotal = max(a.spend.fleetTotal, g.fleetSpent)
		a.spend.acknowledged = max(a.spend.acknowledged, sent.spent)
	}
}

// reportFailed records that a report got no answer and schedules a retry.
func (a *account) reportFailed(now time.Time) {
	a.report.inFlight = false
	a.report.next = now.Add(shortestPeriod)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
