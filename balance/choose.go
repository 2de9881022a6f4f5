package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bounds of Decision.RetryAfter.
const (
	minRetryAfter     = 100 * time.Millisecond
	defaultRetryAfter = time.Second
	maxRetryAfter     = 30 * time.Second
)

// A sample draws at most sampleDraws random engines for each engine to compare,
// as some drawn engines may be unusable. defaultSample is the default number of
// engines to compare.
const (
	sampleDraws   = 3
	defaultSample = 2
)

// minWarmShare is the fraction of its full share of requests that a new engine
// starts with.
const minWarmShare = 0.1

// eligibility says whether an engine may be used for a request.
type eligibility uint8

const (
	usable eligibility = iota
	// warming engines are usable, but skipped for this request to limit their
	// share of requests during the warm-up.
	warming
	// probing engines are ejected and due for a probe, which is a single request.
	probing
	// ejectedSlow engines are ejected for slowness; they are used only if no
	// other engine is usable.
	ejectedSlow
	unusable
)

// choice is the state of one call of Choose.
type choice struct {
	state *State
	plan  *Plan
	req   Request
	// at and now are the time of the choice; now is in Unix nanoseconds.
	at  time.Time
	now int64
	rng *rand.Rand
	d   Decision
	// priority is the index of the request's priority.
	priority int
	// holders are the engines that probably hold the prefix. comparedHolder is
	// the plan index of the one compared last, or -1.
	holders        holders
	comparedHolder int32
	// probe is the plan index of the ejected engine that the request probes, or -1.
	probe int32
}

// Choose picks the engine for a request. If there is none it returns false, with
// Reason and RetryAfter set in the decision. The caller must call Dispatched when
// it sends the request.
func (s *State) Choose(p *Plan, r *Request, now time.Time, rng *rand.Rand) (Decision, bool) {
	served, ok := p.versions[r.Version]
	if !ok {
		return Decision{Index: -1, Reason: ReasonNotServed, RetryAfter: defaultRetryAfter}, false
	}
	c := choice{
		state: s, plan: p, req: *r, at: now, now: now.UnixNano(), rng: rng, d: Decision{Index: -1},
		priority: priorityIndex(r.Work.Priority), comparedHolder: -1, probe: -1,
	}
	best := c.pick(served)
	if best.index < 0 {
		c.refuse(served)
		return c.d, false
	}
	wait := seconds(best.wait)
	if r.MaxWait > 0 && wait > r.MaxWait {
		c.d.Reason = ReasonWait
		c.d.RetryAfter = clampRetryAfter(wait - r.MaxWait)
		return c.d, false
	}
	c.accept(best)
	return c.d, true
}

// pick compares engines in the local data centre, then in the other data centres,
// then all engines.
func (c *choice) pick(served *candidates) estimate {
	if best := c.compareCandidates(served); best.index >= 0 {
		return best
	}
	local, remote := served.split(c.req.DataCentre)
	best := c.affinity(served)
	if c.probe < 0 {
		best = c.sample(local, best, 0, ReasonLeastWait)
	}
	threshold := c.state.options.RemoteThreshold.Seconds()
	wait := best.wait
	if c.state.options.BusyIsWait {
		wait += best.backlog
	}
	if c.probe < 0 && (best.index < 0 || wait > threshold) {
		best = c.sample(remote, best, threshold, ReasonRemote)
	}
	if c.probe >= 0 {
		c.d.Reason = ReasonProbe
		return c.estimate(c.probe)
	}
	if best.index >= 0 {
		return best
	}
	return c.scan(served)
}

// compareCandidates compares the engines in Request.Candidates.
func (c *choice) compareCandidates(served *candidates) estimate {
	best := noEstimate
	if c.req.Candidates[0] == "" {
		return best
	}
	if c.affinityApplies() {
		c.holders = c.state.holders(c.req.PrefixHash, c.req.Homes, c.now)
	}
	for _, name := range c.req.Candidates {
		index, known := c.plan.indexOf(c.state.engine(name))
		if name == "" || !known || !served.member[index] || c.eligibility(index) != usable {
			continue
		}
		est, reason := c.consider(index), ReasonLeastWait
		if c.plan.specs[index].GetDataCentre() != c.req.DataCentre {
			est.cost += c.state.options.RemoteThreshold.Seconds()
			reason = ReasonRemote
		}
		if _, holds := c.holders.lastUpdate(c.plan.engines[index]); holds {
			reason = ReasonAffinity
		}
		if est.cost < best.cost {
			best, c.d.Reason = est, reason
		}
	}
	return best
}

