package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// priorities is the number of values of Priority.
const priorities = int(bronzeturnv1.Priority_PRIORITY_URGENT) + 1

// peerLoadGain is the smoothing factor of the moving averages of the other
// daemons' work.
const peerLoadGain = 0.1

// load is the work of one engine: what this daemon has in flight there, which is
// exact, and what the other daemons have, which is known from delayed reports.
// Writers hold mu; Choose reads the atomics without it.
type load struct {
	requests [priorities]atomic.Int64
	tokens   [priorities]atomic.Int64

	peerRequests atomic.Int64
	peerTokens   atomic.Int64
	// meanPeerRequests and meanPeerTokens are moving averages of the other daemons'
	// work over their reports, as float bits.
	meanPeerRequests atomic.Uint64
	meanPeerTokens   atomic.Uint64
	// reportedAt is the time of the newest report in Unix nanoseconds.
	reportedAt atomic.Int64

	_ cacheLine

	mu      sync.Mutex
	history history
	// retired is set when the activity is evicted; no changes are accepted from then on.
	retired bool
}

// priorityIndex returns the index of a priority. Unspecified and unknown values
// count as normal.
func priorityIndex(p bronzeturnv1.Priority) int {
	if p <= 0 || int(p) >= priorities {
		return int(bronzeturnv1.Priority_PRIORITY_NORMAL)
	}
	return int(p)
}

// change adds to the work in flight. Sums never fall below zero, so that the end
// of a request sent before the engine was known does not cause a permanent error.
// It returns false, without any change, if the load is retired.
func (l *load) change(priority int, requests, tokens int64, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return false
	}
	addClamped(&l.requests[priority], requests)
	addClamped(&l.tokens[priority], tokens)
	if l.requests[priority].Load() == 0 {
		l.tokens[priority].Store(0)
	}
	l.history.record(loadSample{at: at.UnixNano(), requests: sum(&l.requests), tokens: sum(&l.tokens)})
	return true
}

// retire marks an idle load as retired. It returns false if the load is not idle.
func (l *load) retire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.idle() {
		return false
	}
	l.retired = true
	return true
}

func addClamped(v *atomic.Int64, n int64) {
	v.Store(max(0, v.Load()+n))
}

// report handles a load report of the engine. What this daemon had in flight at
// the time of the report is subtracted; the rest is the other daemons' work.
func (l *load) report(r LoadReported) {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := r.AsOf.UnixNano()
	if asOf < l.reportedAt.Load() {
		return
	}
	own := l.history.at(asOf)
	requests := max(0, r.Requests-own.requests)
	tokens := max(0, r.Tokens-own.tokens)
	if r.Tokens == 0 && own.requests > 0 {
		tokens = requests * own.tokens / own.requests
	}
	l.setPeerLoad(requests, tokens, asOf)
}

// reportPeerLoad handles a report of the other daemons' work.
func (l *load) reportPeerLoad(r PeerLoadReported) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := r.At.UnixNano()
	if at < l.reportedAt.Load() {
		return
	}
	l.setPeerLoad(r.Requests, r.Tokens, at)
}

// setPeerLoad stores the other daemons' work at the given time. The caller holds
// mu.
func (l *load) setPeerLoad(requests, tokens, at int64) {
	first := l.reportedAt.Load() == 0
	l.peerRequests.Store(requests)
	l.peerTokens.Store(tokens)
	updateMean(&l.meanPeerRequests, float64(requests), first)
	updateMean(&l.meanPeerTokens, float64(tokens), first)
	l.reportedAt.Store(at)
}

// updateMean updates a moving average with a value. The caller holds mu.
func updateMean(average *atomic.Uint64, value float64, first bool) {
	old := math.Float64frombits(average.Load())
	if first {
		old = value
	}
	average.Store(math.Float64bits(old + peerLoadGain*(value-old)))
}

// idle reports whether this daemon has no requests in flight.
func (l *load) idle() bool { return sum(&l.requests) == 0 }

func sum(values *[priorities]atomic.Int64) int64 {
	var total int64
	for i := range values {
		total += values[i].Load()
	}
	return total
}

// view is the load that a request of a given priority finds at an engine.
type view struct {
	// requests and tokens count all work.
	requests, tokens float64
	// ahead counts the requests of the same or a higher priority.
	ahead float64
}

// view returns the load for a request of the priority, at an engine that
// generates rate tokens per second for each request. The other daemons' work
// counts as having the same priority; its weight declines when no more reports
// arrive.
func (l *load) view(priority int, now int64, fresh time.Duration, rate float64) view {
	var v view
	for i := range priorities {
		n := float64(l.requests[i].Load())
		v.requests += n
		v.tokens += float64(l.tokens[i].Load())
		if i >= priority {
			v.ahead += n
		}
	}
	reportedAt := l.reportedAt.Load()
	if reportedAt == 0 {
		return v
	}
	age := now - reportedAt
	weight := freshness(age, int64(fresh))
	requests, tokens := l.estimatePeerLoad(age, rate)
	v.requests += weight * requests
	v.ahead += weight * requests
	v.tokens += weight * tokens
	return v
}

// estimatePeerLoad estimates the other daemons' work from a report of the given
// age in nanoseconds. The estimate decays exponentially from the reported work to
// its moving average, as the requests that ran then finish and others arrive.
// Without the decay, all daemons would send to the engine that was least busy at
// the last report.
func (l *load) estimatePeerLoad(age int64, rate float64) (requests, tokens float64) {
	requests, tokens = float64(l.peerRequests.Load()), float64(l.peerTokens.Load())
	meanRequests := math.Float64frombits(l.meanPeerRequests.Load())
	meanTokens := math.Float64frombits(l.meanPeerTokens.Load())
	left := remaining(max(requests, meanRequests), max(tokens, meanTokens), rate)
	decay := 0.0
	if left > 0 {
		decay = math.Exp(-max(0, float64(age)) / float64(time.Second) / left)
	}
	return meanRequests + decay*(requests-meanRequests), meanTokens + decay*(tokens-meanTokens)
}

// remaining returns the mean remaining time of running requests in seconds.
func remaining(requests, tokens, rate float64) float64 {
	if requests <= 0 || rate <= 0 {
		return 0
	}
	return tokens / requests / rate
}

// freshness returns the weight of a report: 1 up to the age fresh, falling
// linearly to 0 at three times that age.
func freshness(age, fresh int64) float64 {
	switch {
	case age <= fresh:
		return 1
	case age >= 3*fresh:
		return 0
	default:
		return float64(3*fresh-age) / float64(2*fresh)
	}
}
