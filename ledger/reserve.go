package ledger

import (
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
)

// reservedBytes is the buffer space reserved for the records of one request.
const reservedBytes = 1 << 10

// recordsPerRequest is the number of records of one request: its outcome and
// its bill.
const recordsPerRequest = 2

// Reservation is buffer space for the records of one request.
type Reservation struct {
	outbox *outbox
	once   sync.Once
}

// Release frees the reserved space. It may be called more than once.
func (r *Reservation) Release() {
	r.once.Do(func() {
		r.outbox.mu.Lock()
		defer r.outbox.mu.Unlock()
		r.outbox.reserved--
	})
}

// ReserveBuffer reserves buffer space for the outcome and the bill of one
// request. Call it before dispatch, and release the reservation after Bill and
// CompleteClaim. If the buffer is full, it returns an error and the request
// must not run.
func (l *Ledger) ReserveBuffer() (*Reservation, error) {
	o := l.outbox
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.exceedsLimits(recordsPerRequest, reservedBytes) {
		l.metrics.full.Inc()
		return nil, failure.New(failure.CodeLedgerUnavailable, failure.RanNo, "too many bills wait for the store").WithRetryAfter(fullRetryAfter)
	}
	o.reserved++
	return &Reservation{outbox: o}, nil
}

// BufferHasRoom reports whether ReserveBuffer would succeed now.
func (l *Ledger) BufferHasRoom() bool {
	l.outbox.mu.Lock()
	defer l.outbox.mu.Unlock()
	return !l.outbox.exceedsLimits(recordsPerRequest, reservedBytes)
}

// fullRetryAfter is the retry delay suggested to callers while the buffer is
// full.
const fullRetryAfter = 5 * time.Second
