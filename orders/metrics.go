package orders

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of orders and leases.
type metrics struct {
	orders *prometheus.CounterVec
	leases prometheus.Gauge
}

// newMetrics creates the metrics and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_pool_orders_total",
			Help: "Orders to engines, by operation and result.",
		}, []string{"op", "result"}),
		leases: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bronzeturn_pool_leases_held",
			Help: "Pool leases held by this daemon.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.orders, m.leases)
	}
	return m
}
