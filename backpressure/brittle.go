package backpressure

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"
)

// NotBrittle is the tolerance of an engine that states none.
const NotBrittle = -1

const (
	// refusalShare is the share of the refusals that an engine tolerates which the daemons plan
	// to use. The rest is left for requests that are refused because another daemon has taken
	// the place of one that ended.
	refusalShare = 0.25
	// minTolerated is the least number of refusals per second that is assumed as tolerated. An
	// engine that is never tried cannot show that it has room again.
	minTolerated = 0.5
	// minRefusalPause is the least time after a refusal in which no daemon tries to have more
	// requests in progress.
	minRefusalPause = time.Second
	// refusalNewsTime is the time within which news of a refusal reaches the other daemons.
	refusalNewsTime = 250 * time.Millisecond
	// keptWindow is the share of the requests in progress that remains as the window after a
	// refusal.
	keptWindow = 0.8
	// windowHalfLife is the time in which a window beyond the daemon's share that is not used
	// moves half the way to the number of requests in progress. Other daemons may have taken
	// the rest.
	windowHalfLife = 500 * time.Millisecond
)

// BrittleOptions configures Brittle. All fields are required.
type BrittleOptions struct {
	// Daemons returns the number of live daemons of the fleet.
	Daemons func() int
	// Engine returns the service and the number of slots of an engine, or "" if it is unknown.
	Engine func(engine string) (service string, slots int)
	// InFlight returns the number of this daemon's requests in progress at an engine.
	InFlight func(engine string) int
	// Random is used by one goroutine at a time.
	Random *rand.Rand
	// Share tells the other daemons that an engine has refused a request.
	Share      func(engine string, tolerated float64)
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Brittle tracks the engines that state that they crash if they have to refuse too many requests
// within a second. For each of them, a daemon has a window of requests in progress: at first its
// share of the engine's slots. Beyond the window it sends one request at a time, so rarely that few
// daemons do so within the time that news takes; one that is accepted widens the window. A refusal
// narrows the window to what is in progress, and keeps all daemons from widening theirs for a
// random pause: the daemon that is refused tells the others. An engine that has not answered yet
// counts as brittle if others of its service are: one that restarts after a crash would get all
// waiting requests at once. It is safe for concurrent use.
type Brittle struct {
	BrittleOptions
	refusals prometheus.Counter
	// known is the number of brittle engines and services. While it is zero, no lock is taken.
	known atomic.Int64

	mu       sync.Mutex
	engines  map[string]*brittleEngine
	services map[string]statement
}

// statement is what the last answer of an engine of a service states.
type statement struct {
	tolerated float64
	at        time.Time
}

// brittleEngine is the state of one engine.
type brittleEngine struct {
	// tolerated is the number of refusals per second that the engine tolerates.
	tolerated float64
	// statedAt is when the last answer that stated it arrived, or the news of it.
	statedAt time.Time
	// window is the number of requests that may be in progress. It was last adjusted at
	// windowAt.
	window   int
	windowAt time.Time
	// share is the part of the window that is kept while it is not used: the daemon's share of
	// the slots, or less since the engine has refused requests within it.
	share int
	// widenAt is when the window may be widened.
	widenAt time.Time
	// sharedAt is when the last refusal was told to or by the other daemons.
	sharedAt time.Time
}

// NewBrittle returns a Brittle without any engines.
func NewBrittle(o BrittleOptions) *Brittle {
	b := &Brittle{BrittleOptions: o, engines: make(map[string]*brittleEngine), services: make(map[string]statement)}
	f := promauto.With(o.Registerer)
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bronzeturn_backpressure_brittle_engines", Help: "Number of engines that state that they crash if they refuse too many requests.",
	}, func() float64 { return float64(b.count()) })
	b.refusals = f.NewCounter(prometheus.CounterOpts{
		Name: "bronzeturn_backpressure_brittle_refusals_total", Help: "Requests of this daemon that such engines have refused.",
	})
	return b
}

// count returns the number of brittle engines.
func (b *Brittle) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.engines)
}

// Observe records what an answer of an engine says.
func (b *Brittle) Observe(a Answer) {
	if a.Tolerated < 0 && b.known.Load() == 0 {
		return
	}
	if tolerated, share := b.observe(a); share {
		b.Share(a.Engine, tolerated)
	}
}

// observe implements Observe and reports whether the other daemons must be told of a refusal, and
// how many refusals the engine tolerates.
func (b *Brittle) observe(a Answer) (tolerated float64, share bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.Tolerated < 0 {
		b.observeNone(a)
	} else {
		b.set(a.Engine, a.Tolerated, a.At)
	}
	e := b.engines[a.Engine]
	if e == nil || !a.Refused {
		return 0, false
	}
	b.refusals.Inc()
	b.Log.Info().Str("engine", a.Engine).Int("in_progress", b.InFlight(a.Engine)).Int("window", e.window).Int("share", e.share).
		Msg("brittle engine refused a request")
	// The refused request is still counted as in progress.
	e.window, e.windowAt = int(keptWindow*float64(max(b.InFlight(a.Engine)-1, 0))), a.At
	e.share = min(e.share, e.window)
	e.widenAt = a.At.Add(b.pause(e.tolerated))
	if a.At.Sub(e.sharedAt) < refusalNewsTime {
		return 0, false
	}
	e.sharedAt = a.At
	return e.tolerated, true
}

