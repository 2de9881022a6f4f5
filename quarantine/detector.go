package quarantine

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/inventory"
)

const (
	// crashDetectionWindow is the time after an interrupted answer within which its engine may
	// still be found to have crashed then. It is about the time until the registration of the
	// engine's next start is known.
	crashDetectionWindow = 5 * time.Second
	// cancelledWindow is the time after a daemon ended a run itself within which a crash of its
	// engine may still be due to it.
	cancelledWindow = time.Second
	// engineStateTTL is how long the state of an engine is kept, for answers that are
	// interrupted later than others.
	engineStateTTL = time.Minute
	// secondDialDelay is the delay before a second connection attempt: a dying process may
	// accept connections for some milliseconds after it has closed the first ones.
	secondDialDelay = 150 * time.Millisecond
	// minProbeInterval is the least time from the end of a probe of an engine to the next one.
	// Some faulty engines interrupt many answers without crashing.
	minProbeInterval = 500 * time.Millisecond
	// dialTimeout bounds one connection attempt. A time-out is not evidence of a crash.
	dialTimeout = 350 * time.Millisecond
	// batchDelay is the time for which answers interrupted by one crash are collected into one
	// report.
	batchDelay = 5 * time.Millisecond
	// maxEngineStates bounds the number of engines whose state is kept.
	maxEngineStates = 4096
)

// Cause is how a crash was detected.
type Cause string

// The causes.
const (
	// CauseRefused means that the engine's host refused a new connection.
	CauseRefused Cause = "connection_refused"
	// CauseReplaced means that another start answers or registers at the engine's address.
	CauseReplaced Cause = "replaced"
	// CauseReported means that another daemon reported the crash.
	CauseReported Cause = "told"
)

// Crash is an engine crash, with the requests of this daemon that it interrupted. Crashes
// include all unplanned ends of engine processes, such as by a loss of power.
type Crash struct {
	Engine   inventory.Engine
	Requests []Content
	At       time.Time
	Cause    Cause
	// CountFailures count the interrupted answers as failures of the engine's version.
	CountFailures []func()
}

// DetectorOptions configures a Detector. All fields are required.
type DetectorOptions struct {
	// Dial opens a connection to an address and closes it. It returns an error that matches
	// syscall.ECONNREFUSED if no process listens there.
	Dial func(ctx context.Context, address string) error
	// OnCrash is called for each crash, and again when further requests are found to have been
	// interrupted by it.
	OnCrash func(Crash)
	Log     zerolog.Logger
}

// Detector distinguishes engine crashes from broken connections, as both interrupt answers. It
// is safe for concurrent use.
type Detector struct {
	DetectorOptions

	mu     sync.Mutex
	states map[string]*engineState
}

// engineState is the state of an engine with interrupted answers or cancelled runs.
type engineState struct {
	engine inventory.Engine
	// requests are the interrupted requests that have not been reported yet, with the times of
	// their interruption.
	requests map[Hash]interruption
	// cancelled are the requests whose runs this daemon has ended within cancelledWindow.
	cancelled map[Hash]interruption
	// first and last are the times of the first and the last interruption, used that of the last
	// change.
	first, last, used time.Time
	probing           bool
	// lastProbe is when the last probe ended.
	lastProbe time.Time
	// countFailures count the interrupted answers as failures of the engine's version. They are
	// called or passed on once the cause of the interruption is known.
	countFailures []func()
	// decided is closed when it is known whether the engine crashed; isDecided is set then.
	decided   chan struct{}
	isDecided bool
	// cause is empty until the engine is known to have crashed.
	cause Cause
	// reportScheduled is set while a report is scheduled.
	reportScheduled bool
}

// interruption is the interruption of the answer to a request.
type interruption struct {
	content Content
	at      time.Time
}

// NewDetector returns a Detector.
func NewDetector(o DetectorOptions) *Detector {
	return &Detector{DetectorOptions: o, states: make(map[string]*engineState)}
}

