package ledger

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// ErrQueueFull reports that too many records are waiting for a shard.
var ErrQueueFull = errors.New("ledger shard queue is full")

// ErrStoreFailing reports that several consecutive calls to the object store
// failed. The record may still be written later.
var ErrStoreFailing = errors.New("object store is failing")

// ErrStopped reports that the ledger is stopping.
var ErrStopped = errors.New("ledger is stopped")

// pending is a record that waits for its verdict. A nil record requests that
// the log be read to its end.
type pending struct {
	ctx    context.Context
	record *bronzeturnv1.LedgerRecord
	done   chan result

	// Guarded by the shard's mu. attempted is set once the record has been part
	// of a write; cancelled forbids any further write of it.
	attempted bool
	cancelled bool
}

// NotWrittenError reports that none of the records has been or will be sent to
// the store.
type NotWrittenError struct {
	Cause error
}

// Error implements error.
func (e *NotWrittenError) Error() string { return "not written: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotWrittenError) Unwrap() error { return e.Cause }

// result is the outcome of a pending record.
type result struct {
	verdict *bronzeturnv1.LedgerVerdict
	err     error
}

// submit queues records and waits for their verdicts. If ctx ends first, the
// records may still be written, unless the error is a NotWrittenError.
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
				return nil, s.cancelPending(waiting, r.err)
			}
			verdicts[i] = r.verdict
		case <-ctx.Done():
			return nil, s.cancelPending(waiting, ctx.Err())
		}
	}
	return verdicts, nil
}

// cancelPending excludes the records from further writes and returns the cause,
// as a NotWrittenError if none of them has been part of a write.
func (s *shard) cancelPending(waiting []*pending, cause error) error {
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

// markAttempted drops cancelled records from the batch and marks the others as
// attempted.
func (s *shard) markAttempted(batch []*pending) []*pending {
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

func (s *shard) hasQueued() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0
}

// stop answers all waiting records with ErrStopped and refuses new ones.
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

func (s *shard) refreshRequested() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.queue {
		if p.record == nil {
			return true
		}
	}
	return false
}

// dequeue removes up to one batch of records from the queue. It drops records
// whose caller no longer waits.
func (s *shard) dequeue() []*pending {
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

func (s *shard) requeue(waiting []*pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(append([]*pending(nil), waiting...), s.queue...)
}
