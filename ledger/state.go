package ledger

import (
	"bytes"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Retention is how long entries are kept, measured on the shard's own clock,
// which is never ahead of real time.
type Retention struct {
	// Claims is how long claims and their outcomes are kept.
	Claims time.Duration
	// AnswerBodies is how long after the claim the response body is kept. After
	// that, only the status, digest and other metadata remain.
	AnswerBodies time.Duration
	// PinIdle is how long a pin is kept after its conversation's last use, and
	// PinLimit after its start.
	PinIdle  time.Duration
	PinLimit time.Duration
	// Bills is how long a request id is kept to recognise a repeated bill.
	Bills time.Duration
}

// abandonedClaimRetention is how long the nonce of an abandoned claim is
// remembered if the claim's own record is not in the log. A claim record that
// arrives later than that creates an entry under which nobody dispatches, so
// the request is not run and reads as unknown after its deadline.
const abandonedClaimRetention = time.Hour

// A use of a conversation extends its pin only if PinIdle/touchDivisor has
// passed since the last extension.
const touchDivisor = 8

// claim is the entry of a claim in memory.
type claim struct {
	nonce     Nonce
	body      [32]byte
	state     bronzeturnv1.LedgerClaimState
	sequence  uint64
	expires   int64
	deadline  int64
	requestID string
	holder    string
	outcome   *bronzeturnv1.LedgerOutcome
}

// pin is the entry of a conversation's version in memory.
type pin struct {
	nonce    Nonce
	sequence uint64
	created  int64
	touched  int64
	expires  int64
	version  string
}

// state is the content of one shard's log up to a sequence number. It does no
// I/O and reads no clock. Times are in microseconds on the shard's clock, which
// adds up the elapsed times that the writers measured.
type state struct {
	retention Retention
	sequence  uint64
	clock     int64
	claims    map[fingerprint]claim
	pins      map[fingerprint]pin
	// bills holds expiry times in seconds.
	bills map[fingerprint]uint32
	// holders interns daemon names.
	holders map[string]string
	// sweptAt is the shard clock at the last removal of expired entries.
	sweptAt int64
}

// newState returns the state of an empty log.
func newState(r Retention) *state {
	return &state{
		retention: r,
		claims:    make(map[fingerprint]claim),
		pins:      make(map[fingerprint]pin),
		bills:     make(map[fingerprint]uint32),
		holders:   make(map[string]string),
	}
}

// decision says whether a record may be written.
type decision struct {
	// write is set if the record may be written at the next sequence number.
	write bool
	// verdict is the answer if write is false.
	verdict *bronzeturnv1.LedgerVerdict
}

// decide returns whether the record may be written next or, if not, the entry
// that rules it out. The decision holds only if the next batch of the log
// contains it.
func (s *state) decide(rec *bronzeturnv1.LedgerRecord) decision {
	fp := fingerprint(rec.Fingerprint)
	switch body := rec.Body.(type) {
	case *bronzeturnv1.LedgerRecord_Claim:
		return s.decideClaim(fp, rec)
	case *bronzeturnv1.LedgerRecord_Outcome:
		return s.decideOutcome(fp, rec, body.Outcome)
	case *bronzeturnv1.LedgerRecord_Pin:
		return s.decidePin(fp, rec, body.Pin)
	default:
		return s.decideBill(fp)
	}
}

func (s *state) decideClaim(fp fingerprint, rec *bronzeturnv1.LedgerRecord) decision {
	c, ok := s.claim(fp)
	if !ok {
		return decision{write: true}
	}
	released := c.state == bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_RELEASED
	own := bytes.Equal(c.nonce[:], rec.Nonce)
	if released && !own {
		return decision{write: true}
	}
	return alreadyRecorded(own && !released, c.entry(fp), c.sequence)
}

func (s *state) decideOutcome(fp fingerprint, rec *bronzeturnv1.LedgerRecord, out *bronzeturnv1.LedgerOutcome) decision {
	c, ok := s.claim(fp)
	if !ok {
		release := out.State == bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_RELEASED
		return decision{write: release, verdict: &bronzeturnv1.LedgerVerdict{}}
	}
	if !bytes.Equal(c.nonce[:], rec.Nonce) {
		return alreadyRecorded(false, c.entry(fp), c.sequence)
	}
	if c.state == bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_RUNNING {
		return decision{write: true}
	}
	return alreadyRecorded(c.state == out.State, c.entry(fp), c.sequence)
}

func (s *state) decidePin(fp fingerprint, rec *bronzeturnv1.LedgerRecord, want *bronzeturnv1.LedgerPin) decision {
	p, ok := s.pin(fp)
	if !ok {
		return decision{write: !want.Touch, verdict: &bronzeturnv1.LedgerVerdict{}}
	}
	if want.Touch && p.version == want.Version && s.clock-p.touched > s.touchInterval() {
		return decision{write: true}
	}
	return alreadyRecorded(bytes.Equal(p.nonce[:], rec.Nonce), p.entry(fp), p.sequence)
}

func (s *state) decideBill(fp fingerprint) decision {
	if _, ok := s.bills[fp]; !ok {
		return decision{write: true}
	}
	return alreadyRecorded(true, nil, 0)
}

func alreadyRecorded(mine bool, entry *bronzeturnv1.LedgerEntry, sequence uint64) decision {
	return decision{verdict: &bronzeturnv1.LedgerVerdict{Mine: mine, Entry: entry, Sequence: sequence}}
}

func (s *state) touchInterval() int64 {
	return (s.retention.PinIdle / touchDivisor).Microseconds()
}

// claim returns the claim if it has not expired.
func (s *state) claim(fp fingerprint) (claim, bool) {
	c, ok := s.claims[fp]
	return c, ok && c.expires > s.clock
}

// pin returns the pin if it has not expired.
func (s *state) pin(fp fingerprint) (pin, bool) {
	p, ok := s.pins[fp]
	return p, ok && p.expires > s.clock
}

// apply applies the next batch of the log. It does not decide the records
// again, since the batch's writer decided them against the same log.
func (s *state) apply(b *bronzeturnv1.LedgerBatch) {
	s.sequence = b.Sequence
	s.clock += max(b.ElapsedMicros, 0)
	for _, rec := range b.Records {
		s.applyRecord(rec)
	}
}

func (s *state) applyRecord(rec *bronzeturnv1.LedgerRecord) {
	fp, ok := toFingerprint(rec.Fingerprint)
	if !ok || len(rec.Nonce) != idBytes {
		return
	}
	nonce := Nonce(rec.Nonce)
	switch body := rec.Body.(type) {
	case *bronzeturnv1.LedgerRecord_Claim:
		s.applyClaim(fp, nonce, body.Claim)
	case *bronzeturnv1.LedgerRecord_Outcome:
		s.applyOutcome(fp, nonce, body.Outcome)
	case *bronzeturnv1.LedgerRecord_Pin:
		s.applyPin(fp, nonce, body.Pin)
	case *bronzeturnv1.LedgerRecord_Bill:
		s.bills[fp] = uint32((s.clock + s.retention.Bills.Microseconds()) / 1e6)
	}
}

func (s *state) applyClaim(fp fingerprint, nonce Nonce, c *bronzeturnv1.LedgerClaim) {
	entry := claim{
		nonce:     nonce,
		state:     bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_RUNNING,
		sequence:  s.sequence,
		expires:   s.clock + s.retention.Claims.Microseconds(),
		deadline:  s.clock + c.RemainingMicros,
		requestID: c.RequestId,
		holder:    s.internHolder(c.Holder),
	}
	copy(entry.body[:], c.BodySha256)
	s.claims[fp] = entry
}

// maxHolderNames limits the interned daemon names, which change as hosts are
// replaced.
const maxHolderNames = 4096

// internHolder returns the interned copy of a daemon name.
func (s *state) internHolder(name string) string {
	if known, ok := s.holders[name]; ok {
		return known
	}
	if len(s.holders) >= maxHolderNames {
		clear(s.holders)
	}
	s.holders[name] = name
	return name
}

func (s *state) applyOutcome(fp fingerprint, nonce Nonce, out *bronzeturnv1.LedgerOutcome) {
	c, ok := s.claims[fp]
	if ok && c.nonce == nonce {
		c.state = out.State
		c.outcome = out
		s.claims[fp] = c
		return
	}
	s.claims[fp] = claim{
		nonce:    nonce,
		state:    out.State,
		sequence: s.sequence,
		expires:  s.clock + abandonedClaimRetention.Microseconds(),
	}
}

func (s *state) applyPin(fp fingerprint, nonce Nonce, want *bronzeturnv1.LedgerPin) {
	p, ok := s.pins[fp]
	if !want.Touch {
		p = pin{nonce: nonce, sequence: s.sequence, created: s.clock, version: want.Version}
	} else if !ok {
		return
	}
	p.touched = s.clock
	p.expires = min(p.created+s.retention.PinLimit.Microseconds(), p.touched+s.retention.PinIdle.Microseconds())
	s.pins[fp] = p
}

// bodyDropThreshold is the remaining time to expiry below which a claim's
// response body is dropped.
func (s *state) bodyDropThreshold() int64 {
	return (s.retention.Claims - s.retention.AnswerBodies).Microseconds()
}

// withoutBody returns a copy of the outcome without the response body. The
// original may still be in use.
func withoutBody(out *bronzeturnv1.LedgerOutcome) *bronzeturnv1.LedgerOutcome {
	return &bronzeturnv1.LedgerOutcome{
		State:       out.State,
		Status:      out.Status,
		ContentType: out.ContentType,
		BodySha256:  out.BodySha256,
		Version:     out.Version,
	}
}

// Sweeps are at least the shortest retention divided by sweepDivisor apart.
const sweepDivisor = 64

// sweep removes expired entries if enough time has passed since the last sweep.
func (s *state) sweep() {
	shortest := min(s.retention.Claims, s.retention.AnswerBodies, s.retention.PinIdle, s.retention.Bills)
	if s.clock-s.sweptAt < (shortest / sweepDivisor).Microseconds() {
		return
	}
	s.sweptAt = s.clock
	for fp, c := range s.claims {
		if c.expires <= s.clock {
			delete(s.claims, fp)
		} else if c.outcome.GetBodyKept() && c.expires-s.clock < s.bodyDropThreshold() {
			c.outcome = withoutBody(c.outcome)
			s.claims[fp] = c
		}
	}
	for fp, p := range s.pins {
		if p.expires <= s.clock {
			delete(s.pins, fp)
		}
	}
	now := uint32(s.clock / 1e6)
	for fp, expires := range s.bills {
		if expires < now {
			delete(s.bills, fp)
		}
	}
}
