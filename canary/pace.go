package canary

import (
	"math"
	"time"
)

// A fault may show only when the new version has a good part of the work, or never
// before it has all. So what a bad version may get before its deadline is shared
// out: some for the trial, some for one step, and the rest for everything, shortly
// before the deadline. A version without a fault that shows is declared complete
// inside the bound, and a bad one that hides has had no more than the bound.
const (
	// trialPart is the part of the exposure allowed that the trial may use.
	trialPart = 0.3
	// exposurePart is the part that is planned with. The rest covers answers that are
	// still to come, streams that go on at the new version when the engines of the
	// one before stop, and load that rises at the end. Played with a fault that does
	// not show, a plan of 0.8 of the bound came to between 0.7 and 1.08 of it.
	exposurePart = 0.65
	// slackPart bounds what the slack in requests adds, as a part of the order's
	// duration, for daemons that have not heard of the others' counts.
	slackPart = 0.1
	// stepShare is the part of the sessions in the step between trial and everything,
	// stepTime how long it lasts at most, stepPart how much of the plan it uses.
	stepShare = 0.3
	stepTime  = 1500 * time.Millisecond
	stepPart  = 0.12
	// leastWhole is the shortest time with everything before the deadline: less would
	// leave no time to declare the version complete.
	leastWhole = 700 * time.Millisecond
	// finishPart is the part of the time with everything that is left when the version
	// is declared complete, if that is sooner than the margin. With 0.75 one write in
	// some dozen plays came too late.
	finishPart = 0.85
)

// Some versions are bad under load only, and a share that is spread over all new
// engines would load none of them. So each new engine gets up to loadFactor times
// what one of the version before gets, and stressFactor times in the step after the
// trial, but no more than would fill fullSlots of its slots: beyond that the callers
// would pay for the test.
const (
	loadFactor   = 1.0
	stressFactor = 6.0
	fullSlots    = 0.85
)

// pace is the plan of one introduction: when the step begins after the order, and
// when the new version gets everything.
type pace struct {
	step, whole time.Duration
}

// trialShare returns the part of the sessions in the trial.
func (o Options) trialShare() float64 { return min(o.TrialShare, trialPart*o.ExposureShare) }

// plan works the pace out from what the fleet has counted by age. Without counts it
// expects the trial's share.
func (o Options) plan(length, age time.Duration, trial, base uint64) pace {
	budget := o.ExposureShare * length.Seconds()
	spent, share := 0.0, o.trialShare()
	if all := float64(trial + base); all > 0 && age > o.SettleTime {
		perSecond := all / age.Seconds()
		budget += min(o.ExposureSlack/perSecond, slackPart*length.Seconds())
		spent = float64(trial) / perSecond
		share = spent / (age - o.SettleTime).Seconds()
	} else {
		age = o.SettleTime
	}
	budget *= exposurePart
	step := min(stepTime.Seconds(), stepPart*budget/stepShare)
	left := budget - spent - step*stepShare - share*((length-age).Seconds()-step)
	whole := max(left/max(1-share, 1-stepShare), leastWhole.Seconds())
	// Sessions in progress stay on their version in the first half.
	half := length / 2
	p := pace{whole: max(length-seconds(whole), half+seconds(step))}
	p.step = max(p.whole-seconds(step), half)
	return p
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// finish returns the age at which the version is declared complete.
func (o Options) finish(length time.Duration, p pace) time.Duration {
	return max(length-min(o.FinishMargin, seconds(finishPart*(length-p.whole).Seconds())), 0)
}

// NextReview returns when the introduction should be judged again: after the usual
// interval, or just when it is to be declared complete, and from then on in the pace
// in which further daemons try to write that.
func (i *Introduction) NextReview(now time.Time, usual time.Duration) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	left := i.options.finish(i.order.Duration, i.pace) - now.Sub(i.since)
	if left <= 0 {
		return doneDelay
	}
	return min(usual, left)
}

// moving returns the share of the sessions after the trial. The caller holds mu.
func (i *Introduction) moving(age time.Duration) (share float64, moving bool) {
	switch {
	case age < i.pace.step:
		return 0, false
	case age < i.pace.whole:
		return stepShare, true
	}
	return 1, true
}

// Width returns on how many engines the new version should run now, when the
// version before runs on so many and uses a part of their slots: as many as its
// share keeps busy, and all once it has everything.
func (i *Introduction) Width(before int, used float64, now time.Time) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	share, moving := i.moving(now.Sub(i.since))
	factor := stressFactor
	switch {
	case !moving:
		share, factor = i.options.trialShare(), loadFactor
	case share >= 1:
		return math.MaxInt
	}
	if used > 0 {
		factor = max(min(factor, fullSlots/used), 1)
	}
	wanted := share * float64(before) / factor
	if !moving {
		// One engine in place of nearly two would have nearly twice the usual load, and
		// its answers would look slow.
		wanted = math.Round(wanted)
	}
	return max(int(wanted), 1)
}
