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
	// settlePause is the time between two looks at the evidence while a conviction waits,
	// writeRest that between two looks at the records while there is something to write.
	settlePause = 50 * time.Millisecond
	writeRest   = 250 * time.Millisecond
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
	// mostReported bounds the hashes of one report.
	mostReported = 200
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

// Options are what a Quarantine needs. All fields are required.
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
	Serving    func(service string) []string
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

// Sending begins a send. The context that it returns ends when the request is convicted;
// done must be called when the send has ended.
func (q *Quarantine) Sending(ctx context.Context, h Hash) (sending context.Context, done func()) {
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

// tellHarmless tells other daemons of requests that ended well.
func (q *Quarantine) tellHarmless(hashes ...Hash) {
	if len(hashes) == 0 {
		return
	}
	q.mu.Lock()
	q.report.Harmless = append(q.report.Harmless, bytesOf(hashes)...)
	q.mu.Unlock()
	rouse(q.wake)
}

// rouse wakes who waits on a channel.
func rouse(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// ended takes in the end of an engine that this daemon found or was told of.
func (q *Quarantine) ended(end End) {
	now := time.Now()
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

// Heard takes in the report of another daemon.
func (q *Quarantine) Heard(m *bronzeturnv1.CrashReport, now time.Time) {
	for _, one := range m.GetEngines() {
		end := endOf(one, now)
		q.tellHarmless(q.evidence.Add(end, now)...)
		q.detector.Told(end.Engine, now)
	}
	for _, h := range hashesOf(m.GetHarmless()) {
		q.evidence.Cleared(h, now)
		q.release(h, "it ended well at another daemon")
	}
	for _, h := range hashesOf(m.GetCleared()) {
		q.forget(h, "cleared by an operator")
	}
	rouse(q.wake)
}

// Run reports and judges until ctx ends. It never waits for the store.
func (q *Quarantine) Run(ctx context.Context) error {
	return repeat(ctx, q.wake, func() time.Duration {
		now := time.Now()
		q.flush()
		q.judge(now)
		if q.evidence.unsettled(now) {
			return settlePause
		}
		return 0
	})
}

// RunWrites brings the store's records in line with the verdicts until ctx ends.
func (q *Quarantine) RunWrites(ctx context.Context) error {
	return repeat(ctx, q.toWrite, func() time.Duration {
		if q.write(ctx, time.Now()) {
			return writeRest
		}
		return 0
	})
}

// repeat calls f after each wake, and again after the time that it returns, zero for at the
// next wake.
func repeat(ctx context.Context, wake <-chan struct{}, f func() time.Duration) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		}
		for pause := f(); pause > 0; pause = f() {
			rest(ctx, wake, pause)
			if ctx.Err() != nil {
				return nil
			}
		}
	}
}

