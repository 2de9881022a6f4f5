package ledger

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// ClaimState tells how far a claimed request is.
type ClaimState int

// The states of a claim. StateUnknown means that the request may have run.
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

// wireStates maps the states to the schema.
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

// retryAfter is the advice with refusals while the store does not answer.
const retryAfter = time.Second

// ClaimRequest names a non-idempotent request.
type ClaimRequest struct {
	Organisation string
	// Key is the caller's idempotency key.
	Key        string
	BodySHA256 [32]byte
	RequestID  string
	// Deadline of the request. A claim without outcome reads as unknown after
	// it.
	Deadline time.Time
}

// Ticket is the right to dispatch one claimed request. It is given out once.
type Ticket struct {
	Nonce Nonce
	// Fence rises with every claim of the same key; engines that check fencing
	// numbers may be sent it.
	Fence uint64
}

// ClaimResult tells whether the caller of Claim may dispatch.
type ClaimResult struct {
	// First is true for exactly one call of Claim per key, fleet-wide, for as
	// long as claims are retained or until that call's ticket is completed with
	// StateNotRun.
	First  bool
	Ticket Ticket
	// State, Outcome, Holder and RequestID describe the earlier claim when
	// First is false.
	State     ClaimState
	Outcome   *Outcome
	Holder    string
	RequestID string
}

// Outcome is the recorded answer of a claimed request.
type Outcome struct {
	// Status is the HTTP status.
	Status      int
	ContentType string
	BodySHA256  [32]byte
	// Body is kept when BodyKept is true, up to Config.AnswerBytes.
	Body     []byte
	BodyKept bool
	// Version or plain service that answered.
	Version string
}

// NewOutcome returns the outcome for an answer body.
func NewOutcome(status int, contentType, version string, body []byte) *Outcome {
	return &Outcome{
		Status:      status,
		ContentType: contentType,
		Version:     version,
		BodySHA256:  sha256.Sum256(body),
		Body:        body,
		BodyKept:    true,
	}
}

// Claim creates the claim of a non-idempotent request, or returns the state of
// the one that was there first. Only a result with First grants the right to
// dispatch. An error means that nothing was dispatched and that this call will
// never grant it: the attempt is given up and, if its record turns up in the
// log later, released.
func (l *Ledger) Claim(ctx context.Context, req ClaimRequest) (ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.DecideTimeout)
	defer cancel()
	fp := fingerprintOf(ClassClaim, req.Organisation, req.Key)
	for {
		result, err := l.claimOnce(ctx, fp, req)
		if err != nil || result.First {
			return result, err
		}
		release := l.outbox.release(fp, result.Ticket.Nonce)
		if release == nil {
			return result, nil
		}
		// The claim found is an earlier attempt of this daemon, given up before
		// it could dispatch. Once it is released the key is free.
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
		var not *NotWrittenError
		if !errors.As(err, &not) {
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

// abandon gives up an attempt whose record may still turn up in the log. No
// one will dispatch under its nonce, so it can be released. When there is no
// room for the release, the key reads as unknown after the deadline.
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

// earlierClaim describes the claim that stands in the way.
func (l *Ledger) earlierClaim(entry *bronzeturnv1.LedgerEntry, req ClaimRequest) (ClaimResult, error) {
	c := entry.GetClaim()
	if c == nil {
		return ClaimResult{}, l.claimRefused(errVerdicts)
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

// maxContentType bounds the content type that is kept, in bytes.
const maxContentType = 128

// CompleteRequest ends a claim.
type CompleteRequest struct {
	Organisation string
	Key          string
	Ticket       Ticket
	// State is StateDone, StateUnknown or StateNotRun. With StateNotRun the
	// caller guarantees that nothing was or will be dispatched under the ticket.
	State   ClaimState
	Outcome *Outcome
}

// Complete records the outcome of a claim. Like Bill it returns when the record
// is in the store or, after a short wait, copied to a second daemon.
func (l *Ledger) Complete(ctx context.Context, req CompleteRequest) (Durability, error) {
	fp := fingerprintOf(ClassClaim, req.Organisation, req.Key)
	out := &bronzeturnv1.LedgerOutcome{State: wireStates[req.State]}
	if o := req.Outcome; o != nil {
		out.Status = uint32(o.Status)
		out.ContentType = o.ContentType[:min(len(o.ContentType), maxContentType)]
		out.BodySha256 = o.BodySHA256[:]
		out.Version = o.Version
		if o.BodyKept && len(o.Body) <= l.cfg.AnswerBytes && l.outbox.roomForBodies() {
			out.Body, out.BodyKept = o.Body, true
		}
	}
	return l.record(ctx, outcomeRecord(fp, req.Ticket.Nonce, out))
}

// waitPoll bounds how often Wait asks for the state of a claim.
const (
	waitPollMin = 50 * time.Millisecond
	waitPollMax = time.Second
)

// Wait returns the state of a claim when it is no longer running, or as it
// stands when ctx ends. ok is false when there is no such claim.
func (l *Ledger) Wait(ctx context.Context, organisation, key string) (result ClaimResult, ok bool, err error) {
	fp := fingerprintOf(ClassClaim, organisation, key)
	poll := waitPollMin
	for {
		entry, lookupErr := l.lookup(ctx, ClassClaim, fp, poll == waitPollMax)
		if lookupErr == nil {
			c := entry.GetClaim()
			if c == nil || stateOf(c.State) == StateNotRun {
				return ClaimResult{}, false, nil
			}
			result, ok = claimResult(entry, c), true
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
