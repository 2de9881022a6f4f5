package ledger

import (
	"context"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Bill is the charge for one request.
type Bill struct {
	Organisation string
	RequestID    string
	// Version is the model version or plain service that answered.
	Version          string
	Kind             string
	PromptTokens     uint64
	CompletionTokens uint64
	// CostMicros is the price in millionths of the currency of the register.
	CostMicros uint64
	// At is the wall-clock time on the serving daemon. It is informational
	// only.
	At time.Time
}

// Durability says where a record is stored when Bill or CompleteClaim returns.
type Durability int

// Levels of durability, strongest first. A DurabilityCopied record is lost only
// if both this daemon and the holder of the copy fail before it is in the
// store; a DurabilityLocal record is lost if this daemon fails.
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

// Bill records the bill of a request exactly once, however often it is called
// with the same organisation and request id. It returns when the bill is in the
// store or, after Config.BillPatience, when a second daemon has a copy. The
// bill is written eventually as long as one daemon that holds it lives. Call
// ReserveBuffer before dispatching the request, so that there is room for its
// bill.
func (l *Ledger) Bill(ctx context.Context, b Bill) (Durability, error) {
	fp := fingerprintOf(ClassBill, b.Organisation, b.RequestID)
	nonce := newNonce()
	return l.storeOrCopy(ctx, &bronzeturnv1.LedgerRecord{
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