// affinity considers the home engines of the prompt's prefix or, if none of them
// is usable, a random holder. It considers none if affinityApplies is false.
func (c *choice) affinity(served *candidates) estimate {
	if !c.affinityApplies() {
		return noEstimate
	}
	c.holders = c.state.holders(c.req.PrefixHash, c.req.Homes, c.now)
	if home, ok := c.bestHome(served); ok {
		return home
	}
	if c.holders.count == 0 {
		return noEstimate
	}
	index, ok := c.plan.indexOf(c.holders.list[c.rng.IntN(c.holders.count)].engine)
	if !ok || !served.member[index] {
		return noEstimate
	}
	return c.considerHolder(index)
}

// affinityApplies reports whether to look for engines that hold the prefix: the
// request has one, and it has a PrefixWorth or its prefill is long enough.
func (c *choice) affinityApplies() bool {
	return c.req.PrefixHash != 0 && (c.req.PrefixWorth > 0 || c.state.options.affinityApplies(c.req.Work.PromptTokens))
}

// bestHome considers the usable home engines of the prefix and returns the
// cheapest one.
func (c *choice) bestHome(served *candidates) (best estimate, ok bool) {
	best = noEstimate
	for _, name := range c.req.Homes {
		index, known := c.plan.indexOf(c.state.engine(name))
		if !known || !served.member[index] || c.eligibility(index) != usable {
			continue
		}
		est := c.considerHolder(index)
		if c.probe >= 0 {
			return noEstimate, true
		}
		best = cheaper(best, est)
		ok = true
	}
	return best, ok
}

// considerHolder considers an engine that probably holds the prefix.
func (c *choice) considerHolder(index int32) estimate {
	o := &c.state.options
	switch c.eligibility(index) {
	case usable:
	case probing:
		c.probe = index
		return noEstimate
	default:
		return noEstimate
	}
	c.comparedHolder = index
	c.d.Reason = ReasonAffinity
	est := c.consider(index)
	if c.plan.specs[index].GetDataCentre() != c.req.DataCentre {
		est.cost += o.RemoteThreshold.Seconds()
	}
	return est
}

// sample compares the best engine so far with up to SampleSize random engines of
// the group. These must be better by the threshold, in seconds.
func (c *choice) sample(group []int32, best estimate, threshold float64, reason Reason) estimate {
	n := len(group)
	if n == 0 {
		return best
	}
	size := c.state.options.SampleSize
	if size <= 0 {
		size = defaultSample
	}
	draws, all := sampleDraws*size, n <= size
	offset := 0
	if all && n > defaultSample {
		draws, offset = n, c.rng.IntN(n)
	}
	first := int32(-1)
	found := 0
	for i := range draws {
		index := group[(offset+i)%n]
		if !all || n <= defaultSample {
			index = group[c.rng.IntN(n)]
		}
		if index == first || index == c.comparedHolder {
			continue
		}
		switch c.eligibility(index) {
		case usable:
		case probing:
			c.probe = index
			return best
		default:
			continue
		}
		if est := c.consider(index); est.cost+threshold < best.cost {
			best = est
			c.d.Reason = reason
		}
		first = index
		if found++; found == size || found == n {
			break
		}
	}
	return best
}

// scan compares all engines, starting at a random one. Warm-up is ignored.
// Engines ejected for slowness are used if no other engine is usable.
func (c *choice) scan(served *candidates) estimate {
	best, bestSlow := noEstimate, noEstimate
	n := len(served.all)
	offset := c.rng.IntN(n)
	for i := range n {
		index := served.all[(offset+i)%n]
		switch c.eligibility(index) {
		case usable, warming:
			best = cheaper(best, c.estimate(index))
		case probing:
			c.d.Reason = ReasonProbe
			c.probe = index
			return c.estimate(index)
		case ejectedSlow:
			bestSlow = cheaper(bestSlow, c.estimate(index))
		}
	}
	c.d.Reason = ReasonScan
	if best.index < 0 {
		c.d.Reason = ReasonSlowOnly
		best = bestSlow
	}
	return best
}

