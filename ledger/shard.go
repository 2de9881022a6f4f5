package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// Bounds of one shard's queue and batches.
const (
	maxQueue        = 20000
	maxBatchRecords = 2000
	maxBatchBytes   = 128 << 10
)

// Backoff after failed store calls: full jitter up to a doubling bound.
const (
	backoffMin = 25 * time.Millisecond
	backoffMax = 2 * time.Second
	// failFastAfter is the number of failures in a row after which waiting
	// records are answered instead of being kept waiting.
	failFastAfter = 3
)

// ErrQueueFull reports that a shard has too many records waiting.
var ErrQueueFull = errors.New("ledger shard queue is full")

// ErrStoreFailing reports that the object store has not answered several times
// in a row. The record may or may not be written later.
var ErrStoreFailing = errors.New("object store is failing")

// ErrStopped reports that the ledger is stopping.
var ErrStopped = errors.New("ledger is stopped")

// pending is a record that waits for its verdict. A nil record asks for the
// log to be read to its end.
type pending struct {
	ctx    context.Context
	record *bronzeturnv1.LedgerRecord
	done   chan result

	// Guarded by the shard's lock. attempted tells that the record has been in
	// a write, cancelled that it must not be in one any more.
	attempted bool
	cancelled bool
}

// NotWrittenError reports that none of the records has been sent to the store
// or will be.
type NotWrittenError struct {
	Cause error
}

// Error implements error.
func (e *NotWrittenError) Error() string { return "not written: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotWrittenError) Unwrap() error { return e.Cause }

// result is the fate of a pending record.
type result struct {
	verdict *bronzeturnv1.LedgerVerdict
	err     error
}

// shard collects records and writes them in batches. All calls to the object
// store are made by the goroutine in run.
type shard struct {
	id       uint32
	log      *shardLog
	owned    func() bool
	writes   *rate.Limiter
	delay    time.Duration
	keep     time.Duration
	idle     time.Duration
	fallback *rate.Limiter
	pace     func() rate.Limit
	rand     *rand.Rand
	logger   zerolog.Logger
	metrics  *metrics

	wake chan struct{}

	mu      sync.Mutex
	queue   []*pending
	stopped bool
	// refuseUntil is when the store is tried again after several failures.
	refuseUntil time.Time

	// The rest belongs to run.
	backoffUntil time.Time
	failures     int
}

// submit queues records and waits for their verdicts. When ctx ends first, the
// records may still be written.
func (s *shard) submit(ctx context.Context, records []*bronzeturnv1.LedgerRecord) ([]*bronzeturnv1.LedgerVerdict, error) {
	waiting := make([]*pending, len(records))
	for i, rec := range records {
		waiting[i] = &pending{ctx: ctx, record: rec, done: make(chan result, 1)}
	}
	if err := s.enqueue(waiting); err != nil {
		return nil, &NotWrittenError{Cause: err}
	}
	verdicts := make([]*bronzeturnv1.LedgerVerdict, len(records))
	for i, p := range waiting {
		select {
		case r := <-p.done:
			if r.err != nil {
				return nil, s.giveUp(waiting, r.err)
			}
			verdicts[i] = r.verdict
		case <-ctx.Done():
			return nil, s.giveUp(waiting, ctx.Err())
		}
	}
	return verdicts, nil
}

// giveUp keeps the records out of further writes and tells whether any has
// been in one.
func (s *shard) giveUp(waiting []*pending, cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempted := false
	for _, p := range waiting {
		p.cancelled = true
		attempted = attempted || p.attempted
	}
	if attempted {
		return cause
	}
	return &NotWrittenError{Cause: cause}
}

// attempt marks the records that go into a write, without the cancelled ones.
func (s *shard) attempt(batch []*pending) []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := batch[:0]
	for _, p := range batch {
		if p.cancelled {
			continue
		}
		p.attempted = true
		kept = append(kept, p)
	}
	return kept
}

// refresh reads the log to its end.
func (s *shard) refresh(ctx context.Context) error {
	_, err := s.submit(ctx, []*bronzeturnv1.LedgerRecord{nil})
	return err
}

