package router

import (
	"context"

	"github.com/bronzeturn/bronzeturn/admission"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/ledger"
	"github.com/bronzeturn/bronzeturn/selection"
)

// grant is the admission of one request: reserved space in the ledger for its
// bill, and an admission ticket within the limits of its organisation.
type grant struct {
	reservation *ledger.Reservation
	ticket      *admission.Ticket
	used        admission.ActualUsage
	released    bool
}

// release frees the reservation and the ticket, and charges what was used
// against the limits. Only the first call has an effect.
func (g *grant) release() {
	if g.released {
		return
	}
	g.released = true
	g.ticket.Release(g.used)
	g.reservation.Release()
}

// admit reserves space for the bill first, then waits for an admission ticket.
func (r *Router) admit(ctx context.Context, c *call, d selection.Decision) (*grant, *failure.Error) {
	reservation, err := r.Ledger.ReserveBuffer()
	if err != nil {
		return nil, failure.From(err)
	}
	ticket, err := r.Admission.Acquire(ctx, admission.Request{
		Organisation: c.organisation.GetName(),
		Priority:     c.priority,
		Deadline:     c.deadline,
		Tokens:       c.chat.promptTokens + c.expectedTokens(),
		Group:        d.Version,
		CostMicros:   d.ExpectedCostMicros,
	})
	if err != nil {
		reservation.Release()
		return nil, failure.From(err)
	}
	return &grant{reservation: reservation, ticket: ticket}, nil
}
