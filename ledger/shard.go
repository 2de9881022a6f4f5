package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// Limits of one shard's queue and batches.
const (
	maxQueue        = 20000
	maxBatchRecords = 2000
	maxBatchBytes   = 128 << 10
)

// Backoff after failed store calls: full jitter with a bound that doubles.
const (
	backoffMin = 25 * time.Millisecond
	backoffMax = 2 * time.Second
	// failFastAfter is the number of consecutive failures after which waiting
	// records are answered with an error instead of being kept.
	failFastAfter = 3
)

// shard queues records and writes them in batches. Only its run goroutine calls
// the object store.
type shard struct {
	id              uint32
	log             *shardLog
	owned           func() bool
	writeLimiter    *rate.Limiter
	batchDelay      time.Duration
	billArchive     time.Duration
	idleTimeout     time.Duration
	fallbackLimiter *rate.Limiter
	fallbackRate    func() rate.Limit
	rand            *rand.Rand
	logger          zerolog.Logger
	metrics         *metrics

	wake chan struct{}

	mu      sync.Mutex
	queue   []*pending
	stopped bool
	// New records are refused until refuseUntil, after several failures.
	refuseUntil time.Time

	// The following fields are used only by the run goroutine.
	backoffUntil time.Time
	failures     int
}

// run writes batches until ctx ends.
func (s *shard) run(ctx context.Context) error {
	defer s.stop()
	for {
		if !s.waitForWork(ctx) {
			return nil
		}
		for s.hasQueued() {
			if !s.waitToWrite(ctx) {
				return nil
			}
			s.processBatch(ctx)
		}
	}
}

// ownershipCheckInterval is how often an idle shard checks whether this daemon
// is its preferred writer.
const ownershipCheckInterval = time.Second

// waitForWork waits for a record. Meanwhile it loads the shard if this daemon
// has become its preferred writer, and unloads an idle shard that has another
// preferred writer.
func (s *shard) waitForWork(ctx context.Context) bool {
	ticker := time.NewTicker(ownershipCheckInterval)
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
		} else if time.Since(idleSince) >= s.idleTimeout && s.log.ready() {
			s.log.unload()
		}
	}
}

// preload loads the log, so that the first record does not have to wait for it.
func (s *shard) preload(ctx context.Context) {
	if s.log.loaded || time.Now().Before(s.backoffUntil) {
		return
	}
	if err := s.log.load(ctx); err != nil {
		s.recordFailure(err)
	}
}

// waitToWrite lets records collect for a batch: for at least the batch delay,
// and long enough to keep the fleet within its write rate. The rate does not
// delay a shard with little load. A daemon that is not the preferred writer
// also waits for its fallback rate.
func (s *shard) waitToWrite(ctx context.Context) bool {
	until := time.Now().Add(max(s.batchDelay, s.writeLimiter.Reserve().Delay()))
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
	s.fallbackLimiter.SetLimit(s.fallbackRate())
	return s.fallbackLimiter.Wait(ctx) == nil
}

// processBatch updates the log, decides the waiting records and writes one
// batch of those that may be written.
func (s *shard) processBatch(ctx context.Context) {
	if err := s.prepareLog(ctx); err != nil {
		s.recordFailure(err)
		return
	}
	batch := s.markAttempted(s.decide(s.dequeue()))
	if len(batch) == 0 {
		s.recordSuccess()
		return
	}
	records := make([]*bronzeturnv1.LedgerRecord, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	err := s.log.write(ctx, records)
	s.metrics.writes.Inc()
	if err != nil {
		s.requeue(batch)
		s.reconcile(ctx, err)
		return
	}
	s.recordSuccess()
	s.metrics.records.Add(float64(len(records)))
	sequence := s.log.state.sequence
	for _, p := range batch {
		p.done <- result{verdict: &bronzeturnv1.LedgerVerdict{Mine: true, Sequence: sequence}}
	}
}

// reconcile reads from the log whether a failed write took effect. The batch's
// records are back in the queue and are decided again against what it finds.
func (s *shard) reconcile(ctx context.Context, cause error) {
	if objectstore.IsConflict(cause) {
		s.metrics.conflicts.Inc()
	}
	if err := s.log.catchUp(ctx); err != nil {
		s.recordFailure(err)
		return
	}
	if !objectstore.IsConflict(cause) {
		s.recordFailure(cause)
	}
}

// prepareLog loads the log if necessary, reads it to its end if a refresh was
// requested, and compacts it when due.
func (s *shard) prepareLog(ctx context.Context) error {
	if !s.log.loaded {
		if err := s.log.load(ctx); err != nil {
			return err
		}
	} else if s.refreshRequested() {
		if err := s.log.catchUp(ctx); err != nil {
			return err
		}
	}
	if !s.log.compactionDue() {
		return nil
	}
	if err := s.log.maintain(ctx, s.billArchive); err != nil {
		s.logger.Warn().Err(err).Uint32("shard", s.id).Msg("compaction failed")
		if s.log.full() || !s.log.loaded {
			return err
		}
	}
	return nil
}

// decide answers the records that the log already settles, returns a second
// record of the same key to the queue for the next batch, and returns the
// records to write.
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
	s.requeue(later)
	return batch
}

// recordFailure starts a backoff. After failFastAfter consecutive failures it
// answers waiting records with an error, so that their callers can decide what
// to do.
func (s *shard) recordFailure(err error) {
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
	for _, p := range s.dequeue() {
		p.done <- result{err: errors.Join(ErrStoreFailing, err)}
	}
}

func (s *shard) recordSuccess() {
	if s.failures >= failFastAfter {
		s.logger.Info().Uint32("shard", s.id).Msg("store answers again")
	}
	s.failures = 0
	s.backoffUntil = time.Time{}
}
