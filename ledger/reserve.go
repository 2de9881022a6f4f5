package ledger

import (
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
)

// reservedBytes is the room kept for the records of one request.
const reservedBytes = 1 << 10

// recordsPerRequest is how many records one request leaves: outcome and bill.
const recordsPerRequest = 2

// Reservation is room for the records of one request.
type Reservation struct {
	box  *outbox
	once sync.Once
}

// Release gives the room back. It may be called more than once.
func (r *Reservation) Release() {
	r.once.Do(func() {
		r.box.mu.Lock()
		defer r.box.mu.Unlock()
		r.box.reserved--
	})
}

// Reserve makes room for the outcome and the bill of one request before it is
// dispatched. Release the reservation after Bill and Complete. When the buffer
// is full, the request is refused before it runs.
func (l *Ledger) Reserve() (*Reservation, error) {
	o := l.outbox
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fullWith(recordsPerRequest, reservedBytes) {
		l.metrics.full.Inc()
		return nil, failure.New(failure.CodeLedgerUnavailable, failure.RanNo, "too many bills wait for the store").WithRetryAfter(fullRetryAfter)
	}
	o.reserved++
	return &Reservation{box: o}, nil
}

// Headroom tells whether Reserve would succeed now.
func (l *Ledger) Headroom() bool {
	l.outbox.mu.Lock()
	defer l.outbox.mu.Unlock()
	return !l.outbox.fullWith(recordsPerRequest, reservedBytes)
}

// fullRetryAfter is the advice while the buffer is full.
const fullRetryAfter = 5 * time.Second
