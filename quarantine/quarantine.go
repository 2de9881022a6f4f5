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
	// verdictPollInterval is the interval at which a request that waits for its verdict checks
	// for it.
	verdictPollInterval = 10 * time.Millisecond
	// writeStagger is the delay between the attempts of daemons of consecutive rank to write a
	// record, and the least time between two attempts of one daemon.
	writeStagger = time.Second
	// writeTimeout bounds a write in the background, retryTimeout one that a request waits for.
	writeTimeout = time.Second
	retryTimeout = 300 * time.Millisecond
	// failureCountDelay is the delay after a crash before its interrupted answers may count as
	// failures of the engine's version. By then the request that caused the crash is usually
	// known.
	failureCountDelay = 2 * time.Second
	// causeWaitTimeout bounds the wait for the cause of an interrupted answer.
	causeWaitTimeout = 100 * time.Millisecond
)

// ErrQuarantined is the cancellation cause of sends whose request is put into quarantine.
var ErrQuarantined = errors.New("the request crashes engines")

// Store holds the quarantine records.
type Store interface {
	// Create, Update and Delete fail with objectstore.ConflictError if another daemon wrote the
	// record first, and with objectstore.ErrNotFound if there is no record.
	Create(ctx context.Context, key string, value []byte) (objectstore.Object, error)
	Update(ctx context.Context, key string, value []byte, revision uint64) (objectstore.Object, error)
	Delete(ctx context.Context, key string, revision uint64) error
}

