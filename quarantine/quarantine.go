package quarantine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/backoff"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

const (
	// settlePoll is the time between two looks of a request that waits for its verdict.
	settlePoll = 10 * time.Millisecond
	// writePause is how long each daemon leaves it to the one before it to write a record.
	writePause = time.Second
	// writeTimeout bounds a write, retryTimeout one that a request waits for.
	writeTimeout = time.Second
	retryTimeout = 300 * time.Millisecond
	// blameWait is how long the broken answers of an engine that ended are not held against
	// its version: by then the request that crashed it is mostly known.
	blameWait = 2 * time.Second
	// waitAtMost bounds the wait for the cause of a broken answer.
	waitAtMost = 100 * time.Millisecond
)

// ErrQuarantined is why a send in progress ends whose request is convicted.
var ErrQuarantined = errors.New("the request crashes engines")

// Store holds the records.
type Store interface {
	// Create, Update and Delete fail with objectstore.ConflictError when another daemon was
	// first, and with objectstore.ErrNotFound when there is no record.
	Create(ctx context.Context, key string, value []byte) (objectstore.Object, error)
	Update(ctx context.Context, key string, value []byte, revision uint64) (objectstore.Object, error)
	Delete(ctx context.Context, key string, revision uint64) error
}

// Options are what a Quarantine needs. All fields except Starts are required.
type Options struct {
	// Self is this daemon's name.
	Self string
	// Dial opens and closes a connection, as DetectorOptions has it.
	Dial func(ctx context.Context, address string) error
	// Publish floods a report to the other daemons.
	Publish func(*bronzeturnv1.CrashReport)
	Store   Store
	// Place is this daemon's place in the order in which daemons write a record, from 0.
	Place func(h Hash) int
	// Serving returns the versions of a service that take work.
	Serving func(service string) []string
	// Starts tracks the starts of engines. It is nil where engines report their start time.
	Starts     *StartTracker
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Quarantine finds the requests that crash engines and says which may be sent. It is safe
// for concurrent use.
type Quarantine struct {
	Options
	detector *Detector
	evidence *Evidence
	sends    *sends
	metrics  *metrics
	// wake tells Run of news, toWrite tells RunWrites.
	wake, toWrite chan struct{}
	// held is what Held goes by, replaced as a whole.
	held atomic.Pointer[map[Hash]Record]

	mu sync.Mutex
	// convicted are the requests convicted by the evidence, records those in the store.
	convicted map[Hash]*conviction
	records   map[Hash]Record
	// released are those with a record that turned out to be harmless.
	released map[Hash]bool
	// tried is when this daemon last tried to write a record.
	tried map[Hash]time.Time
	// report is what other daemons have to be told.
	report bronzeturnv1.CrashReport
}

// conviction is a verdict with what was done about it.
type conviction struct {
	Verdict
	since time.Time
}

// metrics count what happens.
type metrics struct {
	ended, refused, retried prometheus.Counter
}

// New returns a Quarantine without any record.
func New(o Options) *Quarantine {
	f := promauto.With(o.Registerer)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	q := &Quarantine{
		Options: o, evidence: NewEvidence(), sends: newSends(), wake: make(chan struct{}, 1), toWrite: make(chan struct{}, 1),
		convicted: make(map[Hash]*conviction), records: make(map[Hash]Record), released: make(map[Hash]bool), tried: make(map[Hash]time.Time),
		metrics: &metrics{
			ended:   counter("bronzeturn_quarantine_engines_ended_total", "Engines that ended while they worked on requests of this daemon."),
			refused: counter("bronzeturn_quarantine_refused_total", "Requests refused because they crash engines."),
			retried: counter("bronzeturn_quarantine_retried_total", "Requests in quarantine that were sent to an engine once more."),
		},
	}
	gauge := func(name, help string, value func() float64) {
		f.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	gauge("bronzeturn_quarantine_suspects", "Requests that were at the end of an engine and have not ended well since.", func() float64 { return float64(q.evidence.Suspects()) })
	gauge("bronzeturn_quarantine_held", "Requests that are kept away from engines.", func() float64 { return float64(len(*q.held.Load())) })
	q.held.Store(&map[Hash]Record{})
	q.detector = NewDetector(DetectorOptions{Dial: o.Dial, Ended: q.ended, Log: o.Log})
	return q
}

// CurrentStart returns e with its current start, or e unchanged if engines report their start
// time.
func (q *Quarantine) CurrentStart(e inventory.Engine) inventory.Engine {
	if q.Starts == nil {
		return e
	}
	return q.Starts.Current(e)
}

// Admit reports whether a request may be sent now, after waiting for a pending verdict.
// isRetry is set if the request is held and this send uses up one of its retries.
func (q *Quarantine) Admit(ctx context.Context, h Hash) (ok, isRetry bool) {
	q.Settle(ctx, h)
	if !q.Held(h) {
		return true, false
	}
	isRetry = q.Retry(ctx, h, time.Now())
	return isRetry, isRetry
}

// Ends returns at how many ends of engines a request was that has not ended well since.
func (q *Quarantine) Ends(h Hash) int { return q.evidence.Ends(h) }

// Held tells whether a request must not be sent to an engine.
func (q *Quarantine) Held(h Hash) bool {
	_, held := (*q.held.Load())[h]
	return held
}

// Settle waits until it is known whether a request that was at enough ends of engines is
// held, or ctx ends: sent meanwhile, it might end another one.
func (q *Quarantine) Settle(ctx context.Context, h Hash) {
	// The verdict comes with the next look at the evidence.
	left := time.Until(q.evidence.settlesAt(h).Add(settlePause))
	for ; left > 0 && !q.Held(h); left -= settlePoll {
		if backoff.Sleep(ctx, min(left, settlePoll)) != nil {
			return
		}
	}
}

// Refused counts a request that was refused and returns what is known of it.
func (q *Quarantine) Refused(h Hash) Record {
	q.metrics.refused.Inc()
	return (*q.held.Load())[h]
}

// Sending begins a send. The context that it returns ends when the request is convicted
// before the engine has begun to answer.
func (q *Quarantine) Sending(ctx context.Context, h Hash) (context.Context, *Send) {
	return q.sends.begin(ctx, h)
}

// Broke takes in that an answer broke off. It calls blame once it is known that no request
// in quarantine explains it.
func (q *Quarantine) Broke(e inventory.Engine, h Hash, now time.Time, blame func()) {
	q.detector.Broke(e, h, now, blame)
}

// Wait waits a little until it is known whether an engine whose answer broke off has ended.
func (q *Quarantine) Wait(ctx context.Context, engine string) {
	ctx, cancel := context.WithTimeout(ctx, waitAtMost)
	defer cancel()
	q.detector.Wait(ctx, engine)
}

// ConnectionRefused takes in that an engine's host refused a connection.
func (q *Quarantine) ConnectionRefused(engine string, now time.Time) { q.detector.Refused(engine, now) }

// Replaced takes in that another start answers or registers at the engine's address.
func (q *Quarantine) Replaced(engine string, now time.Time) { q.detector.Replaced(engine, now) }

// toldFrom is at how many ends a request was whose good end other daemons are told of. Most
// of those that one end cuts end well elsewhere, and this daemon speaks up for them when
// they are at another one.
const toldFrom = 2

// Completed takes in that a request ended well.
func (q *Quarantine) Completed(h Hash, now time.Time) {
	if q.evidence.Completed(h, now) >= toldFrom || q.Held(h) {
		q.tellHarmless(h)
		q.release(h, "it ended well")
	}
}

// ended takes in the end of an engine that this daemon found or was told of.
func (q *Quarantine) ended(end End) {
	now := time.Now()
	if q.Starts != nil {
		q.Starts.Ended(end.Engine, now)
	}
	q.metrics.ended.Inc()
	q.tellHarmless(q.evidence.Add(end, now)...)
	q.mu.Lock()
	q.report.Engines = append(q.report.Engines, messageOf(end))
	q.mu.Unlock()
	rouse(q.wake)
	time.AfterFunc(blameWait, func() {
		if q.evidence.Explains(end.Engine.Key(), q.Held) {
			return
		}
		for _, blame := range end.Blames {
			blame()
		}
	})
}

// Entries returns what is in quarantine, in the order of the first ends.
func (q *Quarantine) Entries() []Record {
	return slices.SortedFunc(maps.Values(*q.held.Load()), func(a, b Record) int { return a.First.Compare(b.First) })
}

// Clear drops all that is held against a request, here and at the other daemons, as an
// operator asks for. It reports false when the request is not in quarantine.
func (q *Quarantine) Clear(h Hash) bool {
	if !q.Held(h) {
		return false
	}
	q.mu.Lock()
	q.report.Cleared = append(q.report.Cleared, h[:])
	q.mu.Unlock()
	q.forget(h, "cleared by an operator")
	rouse(q.wake)
	return true
}

// Registered records the registration of an engine: earlier starts at its address have
// ended.
func (q *Quarantine) Registered(e inventory.Engine, now time.Time) { q.detector.Registered(e, now) }
