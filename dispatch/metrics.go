package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Outcomes of calls to coordinators.
const (
	outcomeAnswered       = "answered"
	outcomeFailed         = "failed"
	outcomeNotCoordinator = "not_coordinator"
)

// Values of the label scope. The daemon that coordinates a service also reports the counts of
// the fleet.
const (
	scopeDaemon = "daemon"
	scopeFleet  = "fleet"
)

// metrics holds the counters by service.
type metrics struct {
	calls, refused *prometheus.CounterVec
	granted        *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer, d *Dispatcher) *metrics {
	f := promauto.With(r)
	r.MustRegister(gauges{d})
	return &metrics{
		calls: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_dispatch_calls_total", Help: "Calls to the coordinators of contended services by outcome.",
		}, []string{"service", "outcome"}),
		granted: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_dispatch_granted_total", Help: "Requests of this daemon to contended services that were granted.",
		}, []string{"service"}),
		refused: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_dispatch_refused_total", Help: "Requests of this daemon to contended services that were refused, by cause.",
		}, []string{"service", "cause"}),
	}
}

var (
	roomDesc = prometheus.NewDesc("bronzeturn_dispatch_room",
		"Number of requests that may run together, as far as this daemon decides it.", []string{"service"}, nil)
	runningDesc = prometheus.NewDesc("bronzeturn_dispatch_running",
		"Requests in progress.", []string{"service", "scope"}, nil)
	waitingDesc = prometheus.NewDesc("bronzeturn_dispatch_waiting",
		"Requests that wait for a grant.", []string{"service", "scope"}, nil)
	contendedDesc = prometheus.NewDesc("bronzeturn_dispatch_contended",
		"1 if the service is contended.", []string{"service"}, nil)
	answerAgeDesc = prometheus.NewDesc("bronzeturn_dispatch_answer_age_seconds",
		"Time since the last answer of the coordinator, while the service is contended.", []string{"service"}, nil)
)

// gauges collects the state of all services.
type gauges struct{ d *Dispatcher }

// Describe implements prometheus.Collector.
func (g gauges) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{roomDesc, runningDesc, waitingDesc, contendedDesc, answerAgeDesc} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (g gauges) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	now := time.Now()
	g.d.eachService(func(s *service) {
		contended := 0.0
		if s.contended(now) {
			contended = 1
		}
		gauge(contendedDesc, contended, s.name)
		running, waiting, answered := s.counts()
		gauge(runningDesc, float64(running), s.name, scopeDaemon)
		gauge(waitingDesc, float64(waiting), s.name, scopeDaemon)
		if contended == 1 && !answered.IsZero() {
			gauge(answerAgeDesc, now.Sub(answered).Seconds(), s.name)
		}
		if status, ok := s.coordinator.status(); ok {
			gauge(roomDesc, float64(status.Room), s.name)
			gauge(runningDesc, float64(status.Running), s.name, scopeFleet)
			gauge(waitingDesc, float64(status.Waiting), s.name, scopeFleet)
		}
	})
}
