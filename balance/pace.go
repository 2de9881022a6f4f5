package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// paceTTL is the age from which a pace reported for the fleet is not used.
	paceTTL = 10 * time.Second
	// minPaceSpread is the factor between the slowest and the fastest engine of a pool from
	// which the fleet's means are used. Smaller differences are common among engines of the
	// same kind under unequal load.
	minPaceSpread = 1.5
	// minPacedEngines is the minimum number of engines with a mean that is compared, and
	// minPaceWeight the minimum weight of such a mean.
	minPacedEngines = 3
	minPaceWeight   = 8
	// maxPaceRatio and its reciprocal bound the plausible means.
	maxPaceRatio = 20
	// paceCheckInterval is the minimum time between two comparisons of a pool's engines, as
	// each visits all of them.
	paceCheckInterval = 250 * time.Millisecond
	// maxOwnWeight is the weight of the daemon's own average in answers: the variance of a
	// moving average with smoothing factor speedGain equals that of the mean of
	// (2-speedGain)/speedGain values.
	maxOwnWeight = 19
	// priorDeviation is the assumed standard deviation of the logarithm of an engine's pace
	// ratios, with the weight of priorDeviations measured deviations. It is that of buffered
	// answers of very different lengths; 0.4 gave false differences in the first second.
	priorDeviation  = 1
	priorDeviations = 4
	// maxDeviations is the number of deviations that the moving average covers.
	maxDeviations = 100
)

// fleetPace is the pace of an engine as measured by all daemons.
type fleetPace struct {
	meanLog, weight float64
	at              int64 // Unix nanoseconds
}

// poolPace decides whether the fleet's means are used in a pool.
type poolPace struct {
	name string
	// unlike is set while the means of the pool's engines differ enough to be used.
	unlike atomic.Bool
	// checkedAt is the time of the last comparison in Unix nanoseconds.
	checkedAt atomic.Int64

	mu sync.Mutex
	// variance is the moving average of the squared deviation of the logarithm of a pace
	// ratio from the average of its engine; deviations is the number of values in it.
	variance   float64
	deviations int
}

// poolPaceOf returns the pace state of the named pool that the engine was in, or a new one.
func poolPaceOf(e *engine, name string) *poolPace {
	if config := e.poolConfig.Load(); config != nil && config.pool.pace.name == name {
		return config.pool.pace
	}
	return &poolPace{name: name, variance: priorDeviation * priorDeviation, deviations: priorDeviations}
}

// observeDeviation records the deviation of the logarithm of a pace ratio from the average of
// its engine.
func (p *poolPace) observeDeviation(log float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deviations = min(p.deviations+1, maxDeviations)
	p.variance += (log*log - p.variance) / float64(p.deviations)
}

// PaceReported handles the pace of an engine that all daemons measured. Implausible values
// are ignored.
func (s *State) PaceReported(ev PaceReported) {
	plausible := math.Abs(ev.MeanLog) <= math.Log(maxPaceRatio) && ev.Weight > 0 && !math.IsInf(ev.Weight, 0)
	e := s.engine(ev.Engine)
	if !plausible || e == nil {
		return
	}
	h := &s.active.getOrCreate(e, ev.At).health
	at := ev.At.UnixNano()
	if last := h.fleet.Load(); last != nil && last.at > at {
		return
	}
	h.fleet.Store(&fleetPace{meanLog: ev.MeanLog, weight: ev.Weight, at: at})
	if config := e.poolConfig.Load(); config != nil {
		config.pool.checkPace(at)
	}
}

// checkPace compares the means of the pool's engines, once per paceCheckInterval.
func (p *pool) checkPace(now int64) {
	last := p.pace.checkedAt.Load()
	if now-last < int64(paceCheckInterval) || !p.pace.checkedAt.CompareAndSwap(last, now) {
		return
	}
	p.pace.mu.Lock()
	deviation := math.Sqrt(p.pace.variance)
	p.pace.mu.Unlock()
	// The most extreme of n means of equal engines deviates by at most sqrt(2 ln n) standard
	// errors on average; one more makes a false difference rare. Once a difference was found,
	// half of that suffices, so that it is not lost when an engine gets fewer answers.
	margin := deviation * (1 + math.Sqrt(2*math.Log(float64(len(p.engines)))))
	if p.pace.unlike.Load() {
		margin /= 2
	}
	p.pace.unlike.Store(p.paceSpread(now, margin) >= math.Log(minPaceSpread))
}

// paceSpread returns the difference between the highest and the lowest mean logarithm in the
// pool, each moved towards the other by margin divided by the square root of its weight. It
// returns 0 if too few engines are measured.
func (p *pool) paceSpread(now int64, margin float64) float64 {
	lowest, highest, measured := math.Inf(1), math.Inf(-1), 0
	for _, e := range p.engines {
		f := e.activity().health.fleet.Load()
		if f == nil || now-f.at > int64(paceTTL) || f.weight < minPaceWeight {
			continue
		}
		measured++
		allowed := margin / math.Sqrt(f.weight)
		lowest, highest = min(lowest, f.meanLog+allowed), max(highest, f.meanLog-allowed)
	}
	if measured < minPacedEngines {
		return 0
	}
	return highest - lowest
}

// slownessFactor returns the time per token that is expected of the engine, relative to that of
// the registered rate: the fleet's mean if the engines of the pool differ in speed and the mean
// has more weight than this daemon's own one, otherwise the daemon's own.
func (e *engine) slownessFactor(now int64, prior int) float64 {
	h := &e.activity().health
	f := h.fleet.Load()
	if f == nil || now-f.at > int64(paceTTL) || f.weight <= float64(h.ownWeight.Load()) {
		return h.slownessFactor()
	}
	if config := e.poolConfig.Load(); config == nil || !config.pool.pace.unlike.Load() {
		return h.slownessFactor()
	}
	return clampSlowness(math.Exp(f.meanLog * f.weight / (f.weight + float64(prior))))
}
