package router

import (
	"context"

	"github.com/bronzeturn/bronzeturn/admission"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/ledger"
	"github.com/bronzeturn/bronzeturn/selection"
)

// grant is the admission of one request: room for its bill and a place within
// its organisation's limits.
type grant struct {
	reservation *ledger.Reservation
	ticket      *admission.Ticket
	used        admission.Used
	released    bool
}

// release gives everything back and settles what was used. Only the first call
// has an effect.
func (g *grant) release() {
	if g.released {
		return
	}
	g.released = true
	g.ticket.Release(g.used)
	g.reservation.Release()
}

// admit reserves room for the bill first, then waits for a place.
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
