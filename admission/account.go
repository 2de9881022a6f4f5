package admission

import (
	"math"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
)

// account is what one daemon knows of one organisation's limit: its share, and
// what it admitted. It is a pure state machine; the caller holds the lock.
type account struct {
	organisation string
	limit        amounts
	live         int // daemons among which the limit is divided
	share        share
	requests     bucket
	tokens       bucket
	inUse        int
	spend        spendBook
	offered      [2]meter // requests and tokens asked for, admitted or not
	costs        meter
	lastActive   time.Time
	refused      bool // since the last report
	report       reportState
}

// share is what the coordinator granted. The spend dimension holds the
// absolute sum that this daemon may reach on the day.
type share struct {
	granted     amounts
	sequence    uint64
	coordinator uint64
	day         int64
	expires     time.Time // zero: nothing granted
	validity    time.Duration
}

// charge is what a request took from its organisation's account.
type charge struct {
	tokens float64
	cost   float64
}

// allowance returns what this daemon may use now. A share that has expired
// is not raised to the equal part before the shares that other daemons got
// on top of it have expired too.
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
	case now.Before(s.expires.Add(s.validity + settleTime)):
		return minOf(granted, equal)
	}
	return equal
}

// admit charges a request to the account, or refuses it.
func (a *account) admit(now time.Time, c charge) *failure.Error {
	a.roll(now)
	a.lastActive = now
	a.offered[dimRequests].add(now, 1)
	a.offered[dimTokens].add(now, c.tokens)
	a.costs.add(now, c.cost)
	may := a.allowance(now)
	if err := a.check(now, c, &may); err != nil {
		a.refused = true
		return err
	}
	a.requests.balance--
	a.tokens.balance -= c.tokens
	a.inUse++
	a.spend.reserved += c.cost
	return nil
}

// check tells whether the request fits the allowance. The token balance only
// has to be positive, since the size of an answer is an estimate.
func (a *account) check(now time.Time, c charge, may *amounts) *failure.Error {
	a.requests.fill(now, may[dimRequests], 1)
	a.tokens.fill(now, may[dimTokens], 1)
	if a.limit.limited(dimConcurrent) && float64(a.inUse+1) > may[dimConcurrent] {
		return a.exceeded("requests in progress", concurrencyRetryAfter)
	}
	if a.limit.limited(dimRequests) && a.requests.balance < 1 {
		return a.exceeded("requests per second", a.requests.waitFor(1, may[dimRequests]))
	}
	if a.limit.limited(dimTokens) && a.tokens.balance <= 0 {
		return a.exceeded("tokens per second", a.tokens.waitFor(0, may[dimTokens]))
	}
	if a.limit.limited(dimSpend) && a.spend.spent+a.spend.reserved+c.cost > may[dimSpend] {
		return a.spend.exceeded(now, a.limit[dimSpend], c.cost*float64(a.live))
	}
	return nil
}

// exceeded builds the refusal of one dimension.
func (a *account) exceeded(what string, after time.Duration) *failure.Error {
	return failure.New(failure.CodeLimitExceeded, failure.RanNo, "limit of %s reached", what).
		WithRetryAfter(max(after, minRetryAfter))
}

// settle replaces the estimate of a finished request by what it used.
func (a *account) settle(now time.Time, c charge, usedTokens, usedCost float64) {
	a.roll(now)
	a.inUse--
	a.tokens.balance += c.tokens - usedTokens
	a.spend.reserved = max(0, a.spend.reserved-c.cost)
	a.spend.spent += usedCost
}

// refund undoes a charge of a request that did not run.
func (a *account) refund(now time.Time, c charge) {
	a.requests.balance++
	a.settle(now, c, 0, 0)
}

// roll starts a new UTC day.
func (a *account) roll(now time.Time) {
	if day := dayOf(now); day != a.spend.day {
		a.spend = spendBook{day: day, reserved: a.spend.reserved}
	}
}

// spendBook holds the spend of one UTC day, in micro-units of currency.
type spendBook struct {
	day        int64
	spent      float64 // settled on this daemon
	reserved   float64 // estimated for requests in progress
	fleetTotal float64 // of all daemons, as last told by a coordinator
	told       float64 // the part of spent that fleetTotal includes
}

// equalCap is what this daemon's own spend may reach without a share: what it
// has spent, and an equal part of what was left when it last heard.
func (b *spendBook) equalCap(limit float64, live int) float64 {
	left := max(0, limit-b.fleetTotal)
	return b.told + left/float64(max(live, 1))
}

// exceeded builds the refusal. The caller should come back tomorrow when less
// than one such request per daemon is left, and soon when only this daemon's
// share is used up.
func (b *spendBook) exceeded(now time.Time, limit, fleetCost float64) *failure.Error {
	after := concurrencyRetryAfter
	if b.fleetTotal+fleetCost > limit || b.spent+b.reserved >= limit {
		after = untilNextDay(now)
	}
	return failure.New(failure.CodeSpendExceeded, failure.RanNo, "daily spend limit reached").WithRetryAfter(after)
}

const day = 24 * time.Hour

// dayOf numbers UTC days since 1970.
func dayOf(now time.Time) int64 { return now.Unix() / int64(day/time.Second) }

// untilNextDay returns the time left of the UTC day.
func untilNextDay(now time.Time) time.Duration {
	return time.Unix((dayOf(now)+1)*int64(day/time.Second), 0).Sub(now)
}

// decayFactor is the factor by which a sum shrinks over elapsed.
func decayFactor(elapsed, span time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / span.Seconds())
}
