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
	// BurstShare adds to Burst for each request of the window before. Without it
	// a daemon of a large fleet could save up less than one retry.
	BurstShare float64
	// Window is the length of the windows that requests are counted in. It is
	// needed with BurstShare only.
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
	// began is the start of the window, requests those within it, before those of
	// the window before.
	began            time.Time
	requests, before float64
}

// NewBudget returns a budget that begins with one second's floor.
func NewBudget(o BudgetOptions) *Budget {
	return &Budget{options: o, tokens: min(o.FloorPerSecond, o.Burst)}
}

// Request records one request that begins.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.count(now)
	b.add(b.options.Share)
}

// count counts one request in its window. The caller holds mu.
func (b *Budget) count(now time.Time) {
	b.roll(now)
	b.requests++
}

// roll begins a new window when the last one is over. The caller holds mu.
func (b *Budget) roll(now time.Time) {
	switch age := now.Sub(b.began); {
	case b.options.Window <= 0 || age < b.options.Window:
		return
	case age < 2*b.options.Window:
		b.before = b.requests
	default:
		b.before = 0
	}
	b.requests, b.began = 0, now
}

// Take takes the right to one retry and tells whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.roll(now)
	b.tokens = min(b.tokens, b.burst())
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
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
	return b.options.Burst + b.options.BurstShare*b.before
}
