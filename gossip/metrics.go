package gossip

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the metrics of one node.
type metrics struct {
	links      prometheus.Gauge
	refused    *prometheus.CounterVec
	pulls      prometheus.Counter
	entryBytes prometheus.Counter
}

// MetricError reports that the metrics of the package could not be registered.
type MetricError struct {
	Cause error
}

// Error implements error.
func (e *MetricError) Error() string { return fmt.Sprintf("register gossip metrics: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MetricError) Unwrap() error { return e.Cause }

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		links: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bronzeturn_gossip_links",
			Help: "Open overlay links, inbound and outbound.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_gossip_refused_entries_total",
			Help: "Table entries received from neighbours and refused, by reason.",
		}, []string{"reason"}),
		pulls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bronzeturn_gossip_pulls_total",
			Help: "Anti-entropy exchanges started by this daemon.",
		}),
		entryBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bronzeturn_gossip_sent_entry_bytes_total",
			Help: "Bytes of table entries sent to neighbours.",
		}),
	}
	if registerer == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.links, m.refused, m.pulls, m.entryBytes} {
		if err := registerer.Register(c); err != nil {
			return nil, &MetricError{Cause: err}
		}
	}
	return m, nil
}
