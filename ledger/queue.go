package ledger

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
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
