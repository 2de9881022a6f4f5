// Package backpressure tracks what engines ask of their senders in the headers of their
// answers, and keeps this daemon to its share of it.
//
// An engine that is short of capacity states the number of requests per second that it accepts from
// all daemons together. The permits to send to it are granted in one place for the whole fleet, so
// that they go to the daemons that have requests. While nobody grants them, the limit is divided:
// every daemon sends at most one request per interval, which is the number of daemons divided by
// the limit, and the intervals of the daemons begin at random times. The first daemon that learns
// of a limit, or of its end, tells the others: in a large fleet a daemon may wait minutes for its
// next permit.
package backpressure

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// NoLimit is the limit of an engine that states none.
const NoLimit = -1

const (
	// grantShare is the share of a limit that is granted. The rest is left for daemons that have
	// not learned of the limit yet. dividedShare is the share that the daemons use while the limit
	// is divided, when their intervals may coincide too.
	grantShare   = 0.9
	dividedShare = 0.7
	// minPerSecond is the minimum rate of requests to an engine, whatever its limit. An engine
	// that gets no requests cannot state that its limit has ended.
	minPerSecond = 0.1
	// unusedPermits is the mean number of permits to send to one engine that all daemons
	// together have while they have no requests. It bounds the burst when requests resume.
	unusedPermits = 1
	// newsDelay is the time that news from other daemons may take. An answer that is more
	// recent goes before them.
	newsDelay = time.Second
	// dividedFor is the time for which a limit is divided if nobody has granted or refused a permit.
	dividedFor = 250 * time.Millisecond
	// absentLimitTTL is how long the limit of an engine that is not in use is kept.
	absentLimitTTL = 2 * time.Minute
)

// Answer is what one answer of an engine says about further requests.
type Answer struct {
	Engine string
	// Limit is the number of requests per second that the engine accepts from all daemons
	// together, or NoLimit.
	Limit float64
	// Tolerated is the number of requests per second that the engine can refuse without
	// crashing, or NotBrittle.
	Tolerated float64
	// Refused is set if the engine has refused the request for want of room.
	Refused bool
	// Sent is when the request was sent, At when the header of the answer arrived.
	Sent, At time.Time
}

