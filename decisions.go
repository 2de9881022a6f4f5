package bronzeturn

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/admission"
	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/hedge"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/provider"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/retry"
	"github.com/bronzeturn/bronzeturn/rollout"
	"github.com/bronzeturn/bronzeturn/router"
	"github.com/bronzeturn/bronzeturn/selection"
)

// reviewInterval is the time between two comparisons of the engines' latencies.
const reviewInterval = time.Second

// staleRetryAfter is the Retry-After time given to callers of a daemon without
// a fresh configuration. They can use the other addresses at once.
const staleRetryAfter = time.Second

// decisions holds the state of the packages that decide about requests: version
// selection, load balancing, retries, hedging and admission.
type decisions struct {
	quality   *quality.Store
	rollouts  *rollout.Controller
	versions  *selection.Policy
	engines   *balance.State
	hedges    *hedge.Policy
	budget    *retry.Budget
	breakers  *retry.Breakers
	admission *admission.Controller
	occupancy *occupancy
	sampler   *sampler
}

func newDecisions(d *Daemon) (*decisions, error) {
	n := &decisions{
		quality:   quality.NewStore(quality.Options{}),
		rollouts:  rollout.NewController(rollout.Options{}),
		breakers:  retry.NewBreakers(retry.DefaultBreakerOptions()),
		occupancy: newOccupancy(),
	}
	n.versions = selection.NewPolicy(selection.Options{}, n.quality, n.rollouts)
	budget := retry.DefaultBudgetOptions()
	budget.Share = d.settings.GetRetryBudgetRatio()
	n.budget = retry.NewBudget(budget)
	hedging := hedge.DefaultOptions()
	hedging.Budget.Share = d.settings.GetHedgeBudgetRatio()
	var err error
	if n.hedges, err = hedge.New(hedging); err != nil {
		return nil, err
	}
	if n.engines, err = balance.NewState(balance.DefaultOptions()); err != nil {
		return nil, err
	}
	if n.admission, err = admission.New(admissionOptions(d)); err != nil {
		return nil, err
	}
	n.sampler = newSampler(d.platform.ratings, d.settings.GetRatingSampleShare(), d.rand(randSampler), logging.Part(d.log, "rating"))
	return n, nil
}

func admissionOptions(d *Daemon) admission.Options {
	return admission.Options{
		Name:       d.settings.GetName(),
		Owner:      d.fleet.members.Owner,
		Dial:       d.fleet.directory.Dial,
		Reachable:  d.fleet.reachable,
		Registerer: d.options.Registry,
		Log:        logging.Part(d.log, "admission"),
	}
}

// start starts the loops that supply the decisions with data.
func (n *decisions) start(d *Daemon) {
	d.fleet.provider.Subscribe(d.compiler.setSnapshot)
	d.fleet.members.Subscribe(d.compiler.setView)
	poller := &loadPoller{
		reports: d.platform.reports, state: n.engines, occupancy: n.occupancy, engines: d.compiler.visibleEngines,
		log: logging.Part(d.log, "engine"),
	}
	d.goLoop("load reports", poller.run)
	d.goLoop("samples", n.sampler.run)
	d.goLoop("admission", n.admission.Run)
	d.goLoop("engine review", d.reviewEngines)
	d.goLoop("room", d.updateLoads)
}

// reviewEngines periodically compares the engines' latencies and logs ejections
// and re-admissions.
func (d *Daemon) reviewEngines(ctx context.Context) error {
	log := logging.Part(d.log, "balance")
	for backoff.Sleep(ctx, reviewInterval) == nil {
		tables := d.tables.Load()
		if tables == nil {
			continue
		}
		for _, c := range d.decisions.engines.Review(tables.Engines, time.Now()) {
			log.Info().Str("engine", c.Engine).Str("phase", c.Phase).Float64("ratio", c.Ratio).Msg("engine phase changed")
		}
	}
	return nil
}

const (
	// freshnessWait bounds how long a request waits, after the daemon's process
	// was paused, until the daemon knows whether its configuration is still the
	// newest. The store or the peers tell it within a few round trips, unless
	// none of them answers.
	freshnessWait = 300 * time.Millisecond
	// freshnessPollInterval is the time between two checks during that wait.
	freshnessPollInterval = 5 * time.Millisecond
)

// checkFresh returns an error if this daemon hears neither the store nor most of
// its peers, since it may then have missed the withdrawal of a version.
func (d *Daemon) checkFresh(now time.Time) *failure.Error {
	_, f := d.freshness(now)
	return f
}

// awaitFresh is checkFresh for requests: if the daemon's process has just resumed
// from a pause, the request waits, at most freshnessWait, until the daemon has
// asked for the newest configuration.
func (d *Daemon) awaitFresh(now time.Time) *failure.Error {
	reason, f := d.freshness(now)
	for waited := time.Duration(0); f != nil && reason == provider.ReasonResumed && waited < freshnessWait; waited += freshnessPollInterval {
		time.Sleep(freshnessPollInterval)
		reason, f = d.freshness(time.Now())
	}
	return f
}

// freshness returns an error if this daemon may accept no work because its
// configuration may be stale, and in either case the provider's reason.
func (d *Daemon) freshness(now time.Time) (provider.Reason, *failure.Error) {
	members := d.fleet.members
	ok, reason := d.fleet.provider.CheckFreshness(now, members.PeersHeard(), members.PeersKnown(), members.View().Live()-1)
	if ok {
		d.publishNewest()
		return reason, nil
	}
	return reason, failure.New(failure.CodeConfigurationStale, failure.RanNo, "this address has no fresh configuration: %s", reason).WithRetryAfter(staleRetryAfter)
}

// publishNewest compiles the provider's configuration if the tables in use are
// older. Otherwise a daemon whose configuration has just become fresh again
// could still decide by outdated tables.
func (d *Daemon) publishNewest() {
	newest, tables := d.fleet.provider.Snapshot(), d.tables.Load()
	if newest == nil {
		return
	}
	if tables == nil || tables.Snapshot.Generation() < newest.Generation() {
		d.compiler.setSnapshot(newest)
	}
}

// newRouter returns the router with the components that it uses.
func newRouter(d *Daemon) *router.Router {
	n := d.decisions
	return router.New(router.Options{
		DataCentre:    d.settings.GetDataCentre(),
		MaxBodyBytes:  d.settings.GetMaxBodyBytes(),
		Memory:        d.clients.Account(),
		Tables:        d.tables.Load,
		CheckFresh:    d.awaitFresh,
		Versions:      n.versions,
		Quality:       n.quality,
		Engines:       n.engines,
		Hedges:        n.hedges,
		Retries:       retry.DefaultPolicy(),
		Budget:        n.budget,
		Breakers:      n.breakers,
		Admission:     n.admission,
		Ledger:        d.fleet.ledger,
		Members:       routerMembers{members: d.fleet.members, dataCentre: d.settings.GetDataCentre(), maxKeep: d.settings.GetEntriesKeep().AsDuration()},
		Sampler:       n.sampler,
		Quarantine:    d.quarantine,
		EngineClient:  gatedEngines{gate: d.dispatchGate(), next: d.platform.engines},
		ServiceClient: gatedServices{gate: d.dispatchGate(), next: d.platform.services},
		Seed:          d.options.Seed + randRouter,
		Log:           logging.Part(d.log, "router"),
		Registerer:    d.options.Registry,
	})
}
