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

// reviewInterval is the time between two comparisons of the engines.
const reviewInterval = time.Second

// staleRetryAfter is what callers of an isolated daemon are told. The other
// addresses can be used at once.
const staleRetryAfter = time.Second

// decisions holds the state of the decision packages.
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

// start begins the loops that feed the decisions.
func (n *decisions) start(d *Daemon) {
	d.fleet.provider.Subscribe(d.compiler.setSnapshot)
	d.fleet.members.Subscribe(d.compiler.setView)
	reporter := &loadReporter{
		reports: d.platform.reports, state: n.engines, occupancy: n.occupancy, engines: d.compiler.visibleEngines,
		log: logging.Part(d.log, "engine"),
	}
	d.goLoop("load reports", reporter.run)
	d.goLoop("samples", n.sampler.run)
	d.goLoop("admission", n.admission.Run)
	d.goLoop("engine review", d.reviewEngines)
	d.goLoop("room", d.keepRoom)
}

// reviewEngines compares the engines from time to time.
func (d *Daemon) reviewEngines(ctx context.Context) error {
	log := logging.Part(d.log, "balance")
	for backoff.Sleep(ctx, reviewInterval) == nil {
		tables := d.tables.Load()
		if tables == nil {
			continue
		}
		for _, c := range d.decisions.engines.Review(tables.Engines, time.Now()) {
			log.Info().Str("engine", c.Engine).Str("phase", c.Phase).Float64("ratio", c.Ratio).Msg("engine reviewed")
		}
	}
	return nil
}

const (
	// newsWait bounds how long a request waits for a daemon that stood still to
	// learn whether its configuration is the newest. The store or the peers tell
	// it within some round trips, unless none of them answers.
	newsWait = 300 * time.Millisecond
	// newsPoll is the time between two looks.
	newsPoll = 5 * time.Millisecond
)

// fresh refuses work when this daemon hears neither the store nor most of its
// peers, since it may be the one that missed a withdrawal.
func (d *Daemon) fresh(now time.Time) *failure.Error {
	_, f := d.news(now)
	return f
}

// awaitFresh is fresh for a request: one that reaches a daemon which has just
// resumed waits until the daemon has asked for the newest configuration.
func (d *Daemon) awaitFresh(now time.Time) *failure.Error {
	reason, f := d.news(now)
	for waited := time.Duration(0); f != nil && reason == provider.ReasonResumed && waited < newsWait; waited += newsPoll {
		time.Sleep(newsPoll)
		reason, f = d.news(time.Now())
	}
	return f
}

// news tells whether this daemon may take work, and why.
func (d *Daemon) news(now time.Time) (provider.Reason, *failure.Error) {
	members := d.fleet.members
	ok, reason := d.fleet.provider.CheckFreshness(now, members.PeersHeard(), members.PeersKnown(), members.View().Live()-1)
	if ok {
		d.publishNewest()
		return reason, nil
	}
	return reason, failure.New(failure.CodeConfigurationStale, failure.RanNo, "this address has no fresh configuration: %s", reason).WithRetryAfter(staleRetryAfter)
}

// publishNewest compiles a configuration that the provider has installed and the
// tables lack yet. Without it a daemon whose news is fresh again could still
// decide by the tables from before.
func (d *Daemon) publishNewest() {
	newest, tables := d.fleet.provider.Snapshot(), d.tables.Load()
	if newest == nil {
		return
	}
	if tables == nil || tables.Snapshot.Generation() < newest.Generation() {
		d.compiler.setSnapshot(newest)
	}
}

// newRouter joins the parts for the way of a request.
func newRouter(d *Daemon) *router.Router {
	n := d.decisions
	return router.New(router.Options{
		DataCentre:    d.settings.GetDataCentre(),
		MaxBodyBytes:  d.settings.GetMaxBodyBytes(),
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
		Members:       routerMembers{members: d.fleet.members, dataCentre: d.settings.GetDataCentre(), longest: d.settings.GetEntriesKeep().AsDuration()},
		Sampler:       n.sampler,
		Quarantine:    d.quarantine,
		EngineClient:  gatedEngines{gate: d.dispatchGate(), next: d.platform.engines},
		ServiceClient: gatedServices{gate: d.dispatchGate(), next: d.platform.services},
		Seed:          d.options.Seed + randRouter,
		Log:           logging.Part(d.log, "router"),
		Registerer:    d.options.Registry,
	})
}
