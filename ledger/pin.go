package ledger

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// PinRequest proposes a version for a conversation.
type PinRequest struct {
	Organisation string
	Conversation string
	Version      string
}

// PinResult is the version in force.
type PinResult struct {
	Version string
	// Created tells that this call settled the version.
	Created bool
}

// Pin settles the version of a conversation: the first one stands. An error
// means that the version is not settled and nothing may be dispatched.
func (l *Ledger) Pin(ctx context.Context, req PinRequest) (PinResult, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.DecideTimeout)
	defer cancel()
	fp := fingerprintOf(ClassPin, req.Organisation, req.Conversation)
	verdict, err := l.append(ctx, pinRecord(fp, newNonce(), req.Version, false))
	if err != nil {
		return PinResult{}, pinRefused(err)
	}
	if verdict.Mine {
		l.pins.put(fp, req.Version, min(l.cfg.Retention.PinIdle, l.cfg.Retention.PinLimit))
		return PinResult{Version: req.Version, Created: true}, nil
	}
	version := l.cachePin(fp, verdict.Entry)
	if version == "" {
		return PinResult{}, pinRefused(errVerdicts)
	}
	return PinResult{Version: version}, nil
}

func pinRefused(err error) error {
	return failure.Wrap(err, failure.CodeLedgerUnavailable, failure.RanNo, "the conversation's version could not be settled").WithRetryAfter(retryAfter)
}

func pinRecord(fp fingerprint, nonce Nonce, version string, touch bool) *bronzeturnv1.LedgerRecord {
	return &bronzeturnv1.LedgerRecord{
		Fingerprint: fp[:],
		Nonce:       nonce[:],
		Body: &bronzeturnv1.LedgerRecord_Pin{Pin: &bronzeturnv1.LedgerPin{
			Version: version,
			Touch:   touch,
		}},
	}
}

// cachePin remembers the version in the entry and returns it.
func (l *Ledger) cachePin(fp fingerprint, entry *bronzeturnv1.LedgerEntry) string {
	version := entry.GetPin().GetVersion()
	if version != "" {
		l.pins.put(fp, version, time.Duration(entry.RemainingMicros)*time.Microsecond)
	}
	return version
}

// Pinned returns the version of a conversation. ok is false when none is
// known; only Pin decides whether the conversation is new. Using a conversation
// prolongs its pin in the background.
func (l *Ledger) Pinned(ctx context.Context, organisation, conversation string) (version string, ok bool, err error) {
	fp := fingerprintOf(ClassPin, organisation, conversation)
	version, fresh := l.pins.get(fp)
	if fresh {
		return version, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.DecideTimeout)
	defer cancel()
	entry, err := l.lookup(ctx, ClassPin, fp, false)
	if err != nil {
		if version != "" {
			return version, true, nil
		}
		return "", false, pinRefused(err)
	}
	version = l.cachePin(fp, entry)
	if version == "" {
		return "", false, nil
	}
	l.outbox.offer(pinRecord(fp, newNonce(), version, true))
	return version, true, nil
}
