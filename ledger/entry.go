package ledger

import (
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// entry returns the claim in wire format.
func (c claim) entry(fp fingerprint) *bronzeturnv1.LedgerEntry {
	body := &bronzeturnv1.LedgerClaimEntry{
		State:          c.state,
		DeadlineMicros: c.deadline,
		Outcome:        c.outcome,
	}
	if c.holder != "" {
		body.Claim = &bronzeturnv1.LedgerClaim{
			BodySha256: c.body[:],
			RequestId:  c.requestID,
			Holder:     c.holder,
		}
	}
	return &bronzeturnv1.LedgerEntry{
		Fingerprint:   fp[:],
		Nonce:         c.nonce[:],
		ExpiresMicros: c.expires,
		Sequence:      c.sequence,
		Body:          &bronzeturnv1.LedgerEntry_Claim{Claim: body},
	}
}

// entry returns the pin in wire format.
func (p pin) entry(fp fingerprint) *bronzeturnv1.LedgerEntry {
	return &bronzeturnv1.LedgerEntry{
		Fingerprint:   fp[:],
		Nonce:         p.nonce[:],
		ExpiresMicros: p.expires,
		Sequence:      p.sequence,
		Body: &bronzeturnv1.LedgerEntry_Pin{Pin: &bronzeturnv1.LedgerPinEntry{
			Version:       p.version,
			CreatedMicros: p.created,
			TouchedMicros: p.touched,
		}},
	}
}

// billEntry returns the entry of a billed request in wire format.
func billEntry(fp fingerprint, expires uint32) *bronzeturnv1.LedgerEntry {
	return &bronzeturnv1.LedgerEntry{
		Fingerprint:   fp[:],
		ExpiresMicros: int64(expires) * 1e6,
		Body:          &bronzeturnv1.LedgerEntry_Bill{Bill: &bronzeturnv1.LedgerBillEntry{}},
	}
}

// lookup returns the unexpired entry, or nil.
func (s *state) lookup(class Class, fp fingerprint) *bronzeturnv1.LedgerEntry {
	switch class {
	case ClassClaim:
		if c, ok := s.claim(fp); ok {
			return c.entry(fp)
		}
	case ClassPin:
		if p, ok := s.pin(fp); ok {
			return p.entry(fp)
		}
	case ClassBill:
		if expires, ok := s.bills[fp]; ok {
			return billEntry(fp, expires)
		}
	}
	return nil
}

// restore adds an entry of a segment to the state.
func (s *state) restore(e *bronzeturnv1.LedgerEntry) {
	fp, ok := toFingerprint(e.Fingerprint)
	if !ok {
		return
	}
	switch body := e.Body.(type) {
	case *bronzeturnv1.LedgerEntry_Claim:
		c := claimOf(e, body.Claim)
		c.holder = s.internHolder(c.holder)
		s.claims[fp] = c
	case *bronzeturnv1.LedgerEntry_Pin:
		s.pins[fp] = pinOf(e, body.Pin)
	case *bronzeturnv1.LedgerEntry_Bill:
		s.bills[fp] = uint32(e.ExpiresMicros / 1e6)
	}
}

func claimOf(e *bronzeturnv1.LedgerEntry, c *bronzeturnv1.LedgerClaimEntry) claim {
	out := claim{
		state:     c.State,
		sequence:  e.Sequence,
		expires:   e.ExpiresMicros,
		deadline:  c.DeadlineMicros,
		requestID: c.GetClaim().GetRequestId(),
		holder:    c.GetClaim().GetHolder(),
		outcome:   c.Outcome,
	}
	copy(out.nonce[:], e.Nonce)
	copy(out.body[:], c.GetClaim().GetBodySha256())
	return out
}

func pinOf(e *bronzeturnv1.LedgerEntry, p *bronzeturnv1.LedgerPinEntry) pin {
	out := pin{
		sequence: e.Sequence,
		created:  p.CreatedMicros,
		touched:  p.TouchedMicros,
		expires:  e.ExpiresMicros,
		version:  p.Version,
	}
	copy(out.nonce[:], e.Nonce)
	return out
}
