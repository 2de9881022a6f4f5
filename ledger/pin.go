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

// PinResult is the version that the conversation is pinned to.
type PinResult struct {
	Version string
	// Created reports whether this call pinned the version.
	Created bool
}

// PinVersion pins a conversation to a version, unless it is pinned already: the
// first version stands. After an error the version is undecided and nothing may
// be dispatched.
func (l *Ledger) PinVersion(ctx context.Context, req PinRequest) (PinResult, error) {
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
		return PinResult{}, pinRefused(errVerdictMismatch)
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

// cachePin stores the version of an entry in the cache and returns it.
func (l *Ledger) cachePin(fp fingerprint, entry *bronzeturnv1.LedgerEntry) string {
	version := entry.GetPin().GetVersion()
	if version != "" {
		l.pins.put(fp, version, time.Duration(entry.RemainingMicros)*time.Microsecond)
	}
	return version
}

// PinnedVersion returns the version that a conversation is pinned to. ok is
// false if none is found, which does not prove that the conversation is new;
// only PinVersion decides that. Each call that reads the pin from the ledger
// also extends it, in the background.
func (l *Ledger) PinnedVersion(ctx context.Context, organisation, conversation string) (version string, ok bool, err error) {
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
