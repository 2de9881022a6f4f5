package admission

import (
	"math"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
)

// account is one daemon's state for one organisation's limit: its share of the
// limit and what it has admitted. It does no I/O and takes no lock; the caller
// holds the lock of its shard.
type account struct {
	organisation string
	limit        amounts
	live         int // daemons among which the limit is divided
	share        share
	requests     bucket
	tokens       bucket
	inUse        int
	spend        daySpend
	offered      [2]meter // requests and tokens asked for, admitted or not
	costs        meter
	lastActive   time.Time
	refused      bool // since the last report
	report       reportState
}

// share is the part of a limit that the coordinator granted. Its spend is the total
// that this daemon's spend may reach on the day.
type share struct {
	granted     amounts
	sequence    uint64
	coordinator uint64
	day         int64
	expires     time.Time // zero when nothing is granted
	validity    time.Duration
}

// charge is the estimated use that a request is charged for at admission.
type charge struct {
	tokens float64
	cost   float64
}

// allowance returns what this daemon may use now. After its share has expired,
// the allowance is the smaller of the share and the equal part until the shares
// that the coordinator granted to other daemons out of the difference have
// expired too.
func (a *account) allowance(now time.Time) amounts {
	equal := a.limit.equalPart(a.live)
	equal[dimSpend] = a.spend.equalCap(a.limit[dimSpend], a.live)
	s := &a.share
	if s.expires.IsZero() {
		return equal
	}
	granted := s.granted
	if s.day != a.spend.day {
		granted[dimSpend] = equal[dimSpend]
	}
	switch {
	case now.Before(s.expires):
		return granted
	case now.Before(s.expires.Add(s.validity + expiryMargin)):
		return minOf(granted, equal)
	}
	return equal
}

// admit charges a request to the account, or refuses it.
func (a *account) admit(now time.Time, c charge) *failure.Error {
	a.advanceDay(now)
	a.lastActive = now
	a.offered[dimRequests].add(now, 1)
	a.offered[dimTokens].add(now, c.tokens)
	a.costs.add(now, c.cost)
	allowed := a.allowance(now)
	if err := a.check(now, c, &allowed); err != nil {
		a.refused = true
		return err
	}
	a.requests.balance--
	a.tokens.balance -= c.tokens
	a.inUse++
	a.spend.reserved += c.cost
	return nil
}

// check reports whether the request fits the allowance. The token balance only
// has to be positive, since the size of an answer is an estimate.
func (a *account) check(now time.Time, c charge, allowed *amounts) *failure.Error {
	a.requests.refill(now, allowed[dimRequests], 1)
	a.tokens.refill(now, allowed[dimTokens], 1)
	if a.limit.limited(dimConcurrent) && float64(a.inUse+1) > allowed[dimConcurrent] {
		return a.exceeded("requests in progress", concurrencyRetryAfter)
	}
	if a.limit.limited(dimRequests) && a.requests.balance < 1 {
		return a.exceeded("requests per second", a.requests.waitFor(1, allowed[dimRequests]))
	}
	if a.limit.limited(dimTokens) && a.tokens.balance <= 0 {
		return a.exceeded("tokens per second", a.tokens.waitFor(0, allowed[dimTokens]))
	}
	if a.limit.limited(dimSpend) && a.spend.spent+a.spend.reserved+c.cost > allowed[dimSpend] {
		return a.spend.exceeded(now, a.limit[dimSpend], c.cost*float64(a.live))
	}
	return nil
}

// exceeded returns the refusal for one dimension of the limit.
func (a *account) exceeded(what string, after time.Duration) *failure.Error {
	return failure.New(failure.CodeLimitExceeded, failure.RanNo, "limit of %s reached", what).
		WithRetryAfter(max(after, minRetryAfter))
}

// settle replaces the estimate of a finished request with its actual usage.
func (a *account) settle(now time.Time, c charge, usedTokens, usedCost float64) {
	a.advanceDay(now)
	a.inUse--
	a.tokens.balance += c.tokens - usedTokens
	a.spend.reserved = max(0, a.spend.reserved-c.cost)
	a.spend.spent += usedCost
}

// refund reverses the charge of a request that did not run.
func (a *account) refund(now time.Time, c charge) {
	a.requests.balance++
	a.settle(now, c, 0, 0)
}

// advanceDay resets the spend at the start of a new UTC day. Amounts reserved
// for requests in progress are carried over.
func (a *account) advanceDay(now time.Time) {
	if day := dayOf(now); day != a.spend.day {
		a.spend = daySpend{day: day, reserved: a.spend.reserved}
	}
}

// daySpend is the spend of one UTC day, in micro-units of currency.
type daySpend struct {
	day          int64
	spent        float64 // settled on this daemon
	reserved     float64 // estimated for requests in progress
	fleetTotal   float64 // of all daemons, as last reported by a coordinator
	acknowledged float64 // the part of spent that fleetTotal includes
}

// equalCap returns what this daemon's own spend may reach without a share: the
// spend that the coordinator acknowledged, and an equal part of what was left of
// the limit at that time.
func (s *daySpend) equalCap(limit float64, live int) float64 {
	left := max(0, limit-s.fleetTotal)
	return s.acknowledged + left/float64(max(live, 1))
}

// exceeded returns the refusal. Retry-After is the next UTC day when less than
// one such request per daemon is left of the limit, and short when only this
// daemon's share is used up.
func (s *daySpend) exceeded(now time.Time, limit, fleetCost float64) *failure.Error {
	after := concurrencyRetryAfter
	if s.fleetTotal+fleetCost > limit || s.spent+s.reserved >= limit {
		after = untilNextDay(now)
	}
	return failure.New(failure.CodeSpendExceeded, failure.RanNo, "daily spend limit reached").WithRetryAfter(after)
}

const day = 24 * time.Hour

// dayOf returns the number of the UTC day since the Unix epoch.
func dayOf(now time.Time) int64 { return now.Unix() / int64(day/time.Second) }

// untilNextDay returns the time until the next UTC day begins.
func untilNextDay(now time.Time) time.Duration {
	return time.Unix((dayOf(now)+1)*int64(day/time.Second), 0).Sub(now)
}

// decayFactor returns the factor of an exponential decay with time constant
// span over elapsed.
func decayFactor(elapsed, span time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / span.Seconds())
}
