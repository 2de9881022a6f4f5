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

// usualGain is the weight of a report in the moving averages of the others'
// work.
const usualGain = 0.1

// load is the work of one engine: what this daemon has in flight there, known
// exactly, and what others have, known from lagging reports. The writers hold
// mu; the choice reads the atomics without it.
type load struct {
	requests [priorities]atomic.Int64
	tokens   [priorities]atomic.Int64

	foreignRequests atomic.Int64
	foreignTokens   atomic.Int64
	// usualRequests and usualTokens are moving averages of the others' work over
	// reports, as float bits.
	usualRequests atomic.Uint64
	usualTokens   atomic.Uint64
	// reportedAt is the AsOf of the newest report in Unix nanoseconds.
	reportedAt atomic.Int64

	_ cacheLine

	mu      sync.Mutex
	history history
	// retired is set when the activity is evicted; no changes are accepted from then on.
	retired bool
}

// priorityIndex maps a priority to its class. Unspecified counts as normal.
func priorityIndex(p bronzeturnv1.Priority) int {
	if p <= 0 || int(p) >= priorities {
		return int(bronzeturnv1.Priority_PRIORITY_NORMAL)
	}
	return int(p)
}

// change adds to the work in flight. Sums never fall below zero, so that an
// event of a request sent before the engine was known does no lasting harm. It
// returns false, without any change, if the load is retired.
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
	l.history.record(moment{at: at.UnixNano(), requests: sum(&l.requests), tokens: sum(&l.tokens)})
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

// report takes in a load report. What this daemon had in flight at the time of
// the report is subtracted, what is left belongs to others.
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
	l.setOthers(requests, tokens, asOf)
}

// reportOthers takes in the others' work as of now.
func (l *load) reportOthers(r PeerLoadReported) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := r.At.UnixNano()
	if at < l.reportedAt.Load() {
		return
	}
	l.setOthers(r.Requests, r.Tokens, at)
}

// setOthers stores the others' work as of a time. The caller holds mu.
func (l *load) setOthers(requests, tokens, at int64) {
	first := l.reportedAt.Load() == 0
	l.foreignRequests.Store(requests)
	l.foreignTokens.Store(tokens)
	follow(&l.usualRequests, float64(requests), first)
	follow(&l.usualTokens, float64(tokens), first)
	l.reportedAt.Store(at)
}

// follow moves the average towards the value. The caller holds mu.
func follow(average *atomic.Uint64, value float64, first bool) {
	old := math.Float64frombits(average.Load())
	if first {
		old = value
	}
	average.Store(math.Float64bits(old + usualGain*(value-old)))
}

// idle tells whether this daemon has nothing in flight.
func (l *load) idle() bool { return sum(&l.requests) == 0 }

func sum(values *[priorities]atomic.Int64) int64 {
	var total int64
	for i := range values {
		total += values[i].Load()
	}
	return total
}

// view is a load as the choice sees it.
type view struct {
	// requests and tokens count all work.
	requests, tokens float64
	// ahead counts the requests of the same or a higher priority.
	ahead float64
}

// view returns the load for a request of the priority, at an engine that
// generates rate tokens a second for each request. Work of others counts as of
// the same priority; it fades when reports stop coming.
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
	requests, tokens := l.others(age, rate)
	v.requests += weight * requests
	v.ahead += weight * requests
	v.tokens += weight * tokens
	return v
}

// others estimates the others' work from a report of the given age. What ran
// then ends in time and is replaced by as much as usual. Without this all
// daemons would rush to the engine that was least busy at the last report.
func (l *load) others(age int64, rate float64) (requests, tokens float64) {
	requests, tokens = float64(l.foreignRequests.Load()), float64(l.foreignTokens.Load())
	usualRequests := math.Float64frombits(l.usualRequests.Load())
	usualTokens := math.Float64frombits(l.usualTokens.Load())
	left := remaining(max(requests, usualRequests), max(tokens, usualTokens), rate)
	kept := 0.0
	if left > 0 {
		kept = math.Exp(-max(0, float64(age)) / float64(time.Second) / left)
	}
	return usualRequests + kept*(requests-usualRequests), usualTokens + kept*(tokens-usualTokens)
}

// remaining is the mean time in seconds that running requests still need.
func remaining(requests, tokens, rate float64) float64 {
	if requests <= 0 || rate <= 0 {
		return 0
	}
	return tokens / requests / rate
}

// freshness is 1 up to the age fresh and falls to 0 at three times that.
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