// Options configures a Quarantine. All fields except Starts are required.
type Options struct {
	// Self is this daemon's name.
	Self string
	// Dial opens and closes a connection; see DetectorOptions.
	Dial func(ctx context.Context, address string) error
	// Publish floods a report to the other daemons.
	Publish func(*bronzeturnv1.CrashReport)
	Store   Store
	// Rank returns this daemon's rank, from 0, in the order in which daemons write the record
	// of a request.
	Rank func(h Hash) int
	// Serving returns the versions of a service that accept work.
	Serving func(service string) []string
	// Starts tracks the starts of engines. It is nil where engines report their start time.
	Starts     *StartTracker
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Quarantine identifies the requests that crash engines and decides which requests may be sent.
// It is safe for concurrent use.
type Quarantine struct {
	Options
	detector *Detector
	evidence *Evidence
	sends    *sends
	metrics  *metrics
	// wake signals Run, wakeWrites signals RunWrites.
	wake, wakeWrites chan struct{}
	// held is the set that Held reads. It is replaced as a whole.
	held atomic.Pointer[map[Hash]Record]

	mu sync.Mutex
	// verdicts are the requests that the evidence shows to crash engines, records those in the
	// store.
	verdicts map[Hash]*activeVerdict
	records  map[Hash]Record
	// released are requests with a record that have proved harmless.
	released map[Hash]bool
	// era is the era of the store's last list, restoredAt when it began.
	era        uint64
	restoredAt time.Time
	// lastWriteAttempt is when this daemon last tried to write a record.
	lastWriteAttempt map[Hash]time.Time
	// pendingReport collects what has not been published to the other daemons yet.
	pendingReport bronzeturnv1.CrashReport
}

// activeVerdict is a verdict and the time since which it stands.
type activeVerdict struct {
	Verdict
	since time.Time
}

type metrics struct {
	ended, refused, retried prometheus.Counter
}

// New returns a Quarantine without records.
func New(o Options) *Quarantine {
	f := promauto.With(o.Registerer)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	q := &Quarantine{
		Options: o, evidence: NewEvidence(), sends: newSends(), wake: make(chan struct{}, 1), wakeWrites: make(chan struct{}, 1),
		verdicts: make(map[Hash]*activeVerdict), records: make(map[Hash]Record), released: make(map[Hash]bool), lastWriteAttempt: make(map[Hash]time.Time),
		metrics: &metrics{
			ended:   counter("bronzeturn_quarantine_engines_ended_total", "Engines that crashed while they processed requests of this daemon."),
			refused: counter("bronzeturn_quarantine_refused_total", "Requests refused because they crash engines."),
			retried: counter("bronzeturn_quarantine_retried_total", "Quarantined requests that were sent to an engine again."),
		},
	}
	gauge := func(name, help string, value func() float64) {
		f.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	gauge("bronzeturn_quarantine_suspects", "Requests that were in progress when an engine crashed and have not completed since.", func() float64 { return float64(q.evidence.Suspects()) })
	gauge("bronzeturn_quarantine_held", "Requests that are kept away from engines.", func() float64 { return float64(len(*q.held.Load())) })
	q.held.Store(&map[Hash]Record{})
	q.detector = NewDetector(DetectorOptions{Dial: o.Dial, OnCrash: q.engineCrashed, Log: o.Log})
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
// isRetry is set if the request is held and this send uses up one of the retries.
func (q *Quarantine) Admit(ctx context.Context, c Content) (ok, isRetry bool) {
	q.AwaitVerdict(ctx, c)
	r, held := q.record(c)
	if !held {
		return true, false
	}
	isRetry = q.Retry(ctx, r.Hash, time.Now())
	return isRetry, isRetry
}

// Suspicion returns what speaks against a request that is not held, the zero value if nothing does.
func (q *Quarantine) Suspicion(c Content) Suspicion { return q.evidence.Suspicion(c) }

// Held reports whether a request must not be sent to an engine.
func (q *Quarantine) Held(c Content) bool {
	_, held := q.record(c)
	return held
}

// record returns the record that a request is held by.
func (q *Quarantine) record(c Content) (Record, bool) {
	held := *q.held.Load()
	if len(held) == 0 {
		return Record{}, false
	}
	for key := range c.keys() {
		if r, ok := held[key]; ok && r.covers(c) {
			return r, true
		}
	}
	return Record{}, false
}

// AwaitVerdict waits until it is decided whether a request that was in progress at enough
// crashes is held, or until ctx ends. If it were sent meanwhile, it might crash another engine.
func (q *Quarantine) AwaitVerdict(ctx context.Context, c Content) {
	// The verdict follows with the next evaluation of the evidence.
	left := time.Until(q.evidence.verdictTime(c).Add(evaluateInterval))
	for ; left > 0 && !q.Held(c); left -= verdictPollInterval {
		if backoff.Sleep(ctx, min(left, verdictPollInterval)) != nil {
			return
		}
	}
}

// Refused counts a refused request and returns the record that it is held by.
func (q *Quarantine) Refused(c Content) Record {
	q.metrics.refused.Inc()
	r, _ := q.record(c) // It may have been released meanwhile.
	return r
}

// Sending registers a send. The returned context is cancelled if the request is put into
// quarantine before the engine begins to answer.
func (q *Quarantine) Sending(ctx context.Context, c Content) (context.Context, *Send) {
	return q.sends.begin(ctx, c)
}

// AnswerInterrupted records that an answer was interrupted. It calls countFailure once it is
// known that no quarantined request explains the interruption.
func (q *Quarantine) AnswerInterrupted(e inventory.Engine, c Content, now time.Time, countFailure func()) {
	q.detector.AnswerInterrupted(e, c, now, countFailure)
}

// AnswerCancelled records that this daemon ended the run of a request itself, for example to ask a
// larger model.
func (q *Quarantine) AnswerCancelled(e inventory.Engine, c Content, now time.Time) {
	q.detector.AnswerCancelled(e, c, now)
}

// Wait waits for a short time until it is known whether an engine with an interrupted answer
// has crashed.
func (q *Quarantine) Wait(ctx context.Context, engine string) {
	ctx, cancel := context.WithTimeout(ctx, causeWaitTimeout)
	defer cancel()
	q.detector.Wait(ctx, engine)
}

// ConnectionRefused records that an engine's host refused a connection.
func (q *Quarantine) ConnectionRefused(engine string, now time.Time) { q.detector.Refused(engine, now) }

// Replaced records that another start of an engine answers or registers at its address.
func (q *Quarantine) Replaced(engine string, now time.Time) { q.detector.Replaced(engine, now) }

// minCrashesToAnnounce is the number of crashes from which on the completion of a request is
// announced to other daemons. Most requests interrupted by one crash complete elsewhere; for
// these, this daemon answers only if they are reported at another crash.
const minCrashesToAnnounce = 2

// Completed records that a request completed.
func (q *Quarantine) Completed(c Content, now time.Time) {
	held := *q.held.Load()
	for key := range c.keys() {
		crashes := q.evidence.Completed(key, now)
		if _, isHeld := held[key]; isHeld || crashes >= minCrashesToAnnounce {
			q.announceHarmless(key)
			q.release(key, "it completed")
		}
	}
}

// engineCrashed handles an engine crash that this daemon detected or that a peer reported.
func (q *Quarantine) engineCrashed(crash Crash) {
	now := time.Now()
	if q.Starts != nil {
		q.Starts.RecordCrash(crash.Engine, now)
	}
	q.metrics.ended.Inc()
	// Most of the runs that this daemon had ended itself have completed elsewhere.
	crash.Requests = slices.DeleteFunc(crash.Requests, func(c Content) bool { return q.evidence.RecentlyCompleted(c.Request, now) })
	q.announceHarmless(q.evidence.Add(crash, now)...)
	q.mu.Lock()
	q.pendingReport.Engines = append(q.pendingReport.Engines, encodeCrash(crash))
	q.mu.Unlock()
	notify(q.wake)
	time.AfterFunc(failureCountDelay, func() {
		if q.evidence.Explains(crash.Engine.Key(), q.Held) {
			return
		}
		for _, countFailure := range crash.CountFailures {
			countFailure()
		}
	})
}

// Entries returns the quarantined requests, ordered by the times of their first crashes.
func (q *Quarantine) Entries() []Record {
	return slices.SortedFunc(maps.Values(*q.held.Load()), func(a, b Record) int { return a.First.Compare(b.First) })
}

// Clear discards all evidence against a request, here and at the other daemons, on behalf of an
// operator. It reports false if the request is not in quarantine.
func (q *Quarantine) Clear(h Hash) bool {
	if _, held := (*q.held.Load())[h]; !held {
		return false
	}
	q.mu.Lock()
	q.pendingReport.Cleared = append(q.pendingReport.Cleared, h[:])
	q.mu.Unlock()
	q.clear(h, "cleared by an operator")
	notify(q.wake)
	return true
}

// Registered records the registration of an engine, which shows that earlier starts at its
// address have ended.
func (q *Quarantine) Registered(e inventory.Engine, now time.Time) { q.detector.Registered(e, now) }