func cheaper(a, b estimate) estimate {
	if b.cost < a.cost {
		return b
	}
	return a
}

// eligibility returns whether the engine may be used for this request.
func (c *choice) eligibility(index int32) eligibility {
	e := c.plan.engines[index]
	h := &e.activity().health
	if c.excluded(e, index) || h.busyUntil.Load() > c.now || h.paused(c.at) {
		return unusable
	}
	if kind := phase(h.phase.Load()); kind != admitted {
		return c.ejectedEligibility(h, kind)
	}
	if c.skippedInWarmUp(e) {
		return warming
	}
	return usable
}

// excluded reports whether the engine must not get the request at all: its host
// is leaving or gone, or Request.Exclude or Request.Skip rules it out.
func (c *choice) excluded(e *engine, index int32) bool {
	if e.closed.Load() || c.req.Skip != nil && c.req.Skip(e.name) {
		return true
	}
	for i := range c.req.Exclude {
		if c.req.Exclude[i] != "" && c.req.Exclude[i] == e.name {
			return true
		}
	}
	return c.req.Leaving != nil && c.req.Leaving(c.plan.specs[index].GetHost())
}

// ejectedEligibility returns the eligibility of an ejected engine. If a probe is
// due, this request claims it, so that no other request is a probe until the next
// one is due.
func (c *choice) ejectedEligibility(h *health, kind phase) eligibility {
	last := h.probeAt.Load()
	due := c.now >= h.until.Load() && c.now-last >= int64(c.state.options.TrickleEvery)
	if due && !c.req.NoProbe && h.probeAt.CompareAndSwap(last, c.now) {
		return probing
	}
	if kind == slow {
		return ejectedSlow
	}
	return unusable
}

// skippedInWarmUp reports whether the engine is warming up and skipped for this
// request. The probability of not being skipped grows linearly over the warm-up,
// but is at least minWarmShare.
func (c *choice) skippedInWarmUp(e *engine) bool {
	from := e.warmFrom.Load()
	if from == noWarmUp {
		return false
	}
	if from == 0 {
		e.warmFrom.CompareAndSwap(0, c.now)
		from = c.now
	}
	age := c.now - from
	if age >= int64(c.state.options.WarmUp) {
		e.warmFrom.CompareAndSwap(from, noWarmUp)
		return false
	}
	share := float64(age) / float64(c.state.options.WarmUp)
	return c.rng.Float64() >= max(minWarmShare, share)
}

// consider estimates the cost at the engine and adds the engine to the
// decision's candidates.
func (c *choice) consider(index int32) estimate {
	est := c.estimate(index)
	if c.d.count < MaxCandidates {
		c.d.candidates[c.d.count] = Candidate{
			Engine: c.plan.engines[index].name,
			Cost:   seconds(est.cost),
		}
		c.d.count++
	}
	return est
}

// accept completes the decision for the chosen engine.
func (c *choice) accept(best estimate) {
	c.d.Index = int(best.index)
	c.d.Engine = c.plan.specs[best.index]
	c.d.ExpectedWait = seconds(best.wait)
	c.d.ExpectedFirstToken = seconds(best.firstToken)
	c.d.ExpectedAnswer = seconds(best.answer)
	c.d.Backlog, c.d.Requests = seconds(best.backlog), best.requests
}

// refuse completes the decision when no engine may be used. RetryAfter is the
// time until the first busy or ejected engine may be tried again.
func (c *choice) refuse(served *candidates) {
	c.d.Reason = ReasonNoEngine
	earliest := int64(math.MaxInt64)
	for _, index := range served.all {
		e := c.plan.engines[index]
		if c.excluded(e, index) {
			continue
		}
		h := &e.activity().health
		pause := h.pauseEnd().Sub(c.at)
		earliest = min(earliest, max(h.busyUntil.Load(), h.until.Load(), c.now+int64(max(pause, 0))))
	}
	if earliest == math.MaxInt64 {
		c.d.RetryAfter = defaultRetryAfter
		return
	}
	c.d.RetryAfter = clampRetryAfter(time.Duration(earliest - c.now))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
