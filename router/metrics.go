package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzeturn/bronzeturn/failure"
)

// metrics are the metrics of the request path. The label values are bounded by the
// rules and the register; none identifies an organisation or a request.
type metrics struct {
	requests     *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	firstByte    *prometheus.HistogramVec
	duration     *prometheus.HistogramVec
	tokens       *prometheus.CounterVec
	cost         *prometheus.CounterVec
	escalations  prometheus.Counter
	billFailures prometheus.Counter
}

// latencyBuckets are in seconds.
var latencyBuckets = prometheus.ExponentialBucketsRange(0.001, 120, 24)

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_requests_total",
			Help: "Requests received, by task kind and result code.",
		}, []string{"kind", "code"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_refusals_total",
			Help: "Requests that failed, by code and whether they ran.",
		}, []string{"code", "ran"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_attempts_total",
			Help: "Attempts at backend servers, by outcome.",
		}, []string{"outcome"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bronzeturn_first_byte_seconds",
			Help:    "Time from the request to the first byte of the answer.",
			Buckets: latencyBuckets,
		}, []string{"kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bronzeturn_request_duration_seconds",
			Help:    "Time from the request to the end of the answer.",
			Buckets: latencyBuckets,
		}, []string{"kind"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_tokens_total",
			Help: "Tokens billed, by version and direction.",
		}, []string{"version", "direction"}),
		cost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_cost_micros_total",
			Help: "Cost billed, in millionths of the currency, by version.",
		}, []string{"version"}),
		escalations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bronzeturn_escalations_total",
			Help: "Cheap answers of cascades that were replaced by the answer of a stronger version.",
		}),
		billFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bronzeturn_bill_failures_total",
			Help: "Bills that could not be recorded in the ledger.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.requests, m.refusals, m.attempts, m.firstByte, m.duration,
			m.tokens, m.cost, m.escalations, m.billFailures)
	}
	return m
}

// codeOK is the label value of requests and attempts that got a complete answer.
const codeOK = "ok"

// observeRequest records the result and the duration of a request.
func (m *metrics) observeRequest(kind string, f *failure.Error, took time.Duration) {
	if f != nil {
		m.requests.WithLabelValues(kind, string(f.Code)).Inc()
		m.refusals.WithLabelValues(string(f.Code), string(f.Ran)).Inc()
		return
	}
	m.requests.WithLabelValues(kind, codeOK).Inc()
	m.duration.WithLabelValues(kind).Observe(took.Seconds())
}
