package retry

import (
	"sync"
	"time"
)

// BudgetOptions sets the size of a Budget.
type BudgetOptions struct {
	// Share is the number of retries that one request earns.
	Share float64
	// FloorPerSecond is the number of retries earned per second regardless of the
	// traffic, so that a daemon with little traffic can retry at all.
	FloorPerSecond float64
	// Burst bounds the number of retries saved up.
	Burst float64
	// BurstShare is added to Burst for each request of the last Window. Without it a
	// daemon of a large fleet could save up less than one retry. Besides the floor, the
	// retries in any window are then at most Share for each request in it, plus
	// BurstShare for each request of the window before, plus Burst.
	BurstShare float64
	// Window is the length of the sliding window in which requests are counted for
	// BurstShare.
	Window time.Duration
}

// DefaultBudgetOptions allows retries for a tenth of the requests.
func DefaultBudgetOptions() BudgetOptions {
	return BudgetOptions{Share: 0.1, FloorPerSecond: 1, Burst: 20}
}

// Budget bounds the retries of one daemon to a share of its requests plus a
// small floor. It may be used concurrently.
type Budget struct {
	options BudgetOptions

	mu       sync.Mutex
	tokens   float64
	refilled time.Time
	recent   slidingCount
}

// NewBudget returns a budget that starts with the floor of one second.
func NewBudget(o BudgetOptions) *Budget {
	return &Budget{options: o, tokens: min(o.FloorPerSecond, o.Burst), recent: slidingCount{width: o.Window / countBuckets}}
}

// Request records the start of one request, which earns its share of a retry.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.recent.add(now)
	b.add(b.options.Share)
}

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take(now time.Time) bool { return b.TakeUnreserved(now, 0) }

// TakeUnreserved takes one retry if the given share of the burst is left after it, which is
// reserved for more important retries.
func (b *Budget) TakeUnreserved(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.recent.advance(now)
	b.tokens = min(b.tokens, b.burst())
	if b.tokens < 1+share*b.burst() {
		return false
	}
	b.tokens--
	return true
}

// Ready reports whether Take would succeed now. It takes nothing.
func (b *Budget) Ready(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.recent.advance(now)
	return min(b.tokens, b.burst()) >= 1
}

// refill adds the floor for the time since the last call. If the clock steps back, it adds
// nothing.
func (b *Budget) refill(now time.Time) {
	if !b.refilled.IsZero() && now.After(b.refilled) {
		b.add(now.Sub(b.refilled).Seconds() * b.options.FloorPerSecond)
	}
	if b.refilled.IsZero() || now.After(b.refilled) {
		b.refilled = now
	}
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.burst())
}

// burst returns the number of retries that may be saved up now. The caller holds mu.
func (b *Budget) burst() float64 {
	return b.options.Burst + b.options.BurstShare*b.recent.sum
}