// Options configures Limits. All fields are required.
type Options struct {
	// Daemons returns the number of live daemons of the fleet. While it is zero, because this
	// daemon does not know the fleet yet, nothing is sent to engines with a limit.
	Daemons func() int
	// Permit asks for a permit to send one request to an engine, to which all daemons together may
	// send the given number per second. If it is refused, retryAfter is the time until the next
	// one. decided is false if nobody grants permits of the engine now.
	Permit func(engine string, perSecond float64) (granted bool, retryAfter time.Duration, decided bool)
	// Random is used by one goroutine at a time.
	Random *rand.Rand
	// Share tells the other daemons what an engine has stated: a limit, or NoLimit if it had
	// one before. It is called for every answer of an engine with a limit.
	Share      func(engine string, perSecond float64)
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Limits tracks the request limits of engines and when this daemon may send to each of them.
// It is safe for concurrent use.
type Limits struct {
	Options
	metrics *metrics
	// limited is the number of engines with a limit. While it is zero, no lock is taken.
	limited atomic.Int64

	mu      sync.RWMutex
	engines map[string]*limit
}

// limit is the limit that an engine has stated.
type limit struct {
	perSecond float64
	// statedAt is when the last answer that stated it arrived, or the news of it.
	statedAt time.Time
	// answeredAt is when the last answer to this daemon that stated it arrived.
	answeredAt time.Time
	// daemons is the highest number of daemons seen since the limit was first stated. It is
	// used instead of a lower current number, so that a daemon that is partitioned from the
	// others does not use their shares.
	daemons int
	// passedUntil is until when the engine is passed over because a permit was refused.
	passedUntil time.Time
	// dividedUntil is until when the limit is divided.
	dividedUntil time.Time
	// next is when this daemon's next permit begins while the limit is divided, zero while the
	// number of daemons is unknown.
	next time.Time
	// absentSince is since when the engine is not in use, zero while it is.
	absentSince time.Time
}

// NewLimits returns Limits without any limited engines.
func NewLimits(o Options) *Limits {
	l := &Limits{Options: o, engines: make(map[string]*limit)}
	l.metrics = newMetrics(o.Registerer, func() float64 { return float64(l.limited.Load()) })
	return l
}

// Observe records what an answer of an engine says. An answer without a limit ends the
// engine's limit, unless its request was sent before the limit was last stated: answers may
// overtake each other.
func (l *Limits) Observe(a Answer) {
	if a.Limit < 0 && l.limited.Load() == 0 {
		return
	}
	if l.observe(a) {
		l.Share(a.Engine, a.Limit)
	}
}

// observe implements Observe and reports whether the other daemons must be told.
func (l *Limits) observe(a Answer) (share bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.engines[a.Engine]
	switch {
	case a.Limit >= 0:
		l.set(a.Engine, a.Limit, a.At).answeredAt = a.At
		return true
	case known != nil && a.Sent.After(known.statedAt):
		l.end(a.Engine)
		return true
	}
	return false
}

// ObserveShared records what an engine has stated to another daemon: a limit, or NoLimit.
func (l *Limits) ObserveShared(engine string, perSecond float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.engines[engine]
	switch {
	case known != nil && now.Sub(known.answeredAt) < newsDelay:
	case perSecond >= 0:
		l.set(engine, perSecond, now)
	case known != nil:
		l.end(engine)
	}
}

// set records that an engine has stated a limit. The caller holds mu.
func (l *Limits) set(engine string, perSecond float64, now time.Time) *limit {
	e := l.engines[engine]
	if e == nil {
		e = &limit{perSecond: perSecond}
		l.engines[engine] = e
		l.limited.Store(int64(len(l.engines)))
		l.start(e, now)
		e.dividedUntil = now.Add(dividedFor) // Who grants permits may not know the limit yet.
	}
	if e.statedAt.IsZero() || e.perSecond != perSecond {
		l.Log.Info().Str("engine", engine).Float64("per_second", perSecond).Int("daemons", e.daemons).Msg("engine states a request limit")
	}
	e.change(perSecond, now)
	e.statedAt = now
	return e
}

// end records that an engine states no limit any more. The caller holds mu.
func (l *Limits) end(engine string) {
	delete(l.engines, engine)
	l.limited.Store(int64(len(l.engines)))
	l.Log.Info().Str("engine", engine).Msg("engine states no request limit any more")
}

// start draws the time of the first permit, unless the number of daemons is unknown. The
// caller holds mu.
func (l *Limits) start(e *limit, now time.Time) {
	if live := l.Daemons(); live > 0 {
		e.daemons = max(e.daemons, live)
		e.next = now.Add(time.Duration(l.Random.Float64() * float64(e.interval())))
	}
}

// change sets a new rate. The remaining time until the next permit is scaled with it.
func (e *limit) change(perSecond float64, now time.Time) {
	before := e.interval()
	e.perSecond = perSecond
	if left := e.next.Sub(now); left > 0 && before > 0 {
		e.next = now.Add(time.Duration(float64(left) / float64(before) * float64(e.interval())))
	}
}

// fleetRate returns the number of requests per second that all daemons together may send while the
// limit is divided.
func (e *limit) fleetRate() float64 { return dividedShare * max(e.perSecond, minPerSecond) }

// grantRate returns the number of permits per second that may be granted to the given number of
// live daemons. If daemons are missing, they may be partitioned and be granted the rest.
func (e *limit) grantRate(live int) float64 {
	return grantShare * max(e.perSecond, minPerSecond) * float64(live) / float64(max(e.daemons, 1))
}

// interval returns the time between two permits of one daemon while the limit is divided.
func (e *limit) interval() time.Duration {
	return time.Duration(float64(e.daemons) / e.fleetRate() * float64(time.Second))
}

// permit returns the time from which the daemon's current permit is valid, or its next one if
// none is valid now. A permit that is not used lapses.
func (e *limit) permit(now time.Time) time.Time {
	lifetime := time.Duration(unusedPermits / e.fleetRate() * float64(time.Second))
	lapsed := now.Sub(e.next) - lifetime
	if interval := e.interval(); lapsed > 0 && interval > lifetime {
		return e.next.Add((lapsed/interval + 1) * interval)
	}
	return e.next
}

// allows reports whether the daemon has a valid permit.
func (e *limit) allows(now time.Time) bool { return !e.next.IsZero() && !e.permit(now).After(now) }

// Throttled reports whether an engine has a limit and this daemon may not send to it now.
func (l *Limits) Throttled(engine string, now time.Time) bool {
	if l.limited.Load() == 0 {
		return false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	e := l.engines[engine]
	switch {
	case e == nil:
		return false
	case e.next.IsZero():
		return l.Daemons() == 0
	case now.Before(e.dividedUntil):
		return !e.allows(now)
	}
	return now.Before(e.passedUntil)
}

// NextPermit returns when this daemon may have its next permit to send to an engine, and the interval
// between two permits of one daemon. For an engine without a limit it returns now.
func (l *Limits) NextPermit(engine string, now time.Time) (at time.Time, interval time.Duration) {
	if l.limited.Load() == 0 {
		return now, 0
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	e := l.engines[engine]
	switch {
	case e == nil:
		return now, 0
	case e.next.IsZero():
		return now.Add(unknownInterval), unknownInterval
	case now.Before(e.dividedUntil):
		return e.permit(now), e.interval()
	case now.Before(e.passedUntil):
		return e.passedUntil, e.interval()
	}
	return now, e.interval()
}

// unknownInterval is the assumed interval between two permits while the number of daemons is
// unknown.
const unknownInterval = time.Second

// Take reports whether this daemon may send a request to an engine now and, if so, uses up the
// permit. Engines without a limit are always permitted. It blocks while the permit is asked for.
func (l *Limits) Take(engine string, now time.Time) bool {
	if l.limited.Load() == 0 {
		return true
	}
	perSecond, ask := l.begin(engine, now)
	if !ask {
		return l.takeShare(engine, now)
	}
	granted, retryAfter, decided := l.Permit(engine, perSecond)
	if !l.concluded(engine, granted, retryAfter, decided, now) {
		return l.takeShare(engine, now)
	}
	return granted
}

// begin returns the rate at which permits of an engine may be granted, and whether one must be asked
// for. This is not the case for engines without a limit and while a limit is divided.
func (l *Limits) begin(engine string, now time.Time) (perSecond float64, ask bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.engines[engine]
	live := l.Daemons()
	if e == nil || live == 0 || now.Before(e.dividedUntil) {
		return 0, false
	}
	e.daemons = max(e.daemons, live)
	return e.grantRate(live), true
}

// concluded records the answer to a request for a permit. It reports whether there was a decision.
func (l *Limits) concluded(engine string, granted bool, retryAfter time.Duration, decided bool, now time.Time) bool {
	l.metrics.recordPermit(granted, decided)
	if granted {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e := l.engines[engine]; {
	case e == nil:
	case decided:
		e.passedUntil = now.Add(retryAfter)
	default:
		e.dividedUntil = now.Add(dividedFor)
	}
	return decided
}

// takeShare uses up this daemon's permit of an engine whose limit is divided, if it has one now.
func (l *Limits) takeShare(engine string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.engines[engine]
	if e == nil {
		return true
	}
	if e.next.IsZero() {
		l.start(e, now)
	}
	if !e.allows(now) {
		return false
	}
	e.daemons = max(e.daemons, l.Daemons())
	e.next = now.Add(e.interval())
	return true
}

// Sent records that a request is sent to an engine. further is set if it is not the first
// attempt of the request.
func (l *Limits) Sent(engine string, further bool) {
	if l.limited.Load() == 0 {
		return
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.engines[engine] != nil {
		l.metrics.recordSend(further)
	}
}

// Retain drops the limits of engines that used has not reported as in use for absentLimitTTL. The
// entry of an engine may be missing for a while although the engine goes on, and this daemon may
// learn of a limit before it learns of the engine.
func (l *Limits) Retain(used func(engine string) bool, now time.Time) {
	if l.limited.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.engines, func(engine string, e *limit) bool {
		if used(engine) {
			e.absentSince = time.Time{}
			return false
		}
		if e.absentSince.IsZero() {
			e.absentSince = now
		}
		if now.Sub(e.absentSince) < absentLimitTTL {
			return false
		}
		l.Log.Info().Str("engine", engine).Float64("per_second", e.perSecond).Msg("request limit of an engine without an entry is dropped")
		return true
	})
	l.limited.Store(int64(len(l.engines)))
}
