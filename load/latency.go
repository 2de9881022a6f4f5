package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latency histograms, in microseconds.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	microsPerMilli    = 1000
)

// Latencies is a histogram of latencies. It is not safe for concurrent use.
type Latencies struct {
	histogram *hdrhistogram.Histogram
}

// NewLatencies returns an empty histogram.
func NewLatencies() *Latencies {
	return &Latencies{histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

// Record adds a latency, clamped to the range from 1 µs to 10 min.
func (l *Latencies) Record(d time.Duration) {
	micros := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	_ = l.histogram.RecordValue(micros)
}

// Count returns the number of recorded latencies.
func (l *Latencies) Count() int64 { return l.histogram.TotalCount() }

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Quantiles returns the quantiles of the recorded latencies, or zeros if there are
// none.
func (l *Latencies) Quantiles() Quantiles {
	at := func(percent float64) float64 {
		return float64(l.histogram.ValueAtQuantile(percent)) / microsPerMilli
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(l.histogram.Max()) / microsPerMilli}
}