// AnswerInterrupted records that an answer was interrupted. It calls countFailure if the engine
// has not crashed, or else passes it on with the crash.
func (d *Detector) AnswerInterrupted(e inventory.Engine, c Content, now time.Time, countFailure func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stateOf(e, now)
	s.requests[c.Request] = interruption{c, now}
	s.interrupted(now)
	s.countFailures = append(s.countFailures, countFailure)
	s.reopen()
	if s.cause != "" {
		d.scheduleReport(s)
		return
	}
	if !s.probing {
		s.probing = true
		time.AfterFunc(max(minProbeInterval-now.Sub(s.lastProbe), 0), func() { d.probe(s) })
	}
}

// AnswerCancelled records that this daemon ended the run of a request itself. The engine may
// already have begun with what makes it crash.
func (d *Detector) AnswerCancelled(e inventory.Engine, c Content, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stateOf(e, now)
	maps.DeleteFunc(s.cancelled, func(_ Hash, one interruption) bool { return now.Sub(one.at) > cancelledWindow })
	s.cancelled[c.Request] = interruption{c, now}
}

// Refused records that a new connection was refused. That alone does not show a crash, as the
// engine may have been shut down.
func (d *Detector) Refused(engine string, now time.Time) { d.recordCrash(engine, CauseRefused, now) }

// Replaced records that another start answers or registers at the engine's address.
func (d *Detector) Replaced(engine string, now time.Time) { d.recordCrash(engine, CauseReplaced, now) }

// Registered records the registration of an engine: other starts at its address with recent
// interrupted answers have ended.
func (d *Detector) Registered(e inventory.Engine, now time.Time) {
	if e.Address == "" {
		return
	}
	key := e.Key()
	d.mu.Lock()
	var replaced []string
	for known, s := range d.states {
		if s.engine.Address == e.Address && known != key {
			replaced = append(replaced, known)
		}
	}
	d.mu.Unlock()
	for _, known := range replaced {
		d.Replaced(known, now)
	}
}

// PeerReported records that another daemon detected the crash of an engine.
func (d *Detector) PeerReported(e inventory.Engine, now time.Time) {
	d.mu.Lock()
	d.stateOf(e, now).interrupted(now)
	d.mu.Unlock()
	d.recordCrash(e.Key(), CauseReported, now)
}

// recordCrash records the crash of an engine that has recently interrupted answers, or at which
// runs were cancelled just before.
func (d *Detector) recordCrash(engine string, cause Cause, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.states[engine]
	if s == nil || s.cause != "" {
		return
	}
	maps.DeleteFunc(s.requests, func(_ Hash, one interruption) bool { return now.Sub(one.at) > crashDetectionWindow })
	crashed := now // At the latest.
	for _, one := range s.requests {
		if one.at.Before(crashed) {
			crashed = one.at
		}
	}
	maps.DeleteFunc(s.cancelled, func(_ Hash, one interruption) bool { return crashed.Sub(one.at) > cancelledWindow })
	if now.Sub(s.last) > crashDetectionWindow && len(s.cancelled) == 0 {
		return
	}
	s.cause = cause
	maps.Copy(s.requests, s.cancelled)
	clear(s.cancelled)
	d.scheduleReport(s)
}

// interrupted records the time of an interruption.
func (s *engineState) interrupted(now time.Time) {
	if s.last.IsZero() {
		s.first = now
	}
	s.last = now
}

// stateOf returns the state of an engine, which it creates if there is none. The caller holds
// mu.
func (d *Detector) stateOf(e inventory.Engine, now time.Time) *engineState {
	s := d.states[e.Key()]
	if s == nil {
		d.evict(now)
		s = &engineState{
			engine: e, requests: make(map[Hash]interruption), cancelled: make(map[Hash]interruption), first: now,
			decided: make(chan struct{}),
		}
		d.states[e.Key()] = s
	}
	s.used = now
	return s
}

