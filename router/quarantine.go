package router

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/quarantine"
)

// Quarantine decides which requests must not be sent because they crash engines. It is
// notified of engines that end while they process requests.
type Quarantine interface {
	// CurrentStart returns e with Started set to identify its current run, which tells
	// successive restarts of the engine apart, or e unchanged if engines report their start
	// time.
	CurrentStart(e inventory.Engine) inventory.Engine
	// Admit reports whether a request may be sent now, after waiting for a pending verdict.
	// isRetry is set if the request is held and this send uses up one of its retries.
	Admit(ctx context.Context, c quarantine.Content) (ok, isRetry bool)
	// Held reports whether a request must not be sent. Refused counts a refusal and returns
	// the record of the request.
	Held(c quarantine.Content) bool
	Refused(c quarantine.Content) quarantine.Record
	// Suspicion returns what speaks against a request: engines that ended while they processed it,
	// or others that have messages in common with it.
	Suspicion(c quarantine.Content) quarantine.Suspicion
	// Sending registers a send. The returned context is canceled if the request is quarantined
	// before the engine begins to answer.
	Sending(ctx context.Context, c quarantine.Content) (context.Context, *quarantine.Send)
	// Completed records that a request completed.
	Completed(c quarantine.Content, now time.Time)
	// AnswerInterrupted records that an answer broke off. It calls blame once it is known that
	// no request in quarantine explains this.
	AnswerInterrupted(e inventory.Engine, c quarantine.Content, now time.Time, blame func())
	// AnswerCancelled records that the daemon ended a run of the request itself.
	AnswerCancelled(e inventory.Engine, c quarantine.Content, now time.Time)
	// Wait waits, for a bounded time, until the cause of an engine's broken answer is known.
	Wait(ctx context.Context, engine string)
	// ConnectionRefused records that an engine's host refused a connection.
	ConnectionRefused(engine string, now time.Time)
}

// hashChat returns the hash that identifies a chat request across repeats.
func hashChat(c *call) quarantine.Hash {
	h := quarantine.NewHasher(c.organisation.GetName(), http.MethodPost, "", callerapi.PathChatCompletions)
	digest := c.bodySHA256()
	_, _ = h.Write(digest[:]) // Writes to a hash do not fail.
	return h.Sum()
}

// sharedMessages returns the keys for the messages that a chat request may have in common with
// others: all but the last. messages is valid JSON. It returns nil unless it is a list of several.
func sharedMessages(organisation string, messages json.RawMessage) []quarantine.Hash {
	parts := elementsBeforeLast(messages)
	if len(parts) == 0 {
		return nil
	}
	return quarantine.SharedKeys("", organisation, parts)
}

// checkQuarantine returns a failure if the request must not be sent because it crashes
// engines. It must be called before each send.
func (r *Router) checkQuarantine(ctx context.Context, l *launch) *failure.Error {
	ok, isRetry := r.Quarantine.Admit(ctx, l.call.content)
	if !ok {
		return r.quarantineFailure(l)
	}
	l.quarantineRetry = l.quarantineRetry || isRetry
	return nil
}

// quarantineFailure logs and returns the refusal of a request that crashes engines.
func (r *Router) quarantineFailure(l *launch) *failure.Error {
	record := r.Quarantine.Refused(l.call.content)
	withRequestFields(r.Log.Warn(), l.call).Stringer("hash", l.call.content.Request).EmbedObject(&record).Str("ran", string(l.ran)).Msg("request in quarantine refused")
	return failure.New(failure.CodeQuarantined, l.ran, "the request crashes engines").WithRetryAfter(record.RetryAfter())
}

// engineOf returns the chosen engine with the start of its current run.
func (r *Router) engineOf(l *launch, d *balance.Decision) inventory.Engine {
	return r.Quarantine.CurrentStart(inventory.Engine{ID: d.Engine.GetName(), Address: d.Engine.GetAddress(), Version: l.version})
}

// reportToQuarantine reports a failed attempt to the quarantine if the cause may be that the
// engine ended, or if it may yet end because of the request.
func (r *Router) reportToQuarantine(a *attempt, err *engine.Error) {
	now := time.Now()
	switch {
	case err.Kind == engine.KindSilent, err.Kind == engine.KindCanceled && err.Ran != failure.RanNo:
		r.Quarantine.AnswerCancelled(a.engineStart, a.content, now)
	case err.Kind == engine.KindBroken:
		r.Quarantine.AnswerInterrupted(a.engineStart, a.content, now, func() {})
	case err.Kind == engine.KindUnreachable && errors.Is(err, syscall.ECONNREFUSED):
		r.Quarantine.ConnectionRefused(a.engineStart.Key(), now)
	}
}

// newQuarantinedError returns the error of a send whose request is in quarantine.
func newQuarantinedError(ran failure.Ran) *engine.Error {
	return engine.NewError(engine.KindCanceled, ran, quarantine.ErrQuarantined)
}

// quarantinedCause returns err, or an error that names the quarantine as the cause if it
// canceled the send.
func quarantinedCause(sendCtx context.Context, err *engine.Error) *engine.Error {
	if !errors.Is(context.Cause(sendCtx), quarantine.ErrQuarantined) {
		return err
	}
	return newQuarantinedError(err.Ran)
}

// isQuarantined reports whether a send failed because its request is in quarantine.
func isQuarantined(err *engine.Error) bool { return errors.Is(err, quarantine.ErrQuarantined) }
