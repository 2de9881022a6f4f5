package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/gateway"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/occupancy"
	"github.com/bronzeturn/bronzeturn/peer"
)

// maxQueriedEngines is the maximum number of engines whose load is queried before a request is
// sent. The best of four engines with fresh counts is nearly as good as the best of all; more
// engines would cost more calls.
const maxQueriedEngines = 4

// sharedBalancer chooses engines by the requests that all daemons have in progress there.
type sharedBalancer struct {
	*balance.State
	occupancy *occupancy.Client
	keepers   *keepers
	// reserves reports whether requests to an engine need a slot.
	reserves func(engine string) bool
	daemon   *Daemon
}

// newSharedBalancer returns a balancer that shares the work in progress of this daemon with the
// others.
func newSharedBalancer(d *Daemon) *sharedBalancer {
	keepers := newKeepers(d.Settings.Name, func() rankedFleet { return d.fleet.members.View() }, len(d.Settings.Seeds) > 0, d.started)
	reserves := d.limits.Brittle.Reserves
	return &sharedBalancer{daemon: d, State: d.balancer, keepers: keepers, reserves: reserves, occupancy: occupancy.New(occupancy.Options{
		Self: d.Settings.Name, Keeper: keepers.of, Client: d.fleet.occupancyClient,
		InFlight: d.requestsInProgress, EachInFlight: d.balancer.InFlight,
		Backups: keepers.backups, Reserves: reserves, ReservesAny: d.limits.Brittle.Any,
		Store: d.occupancyStore, Settled: keepers.settled, Log: d.logger("occupancy"), Registerer: d.registry,
	})}
}

// Choose implements gateway.Balancer. For a request with a prompt, engines are first compared by
// the local estimates, then the best of them again with the work in progress of the other
// daemons, which is queried from the engines' keepers. The local estimates alone lack what other
// daemons have sent recently, so all daemons would choose the same few engines. Requests without
// a prompt are so short that a query would take as long as the request.
func (b *sharedBalancer) Choose(p *balance.Plan, r *balance.Request, now time.Time, rng *rand.Rand) (balance.Decision, bool) {
	decision, ok := b.State.Choose(p, r, now, rng)
	if !ok || r.Work.PromptTokens == 0 || !comparesLoad(decision.Reason) {
		return decision, ok
	}
	engines := decision.Compared(maxQueriedEngines)
	answers := b.occupancy.QueryLoads(context.Background(), engines)
	if len(answers) == 0 {
		return decision, ok
	}
	now = time.Now()
	for _, a := range answers {
		b.PeerLoadReported(balance.PeerLoadReported{
			Engine: a.Engine, Requests: a.Load.Requests, Tokens: a.Load.Tokens + gateway.WorkOf(a.Load.Delay), At: now,
		})
		b.PaceReported(balance.PaceReported{
			Engine: a.Engine, MeanLog: a.Pace.MeanLog, Variance: a.Pace.Variance, Weight: a.Pace.Weight, At: now,
		})
	}
	again := *r
	again.NoProbe = true
	copy(again.Candidates[:], engines)
	return b.State.Choose(p, &again, now, rng)
}

// comparesLoad reports whether a choice with the given reason compared the load of engines.
func comparesLoad(r balance.Reason) bool {
	return r == balance.ReasonLeastWait || r == balance.ReasonAffinity || r == balance.ReasonRemote
}

// Dispatched implements gateway.Balancer.
func (b *sharedBalancer) Dispatched(ev balance.Dispatched) {
	b.State.Dispatched(ev)
	if ev.Work.PromptTokens > 0 || b.reserves(ev.Engine) {
		b.occupancy.RequestSent(context.Background(), ev.Engine)
	}
}

// FirstToken implements gateway.Balancer.
func (b *sharedBalancer) FirstToken(ev balance.FirstToken) {
	b.State.FirstToken(ev)
	b.workChanged(ev.Engine, ev.Work)
}

// Finished implements gateway.Balancer.
func (b *sharedBalancer) Finished(ev balance.Finished) {
	b.State.Finished(ev)
	if ev.Work.PromptTokens > 0 && !ev.Cancelled && ev.PaceRatio != 0 {
		b.occupancy.PaceMeasured(ev.Engine, ev.PaceRatio)
	}
	b.workChanged(ev.Engine, ev.Work)
}

// Failed implements gateway.Balancer.
func (b *sharedBalancer) Failed(ev balance.Failed) {
	b.State.Failed(ev)
	b.workChanged(ev.Engine, ev.Work)
	if ev.Kind == balance.FailureUnreachable {
		b.engineUnreachable(&ev)
	}
}

// workChanged has the work in progress at an engine reported to its keeper. Requests without a
// prompt are counted there only if they need a slot, which is free for others now.
func (b *sharedBalancer) workChanged(engine string, w balance.Work) {
	switch {
	case b.reserves(engine):
		b.occupancy.SlotFreed(context.Background(), engine)
	case w.PromptTokens > 0:
		b.occupancy.LoadChanged(engine)
	}
}

// fleetChanged drops what daemons that are gone have reported, and has the work in progress reported
// to new keepers.
func (b *sharedBalancer) fleetChanged(view *membership.View) {
	b.keepers.update(view)
	if !b.daemon.limits.Brittle.Any() {
		return
	}
	b.daemon.occupancyStore.Forget(func(daemon string) bool {
		m, known := view.Member(daemon)
		return known && m.Reason != membership.ReasonUnreachable
	})
	b.occupancy.KeepersChanged()
}

// occupancyClient returns a client for a keeper, or nil if the daemon is unknown.
func (f *fleet) occupancyClient(daemon string) bronzeturnv1connect.OccupancyServiceClient {
	client, base, ok := f.directory.Dial(daemon)
	if !ok {
		return nil
	}
	return bronzeturnv1connect.NewOccupancyServiceClient(client, base, peer.ClientOptions()...)
}

// meanLoad is the mean number of this daemon's requests in progress at some engines. Of a service
// with a few requests at a time, each daemon has none or one, from which the load of the fleet cannot
// be told.
type meanLoad struct {
	requests float64
	at       time.Time
}

// meanLoadTime is the time constant of a meanLoad.
const meanLoadTime = 2 * time.Second

// observe adds the number of requests in progress now, and returns an estimate for the near future. It
// follows a rise of more than one request at once.
func (m *meanLoad) observe(requests int64, now time.Time) float64 {
	current, weight := float64(requests), 1.0
	if !m.at.IsZero() {
		weight = 1 - math.Exp(-now.Sub(m.at).Seconds()/meanLoadTime.Seconds())
	}
	m.requests += weight * (current - m.requests)
	m.at = now
	return max(m.requests, current-1)
}

// ownRequests returns the number of this daemon's requests in progress at some engines.
func (d *Daemon) ownRequests(engines []string) (own int64) {
	for _, engine := range engines {
		requests, _ := d.balancer.OwnLoad(engine)
		own += requests
	}
	return own
}