// ObserveShared records that an engine has refused a request of another daemon.
func (b *Brittle) ObserveShared(engine string, tolerated float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.set(engine, tolerated, now)
	e.sharedAt = now
	e.window, e.windowAt = max(e.share, min(e.window, b.InFlight(engine))), now
	e.widenAt = now.Add(b.pause(e.tolerated))
}

// set records that an engine states that it is brittle. The caller holds mu.
func (b *Brittle) set(engine string, tolerated float64, now time.Time) *brittleEngine {
	if service, _ := b.Engine(engine); service != "" {
		b.services[service] = statement{tolerated: tolerated, at: now}
	}
	e := b.engines[engine]
	if e == nil {
		e = b.add(engine, now)
	}
	e.tolerated = tolerated
	e.statedAt = now
	return e
}

// add adds a brittle engine. The caller holds mu.
func (b *Brittle) add(engine string, now time.Time) *brittleEngine {
	_, slots := b.Engine(engine)
	share := slots / max(b.Daemons(), 1)
	e := &brittleEngine{window: max(share, b.InFlight(engine)), windowAt: now, share: share}
	b.engines[engine] = e
	b.recount()
	b.Log.Info().Str("engine", engine).Msg("engine counts as brittle")
	return e
}

// recount updates known. The caller holds mu.
func (b *Brittle) recount() { b.known.Store(int64(len(b.engines) + len(b.services))) }

// observeNone handles an answer that does not state that the engine is brittle. It ends what was
// stated before, unless its request was sent before that: answers may overtake each other. The
// caller holds mu.
func (b *Brittle) observeNone(a Answer) {
	service, _ := b.Engine(a.Engine)
	if s, ok := b.services[service]; ok && a.Sent.After(s.at) {
		delete(b.services, service)
	}
	if e := b.engines[a.Engine]; e != nil && a.Sent.After(e.statedAt) {
		delete(b.engines, a.Engine)
		b.Log.Info().Str("engine", a.Engine).Msg("engine is not brittle any more")
	}
	b.recount()
}

// engine returns the state of an engine, or nil if it is not brittle. The caller holds mu.
func (b *Brittle) engine(name string, now time.Time) *brittleEngine {
	if e := b.engines[name]; e != nil {
		return e
	}
	service, _ := b.Engine(name)
	s, ok := b.services[service]
	if !ok {
		return nil
	}
	e := b.add(name, now)
	e.tolerated = s.tolerated
	return e
}

// pause draws the time after a refusal from which a daemon may widen its window.
func (b *Brittle) pause(tolerated float64) time.Duration {
	base := max(time.Duration(float64(time.Second)/planned(tolerated)), minRefusalPause)
	return base + time.Duration(b.Random.Float64()*float64(b.widenInterval(tolerated)))
}

// widenInterval returns the time between two attempts of this daemon to widen its window. All
// daemons together make no more attempts than the planned refusals within the time that news
// takes.
func (b *Brittle) widenInterval(tolerated float64) time.Duration {
	return time.Duration(float64(max(b.Daemons(), 1)) / planned(tolerated) * float64(refusalNewsTime))
}

// planned returns the number of refusals per second that the daemons plan to use.
func planned(tolerated float64) float64 { return refusalShare * max(tolerated, minTolerated) }

// allows reports whether a request may be sent to the engine, and whether it would be beyond the
// window. The caller holds mu.
func (b *Brittle) allows(engine string, e *brittleEngine, now time.Time) (allowed, beyond bool) {
	inFlight := b.InFlight(engine)
	e.adjust(inFlight, now)
	if inFlight < e.window {
		return true, false
	}
	return !now.Before(e.widenAt), true
}

// adjust narrows a window that is not used.
func (e *brittleEngine) adjust(inFlight int, now time.Time) {
	least := max(inFlight, e.share)
	if least >= e.window {
		e.windowAt = now
		return
	}
	for now.Sub(e.windowAt) >= windowHalfLife && e.window > least {
		e.windowAt = e.windowAt.Add(windowHalfLife)
		e.window -= (e.window - least + 1) / 2
	}
}

// Throttled reports whether an engine is brittle and must be passed over now.
func (b *Brittle) Throttled(engine string, now time.Time) bool {
	if b.known.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine(engine, now)
	if e == nil {
		return false
	}
	allowed, _ := b.allows(engine, e, now)
	return !allowed
}

// Take reports whether a request may be sent to an engine now. If so, it counts as sent.
func (b *Brittle) Take(engine string, now time.Time) bool {
	if b.known.Load() == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine(engine, now)
	if e == nil {
		return true
	}
	allowed, beyond := b.allows(engine, e, now)
	if allowed && beyond {
		e.window++
		e.windowAt, e.widenAt = now, now.Add(b.widenInterval(e.tolerated))
	}
	return allowed
}

// FreeAt returns when this daemon may send to an engine at the latest. It returns now for an
// engine at which a request in progress may end before, and for one that is not brittle.
func (b *Brittle) FreeAt(engine string, now time.Time) time.Time {
	if b.known.Load() == 0 {
		return now
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engines[engine]
	if e == nil || e.window > 0 || e.widenAt.Before(now) {
		return now
	}
	return e.widenAt
}

// Retain drops the engines for which used returns false.
func (b *Brittle) Retain(used func(engine string) bool) {
	if b.known.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.engines, func(engine string, _ *brittleEngine) bool { return !used(engine) })
	b.recount()
}
