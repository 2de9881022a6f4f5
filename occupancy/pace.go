package occupancy

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// paceHalfLife is the time in which the weight of a sample halves.
	paceHalfLife = 10 * time.Second
	// pacePeriod is the time over which the sums that a daemon reports are cumulative. A new
	// keeper counts all of the first report, so the period bounds the age of these samples.
	pacePeriod = paceHalfLife
	// paceReportTTL is how long the last sums of a daemon are kept. It must exceed pacePeriod,
	// or the samples of one period could be counted twice.
	paceReportTTL = 3 * pacePeriod
	// maxPaceRatio and its reciprocal bound the plausible pace ratios.
	maxPaceRatio = 20
	// maxPaceSamples is the maximum number of samples for one engine and period. More are
	// dropped by the daemon, and reports of more are ignored by the keeper.
	maxPaceSamples = 100_000
	// Units of EngineLoad.pace_log, pace_square and pace_weight in messages.
	paceLogUnit    = 0.001
	paceWeightUnit = 0.1
)

// maxPaceLog is the largest plausible magnitude of the logarithm of a pace ratio.
var maxPaceLog = math.Log(maxPaceRatio)

// Pace is the pace of an engine's answers relative to the mean of its service, as measured
// by all daemons. A daemon's own samples are included, since it uses either this mean or its
// own one, not their sum.
type Pace struct {
	// MeanLog is the mean natural logarithm of the pace ratios; above zero is slow.
	MeanLog float64
	// Variance is the variance of the logarithms, within and between the daemons.
	Variance float64
	// Weight is the number of samples, halved for every paceHalfLife of their age.
	Weight float64
}

// PaceReport is one daemon's samples for an engine, cumulative over a period.
type PaceReport struct {
	// Sequence is that of the message, Period identifies the period.
	Sequence uint64
	Period   uint32
	// LogSum is the sum of the natural logarithms of Count pace ratios, SquareSum that of
	// the squares of these logarithms.
	LogSum, SquareSum float64
	Count             int64
}

// paceMean is the decaying mean of the samples of one engine. The shard's lock guards it.
type paceMean struct {
	logSum, squareSum, weight float64
	at                        time.Time
	// counted holds the last report of each daemon. It is nil before the first.
	counted map[string]countedPace
}

type countedPace struct {
	PaceReport
	at time.Time
}

// RecordPace counts the samples of a daemon's report that were not counted before. Late and
// repeated reports are ignored: the next one repeats what they contain. Reports with
// implausible values are ignored.
func (s *Store) RecordPace(daemon string, engine uint32, r PaceReport, now time.Time) {
	if r.Count == 0 {
		return
	}
	shard := s.shard(engine)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.getOrCreate(engine).pace.record(daemon, r, now)
}

func (p *paceMean) record(daemon string, r PaceReport, now time.Time) {
	last, known := p.counted[daemon]
	if known && r.Sequence <= last.Sequence {
		return
	}
	added := r
	if known && r.Period == last.Period {
		added.LogSum, added.SquareSum, added.Count = r.LogSum-last.LogSum, r.SquareSum-last.SquareSum, r.Count-last.Count
	}
	if r.Count > maxPaceSamples || !added.plausible() {
		return
	}
	p.decay(now)
	if p.counted == nil {
		p.counted = make(map[string]countedPace)
	}
	p.counted[daemon] = countedPace{PaceReport: r, at: now}
	p.logSum += added.LogSum
	p.squareSum += added.SquareSum
	p.weight += float64(added.Count)
}

// plausible reports whether pace ratios within the bounds can have these sums.
func (r *PaceReport) plausible() bool {
	const rounding = 2 * paceLogUnit // of the differences of two sums in messages
	count := float64(r.Count)
	return r.Count >= 0 && math.Abs(r.LogSum) <= count*maxPaceLog+rounding &&
		r.SquareSum >= -rounding && r.SquareSum <= count*maxPaceLog*maxPaceLog+rounding
}

// decay reduces the weight of the samples to that at now.
func (p *paceMean) decay(now time.Time) {
	age := now.Sub(p.at)
	if age <= 0 {
		return
	}
	factor := math.Exp2(-age.Seconds() / paceHalfLife.Seconds())
	p.logSum *= factor
	p.squareSum *= factor
	p.weight *= factor
	p.at = now
}

// expire removes reports that are older than paceReportTTL.
func (p *paceMean) expire(now time.Time) {
	for daemon, r := range p.counted {
		if now.Sub(r.at) > paceReportTTL {
			delete(p.counted, daemon)
		}
	}
}

