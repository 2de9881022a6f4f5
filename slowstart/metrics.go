package slowstart

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics counts cold engines and the requests that chose one.
type metrics struct{ sends *prometheus.CounterVec }

// Outcomes of Pacer.Take for a cold engine.
const (
	outcomeAllowed    = "allowed"
	outcomePassedOver = "passed_over"
)

// newMetrics registers the metrics. The function cold returns the number of cold engines.
func newMetrics(r prometheus.Registerer, cold func() float64) *metrics {
	f := promauto.With(r)
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bronzeturn_slowstart_engines", Help: "Number of engines in slow start.",
	}, cold)
	return &metrics{sends: f.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzeturn_slowstart_sends_total", Help: "Requests that chose an engine in slow start, by whether the rate limit allowed them.",
	}, []string{"outcome"})}
}

func (m *metrics) recordTake(allowed bool) {
	outcome := outcomePassedOver
	if allowed {
		outcome = outcomeAllowed
	}
	m.sends.WithLabelValues(outcome).Inc()
}
