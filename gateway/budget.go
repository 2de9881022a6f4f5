package gateway

import (
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/retry"
)

// BudgetOptions bound the second sends of the whole fleet to one service within
// any window.
type BudgetOptions struct {
	// Ratio is the second sends that one request earns the fleet, Slack what may
	// be sent within a window besides.
	Ratio, Slack float64
	Window       time.Duration
}

// Each daemon uses a part of the budget that is safe without asking: most of the
// ratio, which its own requests earn, and half of the slack divided by the
// daemons.
const (
	ratioPart = 0.8
	// savedPart of the ratio lets a daemon save up for bursts by what it had to do
	// in the last window; in a large fleet its part of the slack is below one. With
	// ratioPart it makes up the ratio but for a margin.
	savedPart = 0.17
	// burstPart and floorPart of the daemon's slack are saved up and earned anew
	// over one window.
	burstPart = 0.7
	floorPart = 0.2
)

// budgets holds one retry budget for each service.
type budgets struct {
	options BudgetOptions
	daemons func() int

	mu        sync.Mutex
	byService map[string]*retry.Budget
	// most is the highest number of daemons seen. A daemon that is cut off from
	// the others must not take their shares.
	most int
}

func newBudgets(o BudgetOptions, daemons func() int) *budgets {
	return &budgets{options: o, daemons: daemons, byService: make(map[string]*retry.Budget)}
}

// of returns the budget of a service. When the fleet grows, the budgets begin
// anew with smaller shares.
func (b *budgets) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.daemons(); n > b.most {
		b.most = n
		clear(b.byService)
	}
	budget, ok := b.byService[service]
	if !ok {
		budget = retry.NewBudget(b.share())
		b.byService[service] = budget
	}
	return budget
}

// share returns this daemon's part.
func (b *budgets) share() retry.BudgetOptions {
	slack := b.options.Slack / float64(max(b.most, 1))
	return retry.BudgetOptions{
		Share:          ratioPart * b.options.Ratio,
		FloorPerSecond: floorPart * slack / max(b.options.Window.Seconds(), 1),
		Burst:          max(burstPart*slack, 1),
		BurstShare:     savedPart * b.options.Ratio,
		Window:         b.options.Window,
	}
}

// SetBudget replaces the bounds of the retry budgets.
func (g *Gateway) SetBudget(o BudgetOptions) {
	g.budgets.mu.Lock()
	defer g.budgets.mu.Unlock()
	if o != g.budgets.options {
		g.budgets.options = o
		clear(g.budgets.byService)
	}
}
