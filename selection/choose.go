package selection

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeturn/bronzeturn/cascade"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/rollout"
)

const microsPerUnit = 1_000_000

// choice is the work space of one call of Choose. It lives on the stack.
type choice struct {
	plan    *Plan
	bound   *binding
	request *Request
	now     time.Time
	options *Options
	org     *organisation
	kind    *kind
	rows    []row // of the kind, by version
	model   int   // model named by the caller, or none
	version int   // version named by the caller, or none
	key     uint64
	nanos   int64 // now as a Unix time
	prompt  int64 // bounded prompt tokens

	// What the scan over the candidates found.
	considered int
	cutOff     bool    // whether a version that fits is cut off
	best       option  // lowest cost at the target, the preferred ones first
	available  int     // version of the highest quality, known only without best
	quality    float64 // mean estimate of available
}

// option is a version with its cost in micro-units and its estimate.
type option struct {
	version  int
	cost     float64
	rank     int
	estimate quality.Estimate
}

// Choose picks the version for a request, as of now. The random source may be
// nil, which turns exploration off. A refusal is a *failure.Error; it says the
// same for versions that do not exist and versions that are not allowed.
func (y *Policy) Choose(p *Plan, r *Request, now time.Time, rng *rand.Rand) (Decision, error) {
	c := choice{plan: p, bound: y.binding(p), request: r, now: now, nanos: now.UnixNano(), options: &y.options}
	c.prompt = min(max(r.PromptTokens, 0), maxTokens)
	if err := c.resolve(); err != nil {
		return Decision{}, err
	}
	if r.InConversation && c.version != none {
		return c.conversation(y.rollout.Options().EndConversations)
	}
	c.scan()
	if d, ok := c.trickle(y.rollout.Options().TrickleShare); ok {
		return d, nil
	}
	d, chosen, err := c.decide()
	if err != nil {
		return Decision{}, err
	}
	if d.Reason == ReasonLastResort || c.version != none {
		return d, nil
	}
	if e, ok := c.rollout(chosen); ok {
		return e, nil
	}
	if e, ok := c.explore(&chosen, &d, rng); ok {
		return e, nil
	}
	return c.cascade(chosen, d), nil
}

// resolve looks up organisation, kind and constraint.
func (c *choice) resolve() error {
	name := c.request.Kind
	if name == "" {
		name = DefaultKind
	}
	k, ok := c.plan.kindByName[name]
	if !ok {
		return failure.New(failure.CodeUnknownKind, failure.RanNo, "the task kind is not defined")
	}
	c.kind = &c.plan.kinds[k]
	n := len(c.plan.versions)
	c.rows = c.bound.rows[k*n : (k+1)*n]
	c.model, c.version = none, none
	c.best.version, c.available = none, none
	if c.org = c.plan.organisations[c.request.Organisation]; c.org == nil {
		return notAllowed()
	}
	c.key = mix(c.org.hash ^ xxhash.Sum64String(c.request.Key))
	return c.constrain()
}

func (c *choice) constrain() error {
	name := c.request.Constraint
	if name == "" || name == AnyVersion {
		return nil
	}
	if v, ok := c.plan.versionByName[name]; ok {
		if !c.org.allowed[v] {
			return notAllowed()
		}
		c.version = v
		return nil
	}
	m, ok := c.plan.modelByName[name]
	if !ok {
		return notAllowed()
	}
	c.model = m
	return nil
}

// conversation keeps the version that a conversation started with.
func (c *choice) conversation(endWhenCutOff bool) (Decision, error) {
	v := &c.plan.versions[c.version]
	switch {
	case v.withdrawn || c.plan.halted(c.version):
		return Decision{}, withdrawn()
	case endWhenCutOff && c.gate(c.version) == rollout.GateClosed:
		return Decision{}, c.belowTarget()
	case !v.served || !c.eligible(c.version):
		return Decision{}, noCapacity()
	}
	o := c.option(c.version)
	if c.overSpend(o.cost) {
		return Decision{}, spendExceeded()
	}
	c.considered = 1
	return c.decision(&o, ReasonConversation), nil
}

// scan looks at every candidate once.
func (c *choice) scan() {
	if c.version != none {
		if c.plan.usable(c.version) {
			c.consider(c.version)
		}
		return
	}
	for _, v := range c.org.candidates {
		c.consider(v)
	}
}

