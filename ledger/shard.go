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
