package backpressure

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics counts the engines with a request limit, the permits asked for and the requests sent to
// them.
type metrics struct{ permits, sends *prometheus.CounterVec }

// Values of the label attempt.
const (
	attemptFirst   = "first"
	attemptFurther = "further"
)

// newMetrics registers the metrics. The function limited returns the number of engines with
// a request limit.
func newMetrics(r prometheus.Registerer, limited func() float64) *metrics {
	f := promauto.With(r)
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bronzeturn_backpressure_limited_engines", Help: "Number of engines that state a request limit.",
	}, limited)
	return &metrics{
		permits: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_backpressure_permits_total", Help: "Permits to send to engines that state a request limit that this daemon has asked for.",
		}, []string{"outcome"}),
		sends: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_backpressure_limited_sends_total", Help: "Requests sent to engines that state a request limit.",
		}, []string{"attempt"}),
	}
}

// Outcomes of permits. outcomeUndecided means that nobody granted permits of the engine.
const (
	outcomeRefused   = "refused"
	outcomeUndecided = "undecided"
)

func (m *metrics) recordPermit(granted, decided bool) {
	outcome := outcomeUndecided
	switch {
	case granted:
		outcome = outcomeGranted
	case decided:
		outcome = outcomeRefused
	}
	m.permits.WithLabelValues(outcome).Inc()
}

func (m *metrics) recordSend(further bool) {
	attempt := attemptFirst
	if further {
		attempt = attemptFurther
	}
	m.sends.WithLabelValues(attempt).Inc()
}
