package rollout

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/quality"
)

// Track holds the state of one version and its sequential test. Gate, Share and
// RetryAt read the atomic fields without a lock; mu guards the other fields.
type Track struct {
	// retryAt is the Unix time in nanoseconds at which the trickle begins, or 0 if the
	// version is not cut off.
	retryAt atomic.Int64
	stage   atomic.Int32

	mu      sync.Mutex
	version string
	options *Options
	state   State
	// small and large are the tests for Options.SmallDrop and Options.LargeDrop.
	small Test
	large Test
	// stageRatings is the number of ratings since the current stage began.
	stageRatings float64
	// probation is true once ratings of the trickle have been judged.
	probation bool
}

// State is the state of one version that daemons exchange. The higher revision wins.
type State struct {
	Version  string
	Revision uint64
	// CutOff is true if the version is cut off, also during its trickle.
	CutOff bool
	// RetryAt is when the trickle of a cut-off version begins.
	RetryAt time.Time
	// Strikes is the number of cut-offs since the version was last cleared.
	Strikes int32
	// Stage is the number of doublings of the roll-out's share so far.
	Stage int32
}

func newTrack(version string, o *Options) *Track {
	return &Track{version: version, options: o, state: State{Version: version}}
}

// Gate returns whether the version may receive new requests at the given time.
func (t *Track) Gate(now time.Time) Gate { return t.GateAt(now.UnixNano()) }

// GateAt is like Gate, for a Unix time in nanoseconds.
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

// Share returns the share of the baseline's requests that the version receives at the
// current stage of the roll-out, before the cap of the rule.
func (t *Track) Share() float64 { return t.options.shareOf(t.stage.Load()) }

// RetryAt returns when the trickle of a cut-off version begins, or the zero time if the
// version is not cut off.
func (t *Track) RetryAt() time.Time {
	if at := t.retryAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// State returns the state to exchange with other daemons.
func (t *Track) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// Accept adopts a state received from another daemon if its revision is higher, and
// reports whether it did. The tests restart if the state has another cut-off.
func (t *Track) Accept(s State) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Revision <= t.state.Revision {
		return false
	}
	if s.CutOff != t.state.CutOff || s.Strikes != t.state.Strikes {
		t.restartTests()
	}
	s.Version = t.version
	t.state = s
	t.updateAtomics()
	return true
}

// Judge adds new ratings to the sequential test, and cuts the version off or clears it
// if the test demands it.
func (t *Track) Judge(r Ratings) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state.CutOff && r.At.Before(t.state.RetryAt) {
		return Unchanged // The ratings are for answers from before the cut-off.
	}
	if t.state.CutOff && !t.probation {
		t.restartTests()
		t.probation = true
	}
	t.addEvidence(r)
	t.stageRatings += r.Count
	if t.isAlarm(r.SoleUser) {
		t.cutOff(r.At)
		return CutOff
	}
	if !t.probation {
		t.restartGoodTests(r.SoleUser)
		return Unchanged
	}
	if t.large.InFavour(r.SoleUser) < math.Log(1/t.options.FalseClear) {
		return Unchanged
	}
	t.clear(r.At)
	return Cleared
}

// Advance moves a running roll-out to the next stage if enough ratings show that the
// version reaches its reference, and back to the first stage if they show that it does
// not. The estimate is that of the task kind that was rated last. It must not be
// called while the roll-out is paused or halted.
func (t *Track) Advance(e quality.Estimate, reference, maxShare float64, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	floor := reference - t.options.Margin
	switch {
	case e.Upper < floor && t.state.Stage > 0:
		t.state.Stage = 0
	case e.Lower >= floor && t.mayAdvance(e.Weight, maxShare):
		t.state.Stage++
	default:
		return Unchanged
	}
	t.stageRatings = 0
	t.incrementRevision(now)
	return ShareChanged
}

// mayAdvance reports whether the share may grow to the next stage: the stage has enough
// ratings, the estimate is based on enough ratings, and the cap is not yet reached. An
// estimate that leaves out a large organisation may be based on the prior alone, which
// is why its weight is checked as well.
func (t *Track) mayAdvance(weight, maxShare float64) bool {
	if min(t.stageRatings, weight) < t.options.StageRatings {
		return false
	}
	return t.state.Stage < maxStage && t.options.shareOf(t.state.Stage) < maxShare
}

func (t *Track) addEvidence(r Ratings) {
	m := r.Reference - t.options.Margin
	t.small.Add(r.Organisation, NewBet(m, t.options.SmallDrop).Evidence(r.Sum, r.Count))
	t.large.Add(r.Organisation, NewBet(m, t.options.LargeDrop).Evidence(r.Sum, r.Count))
}

// isAlarm reports whether one of the two tests has enough evidence against the version.
// Each test is allowed half of the false-alarm rate.
func (t *Track) isAlarm(soleUser bool) bool {
	threshold := math.Log(2 / t.options.FalseAlarm)
	return t.small.Against(soleUser) >= threshold || t.large.Against(soleUser) >= threshold
}

// restartGoodTests restarts each test whose evidence is in favour of the version, so
// that a long history of good ratings does not delay the detection of a change.
func (t *Track) restartGoodTests(soleUser bool) {
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
	t.restartTests()
	t.incrementRevision(now)
}

func (t *Track) clear(now time.Time) {
	t.state.CutOff = false
	t.state.RetryAt = time.Time{}
	t.state.Strikes = 0
	t.restartTests()
	t.incrementRevision(now)
}

// restartTests discards the evidence of both tests, ends the probation, and restarts the
// count of the stage's ratings.
func (t *Track) restartTests() {
	t.small.Restart()
	t.large.Restart()
	t.probation = false
	t.stageRatings = 0
}

// incrementRevision gives the state a higher revision. Revisions are based on the time in
// milliseconds, so that they keep growing even after all daemons have lost the state.
func (t *Track) incrementRevision(now time.Time) {
	t.state.Revision = max(t.state.Revision+1, uint64(max(now.UnixMilli(), 0)))
	t.updateAtomics()
}

// updateAtomics copies the state to the atomic fields.
func (t *Track) updateAtomics() {
	at := int64(0)
	if t.state.CutOff {
		at = max(t.state.RetryAt.UnixNano(), 1)
	}
	t.retryAt.Store(at)
	t.stage.Store(t.state.Stage)
}