// evict drops expired states, and arbitrary ones if there are too many. The caller holds mu.
func (d *Detector) evict(now time.Time) {
	maps.DeleteFunc(d.states, func(_ string, s *engineState) bool { return now.Sub(s.used) > engineStateTTL })
	for key := range d.states {
		if len(d.states) < maxEngineStates {
			return
		}
		delete(d.states, key)
	}
}

// probe checks whether an engine with an interrupted answer still accepts connections.
func (d *Detector) probe(s *engineState) {
	var err error
	for _, pause := range []time.Duration{0, secondDialDelay} {
		time.Sleep(pause)
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		err = d.Dial(ctx, s.engine.Address)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.Refused(s.engine.Key(), time.Now())
			return
		}
		d.mu.Lock()
		s.decide() // Requests do not wait for the second attempt.
		d.mu.Unlock()
		if err != nil {
			break // A second attempt would probably time out as well.
		}
	}
	d.reportAlive(s, err)
}

// reportAlive handles a probe that found no crash: it counts the interrupted answers as
// failures of the engine's version.
func (d *Detector) reportAlive(s *engineState, dialled error) {
	d.mu.Lock()
	s.probing, s.lastProbe = false, time.Now()
	if s.cause != "" {
		d.mu.Unlock()
		return
	}
	d.Log.Info().Str("engine", s.engine.Key()).Int("requests", len(s.requests)).AnErr("connection", dialled).Msg("engine cut answers and did not end")
	countFailures := s.countFailures
	s.countFailures = nil
	d.mu.Unlock()
	for _, countFailure := range countFailures {
		countFailure()
	}
}

// Wait waits until it is known whether an engine with an interrupted answer has crashed, or
// until ctx ends.
func (d *Detector) Wait(ctx context.Context, engine string) {
	d.mu.Lock()
	s := d.states[engine]
	if s == nil {
		d.mu.Unlock()
		return
	}
	decided := s.decided
	d.mu.Unlock()
	select {
	case <-decided:
	case <-ctx.Done():
	}
}

// scheduleReport schedules the report of a crash after the time for collecting the answers that
// it interrupted. The caller holds mu.
func (d *Detector) scheduleReport(s *engineState) {
	if s.reportScheduled || len(s.requests) == 0 {
		return
	}
	s.reportScheduled = true
	time.AfterFunc(batchDelay, func() { d.report(s) })
}

// report calls OnCrash with the interrupted requests.
func (d *Detector) report(s *engineState) {
	d.mu.Lock()
	var requests []Content
	for _, h := range slices.SortedFunc(maps.Keys(s.requests), func(a, b Hash) int { return bytes.Compare(a[:], b[:]) }) {
		requests = append(requests, s.requests[h].content)
	}
	clear(s.requests)
	s.reportScheduled = false
	crash := Crash{Engine: s.engine, Requests: requests, At: s.first, Cause: s.cause, CountFailures: s.countFailures}
	s.countFailures = nil
	d.mu.Unlock()
	d.Log.Warn().Str("engine", crash.Engine.Key()).Str("address", crash.Engine.Address).Str("version", crash.Engine.Version).
		Str("cause", string(crash.Cause)).Dur("after_ms", time.Since(crash.At)).Strs("hashes", requestHashes(requests)).
		Msg("engine ended")
	d.OnCrash(crash)
	d.mu.Lock()
	defer d.mu.Unlock()
	s.decide()
}

// requestHashes returns the hashes of requests, as in logs.
func requestHashes(requests []Content) []string {
	texts := make([]string, len(requests))
	for i, c := range requests {
		texts[i] = c.Request.String()
	}
	return texts
}

// decide wakes waiting callers. The caller holds the detector's mutex.
func (s *engineState) decide() {
	if !s.isDecided {
		s.isDecided = true
		close(s.decided)
	}
}

// reopen makes later callers wait for a new decision. The caller holds the detector's mutex.
func (s *engineState) reopen() {
	if s.isDecided {
		s.isDecided = false
		s.decided = make(chan struct{})
	}
}
