package gateway

import (
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/retry"
)

// BudgetOptions sets the retry budget: the maximum number of additional sends (retries,
// hand-overs to another engine and escalations to a larger model) of the whole fleet to one
// service within any window.
type BudgetOptions struct {
	// Ratio is the number of additional sends allowed per request, Slack the number
	// allowed per window regardless of the requests.
	Ratio, Slack float64
	Window       time.Duration
}

// Shares of the fleet's budget that one daemon may use without coordination: most of the
// ratio, earned by its own requests, and its share of the slack, which is divided by the
// number of daemons.
const (
	ratioPart = 0.8
	// burstRatioPart of the ratio is saved up for bursts, by the daemon's requests in the
	// last window. In a large fleet a daemon's share of the slack is below one send. With
	// ratioPart it adds up to 0.97 of the ratio, which leaves a margin.
	burstRatioPart = 0.17
	// burstPart of the daemon's slack can be saved up, floorPart of it is earned per
	// window.
	burstPart = 0.7
	floorPart = 0.2
)

// budgets holds one retry budget for each service.
type budgets struct {
	options BudgetOptions
	daemons func() int

	mu        sync.Mutex
	byService map[string]*retry.Budget
	// denied is when a retry was last denied for want of budget, by service.
	denied map[string]time.Time
	// maxDaemons is the highest number of daemons seen. It never falls, so that a daemon
	// that is partitioned from the others does not use their shares.
	maxDaemons int
}

func newBudgets(o BudgetOptions, daemons func() int) *budgets {
	return &budgets{options: o, daemons: daemons, byService: make(map[string]*retry.Budget), denied: make(map[string]time.Time)}
}

// forService returns the budget of a service. If the fleet has grown, all budgets are
// reset to their smaller shares.
func (b *budgets) forService(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.daemons(); n > b.maxDaemons {
		b.maxDaemons = n
		clear(b.byService)
	}
	budget, ok := b.byService[service]
	if !ok {
		budget = retry.NewBudget(b.daemonShare())
		b.byService[service] = budget
	}
	return budget
}

// recordDenied records that a retry was denied for want of budget.
func (b *budgets) recordDenied(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.denied[service] = now
}

// lastDenied returns when a retry was last denied, or the zero time.
func (b *budgets) lastDenied(service string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied[service]
}

// daemonShare returns the options of this daemon's share of a budget.
func (b *budgets) daemonShare() retry.BudgetOptions {
	slack := b.options.Slack / float64(max(b.maxDaemons, 1))
	return retry.BudgetOptions{
		Share:          ratioPart * b.options.Ratio,
		FloorPerSecond: floorPart * slack / max(b.options.Window.Seconds(), 1),
		Burst:          max(burstPart*slack, 1),
		BurstShare:     burstRatioPart * b.options.Ratio,
		Window:         b.options.Window,
	}
}

// SetBudget changes the options of the retry budgets. If they differ, all budgets are reset.
func (g *Gateway) SetBudget(o BudgetOptions) {
	g.budgets.mu.Lock()
	defer g.budgets.mu.Unlock()
	if o != g.budgets.options {
		g.budgets.options = o
		clear(g.budgets.byService)
	}
}
