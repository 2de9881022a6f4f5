package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bounds of the advice given with a refusal.
const (
	minRetryAfter     = 100 * time.Millisecond
	defaultRetryAfter = time.Second
	maxRetryAfter     = 30 * time.Second
)

// The choice draws at most sampleDraws times for each engine that it compares,
// to find usable ones. defaultSample is how many are compared by default.
const (
	sampleDraws   = 3
	defaultSample = 2
)

// minWarmShare is the share of its full work that a new engine begins with.
const minWarmShare = 0.1

// standing tells whether an engine may be used.
type standing uint8

const (
	usable standing = iota
	// warming engines are usable but were passed over this time.
	warming
	// probing engines are on probation and due for a single request.
	probing
	// slowOut engines are out for slowness, usable when no other is left.
	slowOut
	unusable
)

// choice is one run of Choose.
type choice struct {
	state *State
	plan  *Plan
	req   Request
	now   int64
	rng   *rand.Rand
	d     Decision
	// priority is the class of the request.
	priority int
	// holders are the engines that probably hold the prefix, and cached is the
	// plan index of the one that is compared, or -1.
	holders holders
	cached  int32
	// probe is set when an engine on probation takes the request.
	probe int32
}

// Choose picks the engine for a request, or reports false with the reason and
// when to come back. The caller reports Dispatched when the request goes out.
func (s *State) Choose(p *Plan, r *Request, now time.Time, rng *rand.Rand) (Decision, bool) {
	served, ok := p.versions[r.Version]
	if !ok {
		return Decision{Index: -1, Reason: ReasonNotServed, RetryAfter: defaultRetryAfter}, false
	}
	c := choice{
		state: s, plan: p, req: *r, now: now.UnixNano(), rng: rng, d: Decision{Index: -1},
		priority: priorityIndex(r.Work.Priority), cached: -1, probe: -1,
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

// pick compares engines in the data centre, then in others, then all.
func (c *choice) pick(served *candidates) estimate {
	if best := c.among(served); best.index >= 0 {
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
		wait += best.busy
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

// among compares the engines that the request names.
func (c *choice) among(served *candidates) estimate {
	best := none
	if c.req.Candidates[0] == "" {
		return best
	}
	if c.affine() {
		c.holders = c.state.holders(c.req.PrefixHash, c.req.Homes, c.now)
	}
	for _, name := range c.req.Candidates {
		index, known := c.plan.indexOf(c.state.engine(name))
		if name == "" || !known || !served.member[index] || c.standing(index) != usable {
			continue
		}
		est, reason := c.consider(index), ReasonLeastWait
		if c.plan.specs[index].GetDataCentre() != c.req.DataCentre {
			est.cost += c.state.options.RemoteThreshold.Seconds()
			reason = ReasonRemote
		}
		if _, holds := c.holders.of(c.plan.engines[index]); holds {
			reason = ReasonAffinity
		}
		if est.cost < best.cost {
			best, c.d.Reason = est, reason
		}
	}
	return best
}

// affinity considers a random one of the engines that probably hold the
// prompt's prefix, if reading the prompt takes long enough to matter.
func (c *choice) affinity(served *candidates) estimate {
	if !c.affine() {
		return none
	}
	c.holders = c.state.holders(c.req.PrefixHash, c.req.Homes, c.now)
	if home, ok := c.home(served); ok {
		return home
	}
	if c.holders.count == 0 {
		return none
	}
	index, ok := c.plan.indexOf(c.holders.list[c.rng.IntN(c.holders.count)].engine)
	if !ok || !served.member[index] {
		return none
	}
	return c.considerHolder(index)
}

// affine tells whether an engine that holds the prefix is worth looking for.
func (c *choice) affine() bool {
	return c.req.PrefixHash != 0 && (c.req.PrefixWorth > 0 || c.state.options.affine(c.req.Work.PromptTokens))
}

// home considers the homes of the prefix that are usable, and returns the
// better one.
func (c *choice) home(served *candidates) (best estimate, ok bool) {
	best = none
	for _, name := range c.req.Homes {
		index, known := c.plan.indexOf(c.state.engine(name))
		if !known || !served.member[index] || c.standing(index) != usable {
			continue
		}
		est := c.considerHolder(index)
		if c.probe >= 0 {
			return none, true
		}
		best = cheaper(best, est)
		ok = true
	}
	return best, ok
}

// considerHolder considers an engine that probably holds the prefix.
func (c *choice) considerHolder(index int32) estimate {
	o := &c.state.options
	switch c.standing(index) {
	case usable:
	case probing:
		c.probe = index
		return none
	default:
		return none
	}
	c.cached = index
	c.d.Reason = ReasonAffinity
	est := c.consider(index)
	if c.plan.specs[index].GetDataCentre() != c.req.DataCentre {
		est.cost += o.RemoteThreshold.Seconds()
	}
	return est
}

// sample compares the best so far with two random engines of the group. They
// have to be better by the threshold, in seconds.
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
		if index == first || index == c.cached {
			continue
		}
		switch c.standing(index) {
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

// scan looks at every engine from a random one on. Warm-up is ignored; engines
// out for slowness are used when no other is left.
func (c *choice) scan(served *candidates) estimate {
	best, slowest := none, none
	n := len(served.all)
	offset := c.rng.IntN(n)
	for i := range n {
		index := served.all[(offset+i)%n]
		switch c.standing(index) {
		case usable, warming:
			best = cheaper(best, c.estimate(index))
		case probing:
			c.d.Reason = ReasonProbe
			c.probe = index
			return c.estimate(index)
		case slowOut:
			slowest = cheaper(slowest, c.estimate(index))
		}
	}
	c.d.Reason = ReasonScan
	if best.index < 0 {
		c.d.Reason = ReasonSlowOnly
		best = slowest
	}
	return best
}

func cheaper(a, b estimate) estimate {
	if b.cost < a.cost {
		return b
	}
	return a
}

// standing tells whether the engine may be used by this request.
func (c *choice) standing(index int32) standing {
	e := c.plan.engines[index]
	h := &e.activity().health
	if c.barred(e, index) || h.busyUntil.Load() > c.now {
		return unusable
	}
	if kind := phase(h.phase.Load()); kind != admitted {
		return c.probation(h, kind)
	}
	if c.cold(e) {
		return warming
	}
	return usable
}

// barred tells whether the engine must not get the request at all: its host is
// leaving or gone, it was tried before, or the request skips it.
func (c *choice) barred(e *engine, index int32) bool {
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

// probation tells the standing of an engine that is out. A due probe is taken
// by this request: no other gets it until the next one is due.
func (c *choice) probation(h *health, kind phase) standing {
	last := h.probeAt.Load()
	due := c.now >= h.until.Load() && c.now-last >= int64(c.state.options.TrickleEvery)
	if due && !c.req.NoProbe && h.probeAt.CompareAndSwap(last, c.now) {
		return probing
	}
	if kind == slow {
		return slowOut
	}
	return unusable
}

// cold tells whether a warming engine is passed over this time. Its share
// grows with the time since it was first seen.
func (c *choice) cold(e *engine) bool {
	from := e.warmFrom.Load()
	if from == warmAlready {
		return false
	}
	if from == 0 {
		e.warmFrom.CompareAndSwap(0, c.now)
		from = c.now
	}
	age := c.now - from
	if age >= int64(c.state.options.WarmUp) {
		e.warmFrom.CompareAndSwap(from, warmAlready)
		return false
	}
	share := float64(age) / float64(c.state.options.WarmUp)
	return c.rng.Float64() >= max(minWarmShare, share)
}

// consider estimates the engine and lists it among the candidates.
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
	c.d.ExpectedFirstToken = seconds(best.first)
	c.d.ExpectedAnswer = seconds(best.answer)
	c.d.Backlog = seconds(best.busy)
}

// refuse completes the decision when no engine may be used. The advice is the
// time at which the first of those that are out may be tried again.
func (c *choice) refuse(served *candidates) {
	c.d.Reason = ReasonNoEngine
	earliest := int64(math.MaxInt64)
	for _, index := range served.all {
		e := c.plan.engines[index]
		if c.barred(e, index) {
			continue
		}
		h := &e.activity().health
		earliest = min(earliest, max(h.busyUntil.Load(), h.until.Load()))
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
