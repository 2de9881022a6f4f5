package backpressure

import (
	"maps"
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
	// reserveAfter is the time after the first statement from which slots must be reserved. Before,
	// the daemons learn of the statement and report their requests in progress.
	reserveAfter = time.Second
	// fullFor is the time for which an engine that has no free slot is passed over. A slot may
	// become free at any time.
	fullFor = 20 * time.Millisecond
	// unsentTTL is the time after which a reserved slot counts as free if no request was sent.
	unsentTTL = time.Second
	// freeInterval is the interval at which callers are told to come back to an engine whose slots
	// are not granted for a time.
	freeInterval = 50 * time.Millisecond
)

// BrittleOptions configures Brittle. All fields are required.
type BrittleOptions struct {
	// Engine returns the service and the number of slots of an engine, or "" if it is unknown.
	Engine func(engine string) (service string, slots int)
	// Reserve asks for a slot of an engine, on behalf of all daemons. If there is none, it returns
	// the time until one may be granted, zero if that depends on the requests in progress.
	Reserve func(engine string, slots int, tolerated float64) (granted bool, retryAfter time.Duration)
	// Refused records that the engine has refused a request, to be told to whoever grants the slots
	// together with the end of the request.
	Refused func(engine string)
	// Share tells the other daemons that the engines of a service are brittle, and for how long this
	// daemon has known it. It is called for every answer that states it.
	Share func(service string, tolerated float64, age time.Duration)
	// LearnsAtOnce reports whether this daemon has been in the fleet long enough to learn at once
	// what others learn.
	LearnsAtOnce func() bool
	Log          zerolog.Logger
	Registerer   prometheus.Registerer
}

// Brittle tracks the engines that state that they crash if they have to refuse too many requests
// within a second. A request to such an engine needs one of its slots, which are granted in one
// place for all daemons: shares of a daemon would be smaller than one slot in a large fleet, and
// would not fit while the fleet changes. An engine that has not answered yet counts as brittle if
// others of its service are: one that restarts after a crash would get all waiting requests at
// once. It is safe for concurrent use.
type Brittle struct {
	BrittleOptions
	refusals     prometheus.Counter
	reservations *prometheus.CounterVec
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
	// since is when it was stated first, as far as is known.
	since time.Time
}

// brittleEngine is the state of one engine.
type brittleEngine struct {
	statement
	// unsent is the number of reserved slots for which no request was sent yet, reservedAt when
	// the last one was reserved.
	unsent     int
	reservedAt time.Time
	// passedUntil is until when the engine is passed over. freeAt is the same if no slots are
	// granted until then.
	passedUntil, freeAt time.Time
}

// Outcomes of reservations.
const (
	outcomeGranted = "granted"
	outcomeFull    = "full"
	outcomePaused  = "paused"
)

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
	b.reservations = f.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzeturn_backpressure_brittle_reservations_total", Help: "Slots of such engines that this daemon has asked for.",
	}, []string{"outcome"})
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
	service, since, refused := b.observe(a)
	if service != "" {
		b.Share(service, a.Tolerated, a.At.Sub(since))
	}
	if refused {
		b.refusals.Inc()
		b.Log.Info().Str("engine", a.Engine).Msg("brittle engine refused a request")
		b.Refused(a.Engine)
	}
}

// observe implements Observe. It returns the service whose engines are brittle according to the
// answer, since when, and whether a brittle engine has refused a request.
func (b *Brittle) observe(a Answer) (service string, since time.Time, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	name, _ := b.Engine(a.Engine)
	if a.Tolerated < 0 {
		b.observeNone(name, a)
		return "", time.Time{}, a.Refused && b.engines[a.Engine] != nil
	}
	first := a.At
	if !b.LearnsAtOnce() {
		first = a.At.Add(-reserveAfter) // Others may have known it for long.
	}
	s := b.state(name, a.Tolerated, first, a.At)
	e := b.engines[a.Engine]
	if e == nil {
		e = b.add(a.Engine, s)
	}
	e.tolerated, e.at = a.Tolerated, a.At
	return name, e.since, a.Refused
}

// ObserveShared records that the engines of a service are brittle according to another daemon, which
// has known it for the time age.
func (b *Brittle) ObserveShared(service string, tolerated float64, age time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(service, tolerated, now.Add(-age), now)
}

// state records that the engines of a service are brittle, since the time first unless that is known
// already. The caller holds mu.
func (b *Brittle) state(service string, tolerated float64, first, now time.Time) statement {
	s, known := b.services[service]
	if !known {
		s.since = first
		b.Log.Info().Str("service", service).Float64("tolerated_per_second", tolerated).Dur("age_ms", now.Sub(first)).Msg("engines of a service are brittle")
	}
	s.tolerated, s.at = tolerated, now
	if service != "" {
		b.services[service] = s
		b.recount()
	}
	return s
}

