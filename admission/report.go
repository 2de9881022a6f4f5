package admission

import (
	"time"
)

const (
	// activeFor is how long an organisation counts as active on a daemon after
	// its last request.
	activeFor = 10 * time.Second
	// hurryGap is the least time between two reports of one organisation.
	hurryGap = 100 * time.Millisecond
	// headroom is what a daemon wants beyond its measured demand.
	headroom = 1.25
	// quietPart is the part of an equal share up to which a daemon uses a limit
	// without reporting. It bounds the over-admission that comes from that.
	quietPart = 0.05
	// leastWant is the part of an equal share that an active daemon wants at
	// least, so that a new burst does not start from nothing.
	leastWant = 0.05
	// shortShare is the part of its share from which a daemon reports at once.
	shortShare = 0.8
)

// reportState schedules the reports of one account.
type reportState struct {
	last     time.Time // sent
	next     time.Time // due; zero while the organisation is idle here
	sent     uint64    // reports sent
	inFlight bool
}

// due reports whether the account should report now. An idle organisation
// reports once more to give its share back.
func (a *account) due(now time.Time) bool {
	if a.report.inFlight || a.report.next.IsZero() {
		return false
	}
	return !now.Before(a.report.next)
}

// soon reports whether a report that goes to the same coordinator anyway may
// take this account along.
func (a *account) soon(now time.Time) bool {
	if a.report.inFlight || a.report.next.IsZero() {
		return false
	}
	half := a.report.next.Sub(a.report.last) / 2
	return !now.Before(a.report.next.Add(-half))
}

// schedule makes the account report at once when it is short, or when it
// starts to use more than it may without reporting.
func (a *account) schedule(now time.Time) {
	if a.report.next.IsZero() {
		if !a.quiet(now) {
			a.report.next = now
		}
		return
	}
	if a.refused || a.short(now) {
		a.report.next = earlier(a.report.next, a.report.last.Add(hurryGap))
	}
}

// quiet reports whether the daemon uses so little that it need not report.
func (a *account) quiet(now time.Time) bool {
	part := a.limit.equalPart(a.live)
	used := amounts{
		dimRequests: a.offered[dimRequests].perSecond(now), dimTokens: a.offered[dimTokens].perSecond(now),
		dimConcurrent: float64(a.inUse), dimSpend: a.spend.spent + a.spend.reserved - a.spend.told,
	}
	for d := range used {
		if a.limit.limited(d) && used[d] > quietPart*part[d] {
			return false
		}
	}
	return true
}

// short reports whether the share is nearly used up and may be raised.
func (a *account) short(now time.Time) bool {
	may := a.allowance(now)
	if a.limit.limited(dimConcurrent) && float64(a.inUse) >= shortShare*may[dimConcurrent] {
		return true
	}
	for d := range a.offered {
		if a.limit.limited(d) && a.offered[d].perSecond(now) > shortShare*may[d] {
			return true
		}
	}
	return a.limit.limited(dimSpend) && a.spend.spent+a.spend.reserved > shortShare*may[dimSpend]
}

// usage builds a report and marks it as sent.
func (a *account) usage(now time.Time) usage {
	a.roll(now)
	a.report.sent++
	u := usage{
		report: a.report.sent,
		inUse:  float64(a.inUse),
		day:    a.spend.day,
		spent:  a.spend.spent, told: a.spend.told, fleetSpent: a.spend.fleetTotal,
		idle: a.inUse == 0 && now.Sub(a.lastActive) > activeFor,
	}
	if u.idle {
		// From here on the daemon uses an equal part if requests come.
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

// wanted is what the daemon expects to use.
func (a *account) wanted(now time.Time) amounts {
	var w amounts
	least := a.limit.equalPart(a.live)
	for d := range a.offered {
		w[d] = max(a.offered[d].perSecond(now)*headroom, least[d]*leastWant)
	}
	w[dimConcurrent] = float64(a.inUse+1) * headroom
	if a.refused {
		may := a.allowance(now)
		w[dimConcurrent] = max(w[dimConcurrent], 2*may[dimConcurrent])
	}
	ahead := a.costs.perSecond(now) * shortestValidity.Seconds() * headroom
	w[dimSpend] = a.spend.reserved + max(ahead, least[dimSpend]*leastWant)
	return w
}

// apply puts a granted share in force. Sent is the usage that it answers, at
// the time sentAt. A share older than the one held is ignored.
func (a *account) apply(sentAt time.Time, sent usage, coordinator uint64, g grantResult) {
	a.report.inFlight = false
	if sent.idle {
		if !a.lastActive.After(sentAt) {
			a.report.next = time.Time{}
		}
		return
	}
	a.report.next = sentAt.Add(g.period)
	a.tell(sent, g)
	if coordinator == a.share.coordinator && g.sequence <= a.share.sequence {
		return
	}
	a.share = share{
		granted: g.amounts, sequence: g.sequence, coordinator: coordinator,
		day: g.day, expires: sentAt.Add(g.validity), validity: g.validity,
	}
	a.share.granted[dimSpend] += sent.spent
}

// tell records the spend of the fleet.
func (a *account) tell(sent usage, g grantResult) {
	if g.day == a.spend.day && sent.day == a.spend.day {
		a.spend.fleetTotal = max(a.spend.fleetTotal, g.fleetSpent)
		a.spend.told = max(a.spend.told, sent.spent)
	}
}

// failed records that a report got no answer. It is tried again.
func (a *account) failed(now time.Time) {
	a.report.inFlight = false
	a.report.next = now.Add(shortestPeriod)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
