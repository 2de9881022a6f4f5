package occupancy

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Outcomes of calls to keepers. Calls are left out when the keeper's address is not
// known or it did not answer the last calls.
const (
	outcomeAnswered = "answered"
	outcomeFailed   = "failed"
	outcomeLeftOut  = "left_out"
)

// metrics holds the counts and durations of calls to keepers.
type metrics struct {
	calls   *prometheus.CounterVec
	seconds prometheus.Histogram
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	return &metrics{
		calls: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_occupancy_calls_total", Help: "Calls to the keepers of engines by outcome.",
		}, []string{"outcome"}),
		seconds: f.NewHistogram(prometheus.HistogramOpts{
			Name: "bronzeturn_occupancy_call_seconds", Help: "Duration of calls to the keepers of engines.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 10),
		}),
	}
}
