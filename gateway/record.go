package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/retry"
	"github.com/bronzeturn/bronzeturn/revision"
)

// metrics holds the counters and latency histograms of requests.
type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	first    *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	leaving  prometheus.Counter
	stopping *prometheus.CounterVec
	ends     *prometheus.CounterVec
	endTime  prometheus.Histogram
}

// newMetrics registers the metrics.
func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	buckets := prometheus.ExponentialBuckets(0.005, 2, 13)
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_gateway_requests_total", Help: "Requests by kind and outcome.",
		}, []string{"kind", "outcome"}),
		latency: f.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bronzeturn_gateway_request_seconds", Help: "Time from the request to the end of its answer.", Buckets: buckets,
		}, []string{"kind"}),
		first: f.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bronzeturn_gateway_first_event_seconds", Help: "Time from the request to the answer or its first event.", Buckets: buckets,
		}, []string{"kind"}),
		attempts: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_gateway_failed_attempts_total", Help: "Attempts at engines that gave no answer to pass on.",
		}, []string{"kind", "ran"}),
		leaving: f.NewCounter(prometheus.CounterOpts{
			Name: "bronzeturn_gateway_leaving_answers_total", Help: "Answers of engines that state that they leave.",
		}),
		stopping: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_gateway_stop_decisions_total", Help: "Requests that came while the daemon was stopping, by kind and decision.",
		}, []string{"kind", "decision"}),
		ends: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_gateway_end_checks_total", Help: "Ends of answers without a length, by what showed whether the engine runs still.",
		}, []string{"evidence"}),
		endTime: f.NewHistogram(prometheus.HistogramOpts{
			Name: "bronzeturn_gateway_end_check_seconds", Help: "Time from the end of an answer without a length until it was known whether the engine runs still.", Buckets: buckets,
		}),
	}
}

// record logs a finished request and updates the metrics.
func (g *Gateway) record(q *request, a *answer) {
	kind, outcome := "none", "answered"
	if q.route != nil {
		kind = q.route.Kind.String()
	}
	line := g.Log.Info()
	if a.failure != nil {
		outcome = string(a.failure.Code)
		line = g.Log.Warn().AnErr("failure", a.failure).Str("ran", string(a.failure.Ran))
	}
	took := time.Since(q.received)
	g.metrics.requests.WithLabelValues(kind, outcome).Inc()
	g.metrics.latency.WithLabelValues(kind).Observe(took.Seconds())
	if q.trace.first > 0 {
		g.metrics.first.WithLabelValues(kind).Observe(q.trace.first.Seconds())
	}
	line = line.Str("request", q.meta.ID).Str("outcome", outcome).Int("status", a.status).Bool("broken", a.broken)
	if stop := q.trace.stop; stop.decision != "" {
		g.metrics.stopping.WithLabelValues(kind, string(stop.decision)).Inc()
		line = line.Str("stop", string(stop.decision)).Dur("stop_left_ms", stop.left).Dur("slowest_ms", stop.slowest)
	}
	line = q.trace.end.describe(line)
	q.describeWait(q.describe(line), a).Dur("took_ms", took).Msg("request ended")
}

// describe adds the fields of the request to a log line, with the versions and the age of
// the tables that it was handled by.
func (q *request) describe(line *zerolog.Event) *zerolog.Event {
	if q.tables != nil && q.tables.Routes != nil {
		line = line.Int64("config", q.tables.Routes.Version).Uint64("config_revision", revision.Counter(q.tables.Routes.Revision))
	}
	if q.tables != nil && q.tables.Engines != nil {
		line = line.Uint64("engines_view", q.tables.Engines.View.Generation).Dur("tables_age_ms", q.received.Sub(q.tables.Changed))
	}
	if q.content.Request != (quarantine.Hash{}) {
		line = line.Stringer("hash", q.content.Request).Strs("parts", quarantine.Strings(q.parts))
	}
	if q.route != nil {
		line = line.Str("route", q.route.Name).Str("service", q.service).Str("organisation", q.organisation).Int("priority", q.priority).
			Dur("allowed_ms", q.deadline.Sub(q.received))
	}
	t := &q.trace
	if q.meta.Session != "" {
		line = line.Str("session", q.sessionName())
	}
	if q.runsModels {
		line = line.Int("prompt_tokens", q.meta.PromptTokens).Int("shared_tokens", q.prefixTokens).Int("answer_tokens", q.meta.LikelyTokens)
	}
	if q.route != nil {
		line = line.Dur("target_ms", q.route.Target).Dur("most_pause_ms", q.route.MaxPause)
	}
	if t.worth > 0 {
		line = line.Float64("worth", t.worth).Float64("chance", t.chance).Float64("price", t.price)
	}
	return line.Strs("engines", t.engines).Str("version", t.version).Strs("reasons", t.reasons).Strs("compared", t.compared).Str("model", t.model).Ints("confidence", t.confidence).Bool("trial", t.trial).
		Int("attempts", t.attempts).Int("resumed", t.resumed).Int("events", t.events).Dur("first_ms", t.first).Dur("pause_ms", t.pause)
}

// logAttempt logs a failed attempt. reason is why no further attempt follows, or "".
func (g *Gateway) logAttempt(t *task, to *target, e *attemptError, reason string) {
	g.metrics.attempts.WithLabelValues(e.Kind.String(), string(e.Ran)).Inc()
	line := g.Log.Warn()
	if e.Kind == retry.KindDoubted {
		line = g.Log.Info()
	}
	if to.untilClose {
		line = t.request.trace.end.describe(line)
	}
	line.Str("request", t.meta.ID).Stringer("hash", t.content.Request).Strs("parts", quarantine.Strings(t.parts)).Str("engine", to.engine.Key()).Str("address", to.engine.Address).
		AnErr("failure", e.Cause).Str("kind", e.Kind.String()).Str("ran", string(e.Ran)).
		Bool("until_close", to.untilClose).Bool("again", reason == "").Str("because", reason).Int("attempt", t.request.trace.attempts).
		Int("events", t.stream.events).Dur("retry_after_ms", to.retryAfter).Dur("after_ms", time.Since(to.sent)).Msg("attempt failed")
}
