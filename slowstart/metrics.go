package slowstart

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics count what is sent to cold engines.
type metrics struct{ sends *prometheus.CounterVec }

// Outcomes of asking for a send to a cold engine.
const (
	outcomeAllowed = "allowed"
	outcomePassed  = "passed_over"
)

// newMetrics registers the metrics. The function returns the number of cold engines.
func newMetrics(r prometheus.Registerer, cold func() float64) *metrics {
	f := promauto.With(r)
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bronzeturn_slowstart_engines", Help: "Engines that are cold.",
	}, cold)
	return &metrics{sends: f.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzeturn_slowstart_sends_total", Help: "Requests that chose a cold engine, by whether they were sent.",
	}, []string{"outcome"})}
}

func (m *metrics) asked(allowed bool) {
	outcome := outcomePassed
	if allowed {
		outcome = outcomeAllowed
	}
	m.sends.WithLabelValues(outcome).Inc()
}