func (s *shard) enqueue(waiting []*pending) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return ErrStopped
	}
	if len(s.queue)+len(waiting) > maxQueue {
		return ErrQueueFull
	}
	if time.Now().Before(s.refuseUntil) {
		return ErrStoreFailing
	}
	s.queue = append(s.queue, waiting...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

// run writes batches until ctx ends.
func (s *shard) run(ctx context.Context) error {
	defer s.stop()
	for {
		if !s.waitForWork(ctx) {
			return nil
		}
		for s.takeable() {
			if !s.pause(ctx) {
				return nil
			}
			s.round(ctx)
		}
	}
}

// ownershipTick is how often an idle shard looks who its preferred writer is.
const ownershipTick = time.Second

// waitForWork waits for a record. Meanwhile a shard that this daemon has come
// to own is read, and one that it doesn't own gives its memory back.
func (s *shard) waitForWork(ctx context.Context) bool {
	ticker := time.NewTicker(ownershipTick)
	defer ticker.Stop()
	idleSince := time.Now()
	for {
		select {
		case <-s.wake:
			return true
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if s.owned() {
			idleSince = time.Now()
			s.preload(ctx)
		} else if time.Since(idleSince) >= s.idle && s.log.ready() {
			s.log.unload()
		}
	}
}

// preload reads the log, so that the first record needs not wait for it.
func (s *shard) preload(ctx context.Context) {
	if s.log.loaded || time.Now().Before(s.backoffUntil) {
		return
	}
	if err := s.log.load(ctx); err != nil {
		s.failed(err)
	}
}

func (s *shard) takeable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0
}

// stop answers everything that still waits.
func (s *shard) stop() {
	s.mu.Lock()
	s.stopped = true
	waiting := s.queue
	s.queue = nil
	s.mu.Unlock()
	for _, p := range waiting {
		p.done <- result{err: ErrStopped}
	}
}

// pause lets records collect: at least the batch delay, and long enough that
// the fleet's write rate stays within its bound. A shard with little to do does
// not wait for the latter.
func (s *shard) pause(ctx context.Context) bool {
	until := time.Now().Add(max(s.delay, s.writes.Reserve().Delay()))
	if s.backoffUntil.After(until) {
		until = s.backoffUntil
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	if s.owned() {
		return true
	}
	s.fallback.SetLimit(s.pace())
	return s.fallback.Wait(ctx) == nil
}

// round reads what is missing, decides the waiting records and writes one
// batch of those that may be written.
func (s *shard) round(ctx context.Context) {
	if err := s.prepare(ctx); err != nil {
		s.failed(err)
		return
	}
	batch := s.attempt(s.decide(s.take()))
	if len(batch) == 0 {
		s.recovered()
		return
	}
	records := make([]*bronzeturnv1.LedgerRecord, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	err := s.log.write(ctx, records)
	s.metrics.writes.Inc()
	if err != nil {
		s.putBack(batch)
		s.settle(ctx, err)
		return
	}
	s.recovered()
	s.metrics.records.Add(float64(len(records)))
	sequence := s.log.state.sequence
	for _, p := range batch {
		p.done <- result{verdict: &bronzeturnv1.LedgerVerdict{Mine: true, Sequence: sequence}}
	}
}

// settle reads back what a failed write left in the log. The records of the
// batch wait in the queue again and are decided against what is found.
func (s *shard) settle(ctx context.Context, cause error) {
	if objectstore.IsConflict(cause) {
		s.metrics.conflicts.Inc()
	}
	if err := s.log.forward(ctx); err != nil {
		s.failed(err)
		return
	}
	if !objectstore.IsConflict(cause) {
		s.failed(cause)
	}
}

// prepare loads the log if need be, reads it forward if someone asked for
// that, and compacts it when it is due.
func (s *shard) prepare(ctx context.Context) error {
	if !s.log.loaded {
		if err := s.log.load(ctx); err != nil {
			return err
		}
	} else if s.refreshWanted() {
		if err := s.log.forward(ctx); err != nil {
			return err
		}
	}
	if !s.log.compactionDue() {
		return nil
	}
	if err := s.log.maintain(ctx, s.keep); err != nil {
		s.logger.Warn().Err(err).Uint32("shard", s.id).Msg("compaction failed")
		if s.log.full() || !s.log.loaded {
			return err
		}
	}
	return nil
}

func (s *shard) refreshWanted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.queue {
		if p.record == nil {
			return true
		}
	}
	return false
}

// take removes the records of at most one batch from the queue and drops those
// nobody waits for.
func (s *shard) take() []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken []*pending
	size := 0
	for len(s.queue) > 0 && len(taken) < maxBatchRecords && size < maxBatchBytes {
		p := s.queue[0]
		s.queue = s.queue[1:]
		if p.cancelled || p.ctx.Err() != nil {
			continue
		}
		size += proto.Size(p.record)
		taken = append(taken, p)
	}
	return taken
}

func (s *shard) putBack(waiting []*pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(append([]*pending(nil), waiting...), s.queue...)
}

// decide answers the records whose fate stands already, puts a second record
// of the same key back for the next batch, and returns the ones to write.
func (s *shard) decide(taken []*pending) []*pending {
	var batch, later []*pending
	seen := make(map[string]bool, len(taken))
	for _, p := range taken {
		if p.record == nil {
			p.done <- result{}
			continue
		}
		if seen[string(p.record.Fingerprint)] {
			later = append(later, p)
			continue
		}
		d := s.log.decide(p.record)
		if !d.write {
			p.done <- result{verdict: d.verdict}
			continue
		}
		seen[string(p.record.Fingerprint)] = true
		batch = append(batch, p)
	}
	s.putBack(later)
	return batch
}

// failed starts a backoff. After several failures the waiting records are
// answered, so that their callers can decide what to do.
func (s *shard) failed(err error) {
	s.failures++
	s.metrics.failures.Inc()
	bound := min(backoffMin<<min(s.failures, 10), backoffMax)
	s.backoffUntil = time.Now().Add(time.Duration(s.rand.Int64N(int64(bound)) + 1))
	var limited *objectstore.RateLimitError
	if errors.As(err, &limited) {
		s.backoffUntil = s.backoffUntil.Add(limited.RetryAfter)
	}
	if s.failures == failFastAfter {
		s.logger.Warn().Err(err).Uint32("shard", s.id).Msg("store is failing")
	}
	if s.failures < failFastAfter {
		return
	}
	s.mu.Lock()
	s.refuseUntil = s.backoffUntil
	s.mu.Unlock()
	for _, p := range s.take() {
		p.done <- result{err: errors.Join(ErrStoreFailing, err)}
	}
}

func (s *shard) recovered() {
	if s.failures >= failFastAfter {
		s.logger.Info().Uint32("shard", s.id).Msg("store answers again")
	}
	s.failures = 0
	s.backoffUntil = time.Time{}
}
