package router

import (
	"errors"
	"fmt"

	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/cascade"
	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/hedge"
	"github.com/bronzeturn/bronzeturn/ledger"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/retry"
	"github.com/bronzeturn/bronzeturn/selection"
)

// withRequestFields adds the fields that identify a request to a log line.
func withRequestFields(e *zerolog.Event, c *call) *zerolog.Event {
	e.Str("request", c.requestID)
	if c.organisation != nil {
		e.Str("organisation", c.organisation.GetName())
	}
	if c.kind != nil {
		e.Str("kind", c.kind.GetName())
	}
	return e
}

// logVersion logs the choice of the version.
func (r *Router) logVersion(c *call, d *selection.Decision) {
	withRequestFields(r.Log.Info(), c).Uint64("generation", c.tables.Snapshot.Generation()).EmbedObject(d).Msg("version chosen")
}

// logEngine logs the choice of the engine, or that there is none.
func (r *Router) logEngine(l *launch, d *balance.Decision) {
	e := withRequestFields(r.Log.Info(), l.call).Str("version", l.version).Stringer("reason", d.Reason).Int("attempt", l.attempts+1)
	if d.Engine == nil {
		e.Dur("retry_after_ms", d.RetryAfter).Msg("no engine")
		return
	}
	e.Str("engine", d.Engine.GetName()).Dur("expected_wait_ms", d.ExpectedWait)
	candidates := zerolog.Arr()
	for _, candidate := range d.Candidates() {
		candidates.Str(candidate.Engine)
	}
	e.Array("candidates", candidates).Msg("engine chosen")
}

// logHedge logs whether a hedge is sent to a second engine.
func (r *Router) logHedge(l *launch, second *balance.Decision, granted bool, reason hedge.Reason) {
	withRequestFields(r.Log.Info(), l.call).Str("version", l.version).Str("engine", second.Engine.GetName()).
		Bool("hedged", granted).Str("reason", string(reason)).Msg("hedge considered")
}

// logRetry logs a failed attempt and whether it is retried.
func (r *Router) logRetry(l *launch, err *engine.Error, again bool, reason retry.Reason) {
	withRequestFields(r.Log.Info(), l.call).Str("failure", string(err.Kind)).Str("ran", string(err.Ran)).
		Bool("again", again).Stringer("reason", reason).Int("attempt", l.attempts).Msg("attempt failed")
}

// logCascade logs the verdict on a cheap answer and which version runs next.
func (r *Router) logCascade(c *call, d *selection.Decision, v cascade.Verdict, next cascade.Decision) {
	withRequestFields(r.Log.Info(), c).Str("version", d.Version).Stringer("verdict", v).
		Str("next", next.Version).Stringer("reason", next.Reason).Msg("answer checked")
}

// logFailure logs a request that got no complete answer.
func (r *Router) logFailure(c *call, f *failure.Error) {
	e := withRequestFields(r.Log.Info(), c).Str("code", string(f.Code)).Str("ran", string(f.Ran))
	if cause := f.Unwrap(); cause != nil {
		e.Str("cause", causeText(cause))
	}
	e.Msg("request failed")
}

// causeText describes a cause without the engine's error message, which may quote
// the prompt.
func causeText(err error) string {
	var status *engine.StatusError
	if errors.As(err, &status) {
		return fmt.Sprintf("engine answered status %d", status.Status)
	}
	return err.Error()
}

// recordBilled logs a recorded bill and adds it to the metrics.
func (r *Router) recordBilled(s *settlement, durability ledger.Durability) {
	r.metrics.tokens.WithLabelValues(s.version, "prompt").Add(float64(s.promptTokens))
	r.metrics.tokens.WithLabelValues(s.version, "completion").Add(float64(s.completionTokens))
	r.metrics.cost.WithLabelValues(s.version).Add(float64(s.costMicros))
	withRequestFields(r.Log.Info(), s.call).Str("version", s.version).Int64("cost_micros", s.costMicros).
		Int64("prompt_tokens", s.promptTokens).Int64("completion_tokens", s.completionTokens).
		Stringer("durability", durability).Msg("request billed")
}

// reportAnswered passes a complete answer to the quality statistics and to the
// sampler.
func (r *Router) reportAnswered(s *settlement) {
	kind := s.call.kind.GetName()
	r.Quality.AddAnswer(quality.CompletedAnswer{Version: s.version, Kind: kind, CompletionTokens: s.completionTokens})
	r.Sampler.Sample(AnswerSample{
		RequestID:    s.call.requestID,
		Organisation: s.call.organisation.GetName(),
		Version:      s.version,
		Kind:         kind,
		Accepted:     s.accepted,
	})
}
