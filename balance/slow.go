package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// speedGain is the smoothing factor of the measured latencies. The averages are
// geometric, so that a single answer with ten times the average latency raises
// them by only a quarter.
const speedGain = 0.1

// latencyOffset is added to measured and expected latencies before their ratio is
// taken, so that a few milliseconds on an idle engine do not count as slowness.
const latencyOffset = 100 * time.Millisecond

// minTokenTime is the lowest plausible time per token relative to that of the
// registered rate. Lower values come from answers that were buffered on the way.
const minTokenTime = 0.05

// minMedianEngines is the minimum number of measured engines for a median.
const minMedianEngines = 3

// Change is an engine that was ejected or re-admitted.
type Change struct {
	Engine string
	// Phase is "admitted", "failing" or "slow".
	Phase string
	// Ratio is the engine's latency relative to the median of its pool, zero if
	// latency is not the cause.
	Ratio float64
	At    time.Time
}

// maxChanges is the maximum number of changes kept between two reviews.
const maxChanges = 1024

// recordChange keeps a change for the next Review.
func (s *State) recordChange(e *engine, ratio float64, at time.Time) {
	s.changesMu.Lock()
	defer s.changesMu.Unlock()
	if len(s.changes) >= maxChanges {
		return
	}
	s.changes = append(s.changes, Change{
		Engine: e.name,
		Phase:  phase(e.activity().health.phase.Load()).String(),
		Ratio:  ratio,
		At:     at,
	})
}

// Review compares the latencies of the engines of each pool, ejects slow engines,
// re-admits those that are no longer slow, and returns all changes since the last
// review for logging. Call it about once a second.
//
// It uses only latencies that this daemon measured. With the fleet's means, all daemons
// would eject an engine at the same moment, each relying on spare slots that the others fill
// as well, and probes would be judged by answers from before the ejection.
func (s *State) Review(p *Plan, now time.Time) []Change {
	active := s.activeByPool(p)
	for _, pool := range slices.Sorted(maps.Keys(active)) {
		s.reviewPool(p, p.pools[pool].indexes, active[pool], now)
	}
	s.active.evictIdle(p, now)
	s.changesMu.Lock()
	defer s.changesMu.Unlock()
	changes := s.changes
	s.changes = nil
	return changes
}

// speed is the measured latency of one engine.
type speed struct {
	engine     *engine
	samples    int
	tokenTime  float64
	firstToken float64
	ratio      float64
	slots      float64
}

// activeByPool returns the indices of the plan's engines that have an activity, grouped by
// pool and in ascending order.
func (s *State) activeByPool(p *Plan) map[string][]int32 {
	active := make(map[string][]int32)
	for _, e := range s.active.list() {
		if i, ok := p.indexOf(e); ok {
			pool := p.specs[i].GetPool()
			active[pool] = append(active[pool], i)
		}
	}
	for _, engines := range active {
		slices.Sort(engines)
	}
	return active
}

// reviewPool reviews the active engines of one pool, the slowest first, so that
// the limit on ejected engines spares the least slow ones.
func (s *State) reviewPool(p *Plan, members, active []int32, now time.Time) {
	var speeds []speed
	for _, i := range active {
		v := p.engines[i].speed()
		v.slots = p.capacity[i].slots
		speeds = append(speeds, v)
	}
	tokenTime, ok := s.median(speeds, func(v speed) float64 { return v.tokenTime })
	if !ok {
		return
	}
	firstToken, _ := s.median(speeds, func(v speed) float64 { return v.firstToken })
	for i := range speeds {
		speeds[i].ratio = max(relative(speeds[i].tokenTime, tokenTime), relative(speeds[i].firstToken, firstToken))
	}
	slices.SortStableFunc(speeds, func(a, b speed) int { return cmp.Compare(b.ratio, a.ratio) })
	spare := s.spareSlots(p, members, now)
	for _, v := range speeds {
		h := &v.engine.activity().health
		if !h.reviewSlowness(v, spare >= v.slots, now.UnixNano(), &s.options) {
			continue
		}
		s.recordChange(v.engine, v.ratio, now)
		if phase(h.phase.Load()) == slow {
			spare -= v.slots
		}
	}
}

