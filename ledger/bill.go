package ledger

import (
	"context"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Bill is what one request costs its organisation.
type Bill struct {
	Organisation string
	RequestID    string
	// Version is the version, or the plain service, that answered.
	Version          string
	Kind             string
	PromptTokens     uint64
	CompletionTokens uint64
	// CostMicros is the price in millionths of the currency of the register.
	CostMicros uint64
	// At is the wall clock of the serving daemon. Nothing depends on it.
	At time.Time
}

// Durability tells where a record is when Bill or CompleteClaim returns.
type Durability int

// The degrees of durability, best first. A record in DurabilityCopied is lost
// only if this daemon and the holder of the copy both die before it is in the
// store; one in DurabilityLocal if this daemon dies.
const (
	DurabilityStore Durability = iota + 1
	DurabilityCopied
	DurabilityLocal
)

// String implements fmt.Stringer.
func (d Durability) String() string {
	switch d {
	case DurabilityStore:
		return "store"
	case DurabilityCopied:
		return "copied"
	case DurabilityLocal:
		return "local"
	default:
		return "invalid"
	}
}

// Bill records the bill of a request once, however often it is called with the
// same organisation and request id. It returns when the bill is in the store
// or, if that takes longer than Config.BillPatience, copied to a second daemon.
// The bill is written in any case for as long as a holder lives. Call ReserveBuffer
// before dispatch, so that there is room for it.
func (l *Ledger) Bill(ctx context.Context, b Bill) (Durability, error) {
	fp := fingerprintOf(ClassBill, b.Organisation, b.RequestID)
	nonce := newNonce()
	return l.record(ctx, &bronzeturnv1.LedgerRecord{
		Fingerprint: fp[:],
		Nonce:       nonce[:],
		Body: &bronzeturnv1.LedgerRecord_Bill{Bill: &bronzeturnv1.LedgerBill{
			Organisation:     b.Organisation,
			RequestId:        b.RequestID,
			Version:          b.Version,
			Kind:             b.Kind,
			PromptTokens:     b.PromptTokens,
			CompletionTokens: b.CompletionTokens,
			CostMicros:       b.CostMicros,
			AtMicros:         b.At.UnixMicro(),
		}},
	})
}

func billOf(m *bronzeturnv1.LedgerBill) Bill {
	return Bill{
		Organisation:     m.Organisation,
		RequestID:        m.RequestId,
		Version:          m.Version,
		Kind:             m.Kind,
		PromptTokens:     m.PromptTokens,
		CompletionTokens: m.CompletionTokens,
		CostMicros:       m.CostMicros,
		At:               time.UnixMicro(m.AtMicros),
	}
}