// rest waits for a pause, a wake or the end of ctx.
func rest(ctx context.Context, wake <-chan struct{}, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// flush publishes what other daemons have to be told.
func (q *Quarantine) flush() {
	q.mu.Lock()
	m := &bronzeturnv1.CrashReport{Engines: q.report.Engines, Harmless: q.report.Harmless, Cleared: q.report.Cleared}
	q.report.Reset()
	q.mu.Unlock()
	for _, part := range split(m) {
		q.Publish(part)
	}
}

// split divides a report into parts of a bounded size.
func split(m *bronzeturnv1.CrashReport) []*bronzeturnv1.CrashReport {
	var parts []*bronzeturnv1.CrashReport
	room := 0
	part := func(needed int) *bronzeturnv1.CrashReport {
		if len(parts) == 0 || room < needed {
			parts = append(parts, &bronzeturnv1.CrashReport{})
			room = mostReported
		}
		room -= needed
		return parts[len(parts)-1]
	}
	for _, e := range m.GetEngines() {
		for requests := range slices.Chunk(e.GetRequests(), mostReported) {
			p := part(len(requests))
			p.Engines = append(p.Engines, &bronzeturnv1.EndedEngine{
				Id: e.GetId(), StartedMs: e.GetStartedMs(), Service: e.GetService(), Version: e.GetVersion(),
				Address: e.GetAddress(), Requests: requests,
			})
		}
	}
	for _, h := range m.GetHarmless() {
		p := part(1)
		p.Harmless = append(p.Harmless, h)
	}
	for _, h := range m.GetCleared() {
		p := part(1)
		p.Cleared = append(p.Cleared, h)
	}
	return parts
}

// judge takes in what the evidence says now.
func (q *Quarantine) judge(now time.Time) {
	verdicts := make(map[Hash]Verdict)
	for _, v := range q.evidence.Judge(now) {
		verdicts[v.Hash] = v
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := false
	for h, v := range verdicts {
		known := q.convicted[h]
		if known == nil || known.Tied != v.Tied {
			changed = true
			q.convict(v, now)
			// Sends under way that wait in an engine's queue must not come to run.
			defer q.endSends(v)
			continue
		}
		known.Verdict = v
	}
	for h := range q.convicted {
		if _, still := verdicts[h]; !still && q.evidence.Ends(h) >= Conviction {
			changed = q.releaseLocked(h, "another request explains the ends") || changed
		}
	}
	if changed {
		q.compile()
	}
}

// convict notes a verdict that is new or has changed. The caller holds mu.
func (q *Quarantine) convict(v Verdict, now time.Time) {
	since := now
	if known := q.convicted[v.Hash]; known != nil {
		since = known.since
	}
	q.convicted[v.Hash] = &conviction{Verdict: v, since: since}
	delete(q.released, v.Hash)
	q.Log.Warn().Stringer("hash", v.Hash).Str("service", v.Service).Strs("versions", v.Versions).Strs("engines", v.Engines).
		Bool("tied", v.Tied).Dur("first_age_ms", now.Sub(v.First)).Dur("last_age_ms", now.Sub(v.Last)).
		Msg("request put into quarantine")
}

// endSends ends the sends in progress of a request that is surely to blame. It must be
// called after compile, so that no send can begin unseen.
func (q *Quarantine) endSends(v Verdict) {
	if v.Tied {
		return
	}
	if ended := q.sends.end(v.Hash); ended > 0 {
		q.Log.Info().Stringer("hash", v.Hash).Int("sends", ended).Msg("sends of a request in quarantine ended")
	}
}

// release lets a request go.
func (q *Quarantine) release(h Hash, reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.releaseLocked(h, reason) {
		q.compile()
	}
}

// releaseLocked lets a request go and tells whether it was held. The caller holds mu and
// calls compile after it.
func (q *Quarantine) releaseLocked(h Hash, reason string) bool {
	_, recorded := q.records[h]
	_, known := q.convicted[h]
	if recorded && !q.released[h] {
		q.released[h] = true
	} else if !known {
		return false
	}
	delete(q.convicted, h)
	q.Log.Info().Stringer("hash", h).Str("reason", reason).Msg("request released from quarantine")
	return true
}

// forget drops all that is held against a request.
func (q *Quarantine) forget(h Hash, reason string) {
	q.evidence.Forget(h)
	q.release(h, reason)
}

// compile replaces what Held goes by, and has the records looked at. The caller holds mu.
func (q *Quarantine) compile() {
	rouse(q.toWrite)
	held := make(map[Hash]Record, len(q.records)+len(q.convicted))
	for h, r := range q.records {
		if !q.released[h] {
			held[h] = r
		}
	}
	for h, c := range q.convicted {
		if _, recorded := held[h]; !recorded {
			held[h] = Record{Verdict: c.Verdict}
		}
	}
	q.held.Store(&held)
}

// Listed takes in the records of the store as of a revision, one call at a time.
func (q *Quarantine) Listed(records []Record, revision uint64) {
	next := make(map[Hash]Record, len(records))
	for _, r := range records {
		next[r.Hash] = r
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for h, r := range q.records {
		switch _, still := next[h]; {
		case r.Revision > revision || still && r.Revision > next[h].Revision:
			next[h] = r // This daemon has written it since.
		case !still:
			q.removed(h)
		}
	}
	for h, r := range next {
		if _, known := q.records[h]; !known {
			q.Log.Info().Stringer("hash", h).Str("service", r.Service).Strs("engines", r.Engines).Str("daemon", r.Daemon).
				Int("retries_left", r.RetriesLeft).Uint64("revision", r.Revision).Msg("request is in quarantine by the store")
		}
	}
	q.records = next
	q.compile()
}

// removed takes in that a record is gone from the store. The caller holds mu.
func (q *Quarantine) removed(h Hash) {
	if !q.released[h] {
		q.evidence.Forget(h) // An operator has removed it.
		q.Log.Info().Stringer("hash", h).Str("reason", "its record was removed").Msg("request released from quarantine")
	}
	delete(q.released, h)
	delete(q.convicted, h)
	delete(q.tried, h)
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
