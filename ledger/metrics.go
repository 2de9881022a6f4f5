package ledger

import "github.com/prometheus/client_golang/prometheus"

// metrics are the ledger's metrics. None has labels.
type metrics struct {
	writes    prometheus.Counter
	records   prometheus.Counter
	conflicts prometheus.Counter
	failures  prometheus.Counter
	forwarded prometheus.Counter
	refused   prometheus.Counter
	full      prometheus.Counter
	local     prometheus.Counter
	buffered  prometheus.Gauge
	bytes     prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: "bronzeturn_ledger_" + name, Help: help})
		reg.MustRegister(c)
		return c
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: "bronzeturn_ledger_" + name, Help: help})
		reg.MustRegister(g)
		return g
	}
	return &metrics{
		writes:    counter("batch_writes_total", "Batches sent to the object store."),
		records:   counter("records_written_total", "Records that this daemon wrote."),
		conflicts: counter("write_conflicts_total", "Batches that lost against another writer."),
		failures:  counter("store_failures_total", "Failed store calls of the ledger."),
		forwarded: counter("records_forwarded_total", "Records that the preferred writer settled for this daemon."),
		refused:   counter("claims_refused_total", "Claims that could not be decided."),
		full:      counter("buffer_refusals_total", "Requests refused because the buffer was full."),
		local:     counter("records_without_copy_total", "Records for which neither the store nor a second daemon answered in time."),
		buffered:  gauge("buffered_records", "Records that wait for the object store."),
		bytes:     gauge("buffered_bytes", "Bytes of the records that wait for the object store."),
	}
}
