package ledger

import (
	"context"
	"crypto/sha256"
	"errors"
	"hash"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// ClaimState is the progress of a claimed request.
type ClaimState int

// States of a claim. StateUnknown means that the request may have run.
// StateNotRun ends a claim whose request was certainly not dispatched.
const (
	StateRunning ClaimState = iota + 1
	StateDone
	StateUnknown
	StateNotRun
)

// String implements fmt.Stringer.
func (s ClaimState) String() string {
	switch s {
	case StateRunning:
		return "running"
	case StateDone:
		return "done"
	case StateUnknown:
		return "unknown"
	case StateNotRun:
		return "not run"
	default:
		return "invalid"
	}
}

// wireStates maps states to their protobuf values.
var wireStates = map[ClaimState]bronzeturnv1.LedgerClaimState{
	StateRunning: bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_RUNNING,
	StateDone:    bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_DONE,
	StateUnknown: bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_UNKNOWN,
	StateNotRun:  bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_RELEASED,
}

func stateOf(w bronzeturnv1.LedgerClaimState) ClaimState {
	for s, wire := range wireStates {
		if wire == w {
			return s
		}
	}
	return StateUnknown
}

// retryAfter is the retry delay suggested to callers when the ledger could not
// decide.
const retryAfter = time.Second

// ClaimRequest identifies a non-idempotent request.
type ClaimRequest struct {
	Organisation string
	// Key is the caller's idempotency key.
	Key        string
	BodySHA256 [32]byte
	RequestID  string
	// Deadline is the deadline of the request. After it, a claim without an
	// outcome reads as unknown.
	Deadline time.Time
}

// Ticket grants the right to dispatch one claimed request. It is issued once.
type Ticket struct {
	Nonce Nonce
	// Fence increases with every claim of the same key. It can be sent as a
	// fencing token to engines that check one.
	Fence uint64
}

// ClaimResult reports whether the caller of Claim may dispatch the request.
type ClaimResult struct {
	// First is true for exactly one call of Claim per key in the whole fleet,
	// until claims expire or that call's ticket is completed with StateNotRun.
	First  bool
	Ticket Ticket
	// State, Outcome, Holder and RequestID describe the earlier claim when
	// First is false.
	State     ClaimState
	Outcome   *Outcome
	Holder    string
	RequestID string
}

// Outcome is the recorded response to a claimed request.
type Outcome struct {
	// Status is the HTTP status.
	Status      int
	ContentType string
	BodySHA256  [32]byte
	// Body is the response body. It is stored only if BodyKept is true, its
	// size is at most MaxAnswerBytes and the buffer has room.
	Body     []byte
	BodyKept bool
	// Version is the model version or plain service that answered.
	Version string
}

// NewOutcome returns the outcome for a response body.
func NewOutcome(status int, contentType, version string, body []byte) *Outcome {
	var whole Body
	whole.Write(body)
	return whole.Outcome(status, contentType, version)
}

// Body collects a response body for its Outcome. It keeps the bytes only as long as there are no more
// than can be stored. The zero value is an empty body.
type Body struct {
	digest  hash.Hash
	kept    []byte
	tooLong bool
}

// Write appends to the body.
func (b *Body) Write(data []byte) {
	if b.digest == nil {
		b.digest = sha256.New()
	}
	b.digest.Write(data)
	if b.tooLong = b.tooLong || len(b.kept)+len(data) > MaxAnswerBytes; b.tooLong {
		b.kept = nil
		return
	}
	b.kept = append(b.kept, data...)
}

// Outcome returns the outcome for the body.
func (b *Body) Outcome(status int, contentType, version string) *Outcome {
	o := &Outcome{Status: status, ContentType: contentType, Version: version, BodySHA256: sha256.Sum256(nil), Body: b.kept, BodyKept: !b.tooLong}
	if b.digest != nil {
		b.digest.Sum(o.BodySHA256[:0])
	}
	return o
}

// Claim records the claim of a non-idempotent request, or returns the state of
// an earlier claim of the same key. Only a result with First set grants the
// right to dispatch. An error means that nothing was dispatched and that this
// call will never grant the right: the attempt is abandoned and, should its
// record still reach the log, released.
func (l *Ledger) Claim(ctx context.Context, req ClaimRequest) (ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.DecideTimeout)
	defer cancel()
	fp := fingerprintOf(ClassClaim, req.Organisation, req.Key)
	for {
		result, err := l.claimOnce(ctx, fp, req)
		if err != nil || result.First {
			return result, err
		}
		release := l.outbox.findRelease(fp, result.Ticket.Nonce)
		if release == nil {
			return result, nil
		}
		// The claim found is an earlier attempt of this daemon that was
		// abandoned before dispatch. The key is free again once that attempt is
		// released.
		select {
		case <-release.done:
		case <-ctx.Done():
			return ClaimResult{}, l.claimRefused(ctx.Err())
		}
	}
}

