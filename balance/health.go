package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// phase says whether an engine is admitted, or why it is ejected.
type phase int32

const (
	admitted phase = iota
	// failing engines are ejected because of errors until enough probes succeed.
	failing
	// slow engines are ejected because of their latency.
	slow
)

// String returns the name used in logs and metrics.
func (p phase) String() string {
	return [...]string{admitted: "admitted", failing: "failing", slow: "slow"}[p]
}

// Smoothing factors of the moving average of the failure share.
const (
	failureGain = 0.3
	successGain = 0.1
	// minFailureShare is the share up to which a success resets the average to 0.
	minFailureShare = 0.01
)

// An engine that refuses a request because it is full gets no requests for
// busyPause. The pause doubles with each consecutive refusal up to maxBusyPause, so
// that an engine that refuses everything does not attract requests by being idle.
const (
	busyPause    = 250 * time.Millisecond
	maxBusyPause = 5 * time.Second
)

// cacheLine is padding against false sharing between fields that different cores
// read and write often.
type cacheLine [64]byte

// noWarmUp is the value of engine.warmFrom for an engine that needs no warm-up.
const noWarmUp = -1

// health tracks the failures and latencies of an engine. Writers hold mu; Choose
// reads the atomics without it. Lock order: mu before pool.mu.
type health struct {
	phase atomic.Int32
	// until is the end of the ejection in Unix nanoseconds; probes may be sent
	// from then on.
	until     atomic.Int64
	probeAt   atomic.Int64
	busyUntil atomic.Int64
	// pausedUntil is the end of the pause that the engine asked for, nil for none. Its
	// monotonic clock reading keeps steps of the wall clock from ending the pause early.
	pausedUntil atomic.Pointer[time.Time]
	// warmFrom points to engine.warmFrom.
	warmFrom *atomic.Int64
	// failure is the share of failed requests at time failureAt, as float bits.
	failure   atomic.Uint64
	failureAt atomic.Int64
	// slowness is the time per token relative to that of the registered rate, as
	// float bits.
	slowness atomic.Uint64
	// ownWeight is the number of answers that slowness represents.
	ownWeight atomic.Int32
	// fleet is the pace last reported for the fleet, nil before the first report.
	fleet               atomic.Pointer[fleetPace]
	consecutiveFailures atomic.Int32
	consecutiveRefusals atomic.Int32

	// Choose reads the fields above; every answer writes those below.
	_ cacheLine

	mu             sync.Mutex
	pool           *pool
	probeSuccesses int
	ejectFor       time.Duration
	samples        int
	// tokenTime and firstToken are moving averages of the time per token and the
	// time to the first token, relative to the expected ones.
	tokenTime  float64
	firstToken float64
	// firstTokens counts the samples of firstToken.
	firstTokens int
	nominal     float64 // registered rate of one stream in tokens per second
}

// pool counts the ejected engines of one pool, to bound their share.
type pool struct {
	mu          sync.Mutex
	members     int
	ejected     int
	ejectedSlow int

	// engines are the members. They do not change once the pool is in use.
	engines []*engine
	// pace is kept across configuration changes.
	pace *poolPace
}

// maxEjected returns the number of members that may be ejected for a maximum
// share. Unless the share is zero, a pool of three or more may eject one.
func maxEjected(members int, share float64) int {
	n := int(share * float64(members))
	if n == 0 && share > 0 && members >= 3 {
		return 1
	}
	return n
}

// reserve counts one more ejected engine, or returns false if the limits do not
// allow it.
func (p *pool) reserve(kind phase, o *Options) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ejected >= maxEjected(p.members, o.MaxEjectedShare) {
		return false
	}
	if kind == slow && p.ejectedSlow >= maxEjected(p.members, o.MaxSlowShare) {
		return false
	}
	p.add(kind, 1)
	return true
}

// release undoes reserve.
func (p *pool) release(kind phase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(kind, -1)
}

func (p *pool) add(kind phase, n int) {
	p.ejected += n
	if kind == slow {
		p.ejectedSlow += n
	}
}

// failureShare returns the decayed share of failed requests.
func (h *health) failureShare(now int64, halfLife time.Duration) float64 {
	share := math.Float64frombits(h.failure.Load())
	if share == 0 {
		return 0
	}
	age := now - h.failureAt.Load()
	if age <= 0 {
		return share
	}
	return share * math.Exp2(-float64(age)/float64(halfLife))
}

