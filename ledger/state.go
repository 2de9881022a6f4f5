package ledger

import (
	"bytes"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Retention says how long entries are kept, on the shard's own clock, which
// never runs ahead of real time.
type Retention struct {
	// Claims and their outcomes.
	Claims time.Duration
	// AnswerBodies is how long after the claim the body of the answer is kept.
	// Later, status and digest remain.
	AnswerBodies time.Duration
	// PinIdle after the last use of a conversation, PinLimit after its start.
	PinIdle  time.Duration
	PinLimit time.Duration
	// Bills is how long a request id is kept to recognise a repeated bill.
	Bills time.Duration
}

// voidRetention is how long the nonce of an abandoned claim without an entry
// is remembered. A request of that claim that is still under way by then is
// answered as unknown instead of being run.
const voidRetention = time.Hour

// touchFraction is the part of PinIdle after which a use of a conversation
// prolongs its pin.
const touchFraction = 8

// claim is a claim in memory.
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

// pin is the version of a conversation in memory.
type pin struct {
	nonce    Nonce
	sequence uint64
	created  int64
	touched  int64
	expires  int64
	version  string
}

// state is what the log of one shard says up to a sequence number. It does no
// I/O and reads no clock; times are microseconds of the shard's clock, which
// adds up the elapsed times that the writers measured.
type state struct {
	retention Retention
	sequence  uint64
	clock     int64
	claims    map[fingerprint]claim
	pins      map[fingerprint]pin
	// bills holds the time of expiry in seconds.
	bills map[fingerprint]uint32
	// holders holds each daemon name once.
	holders map[string]string
	// swept is the clock at the last removal of expired entries.
	swept int64
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

// decision is what the log says about a wanted record.
type decision struct {
	// write tells that the record may be written at the next sequence number.
	write bool
	// verdict is the answer when write is false.
	verdict *bronzeturnv1.LedgerVerdict
}

// decide tells whether the record may be written next, or what stands in its
// place. It is exact only if the batch that follows is the next in the log.
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
	return settled(own && !released, c.entry(fp), c.sequence)
}

func (s *state) decideOutcome(fp fingerprint, rec *bronzeturnv1.LedgerRecord, out *bronzeturnv1.LedgerOutcome) decision {
	c, ok := s.claim(fp)
	if !ok {
		release := out.State == bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_RELEASED
		return decision{write: release, verdict: &bronzeturnv1.LedgerVerdict{}}
	}
	if !bytes.Equal(c.nonce[:], rec.Nonce) {
		return settled(false, c.entry(fp), c.sequence)
	}
	if c.state == bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_RUNNING {
		return decision{write: true}
	}
	return settled(c.state == out.State, c.entry(fp), c.sequence)
}

func (s *state) decidePin(fp fingerprint, rec *bronzeturnv1.LedgerRecord, want *bronzeturnv1.LedgerPin) decision {
	p, ok := s.pin(fp)
	if !ok {
		return decision{write: !want.Touch, verdict: &bronzeturnv1.LedgerVerdict{}}
	}
	if want.Touch && p.version == want.Version && s.clock-p.touched > s.touchAfter() {
		return decision{write: true}
	}
	return settled(bytes.Equal(p.nonce[:], rec.Nonce), p.entry(fp), p.sequence)
}

func (s *state) decideBill(fp fingerprint) decision {
	if _, ok := s.bills[fp]; !ok {
		return decision{write: true}
	}
	return settled(true, nil, 0)
}

func settled(mine bool, entry *bronzeturnv1.LedgerEntry, sequence uint64) decision {
	return decision{verdict: &bronzeturnv1.LedgerVerdict{Mine: mine, Entry: entry, Sequence: sequence}}
}

func (s *state) touchAfter() int64 {
	return (s.retention.PinIdle / touchFraction).Microseconds()
}

// claim returns the claim that is in force.
func (s *state) claim(fp fingerprint) (claim, bool) {
	c, ok := s.claims[fp]
	return c, ok && c.expires > s.clock
}

// pin returns the pin that is in force.
func (s *state) pin(fp fingerprint) (pin, bool) {
	p, ok := s.pins[fp]
	return p, ok && p.expires > s.clock
}

// apply adds the next batch of the log. Its writer has decided each record
// against the same log, so apply does not decide again.
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
		holder:    s.holderName(c.Holder),
	}
	copy(entry.body[:], c.BodySha256)
	s.claims[fp] = entry
}

// maxHolders bounds the daemon names kept, which change as hosts are replaced.
const maxHolders = 4096

// holderName returns the one copy of a daemon name.
func (s *state) holderName(name string) string {
	if known, ok := s.holders[name]; ok {
		return known
	}
	if len(s.holders) >= maxHolders {
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
		expires:  s.clock + voidRetention.Microseconds(),
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

// bodyLess is the time to expiry below which an answer's body is dropped.
func (s *state) bodyLess() int64 {
	return (s.retention.Claims - s.retention.AnswerBodies).Microseconds()
}

// withoutBody returns the outcome without the answer's body. The original may
// be in use.
func withoutBody(out *bronzeturnv1.LedgerOutcome) *bronzeturnv1.LedgerOutcome {
	return &bronzeturnv1.LedgerOutcome{
		State:       out.State,
		Status:      out.Status,
		ContentType: out.ContentType,
		BodySha256:  out.BodySha256,
		Version:     out.Version,
	}
}

// sweepFraction is the part of the shortest retention between two sweeps.
const sweepFraction = 64

// sweep removes expired entries when the last sweep is long enough ago.
func (s *state) sweep() {
	shortest := min(s.retention.Claims, s.retention.AnswerBodies, s.retention.PinIdle, s.retention.Bills)
	if s.clock-s.swept < (shortest / sweepFraction).Microseconds() {
		return
	}
	s.swept = s.clock
	for fp, c := range s.claims {
		if c.expires <= s.clock {
			delete(s.claims, fp)
		} else if c.outcome.GetBodyKept() && c.expires-s.clock < s.bodyLess() {
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
