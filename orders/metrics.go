package orders

import "github.com/prometheus/client_golang/prometheus"

// metrics counts orders and leases.
type metrics struct {
	orders *prometheus.CounterVec
	leases prometheus.Gauge
}

// newMetrics makes the metrics and registers them, unless registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_pool_orders_total",
			Help: "Orders to engines by operation and result.",
		}, []string{"op", "result"}),
		leases: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bronzeturn_pool_leases_held",
			Help: "Leases of pools that this daemon holds.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.orders, m.leases)
	}
	return m
}