// setFailure stores the share as of now. The caller holds mu.
func (h *health) setFailure(share float64, now int64) {
	h.failure.Store(math.Float64bits(share))
	h.failureAt.Store(now)
}

// failed records a failure and ejects the engine after too many consecutive
// ones. It reports whether the phase changed.
func (h *health) failed(now time.Time, o *Options) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	ns := now.UnixNano()
	share := h.failureShare(ns, o.FailureHalfLife)
	h.setFailure(share+failureGain*(1-share), ns)
	failures := h.consecutiveFailures.Add(1)
	h.probeSuccesses = 0
	if phase(h.phase.Load()) != admitted {
		h.extend(ns, o)
		return false
	}
	return int(failures) >= o.EjectFailures && h.eject(failing, ns, o)
}

// pause keeps requests from an engine for the time that it asked for. Unlike ejections and
// the pauses of refused, its end is the engine's to set: it is never shortened.
func (h *health) pause(now time.Time, retryAfter time.Duration) {
	if retryAfter <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := now.Add(retryAfter); until.After(h.pauseEnd()) {
		h.pausedUntil.Store(&until)
	}
}

// pauseEnd returns the end of the pause that the engine asked for, or the zero time.
func (h *health) pauseEnd() time.Time {
	if until := h.pausedUntil.Load(); until != nil {
		return *until
	}
	return time.Time{}
}

// paused reports whether the engine has asked for no requests now.
func (h *health) paused(now time.Time) bool { return h.pauseEnd().After(now) }

// refused pauses an engine that is full, for busyPause doubled with each consecutive
// refusal and for maxBusyPause at most. Refusals during the pause, of requests sent before
// it, are not counted.
func (h *health) refused(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.UnixNano() < h.busyUntil.Load() {
		return
	}
	pause := maxBusyPause
	if refusals := h.consecutiveRefusals.Add(1); busyPause<<(refusals-1) < maxBusyPause && refusals < 16 {
		pause = busyPause << (refusals - 1)
	}
	h.busyUntil.Store(now.Add(pause).UnixNano())
}

// succeeded records a complete answer. Enough consecutive ones re-admit an engine
// that was ejected because of errors. It reports whether the phase changed.
func (h *health) succeeded(now time.Time, o *Options) bool {
	if h.consecutiveRefusals.Load() != 0 {
		h.consecutiveRefusals.Store(0)
	}
	if h.consecutiveFailures.Load() == 0 && h.failure.Load() == 0 && phase(h.phase.Load()) == admitted {
		return false // Nothing to reset: the common case takes no lock.
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	ns := now.UnixNano()
	h.consecutiveFailures.Store(0)
	if share := h.failureShare(ns, o.FailureHalfLife); share > minFailureShare {
		h.setFailure(share*(1-successGain), ns)
	} else {
		h.setFailure(0, ns)
	}
	if phase(h.phase.Load()) != failing || ns < h.until.Load() {
		return false
	}
	h.probeSuccesses++
	if h.probeSuccesses < o.TrickleSuccesses {
		return false
	}
	h.admit(ns)
	return true
}

// eject ejects the engine if the limits of its pool allow it, and reports whether
// it did. The caller holds mu.
func (h *health) eject(kind phase, now int64, o *Options) bool {
	if h.pool == nil || !h.pool.reserve(kind, o) {
		return false
	}
	if now-h.until.Load() > int64(2*o.EjectMax) {
		h.ejectFor = 0 // The last ejection was long ago.
	}
	h.phase.Store(int32(kind))
	h.extend(now, o)
	return true
}

// extend starts an ejection of twice the previous length. During an ejection it
// does nothing, so that failures of requests sent before do not extend it. The
// caller holds mu.
func (h *health) extend(now int64, o *Options) {
	if now < h.until.Load() {
		return
	}
	h.ejectFor = min(max(2*h.ejectFor, o.EjectFor), o.EjectMax)
	h.probeSuccesses = 0
	h.resetSpeed()
	h.until.Store(now + int64(h.ejectFor))
}

// admit re-admits the engine with a warm-up. The caller holds mu.
func (h *health) admit(now int64) {
	h.pool.release(phase(h.phase.Load()))
	h.phase.Store(int32(admitted))
	h.warmFrom.Store(now)
	h.setFailure(0, now)
	h.consecutiveFailures.Store(0)
	h.resetSpeed()
}
