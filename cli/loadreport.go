package cli

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
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

// codeUnavailable counts requests without any answer.
const codeUnavailable = "no answer"

// kindResults are the answers of one kind.
type kindResults struct {
	total      *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	tokens     int64
}

// loadResults collects what came of each request. It is safe for concurrent use.
type loadResults struct {
	mu      sync.Mutex
	kinds   map[string]*kindResults
	codes   map[string]int64
	unsent  int64
	broken  int64
	success int64
}

func newLoadResults() *loadResults {
	return &loadResults{kinds: make(map[string]*kindResults), codes: make(map[string]int64)}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

func (r *loadResults) notSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

// failed counts a request that got no whole answer.
func (r *loadResults) failed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var refused *RefusalError
	var broken *BrokenAnswerError
	switch {
	case errors.As(err, &refused):
		r.codes[refused.Detail.Code]++
	case errors.As(err, &broken):
		r.broken++
	default:
		r.codes[codeUnavailable]++
	}
}

// answered records a whole answer.
func (r *loadResults) answered(kind string, a *answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[kind]
	if k == nil {
		k = &kindResults{total: newHistogram(), firstToken: newHistogram()}
		r.kinds[kind] = k
	}
	r.success++
	k.tokens += a.Usage.Completion
	record(k.total, a.Total)
	if a.FirstToken > 0 {
		record(k.firstToken, a.FirstToken)
	}
}

// record adds a latency, cut to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	_ = h.RecordValue(micros)
}

// quantiles are latencies in milliseconds.
type quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	at := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / microsPerMilli }
	return quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / microsPerMilli}
}

// kindReport is the result of one kind.
type kindReport struct {
	Kind       string     `json:"kind"`
	Answered   int64      `json:"answered"`
	Tokens     int64      `json:"completion_tokens"`
	Total      quantiles  `json:"total"`
	FirstToken *quantiles `json:"first_token,omitempty"`
}

// codeReport counts the refusals of one code.
type codeReport struct {
	Code  string `json:"code"`
	Count int64  `json:"count"`
}

// loadReport is the result of a load.
type loadReport struct {
	Seconds  float64      `json:"seconds"`
	Sent     int64        `json:"sent"`
	Answered int64        `json:"answered"`
	Broken   int64        `json:"broken"`
	NotSent  int64        `json:"not_sent"`
	Kinds    []kindReport `json:"kinds"`
	Refusals []codeReport `json:"refusals"`
}

// report returns the results so far.
func (r *loadResults) report(took time.Duration) loadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := loadReport{
		Seconds: took.Seconds(), Answered: r.success, Broken: r.broken, NotSent: r.unsent,
		Sent: r.success + r.broken, Kinds: []kindReport{}, Refusals: []codeReport{},
	}
	for code, count := range r.codes {
		out.Sent += count
		out.Refusals = append(out.Refusals, codeReport{Code: code, Count: count})
	}
	for kind, k := range r.kinds {
		out.Kinds = append(out.Kinds, k.report(kind))
	}
	slices.SortFunc(out.Refusals, func(a, b codeReport) int { return strings.Compare(a.Code, b.Code) })
	slices.SortFunc(out.Kinds, func(a, b kindReport) int { return strings.Compare(a.Kind, b.Kind) })
	return out
}

func (k *kindResults) report(kind string) kindReport {
	out := kindReport{Kind: kind, Answered: k.total.TotalCount(), Tokens: k.tokens, Total: quantilesOf(k.total)}
	if k.firstToken.TotalCount() > 0 {
		first := quantilesOf(k.firstToken)
		out.FirstToken = &first
	}
	return out
}

// print writes the report.
func (r loadReport) print(out printer) error {
	if out.json {
		return out.object(r)
	}
	out.printf("%d sent in %.1f s: %d answered whole, %d broken, %d not sent", r.Sent, r.Seconds, r.Answered, r.Broken, r.NotSent)
	rows := make([][]string, 0, len(r.Kinds))
	for _, k := range r.Kinds {
		row := []string{k.Kind, fmt.Sprint(k.Answered), fmt.Sprint(k.Tokens)}
		row = append(row, k.Total.row()...)
		if k.FirstToken != nil {
			row = append(row, k.FirstToken.row()...)
		}
		rows = append(rows, row)
	}
	out.table([]string{"KIND", "ANSWERED", "TOKENS", "P50 MS", "P95 MS", "P99 MS", "MAX MS", "FIRST TOKEN P50", "P95", "P99", "MAX"}, rows)
	for _, code := range r.Refusals {
		out.printf("refused with %s: %d", code.Code, code.Count)
	}
	return nil
}

func (q quantiles) row() []string {
	row := make([]string, 0, 4)
	for _, value := range []float64{q.P50, q.P95, q.P99, q.Max} {
		row = append(row, fmt.Sprintf("%.1f", value))
	}
	return row
}