// spareSlots returns the number of slots that the pool can lose while the share of
// busy slots stays within MaxSlowLoad. A slow engine is better than a queue, so no
// engine is ejected for slowness if the others would be close to full.
func (s *State) spareSlots(p *Plan, members []int32, now time.Time) float64 {
	slots, requests := 0.0, 0.0
	for _, i := range members {
		e := p.engines[i]
		a := e.activity()
		requests += a.load.view(0, now.UnixNano(), s.options.ReportFresh, p.capacity[i].rate).requests
		if phase(a.health.phase.Load()) == admitted && !e.closed.Load() {
			slots += p.capacity[i].slots
		}
	}
	return slots - requests/s.options.MaxSlowLoad
}

// median returns the median of value over the engines with at least SlowSamples
// answers, or false if there are fewer than minMedianEngines of them.
func (s *State) median(speeds []speed, value func(speed) float64) (float64, bool) {
	var values []float64
	for _, v := range speeds {
		if v.samples >= s.options.SlowSamples {
			values = append(values, value(v))
		}
	}
	if len(values) < minMedianEngines {
		return 0, false
	}
	slices.Sort(values)
	return values[(len(values)-1)/2], true
}

func relative(value, median float64) float64 {
	if median <= 0 {
		return 0
	}
	return value / median
}

func (e *engine) speed() speed {
	h := &e.activity().health
	h.mu.Lock()
	defer h.mu.Unlock()
	return speed{engine: e, samples: h.samples, tokenTime: h.tokenTime, firstToken: h.firstToken}
}

// reviewSlowness ejects a slow engine if the pool has spare capacity, or re-admits
// one that is no longer slow. It reports whether the phase changed.
func (h *health) reviewSlowness(v speed, spare bool, now int64, o *Options) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	isSlow := v.ratio > o.SlowFactor
	switch phase(h.phase.Load()) {
	case admitted:
		return isSlow && spare && v.samples >= o.SlowSamples && h.eject(slow, now, o)
	case slow:
		if now < h.until.Load() || v.samples < o.TrickleSuccesses {
			return false
		}
		if isSlow {
			h.extend(now, o)
			return false
		}
		h.admit(now)
		return true
	default:
		return false
	}
}

// measuring reports whether latencies are recorded now. They are not during an
// ejection, as answers to requests sent before it would distort the latencies of
// the probes. The caller holds mu.
func (h *health) measuring(now time.Time) bool {
	return phase(h.phase.Load()) == admitted || now.UnixNano() >= h.until.Load()
}

// resetSpeed discards the measured latencies. The caller holds mu.
func (h *health) resetSpeed() {
	h.samples = 0
	h.firstTokens = 0
	h.tokenTime = 0
	h.firstToken = 0
	h.ownWeight.Store(0)
}

// observeFirstToken records the latency of a first token relative to the expected
// one.
func (h *health) observeFirstToken(latency, expected time.Duration, now time.Time) {
	if latency <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.measuring(now) {
		return
	}
	ratio := float64(latency+latencyOffset) / float64(max(expected, 0)+latencyOffset)
	h.firstToken = smooth(h.firstToken, ratio, h.firstTokens)
	h.firstTokens++
}

// observeGeneration records the time per token of an answer relative to that of
// the registered rate. The prior is Options.SpeedPrior.
func (h *health) observeGeneration(tokens int64, generation time.Duration, now time.Time, prior int) {
	if tokens < 2 || generation <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.measuring(now) {
		return
	}
	ratio := generation.Seconds() / float64(tokens-1) * h.nominal
	if ratio < minTokenTime {
		return
	}
	h.tokenTime = smooth(h.tokenTime, ratio, h.samples)
	h.samples++
	h.ownWeight.Store(int32(min(h.samples, maxOwnWeight)))
	h.slowness.Store(math.Float64bits(shrunkSlowness(h.tokenTime, h.samples, prior)))
}

// shrunkSlowness returns the geometric mean of the relative time per token measured over
// samples answers and a relative time of 1 with the weight of prior answers.
func shrunkSlowness(tokenTime float64, samples, prior int) float64 {
	return math.Pow(tokenTime, float64(samples)/float64(samples+prior))
}

// smooth returns the geometric moving average after one more value. The first
// samples have equal weights, so that no single one dominates.
func smooth(average, value float64, samples int) float64 {
	if average == 0 {
		return value
	}
	return average * math.Pow(value/average, max(speedGain, 1/float64(samples+1)))
}
