package admission

import (
	"math"
	"time"
)

// SpendLeft returns what the organisation may still spend today through this
// daemon, in micro-units of currency, and whether its spend is limited at all.
// It lets the selection of a version take the remaining spend into account;
// Acquire enforces the limit.
func (c *Controller) SpendLeft(organisation string, now time.Time) (micros int64, limited bool) {
	shard := c.shard(organisation)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	a := shard.accounts[organisation]
	if a == nil || !a.limit.limited(dimSpend) {
		return 0, false
	}
	a.advanceDay(now)
	left := a.allowance(now)[dimSpend] - a.spend.spent - a.spend.reserved
	return int64(math.Max(left, 0)), true
}
