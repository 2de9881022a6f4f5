package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// phase is the state of an engine's admission.
type phase int32

const (
	admitted phase = iota
	// failing engines are out because of errors until a probe succeeds.
	failing
	// slow engines are out because of their latency.
	slow
)

// String returns the name used in logs and metrics.
func (p phase) String() string {
	return [...]string{admitted: "admitted", failing: "failing", slow: "slow"}[p]
}

// Smoothing factors of the share of failures.
const (
	failureGain = 0.3
	successGain = 0.1
	// leastFailure is the share below which failures are forgotten.
	leastFailure = 0.01
)

// An engine that refuses work because it is full gets nothing for busyPause,
// doubled with each refusal in a row up to maxBusyPause, so that one that refuses
// everything does not attract work by being idle.
const (
	busyPause    = 250 * time.Millisecond
	maxBusyPause = 5 * time.Second
)

// cacheLine keeps fields apart that different cores read and write often.
type cacheLine [64]byte

// warmAlready marks an engine that needs no warm-up.
const warmAlready = -1

// health is what is known of an engine's answers. The writers hold mu; the
// choice reads the atomics without it. mu is taken before pool.mu.
type health struct {
	phase atomic.Int32
	// until is the end of the ejection in Unix nanoseconds; probes may go out
	// from then on.
	until     atomic.Int64
	probeAt   atomic.Int64
	busyUntil atomic.Int64
	// warmFrom points to the engine's field of that name.
	warmFrom *atomic.Int64
	// failure is the share of failed requests as float bits, as of failureAt.
	failure   atomic.Uint64
	failureAt atomic.Int64
	// slowness is the time per token relative to the register, as float bits.
	slowness atomic.Uint64
	// row counts the failures in a row, refusals the refusals in a row.
	row      atomic.Int32
	refusals atomic.Int32

	// The choice reads what stands above, every answer writes what follows.
	_ cacheLine

	mu         sync.Mutex
	pool       *pool
	goodProbes int
	ejectFor   time.Duration
	samples    int
	// tokenTime and firstToken are moving averages relative to what was expected.
	tokenTime  float64
	firstToken float64
	// firstTokens counts the samples of firstToken.
	firstTokens int
	nominal     float64 // registered tokens per second of one stream
}

// pool counts the engines of one pool that are out, to bound their share.
type pool struct {
	mu      sync.Mutex
	members int
	out     int
	slow    int
}

// allowed returns how many of the members a share lets out. A pool of three or
// more can always spare one.
func allowed(members int, share float64) int {
	n := int(share * float64(members))
	if n == 0 && share > 0 && members >= 3 {
		return 1
	}
	return n
}

// take reserves a place among those out.
func (p *pool) take(kind phase, o *Options) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out >= allowed(p.members, o.MaxEjectedShare) {
		return false
	}
	if kind == slow && p.slow >= allowed(p.members, o.MaxSlowShare) {
		return false
	}
	p.count(kind, 1)
	return true
}

// release gives a place back.
func (p *pool) release(kind phase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(kind, -1)
}

func (p *pool) count(kind phase, n int) {
	p.out += n
	if kind == slow {
		p.slow += n
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

// failed records a failure and ejects the engine when there were too many. It
// tells whether the phase changed.
func (h *health) failed(now time.Time, o *Options) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	ns := now.UnixNano()
	share := h.failureShare(ns, o.FailureHalfLife)
	h.setFailure(share+failureGain*(1-share), ns)
	row := h.row.Add(1)
	h.goodProbes = 0
	if phase(h.phase.Load()) != admitted {
		h.extend(ns, o)
		return false
	}
	return int(row) >= o.EjectFailures && h.eject(failing, ns, o)
}

// refused keeps new work away from an engine that is full, for the time it asks
// for or longer. Refusals of requests sent before the pause count once.
func (h *health) refused(now time.Time, retryAfter time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.UnixNano() < h.busyUntil.Load() {
		return
	}
	pause := maxBusyPause
	if row := h.refusals.Add(1); busyPause<<(row-1) < maxBusyPause && row < 16 {
		pause = busyPause << (row - 1)
	}
	pause = min(max(pause, retryAfter), maxBusyPause)
	h.busyUntil.Store(now.Add(pause).UnixNano())
}

// succeeded records a whole answer. Enough of them in a row re-admit an engine
// that was out because of errors. It tells whether the phase changed.
func (h *health) succeeded(now time.Time, o *Options) bool {
	if h.refusals.Load() != 0 {
		h.refusals.Store(0)
	}
	if h.row.Load() == 0 && h.failure.Load() == 0 && phase(h.phase.Load()) == admitted {
		return false // Nothing to forget: the usual case takes no lock.
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	ns := now.UnixNano()
	h.row.Store(0)
	if share := h.failureShare(ns, o.FailureHalfLife); share > leastFailure {
		h.setFailure(share*(1-successGain), ns)
	} else {
		h.setFailure(0, ns)
	}
	if phase(h.phase.Load()) != failing || ns < h.until.Load() {
		return false
	}
	h.goodProbes++
	if h.goodProbes < o.TrickleSuccesses {
		return false
	}
	h.admit(ns)
	return true
}

// eject takes the engine out if its pool can spare it, and tells whether it
// did. The caller holds mu.
func (h *health) eject(kind phase, now int64, o *Options) bool {
	if h.pool == nil || !h.pool.take(kind, o) {
		return false
	}
	if now-h.until.Load() > int64(2*o.EjectMax) {
		h.ejectFor = 0 // The last ejection is long ago.
	}
	h.phase.Store(int32(kind))
	h.extend(now, o)
	return true
}

// extend begins another ejection of twice the length. Failures that arrive
// while the engine is out already, from requests sent before, do not add up.
// The caller holds mu.
func (h *health) extend(now int64, o *Options) {
	if now < h.until.Load() {
		return
	}
	h.ejectFor = min(max(2*h.ejectFor, o.EjectFor), o.EjectMax)
	h.goodProbes = 0
	h.resetSpeed()
	h.until.Store(now + int64(h.ejectFor))
}

// admit lets the engine back in with a warm-up. The caller holds mu.
func (h *health) admit(now int64) {
	h.pool.release(phase(h.phase.Load()))
	h.phase.Store(int32(admitted))
	h.warmFrom.Store(now)
	h.setFailure(0, now)
	h.row.Store(0)
	h.resetSpeed()
}
