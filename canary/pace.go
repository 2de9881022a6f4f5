package canary

import (
	"math"
	"time"
)

// A fault may show only when the new version has a large share of the load, or not before it
// has all of it. So the exposure that a bad version may have before its deadline is divided: a
// part for the trial, a part for one step, and the rest for a phase with all traffic shortly
// before the deadline. A version without a visible fault is declared complete within the bound,
// and a bad version without one has had no more exposure than the bound.
const (
	// trialBudgetShare is the share of the allowed exposure that the trial may use.
	trialBudgetShare = 0.3
	// plannedBudgetShare is the share of the allowed exposure that is planned for. The rest
	// covers answers still to come, streams that move to the new version when the engines of
	// the previous one stop, and load that rises towards the end. In simulations with a fault
	// that does not show, a planned share of 0.8 led to between 0.7 and 1.08 of the allowed
	// exposure.
	plannedBudgetShare = 0.65
	// maxSlackShare bounds what the slack in requests adds, as a share of the order's duration,
	// for daemons that do not know the other daemons' counts yet.
	maxSlackShare = 0.1
	// stepShare is the share of the sessions in the step between the trial and all traffic,
	// maxStepDuration bounds its duration, and stepBudgetShare is the share of the planned
	// exposure that it uses.
	stepShare       = 0.3
	maxStepDuration = 1500 * time.Millisecond
	stepBudgetShare = 0.12
	// minFullTraffic is the shortest phase with all traffic before the deadline. A shorter one
	// would leave no time to declare the version complete.
	minFullTraffic = 700 * time.Millisecond
	// finishShare is the share of the phase with all traffic that is left when the version is
	// declared complete, if that is less than FinishMargin. With 0.75, one write in about a
	// dozen simulations was late.
	finishShare = 0.85
)

// Some versions fail only under load, and a share of the traffic that is spread over all new
// engines would load none of them. So each new engine gets up to trialLoadFactor times the load
// of an engine of the previous version, and stepLoadFactor times after the trial, but no more than
// fills maxSlotUse of its slots, or maxFullTrafficSlotUse once the version gets all traffic: beyond
// that, callers would suffer from the test. Where a service has few engines, the load of the step
// does not reach stepLoadFactor, that of all traffic does.
const (
	trialLoadFactor       = 1.0
	stepLoadFactor        = 6.0
	maxSlotUse            = 0.85
	maxFullTrafficSlotUse = 0.7
)

// schedule holds the ages at which the step begins and at which the new version gets all
// traffic.
type schedule struct {
	step, fullTraffic time.Duration
}

// trialShare returns the share of the sessions in the trial.
func (o Options) trialShare() float64 { return min(o.TrialShare, trialBudgetShare*o.ExposureShare) }

// plan calculates the schedule from the fleet's counts at the given age. Without counts it
// assumes the trial's share.
func (o Options) plan(length, age time.Duration, trial, base uint64) schedule {
	budget := o.ExposureShare * length.Seconds()
	spent, share := 0.0, o.trialShare()
	if all := float64(trial + base); all > 0 && age > o.SettleTime {
		perSecond := all / age.Seconds()
		budget += min(o.ExposureSlack/perSecond, maxSlackShare*length.Seconds())
		spent = float64(trial) / perSecond
		share = spent / (age - o.SettleTime).Seconds()
	} else {
		age = o.SettleTime
	}
	budget *= plannedBudgetShare
	step := min(maxStepDuration.Seconds(), stepBudgetShare*budget/stepShare)
	left := budget - spent - step*stepShare - share*((length-age).Seconds()-step)
	fullTraffic := max(left/max(1-share, 1-stepShare), minFullTraffic.Seconds())
	// Sessions in progress stay on their version in the first half.
	half := length / 2
	p := schedule{fullTraffic: max(length-seconds(fullTraffic), half+seconds(step))}
	p.step = max(p.fullTraffic-seconds(step), half)
	return p
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// finishAge returns the age at which the version is declared complete.
func (o Options) finishAge(length time.Duration, p schedule) time.Duration {
	return max(length-min(o.FinishMargin, seconds(finishShare*(length-p.fullTraffic).Seconds())), 0)
}

// NextReview returns the delay until the next review: the given interval, or less if the
// version is to be declared complete sooner. After that it is the delay at which further
// daemons try to write that state.
func (i *Introduction) NextReview(now time.Time, interval time.Duration) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	left := i.options.finishAge(i.order.Duration, i.schedule) - now.Sub(i.since)
	if left <= 0 {
		return doneDelay
	}
	return min(interval, left)
}

// shareAfterTrial returns the new version's share of the sessions and whether the trial is
// over. The caller holds mu.
func (i *Introduction) shareAfterTrial(age time.Duration) (share float64, over bool) {
	switch {
	case age < i.schedule.step:
		return 0, false
	case age < i.schedule.fullTraffic:
		return stepShare, true
	}
	return 1, true
}

// EngineCount returns the number of engines on which the new version should run now, if the
// previous version runs on before engines and the service uses the given share of their slots. It is
// as many as the new version's share of the traffic keeps busy. Once the introduction is complete,
// the version runs on all of its engines.
func (i *Introduction) EngineCount(before int, used float64, now time.Time) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	share, trialOver := i.shareAfterTrial(now.Sub(i.since))
	if share >= 1 {
		return fullTrafficEngines(before, used)
	}
	factor := stepLoadFactor
	if !trialOver {
		share, factor = i.options.trialShare(), trialLoadFactor
	}
	if used > 0 {
		factor = max(min(factor, maxSlotUse/used), 1)
	}
	engines := share * float64(before) / factor
	if !trialOver {
		// One engine in place of nearly two would have nearly twice the usual load, and
		// its answers would look slow.
		engines = math.Round(engines)
	}
	return max(int(engines), 1)
}

// fullTrafficEngines returns the number of engines for all traffic. It follows from the load alone:
// the engines of the previous version may be fewer than needed by then.
func fullTrafficEngines(before int, used float64) int {
	if before == 0 {
		return math.MaxInt
	}
	return int(math.Ceil(float64(before) * max(used/maxFullTrafficSlotUse, 1/stepLoadFactor)))
}