func (l *Ledger) claimOnce(ctx context.Context, fp fingerprint, req ClaimRequest) (ClaimResult, error) {
	nonce := newNonce()
	body := &bronzeturnv1.LedgerClaim{
		BodySha256:      req.BodySHA256[:],
		RequestId:       req.RequestID,
		Holder:          l.cfg.Self,
		RemainingMicros: max(time.Until(req.Deadline), 0).Microseconds(),
	}
	rec := &bronzeturnv1.LedgerRecord{
		Fingerprint: fp[:],
		Nonce:       nonce[:],
		Body:        &bronzeturnv1.LedgerRecord_Claim{Claim: body},
	}
	verdict, err := l.append(ctx, rec)
	if err != nil {
		var notWritten *NotWrittenError
		if !errors.As(err, &notWritten) {
			l.abandon(fp, nonce)
		}
		return ClaimResult{}, l.claimRefused(err)
	}
	if verdict.Mine {
		return ClaimResult{First: true, Ticket: Ticket{Nonce: nonce, Fence: verdict.Sequence}, State: StateRunning}, nil
	}
	return l.earlierClaim(verdict.Entry, req)
}

func (l *Ledger) claimRefused(err error) error {
	l.metrics.refused.Inc()
	return failure.Wrap(err, failure.CodeLedgerUnavailable, failure.RanNo, "the claim could not be recorded").WithRetryAfter(retryAfter)
}

// abandon releases an attempt whose record may still reach the log. Nothing
// will be dispatched under its nonce, so releasing it is safe. If the outbox
// has no room for the release, the key reads as unknown after the deadline.
func (l *Ledger) abandon(fp fingerprint, nonce Nonce) {
	out := &bronzeturnv1.LedgerOutcome{State: wireStates[StateNotRun]}
	l.outbox.offer(outcomeRecord(fp, nonce, out))
}

func outcomeRecord(fp fingerprint, nonce Nonce, out *bronzeturnv1.LedgerOutcome) *bronzeturnv1.LedgerRecord {
	return &bronzeturnv1.LedgerRecord{
		Fingerprint: fp[:],
		Nonce:       nonce[:],
		Body:        &bronzeturnv1.LedgerRecord_Outcome{Outcome: out},
	}
}

// earlierClaim returns the result for a key that is already claimed.
func (l *Ledger) earlierClaim(entry *bronzeturnv1.LedgerEntry, req ClaimRequest) (ClaimResult, error) {
	c := entry.GetClaim()
	if c == nil {
		return ClaimResult{}, l.claimRefused(errVerdictMismatch)
	}
	if string(c.GetClaim().GetBodySha256()) != string(req.BodySHA256[:]) {
		return ClaimResult{}, failure.New(failure.CodeKeyReused, failure.RanNo, "the idempotency key was used with another body")
	}
	return claimResult(entry, c), nil
}

