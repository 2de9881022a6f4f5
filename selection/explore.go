package selection

import (
	"math/rand/v2"

	"github.com/bronzeturn/bronzeturn/cascade"
)

// Exploration gives a version the share ExploreShare while the upper bound of
// its quality reaches the target, probableFactor times that while its mean
// does, and remoteFactor times that as long as remoteReach times its
// uncertainty does, which is 2.5 standard deviations by default. Without the
// last, a few unlucky ratings would end the exploration of a version for good.
// Cascades get cascadeFactor times as much: what the check finds is escalated, so
// less is at stake.
const (
	probableFactor = 4
	remoteFactor   = 0.1
	remoteReach    = 3
	cascadeFactor  = 2
)

// trial is a version, or a cascade that begins with it, that may turn out to be
// a better choice for want of ratings.
type trial struct {
	version int
	cascade bool
	// cost is the expected cost, escalations included, and worth what a request
	// is expected to save in the end.
	cost, worth float64
}

// explore gives a small share of requests to a version or a cascade that may
// be a better choice than the chosen one.
func (c *choice) explore(chosen *option, d *Decision, rng *rand.Rand) (Decision, bool) {
	if rng == nil || c.options.ExploreShare <= 0 {
		return Decision{}, false
	}
	draw := rng.Float64()
	if draw >= c.options.ExploreShare*probableFactor*cascadeFactor {
		return Decision{}, false
	}
	cascades := d.Reason == ReasonCheapest && c.cascades()
	if !cascades && draw >= c.options.ExploreShare*probableFactor {
		return Decision{}, false
	}
	best := trial{version: none}
	for _, v := range c.org.candidates {
		if v == chosen.version {
			continue
		}
		c.tryVersion(&best, v, chosen, draw)
		if cascades {
			c.tryCascade(&best, v, chosen, draw)
		}
	}
	if best.version == none {
		return Decision{}, false
	}
	if best.cascade {
		e := c.escalatable(best.version, best.cost, chosen)
		e.Reason = ReasonExplore
		return e, true
	}
	o := c.option(best.version)
	return c.decision(&o, ReasonExplore), true
}

// tryVersion replaces best by the version where its share covers the draw and
// exploring it is worth more.
func (c *choice) tryVersion(best *trial, v int, chosen *option, draw float64) {
	estimate := c.estimate(v)
	share := c.exploreShare(estimate.Mean, estimate.Lower)
	if draw >= share || estimate.Lower >= c.kind.target {
		return
	}
	cost := c.cost(v)
	worth := share * (chosen.cost - cost)
	if c.best.version == none {
		worth = share // Quality comes first, whatever its cost.
	}
	if worth > best.worth && c.usual(v) && !c.overSpend(cost) {
		*best = trial{version: v, cost: cost, worth: worth}
	}
}

// tryCascade replaces best by the cascade from the version to the chosen one
// in the same way. Only cascades that ran have ratings of the
// answers that pass the check, so they have to be explored, too.
func (c *choice) tryCascade(best *trial, v int, chosen *option, draw float64) {
	first := c.cost(v)
	if first >= chosen.cost {
		return
	}
	cell := c.rows[v].accepted
	accepted := cell.EstimateAt(c.nanos)
	mean := cascade.Expect(first, accepted.Mean, cell.FlaggedShare(), chosen.cost, chosen.estimate.Mean)
	lower := cascade.Expect(first, accepted.Lower, cell.FlaggedShare(), chosen.cost, chosen.estimate.Lower)
	share := cascadeFactor * c.exploreShare(mean.Quality, lower.Quality)
	worth := share * (chosen.cost - mean.Cost)
	if draw >= share || lower.Quality >= c.kind.target || worth <= best.worth {
		return
	}
	if c.usual(v) && c.inTime(v, chosen.version) && !c.overSpend(first+chosen.cost) {
		*best = trial{version: v, cascade: true, cost: mean.Cost, worth: worth}
	}
}

// exploreShare returns the share of requests for a quality of the given mean
// and lower bound.
func (c *choice) exploreShare(mean, lower float64) float64 {
	spread := mean - lower
	switch target := c.kind.target; {
	case mean >= target:
		return c.options.ExploreShare * probableFactor
	case mean+spread >= target:
		return c.options.ExploreShare
	case mean+remoteReach*spread >= target:
		return c.options.ExploreShare * remoteFactor
	}
	return 0
}

// cascades tells whether the request may be escalated.
func (c *choice) cascades() bool { return c.kind.cascade && !c.request.InConversation }
