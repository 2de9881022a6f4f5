package balance

import (
	"math"
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
	// priorVariance is the assumed variance of the logarithm of an engine's pace ratios, with
	// the weight of priorAnswers answers. It is that of answers of very different lengths that
	// are not streamed.
	priorVariance = 1
	priorAnswers  = 4
	// newMargin and heldMargin are the numbers of standard deviations by which the differences
	// between engines must exceed those expected from noise, to be used and to remain in use.
	// Among three equal engines with a weight of 8, in 50,000 sets of independent means, a margin
	// of 3 gives 71 false differences and one of 8 gives 1 where the deviation of single answers
	// is 0.5, and 1,189 and 54 where it is 1.
	newMargin  = 8
	heldMargin = 2
)

// fleetPace is the pace of an engine as measured by all daemons.
type fleetPace struct {
	meanLog, variance, weight float64
	at                        int64 // Unix nanoseconds
}

// poolPace decides whether the fleet's means are used in a pool.
type poolPace struct {
	name string
	// unlike is set while the means of the pool's engines differ enough to be used.
	unlike atomic.Bool
	// checkedAt is the time of the last comparison in Unix nanoseconds.
	checkedAt atomic.Int64
}

// poolPaceOf returns the pace state of the named pool that the engine was in, or a new one.
func poolPaceOf(e *engine, name string) *poolPace {
	if config := e.poolConfig.Load(); config != nil && config.pool.pace.name == name {
		return config.pool.pace
	}
	return &poolPace{name: name}
}

// PaceReported handles the pace of an engine that all daemons measured. Implausible values
// are ignored.
func (s *State) PaceReported(ev PaceReported) {
	maxLog := math.Log(maxPaceRatio)
	plausible := math.Abs(ev.MeanLog) <= maxLog && ev.Variance >= 0 && ev.Variance <= maxLog*maxLog &&
		ev.Weight > 0 && !math.IsInf(ev.Weight, 0)
	e := s.engine(ev.Engine)
	if !plausible || e == nil {
		return
	}
	h := &s.active.getOrCreate(e, ev.At).health
	at := ev.At.UnixNano()
	if last := h.fleet.Load(); last != nil && last.at > at {
		return
	}
	h.fleet.Store(&fleetPace{meanLog: ev.MeanLog, variance: ev.Variance, weight: ev.Weight, at: at})
	if config := e.poolConfig.Load(); config != nil {
		if config.pool.checkPace(at) {
			s.unlikeUntil.Store(at + int64(paceTTL))
		}
	}
}

// HasUnlikeEngines reports whether the engines of a pool were found to differ in speed within
// paceTTL, so that the fleet's means are used there.
func (s *State) HasUnlikeEngines(now time.Time) bool { return s.unlikeUntil.Load() > now.UnixNano() }

// checkPace compares the means of the pool's engines, once per paceCheckInterval. It reports
// whether it compared them and found them unlike.
func (p *pool) checkPace(now int64) bool {
	last := p.pace.checkedAt.Load()
	if now-last < int64(paceCheckInterval) || !p.pace.checkedAt.CompareAndSwap(last, now) {
		return false
	}
	margin := float64(newMargin)
	if p.pace.unlike.Load() {
		margin = heldMargin
	}
	unlike := paceSpread(p.measuredPaces(now), margin) >= math.Log(minPaceSpread)
	p.pace.unlike.Store(unlike)
	return unlike
}

// measuredPaces returns the means of the pool's engines that are recent and have enough weight.
func (p *pool) measuredPaces(now int64) []*fleetPace {
	var measured []*fleetPace
	for _, e := range p.engines {
		f := e.activity().health.fleet.Load()
		if f != nil && now-f.at <= int64(paceTTL) && f.weight >= minPaceWeight {
			measured = append(measured, f)
		}
	}
	return measured
}

// paceSpread estimates the difference between the logarithms of the paces of the slowest and
// the fastest engine. The means differ by noise also where all engines are alike. So each is
// moved towards the common mean by the share of noise in the variance of the means. This
// variance exceeds that of noise alone only if the weighted sum of squares does so by margin
// standard deviations of its chi-square distribution. It returns 0 for too few engines.
func paceSpread(paces []*fleetPace, margin float64) float64 {
	if len(paces) < minPacedEngines {
		return 0
	}
	weights, logs, variances := 0.0, 0.0, 0.0
	for _, f := range paces {
		weights += f.weight
		logs += f.weight * f.meanLog
		variances += f.weight * f.variance
	}
	mean := logs / weights
	noise := (variances + priorAnswers*priorVariance) / (weights + priorAnswers)
	squares := 0.0
	for _, f := range paces {
		squares += f.weight * (f.meanLog - mean) * (f.meanLog - mean)
	}
	freedom := float64(len(paces) - 1)
	between := max(0, squares-noise*(freedom+margin*math.Sqrt(2*freedom))) / weights
	lowest, highest := math.Inf(1), math.Inf(-1)
	for _, f := range paces {
		estimate := (f.meanLog - mean) * between / (between + noise/f.weight)
		lowest, highest = min(lowest, estimate), max(highest, estimate)
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
