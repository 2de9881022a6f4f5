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

// choice is the state of one call of Choose. It does not escape to the heap.
type choice struct {
	plan    *Plan
	bound   *binding
	request *Request
	now     time.Time
	options *Options
	org     *organisation
	kind    *kind
	rows    []row // rows of the kind, by version
	model   int   // model that the caller asked for, or none
	version int   // version that the caller asked for, or none
	key     uint64
	nanos   int64 // now as a Unix time
	prompt  int64 // prompt tokens, clamped to maxTokens

	// Results of the scan over the candidates.
	considered      int
	cutOff          bool    // whether an eligible version is cut off
	best            option  // preferred version or lowest cost at the target
	fallback        int     // version with the highest quality; valid only while best is none
	fallbackQuality float64 // mean quality estimate of fallback
}

// option is a version with its cost in micro-units and its estimate.
type option struct {
	version  int
	cost     float64
	rank     int
	estimate quality.Estimate
}

// Choose chooses the version for a request at the time now. The random source may
// be nil, which turns exploration off. A refusal is a *failure.Error, which does
// not distinguish versions that do not exist from versions that are not allowed.
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

// resolve looks up the organisation, the kind and the constraint of the request.
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
	c.best.version, c.fallback = none, none
	if c.org = c.plan.organisations[c.request.Organisation]; c.org == nil {
		return notAllowed()
	}
	c.key = mix(c.org.hash ^ xxhash.Sum64String(c.request.Key))
	return c.constrain()
}

// constrain looks up the version or model that the caller asked for.
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

// conversation returns the version that a conversation started on, or a refusal
// when that version can't be used.
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

// scan considers every candidate once.
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

// consider updates the results of the scan by one candidate.
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
	if c.inRollout(v) && c.version == none {
		return
	}
	if c.best.version != none && !preferable(&o, &c.best) {
		return // can't replace best, whatever its quality
	}
	o.estimate = c.estimate(v)
	if o.estimate.Lower >= c.kind.target {
		c.best = o
		return
	}
	if c.fallback == none || o.estimate.Mean > c.fallbackQuality {
		c.fallback, c.fallbackQuality = v, o.estimate.Mean
	}
}

// decide returns the best option at the target. When there is none, it applies the
// rule of the kind for quality below the target.
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
	case c.kind.refuseBelowTarget:
		return Decision{}, option{}, c.belowTarget()
	case c.fallback != none:
		o := c.option(c.fallback)
		return c.decision(&o, ReasonBestAvailable), o, nil
	}
	o := c.lastResort()
	return c.decision(&o, ReasonLastResort), o, nil
}

// lastResort returns the version of the highest quality among those that are cut
// off or in roll-out.
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

// rollout replaces a chosen baseline by the version in roll-out for the share of
// the key space that the roll-out has reached.
func (c *choice) rollout(chosen option) (Decision, bool) {
	for _, i := range c.plan.versions[chosen.version].successors {
		rule := &c.plan.rollouts[i]
		if !c.org.allowed[rule.version] || !c.plan.usable(rule.version) || !c.eligible(rule.version) {
			continue
		}
		share := math.Min(c.rows[rule.version].track.Share(), rule.maxShare)
		if c.gate(rule.version) != rollout.GateOpen || !c.inShare(rule.version, share) {
			continue
		}
		o := c.option(rule.version)
		if !c.overSpend(o.cost) {
			return c.decision(&o, ReasonRollout), true
		}
	}
	return Decision{}, false
}

// trickle sends a small share of the key space to a cut-off version that is due to
// be tried again.
func (c *choice) trickle(share float64) (Decision, bool) {
	if !c.cutOff || c.version != none || c.request.InConversation {
		return Decision{}, false
	}
	for _, v := range c.org.candidates {
		if c.gate(v) != rollout.GateTrickle || !c.inShare(v, share) || !c.eligible(v) {
			continue
		}
		if o := c.option(v); !c.overSpend(o.cost) {
			return c.decision(&o, ReasonTrickle), true
		}
	}
	return Decision{}, false
}

// cascade replaces the choice by a cheaper version with escalation to the chosen
// one when that is expected to cost less and to reach the target.
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
		out, ok := c.expectCascade(v, cost, &chosen)
		if !ok || !c.regular(v) || !c.meetsDeadline(v, chosen.version) || c.overSpend(cost+chosen.cost) {
			continue
		}
		first, lowest = v, out.Cost
	}
	if first == none {
		return d
	}
	return c.escalatable(first, lowest, &chosen)
}

// escalatable returns the decision for a cascade from version first to next.
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

// expectCascade returns the expected cost and quality of a cascade, and whether
// the lower bound of its quality reaches the target.
func (c *choice) expectCascade(first int, cost float64, next *option) (cascade.Estimate, bool) {
	cell := c.rows[first].accepted
	accepted := cell.EstimateAt(c.nanos)
	out := cascade.Expect(cost, accepted.Lower, cell.FlaggedShare(), next.cost, next.estimate.Lower)
	return out, out.Quality >= c.kind.target
}
