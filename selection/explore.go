package selection

import (
	"math/rand/v2"

	"github.com/bronzeturn/bronzeturn/cascade"
)

// Exploration gives a version the share ExploreShare while the upper bound of its
// quality reaches the target, probableFactor times that while its mean does, and
// unlikelyFactor times that while its mean plus unlikelySpread times the distance
// of the mean from the lower bound does, which is 2.5 standard deviations by
// default. Without the last, a few unlucky ratings would end the exploration of a
// version permanently. Cascades get cascadeFactor times as much: answers that the
// check flags are escalated, so exploring them risks less quality.
const (
	probableFactor = 4
	unlikelyFactor = 0.1
	unlikelySpread = 3
	cascadeFactor  = 2
)

// exploration is a version, or a cascade that begins with it, that may be a better
// choice but lacks ratings.
type exploration struct {
	version int
	cascade bool
	// cost is the expected cost, including escalations. The exploration with the
	// highest gain is chosen: its share times what a request would save, or the share
	// alone when no version reaches the target.
	cost, gain float64
}

// explore replaces the chosen version for a small share of requests by a version
// or a cascade that may be a better choice.
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
	best := exploration{version: none}
	for _, v := range c.org.candidates {
		if v == chosen.version {
			continue
		}
		c.exploreVersion(&best, v, chosen, draw)
		if cascades {
			c.exploreCascade(&best, v, chosen, draw)
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

// exploreVersion replaces best by the version if the draw falls into its share and
// the gain of exploring it is higher.
func (c *choice) exploreVersion(best *exploration, v int, chosen *option, draw float64) {
	estimate := c.estimate(v)
	share := c.exploreShare(estimate.Mean, estimate.Lower)
	if draw >= share || estimate.Lower >= c.kind.target {
		return
	}
	cost := c.cost(v)
	gain := share * (chosen.cost - cost)
	if c.best.version == none {
		gain = share // No version reaches the target: finding one matters more than cost.
	}
	if gain > best.gain && c.regular(v) && !c.overSpend(cost) {
		*best = exploration{version: v, cost: cost, gain: gain}
	}
}

// exploreCascade replaces best by the cascade from the version to the chosen one
// under the same condition. Ratings of answers that pass the check exist only for
// cascades that ran, so cascades have to be explored, too.
func (c *choice) exploreCascade(best *exploration, v int, chosen *option, draw float64) {
	first := c.cost(v)
	if first >= chosen.cost {
		return
	}
	cell := c.rows[v].accepted
	accepted := cell.EstimateAt(c.nanos)
	mean := cascade.Expect(first, accepted.Mean, cell.FlaggedShare(), chosen.cost, chosen.estimate.Mean)
	lower := cascade.Expect(first, accepted.Lower, cell.FlaggedShare(), chosen.cost, chosen.estimate.Lower)
	share := cascadeFactor * c.exploreShare(mean.Quality, lower.Quality)
	gain := share * (chosen.cost - mean.Cost)
	if draw >= share || lower.Quality >= c.kind.target || gain <= best.gain {
		return
	}
	if c.regular(v) && c.meetsDeadline(v, chosen.version) && !c.overSpend(first+chosen.cost) {
		*best = exploration{version: v, cascade: true, cost: mean.Cost, gain: gain}
	}
}

// exploreShare returns the share of requests that explore a version with the given
// mean and lower bound of its quality.
func (c *choice) exploreShare(mean, lower float64) float64 {
	spread := mean - lower
	switch target := c.kind.target; {
	case mean >= target:
		return c.options.ExploreShare * probableFactor
	case mean+spread >= target:
		return c.options.ExploreShare
	case mean+unlikelySpread*spread >= target:
		return c.options.ExploreShare * unlikelyFactor
	}
	return 0
}

// cascades reports whether the request may be escalated.
func (c *choice) cascades() bool { return c.kind.cascade && !c.request.InConversation }