// add adds a brittle engine. The caller holds mu.
func (b *Brittle) add(engine string, s statement) *brittleEngine {
	e := &brittleEngine{statement: s}
	b.engines[engine] = e
	b.recount()
	b.Log.Info().Str("engine", engine).Msg("engine counts as brittle")
	return e
}

// serviceOf returns the service of an engine, "" if it is unknown.
func (b *Brittle) serviceOf(engine string) string {
	service, _ := b.Engine(engine)
	return service
}

// recount updates known. The caller holds mu.
func (b *Brittle) recount() { b.known.Store(int64(len(b.engines) + len(b.services))) }

// observeNone handles an answer that does not state that the engine is brittle. It ends what was
// stated before, unless its request was sent before that: answers may overtake each other. The
// caller holds mu.
func (b *Brittle) observeNone(service string, a Answer) {
	if s, ok := b.services[service]; ok && a.Sent.After(s.at) {
		delete(b.services, service)
	}
	if e := b.engines[a.Engine]; e != nil && a.Sent.After(e.at) {
		delete(b.engines, a.Engine)
		b.Log.Info().Str("engine", a.Engine).Msg("engine is not brittle any more")
	}
	b.recount()
}

// engine returns the state of an engine, or nil if it is not brittle. The caller holds mu.
func (b *Brittle) engine(name string) *brittleEngine {
	if e := b.engines[name]; e != nil {
		return e
	}
	if s, ok := b.services[b.serviceOf(name)]; ok {
		return b.add(name, s)
	}
	return nil
}

// Throttled reports whether an engine is brittle and must be passed over now.
func (b *Brittle) Throttled(engine string, now time.Time) bool {
	if b.known.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine(engine)
	return e != nil && now.Before(e.passedUntil)
}

// Take reports whether a request may be sent to an engine now. If so, a slot is reserved where that
// is necessary, and Sent must follow. It blocks while the slot is asked for.
func (b *Brittle) Take(engine string, now time.Time) bool {
	if b.known.Load() == 0 {
		return true
	}
	slots, tolerated, needed := b.begin(engine, now)
	if !needed {
		return true
	}
	granted, retryAfter := b.Reserve(engine, slots, tolerated)
	b.concluded(engine, granted, retryAfter, now)
	return granted
}

// begin counts a slot as reserved, and reports whether it must be asked for.
func (b *Brittle) begin(engine string, now time.Time) (slots int, tolerated float64, needed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine(engine)
	if e == nil || now.Sub(e.since) < reserveAfter {
		return 0, 0, false
	}
	e.unsent = e.reserved(now) + 1
	e.reservedAt = now
	_, slots = b.Engine(engine)
	return slots, e.tolerated, true
}

// concluded records the answer to a reservation.
func (b *Brittle) concluded(engine string, granted bool, retryAfter time.Duration, now time.Time) {
	outcome := outcomeGranted
	switch {
	case granted:
	case retryAfter > 0:
		outcome = outcomePaused
	default:
		outcome = outcomeFull
	}
	b.reservations.WithLabelValues(outcome).Inc()
	if granted {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engines[engine]
	if e == nil {
		return
	}
	e.unsent = max(e.unsent-1, 0)
	e.passedUntil = now.Add(max(retryAfter, fullFor))
	e.freeAt = now.Add(retryAfter)
}

// reserved returns the number of reserved slots for which no request was sent yet.
func (e *brittleEngine) reserved(now time.Time) int {
	if now.Sub(e.reservedAt) > unsentTTL {
		return 0
	}
	return e.unsent
}

// Sent records that a request is in progress at the engine, instead of a reserved slot.
func (b *Brittle) Sent(engine string) {
	if b.known.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.engines[engine]; e != nil {
		e.unsent = max(e.unsent-1, 0)
	}
}

// Unsent returns the number of slots of an engine that are reserved, or being asked for, and have
// no request in progress yet.
func (b *Brittle) Unsent(engine string, now time.Time) int {
	if b.known.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engines[engine]
	if e == nil {
		return 0
	}
	return e.reserved(now)
}

// Any reports whether any engine or service is brittle.
func (b *Brittle) Any() bool { return b.known.Load() > 0 }

// Reserves reports whether requests to an engine need a slot.
func (b *Brittle) Reserves(engine string) bool {
	if b.known.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.engine(engine) != nil
}

// FreeAt returns when a slot of an engine may be granted. It returns now if that depends on the
// requests in progress, and for an engine that is not brittle.
func (b *Brittle) FreeAt(engine string, now time.Time) time.Time {
	if b.known.Load() == 0 {
		return now
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engines[engine]
	if e == nil || e.freeAt.Before(now) {
		return now
	}
	return e.freeAt
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