func claimResult(entry *bronzeturnv1.LedgerEntry, c *bronzeturnv1.LedgerClaimEntry) ClaimResult {
	result := ClaimResult{
		State:     stateOf(c.State),
		Outcome:   outcomeOf(c.Outcome),
		Holder:    c.GetClaim().GetHolder(),
		RequestID: c.GetClaim().GetRequestId(),
	}
	copy(result.Ticket.Nonce[:], entry.Nonce)
	result.Ticket.Fence = entry.Sequence
	return result
}

func outcomeOf(out *bronzeturnv1.LedgerOutcome) *Outcome {
	if out == nil {
		return nil
	}
	o := &Outcome{
		Status:      int(out.Status),
		ContentType: out.ContentType,
		Body:        out.Body,
		BodyKept:    out.BodyKept,
		Version:     out.Version,
	}
	copy(o.BodySHA256[:], out.BodySha256)
	return o
}

// maxContentType is the maximum length of a stored content type, in bytes.
const maxContentType = 128

// CompleteRequest is the outcome of a claim.
type CompleteRequest struct {
	Organisation string
	Key          string
	Ticket       Ticket
	// State is StateDone, StateUnknown or StateNotRun. With StateNotRun, the
	// caller guarantees that nothing was or will be dispatched under the
	// ticket.
	State   ClaimState
	Outcome *Outcome
}

// CompleteClaim records the outcome of a claim. Like Bill, it returns when the
// record is in the store or, after Config.BillPatience, when a second daemon
// has a copy.
func (l *Ledger) CompleteClaim(ctx context.Context, req CompleteRequest) (Durability, error) {
	fp := fingerprintOf(ClassClaim, req.Organisation, req.Key)
	out := &bronzeturnv1.LedgerOutcome{State: wireStates[req.State]}
	if o := req.Outcome; o != nil {
		out.Status = uint32(o.Status)
		out.ContentType = o.ContentType[:min(len(o.ContentType), maxContentType)]
		out.BodySha256 = o.BodySHA256[:]
		out.Version = o.Version
		if o.BodyKept && len(o.Body) <= MaxAnswerBytes && l.outbox.hasRoomForBodies() {
			out.Body, out.BodyKept = o.Body, true
		}
	}
	return l.storeOrCopy(ctx, outcomeRecord(fp, req.Ticket.Nonce, out))
}

// Interval between WaitForClaim's lookups, doubled from the minimum to the
// maximum.
const (
	waitPollMin = 50 * time.Millisecond
	waitPollMax = time.Second
)

// WaitForClaim waits until a claim is no longer running and returns its state,
// or returns the last state seen when ctx ends. ok is false if there is no such
// claim.
func (l *Ledger) WaitForClaim(ctx context.Context, organisation, key string) (result ClaimResult, ok bool, err error) {
	fp := fingerprintOf(ClassClaim, organisation, key)
	poll := waitPollMin
	for {
		entry, lookupErr := l.lookup(ctx, ClassClaim, fp, poll == waitPollMax)
		if lookupErr == nil && !claimed(entry) && poll != waitPollMax {
			// A writer that did not write the claim itself may not have read it yet.
			entry, lookupErr = l.lookup(ctx, ClassClaim, fp, true)
		}
		if lookupErr == nil {
			if !claimed(entry) {
				return ClaimResult{}, false, nil
			}
			result, ok = claimResult(entry, entry.GetClaim()), true
			if result.State != StateRunning {
				return result, true, nil
			}
		}
		timer := time.NewTimer(poll)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			if ok {
				return result, true, nil
			}
			return ClaimResult{}, false, failure.Wrap(lookupErr, failure.CodeLedgerUnavailable, failure.RanUnknown, "the state of the claim is not known").WithRetryAfter(retryAfter)
		}
		poll = min(2*poll, waitPollMax)
	}
}

// claimed reports whether the entry is a claim whose request runs or may have run.
func claimed(entry *bronzeturnv1.LedgerEntry) bool {
	c := entry.GetClaim()
	return c != nil && stateOf(c.State) != StateNotRun
}