func (c *choice) consider(v int) {
	if !c.eligible(v) {
		return
	}
	o := option{version: v, cost: c.cost(v), rank: int(c.rows[v].rank)}
	if c.overSpend(o.cost) {
		return
	}
	c.considered++
	if c.gate(v) != rollout.GateOpen {
		c.cutOff = true
		return
	}
	if c.introduced(v) && c.version == none {
		return
	}
	if c.best.version != none && !before(&o, &c.best) {
		return // whatever its quality
	}
	o.estimate = c.estimate(v)
	if o.estimate.Lower >= c.kind.target {
		c.best = o
		return
	}
	if c.available == none || o.estimate.Mean > c.quality {
		c.available, c.quality = v, o.estimate.Mean
	}
}

// decide takes the best option at the target, or what the rule says below it.
func (c *choice) decide() (Decision, option, error) {
	switch {
	case c.best.version != none:
		reason := ReasonCheapest
		if c.best.rank > 0 {
			reason = ReasonPreferred
		}
		return c.decision(&c.best, reason), c.best, nil
	case c.considered == 0:
		return Decision{}, option{}, c.refusal()
	case c.kind.refuse:
		return Decision{}, option{}, c.belowTarget()
	case c.available != none:
		o := c.option(c.available)
		return c.decision(&o, ReasonBestAvailable), o, nil
	}
	o := c.lastResort()
	return c.decision(&o, ReasonLastResort), o, nil
}

// lastResort returns the best of the versions that are cut off or introduced by
// a roll-out.
func (c *choice) lastResort() option {
	best := option{version: none}
	for _, v := range c.org.candidates {
		if c.version != none && c.version != v || !c.eligible(v) {
			continue
		}
		if o := c.option(v); !c.overSpend(o.cost) {
			keepBetter(&best, &o)
		}
	}
	return best
}

// rollout moves the share of a roll-out's key space from the chosen baseline
// to the version that is being introduced.
func (c *choice) rollout(chosen option) (Decision, bool) {
	for _, i := range c.plan.versions[chosen.version].successors {
		rule := &c.plan.rollouts[i]
		if !c.org.allowed[rule.version] || !c.plan.usable(rule.version) || !c.eligible(rule.version) {
			continue
		}
		share := math.Min(c.rows[rule.version].track.Share(), rule.maxShare)
		if c.gate(rule.version) != rollout.GateOpen || !c.within(rule.version, share) {
			continue
		}
		o := c.option(rule.version)
		if !c.overSpend(o.cost) {
			return c.decision(&o, ReasonRollout), true
		}
	}
	return Decision{}, false
}

// trickle sends a small share of the key space to a version that was cut off.
func (c *choice) trickle(share float64) (Decision, bool) {
	if !c.cutOff || c.version != none || c.request.InConversation {
		return Decision{}, false
	}
	for _, v := range c.org.candidates {
		if c.gate(v) != rollout.GateTrickle || !c.within(v, share) || !c.eligible(v) {
			continue
		}
		if o := c.option(v); !c.overSpend(o.cost) {
			return c.decision(&o, ReasonTrickle), true
		}
	}
	return Decision{}, false
}

// cascade replaces the choice by a cheaper version with an escalation to the
// chosen one where that is expected to cost less and to reach the target.
func (c *choice) cascade(chosen option, d Decision) Decision {
	if !c.cascades() || d.Reason != ReasonCheapest {
		return d
	}
	first, lowest := none, chosen.cost
	for _, v := range c.org.candidates {
		cost := c.cost(v)
		if cost+c.rows[v].accepted.FlaggedShare()*chosen.cost >= lowest {
			continue
		}
		out, ok := c.outlook(v, cost, &chosen)
		if !ok || !c.usual(v) || !c.inTime(v, chosen.version) || c.overSpend(cost+chosen.cost) {
			continue
		}
		first, lowest = v, out.Cost
	}
	if first == none {
		return d
	}
	return c.escalatable(first, lowest, &chosen)
}

// escalatable returns the decision for a cascade from one version to another.
func (c *choice) escalatable(first int, cost float64, next *option) Decision {
	o := c.option(first)
	d := c.decision(&o, ReasonCascade)
	d.ExpectedCostMicros = int64(math.Ceil(cost))
	d.Escalatable = true
	d.Cascade = cascade.Plan{
		Next:           c.plan.versions[next.version].name,
		NextCostMicros: int64(math.Ceil(next.cost)),
		NextDuration:   c.duration(next.version),
	}
	return d
}

// outlook returns the expected cost of a cascade, and whether its quality is
// credibly at the target.
func (c *choice) outlook(first int, cost float64, next *option) (cascade.Outlook, bool) {
	cell := c.rows[first].accepted
	accepted := cell.EstimateAt(c.nanos)
	out := cascade.Expect(cost, accepted.Lower, cell.FlaggedShare(), next.cost, next.estimate.Lower)
	return out, out.Quality >= c.kind.target
}
