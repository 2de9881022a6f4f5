package retry

import (
	"sync"
	"time"
)

// BudgetOptions sets the size of a Budget.
type BudgetOptions struct {
	// Share is the number of retries that one request earns.
	Share float64
	// FloorPerSecond is earned whatever the traffic, so that a quiet daemon
	// can retry at all.
	FloorPerSecond float64
	// Burst bounds the retries saved up.
	Burst float64
	// BurstShare adds to Burst for each request of the last Window. Without it a
	// daemon of a large fleet could save up less than one retry. In any window there
	// are then at most Share retries for each request in it, BurstShare for each of
	// the window before, and Burst.
	BurstShare float64
	// Window is the length of the window that requests are counted in. It is needed
	// with BurstShare only.
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

	mu     sync.Mutex
	tokens float64
	filled time.Time
	recent slidingCount
}

// NewBudget returns a budget that begins with one second's floor.
func NewBudget(o BudgetOptions) *Budget {
	return &Budget{options: o, tokens: min(o.FloorPerSecond, o.Burst), recent: slidingCount{width: o.Window / countBuckets}}
}

// Request records one request that begins.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.recent.add(now)
	b.add(b.options.Share)
}

// Take takes the right to one retry and tells whether there was one.
func (b *Budget) Take(now time.Time) bool { return b.TakeUnreserved(now, 0) }

// TakeUnreserved takes the right to one retry only when a share of what may be saved up is left
// after it, for retries that matter more.
func (b *Budget) TakeUnreserved(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.recent.move(now)
	b.tokens = min(b.tokens, b.burst())
	if b.tokens < 1+share*b.burst() {
		return false
	}
	b.tokens--
	return true
}

// Ready tells whether a retry could be taken now.
func (b *Budget) Ready(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.recent.move(now)
	return min(b.tokens, b.burst()) >= 1
}

// fill adds the floor for the time since the last call. A clock that steps
// back earns nothing.
func (b *Budget) fill(now time.Time) {
	if !b.filled.IsZero() && now.After(b.filled) {
		b.add(now.Sub(b.filled).Seconds() * b.options.FloorPerSecond)
	}
	if b.filled.IsZero() || now.After(b.filled) {
		b.filled = now
	}
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.burst())
}

// burst returns how many retries may be saved up now. The caller holds mu.
func (b *Budget) burst() float64 {
	return b.options.Burst + b.options.BurstShare*b.recent.sum
}