// Pace returns the pace of an engine, with zero weight if none was measured.
func (s *Store) Pace(engine uint32, now time.Time) Pace {
	shard := s.shard(engine)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state := shard.engines[engine]
	if state == nil || state.pace.weight == 0 {
		return Pace{}
	}
	state.pace.decay(now)
	return state.pace.pace()
}

func (p *paceMean) pace() Pace {
	mean := p.logSum / p.weight
	return Pace{MeanLog: mean, Variance: max(0, p.squareSum/p.weight-mean*mean), Weight: p.weight}
}

// put sets the pace in a response. A weight below one unit counts as none.
func (p Pace) put(m *bronzeturnv1.EngineLoad) {
	if p.Weight < paceWeightUnit {
		return
	}
	m.PaceLog = int32(math.Round(p.MeanLog / paceLogUnit))
	m.PaceSquare = uint32(math.Round(p.Variance / paceLogUnit))
	m.PaceWeight = uint32(p.Weight / paceWeightUnit)
}

func paceOf(m *bronzeturnv1.EngineLoad) Pace {
	return Pace{
		MeanLog:  float64(m.GetPaceLog()) * paceLogUnit,
		Variance: float64(m.GetPaceSquare()) * paceLogUnit,
		Weight:   float64(m.GetPaceWeight()) * paceWeightUnit,
	}
}

func paceReportOf(m *bronzeturnv1.ShareRequest, own *bronzeturnv1.EngineLoad) PaceReport {
	return PaceReport{
		Sequence: m.GetSequence(), Period: m.GetPacePeriod(),
		LogSum: float64(own.GetPaceLog()) * paceLogUnit, SquareSum: float64(own.GetPaceSquare()) * paceLogUnit,
		Count: int64(own.GetPaceWeight()),
	}
}

// paceSums are the samples of this daemon, by the hash of the engine, cumulative over the
// current period. The zero value is ready for use.
type paceSums struct {
	mu      sync.Mutex
	period  uint32
	began   time.Time
	engines map[uint32]*paceSum
}

// paceSum holds the samples for one engine, and those of them that have been sent.
type paceSum struct{ all, sent paceTotal }

type paceTotal struct {
	logSum, squareSum float64
	count             int64
}

// PaceMeasured records the pace of an answer relative to the mean of its service. It is
// reported with the engine's load and causes no message of its own.
func (c *Client) PaceMeasured(engine string, ratio float64) {
	log := math.Log(ratio)
	if math.IsNaN(log) || math.Abs(log) > maxPaceLog {
		return
	}
	c.pace.add(hash(engine), log, time.Now())
}

func (p *paceSums) add(engine uint32, log float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	sum := p.engines[engine]
	if sum == nil {
		sum = &paceSum{}
		p.engines[engine] = sum
	}
	if sum.all.count < maxPaceSamples {
		sum.all.logSum += log
		sum.all.squareSum += log * log
		sum.all.count++
	}
}

// rotate begins a new period when the current one has ended. Samples that were not sent are
// carried over. The caller holds mu.
func (p *paceSums) rotate(now time.Time) {
	if p.engines != nil && now.Sub(p.began) < pacePeriod {
		return
	}
	if p.engines == nil {
		p.engines = make(map[uint32]*paceSum)
	}
	p.began = now
	p.period = uint32(now.UnixMilli()) // Differs between the processes of a daemon.
	for engine, sum := range p.engines {
		*sum = paceSum{all: paceTotal{
			sum.all.logSum - sum.sent.logSum, sum.all.squareSum - sum.sent.squareSum, sum.all.count - sum.sent.count,
		}}
		if sum.all.count == 0 {
			delete(p.engines, engine)
		}
	}
}

// complete adds the sums and the sequence number to a report. Both are set under one lock, so
// that a message with a higher sequence number never has an older period or older sums.
func (p *paceSums) complete(m *bronzeturnv1.ShareRequest, sequence *atomic.Uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.Sequence = sequence.Add(1)
	p.rotate(now)
	for _, own := range m.Own {
		sum := p.engines[own.Engine]
		if sum == nil {
			continue
		}
		m.PacePeriod = p.period
		own.PaceLog, own.PaceWeight = int32(math.Round(sum.all.logSum/paceLogUnit)), uint32(sum.all.count)
		own.PaceSquare = uint32(math.Round(max(0, sum.all.squareSum) / paceLogUnit))
		sum.sent = sum.all
	}
}
