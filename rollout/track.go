package rollout

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/quality"
)

// Track is the state of one version. Readers load atomic words; the lock
// guards the rest.
type Track struct {
	// retryAt is 0 without a cut-off, and else the Unix time in nanoseconds at
	// which the trickle begins.
	retryAt atomic.Int64
	stage   atomic.Int32

	mu      sync.Mutex
	version string
	options *Options
	state   State
	small   Test
	large   Test
	// stageRatings counts the ratings since the present stage began.
	stageRatings float64
	// probation is true once ratings of the trickle are judged.
	probation bool
}

// State is what daemons exchange about one version. The higher revision wins.
type State struct {
	Version  string
	Revision uint64
	// CutOff tells whether the version is cut off.
	CutOff bool
	// RetryAt is when the trickle of a cut-off version begins.
	RetryAt time.Time
	// Strikes counts the cut-offs since the version was last cleared.
	Strikes int32
	// Stage is the number of doublings of the share of a roll-out.
	Stage int32
}

func newTrack(version string, o *Options) *Track {
	return &Track{version: version, options: o, state: State{Version: version}}
}

// Gate tells whether the version may receive new work at now.
func (t *Track) Gate(now time.Time) Gate { return t.GateAt(now.UnixNano()) }

// GateAt is Gate for a Unix time in nanoseconds.
func (t *Track) GateAt(unixNano int64) Gate {
	at := t.retryAt.Load()
	switch {
	case at == 0:
		return GateOpen
	case unixNano < at:
		return GateClosed
	}
	return GateTrickle
}

// Share returns the share of the baseline's work that a roll-out gives to the
// version at its present stage, before the cap of the rule.
func (t *Track) Share() float64 { return t.options.shareOf(t.stage.Load()) }

// RetryAt returns when a cut-off version is tried again, and the zero time
// without a cut-off.
func (t *Track) RetryAt() time.Time {
	if at := t.retryAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// State returns the state to exchange.
func (t *Track) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// Accept takes over a state received from another daemon when its revision is
// higher, and reports whether it did.
func (t *Track) Accept(s State) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Revision <= t.state.Revision {
		return false
	}
	if s.CutOff != t.state.CutOff || s.Strikes != t.state.Strikes {
		t.restart()
	}
	s.Version = t.version
	t.state = s
	t.store()
	return true
}

// Judge runs the sequential test over new ratings.
func (t *Track) Judge(r Ratings) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state.CutOff && r.At.Before(t.state.RetryAt) {
		return Unchanged // answers from before the cut-off
	}
	if t.state.CutOff && !t.probation {
		t.restart()
		t.probation = true
	}
	t.add(r)
	t.stageRatings += r.Count
	if t.alarm(r.SoleUser) {
		t.cutOff(r.At)
		return CutOff
	}
	if !t.probation {
		t.restartWhenGood(r.SoleUser)
		return Unchanged
	}
	if t.large.InFavour(r.SoleUser) < math.Log(1/t.options.FalseClear) {
		return Unchanged
	}
	t.clear(r.At)
	return Cleared
}

// Advance moves a running roll-out to the next stage when enough judged ratings
// show the version at its reference, and back to the first when they show it
// below. The estimate is that of the kind which was rated last. The caller does
// not call it while the roll-out is paused or halted.
func (t *Track) Advance(e quality.Estimate, reference, maxShare float64, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	floor := reference - t.options.Margin
	switch {
	case e.Upper < floor && t.state.Stage > 0:
		t.state.Stage = 0
	case e.Lower >= floor && t.mayGrow(e.Weight, maxShare):
		t.state.Stage++
	default:
		return Unchanged
	}
	t.stageRatings = 0
	t.revise(now)
	return ShareChanged
}

// mayGrow tells whether enough ratings came in this stage, and whether the
// estimate rests on enough of them: one that leaves a large organisation out
// may rest on the prior alone.
func (t *Track) mayGrow(weight, maxShare float64) bool {
	if min(t.stageRatings, weight) < t.options.StageRatings {
		return false
	}
	return t.state.Stage < maxStage && t.options.shareOf(t.state.Stage) < maxShare
}

func (t *Track) add(r Ratings) {
	m := r.Reference - t.options.Margin
	t.small.Add(r.Organisation, NewBet(m, t.options.SmallDrop).Evidence(r.Sum, r.Count))
	t.large.Add(r.Organisation, NewBet(m, t.options.LargeDrop).Evidence(r.Sum, r.Count))
}

// alarm compares each of the two tests with half of the false-alarm rate.
func (t *Track) alarm(soleUser bool) bool {
	threshold := math.Log(2 / t.options.FalseAlarm)
	return t.small.Against(soleUser) >= threshold || t.large.Against(soleUser) >= threshold
}

// restartWhenGood begins a test anew as soon as it speaks for the version, so
// that a long good past does not delay the detection of a change.
func (t *Track) restartWhenGood(soleUser bool) {
	if t.small.Against(soleUser) < 0 {
		t.small.Restart()
	}
	if t.large.Against(soleUser) < 0 {
		t.large.Restart()
	}
}

func (t *Track) cutOff(now time.Time) {
	wait := t.options.RetryAfter << min(t.state.Strikes, maxStrikes)
	t.state.CutOff = true
	t.state.RetryAt = now.Add(wait)
	t.state.Strikes++
	t.state.Stage = 0
	t.restart()
	t.revise(now)
}

func (t *Track) clear(now time.Time) {
	t.state.CutOff = false
	t.state.RetryAt = time.Time{}
	t.state.Strikes = 0
	t.restart()
	t.revise(now)
}

func (t *Track) restart() {
	t.small.Restart()
	t.large.Restart()
	t.probation = false
	t.stageRatings = 0
}

// revise gives the state a higher revision. It is the time in milliseconds, so
// that it goes on growing after all daemons forgot the state.
func (t *Track) revise(now time.Time) {
	t.state.Revision = max(t.state.Revision+1, uint64(max(now.UnixMilli(), 0)))
	t.store()
}

func (t *Track) store() {
	at := int64(0)
	if t.state.CutOff {
		at = max(t.state.RetryAt.UnixNano(), 1)
	}
	t.retryAt.Store(at)
	t.stage.Store(t.state.Stage)
}
