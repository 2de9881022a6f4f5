package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/gateway"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/occupancy"
	"github.com/bronzeturn/bronzeturn/peer"
	"github.com/bronzeturn/bronzeturn/rendezvous"
)

// maxAsked is how many engines a daemon asks about before it sends a request. The
// best of four with fresh counts is close to the best of all; more would cost calls.
const maxAsked = 4

// sharedBalancer chooses engines by what all daemons have in progress there.
type sharedBalancer struct {
	*balance.State
	sharer *occupancy.Client
	daemon *Daemon
}

// newSharedBalancer returns the balancer of a daemon, and shares its work.
func newSharedBalancer(d *Daemon) *sharedBalancer {
	keepers := &keepers{view: d.fleet.members.View}
	return &sharedBalancer{daemon: d, State: d.balancer, sharer: occupancy.New(occupancy.Options{
		Self: d.Settings.Name, Keeper: keepers.of, Client: d.fleet.occupancyOf,
		InFlight: d.balancer.OwnLoad, EachInFlight: d.balancer.InFlight,
		Store: d.book, Log: d.part("occupancy"), Registerer: d.registry,
	})}
}

// Choose implements gateway.Balancer. Engines for prompts are compared by their
// estimates first, and once more after their keepers told how much the other daemons
// have in progress there. Estimates alone are old by what other daemons have sent
// since, and send all of them to the same few engines. Requests without a prompt are
// short, and asking would take as long as they do.
func (b *sharedBalancer) Choose(p *balance.Plan, r *balance.Request, now time.Time, rng *rand.Rand) (balance.Decision, bool) {
	decision, ok := b.State.Choose(p, r, now, rng)
	if !ok || r.Work.PromptTokens == 0 || !comparing(decision.Reason) {
		return decision, ok
	}
	engines := decision.Compared(maxAsked)
	answers := b.sharer.QueryLoads(context.Background(), engines)
	if len(answers) == 0 {
		return decision, ok
	}
	now = time.Now()
	for _, a := range answers {
		b.OthersReported(balance.OthersReported{
			Engine: a.Engine, Requests: a.Load.Requests, Tokens: a.Load.Tokens + gateway.WorkOf(a.Load.Delay), At: now,
		})
	}
	again := *r
	again.NoProbe = true
	copy(again.Among[:], engines)
	return b.State.Choose(p, &again, now, rng)
}

// comparing tells whether a choice compared the load of engines.
func comparing(r balance.Reason) bool {
	return r == balance.ReasonLeastWait || r == balance.ReasonAffinity || r == balance.ReasonRemote
}

// Dispatched implements gateway.Balancer.
func (b *sharedBalancer) Dispatched(ev balance.Dispatched) {
	b.State.Dispatched(ev)
	if ev.Work.PromptTokens > 0 {
		b.sharer.RequestSent(context.Background(), ev.Engine)
	}
}

// FirstToken implements gateway.Balancer.
func (b *sharedBalancer) FirstToken(ev balance.FirstToken) {
	b.State.FirstToken(ev)
	b.changed(ev.Engine, ev.Work)
}

// Finished implements gateway.Balancer.
func (b *sharedBalancer) Finished(ev balance.Finished) {
	b.State.Finished(ev)
	b.changed(ev.Engine, ev.Work)
}

// Failed implements gateway.Balancer.
func (b *sharedBalancer) Failed(ev balance.Failed) {
	b.State.Failed(ev)
	b.changed(ev.Engine, ev.Work)
	if ev.Kind == balance.FailureUnreachable {
		b.unreachable(&ev)
	}
}

func (b *sharedBalancer) changed(engine string, w balance.Work) {
	if w.PromptTokens > 0 {
		b.sharer.LoadChanged(engine)
	}
}

const (
	// leastKeepers and keepersPart are how many daemons keep count of engines: a part
	// of the fleet, so that each daemon has connections to that many only. Beyond
	// keepersPart times mostKeepers daemons their number stays: each costs every other
	// daemon a connection with its pings, and hosts are asked in proportion to what they
	// can carry.
	leastKeepers = 3
	keepersPart  = 4
	mostKeepers  = 24
	// keepersKey ranks the daemons for it.
	keepersKey = "occupancy"
)

// keepers tell which daemon an engine is in the care of.
type keepers struct {
	view func() *membership.View
	last atomic.Pointer[keeperSet]
}

// keeperSet are the keepers of one view of the fleet.
type keeperSet struct {
	view *membership.View
	set  *rendezvous.Set
}

// of returns the keeper of an engine, "" while the fleet is unknown.
func (k *keepers) of(engine string) string {
	view := k.view()
	last := k.last.Load()
	if last == nil || last.view != view {
		n := min(max(leastKeepers, view.Live()/keepersPart), mostKeepers)
		var members []membership.Member
		for _, name := range view.Top(keepersKey, min(n, view.Live())) {
			m, _ := view.Member(name)
			members = append(members, m)
		}
		last = &keeperSet{view: view, set: weighted(members)}
		k.last.Store(last)
	}
	if last.set.Len() == 0 {
		return ""
	}
	return last.set.Owner(engine)
}

// weighted returns the set of some daemons with what their hosts can carry.
func weighted(members []membership.Member) *rendezvous.Set {
	capacities := make(map[string]float64, len(members))
	for _, m := range members {
		capacities[m.Name] = m.Capacity
	}
	return rendezvous.NewWeighted(capacities)
}

// occupancyOf opens calls to the keeper of engines.
func (f *fleet) occupancyOf(daemon string) bronzeturnv1connect.OccupancyServiceClient {
	client, base, ok := f.directory.Dial(daemon)
	if !ok {
		return nil
	}
	return bronzeturnv1connect.NewOccupancyServiceClient(client, base, peer.ClientOptions()...)
}

// busyShare estimates the part of the slots that are taken at some engines, from
// this daemon's own work there and the number of daemons.
func (d *Daemon) busyShare(engines []string, slots float64) float64 {
	if slots <= 0 {
		return 0
	}
	own := int64(0)
	for _, engine := range engines {
		requests, _ := d.balancer.OwnLoad(engine)
		own += requests
	}
	return float64(own) * float64(max(d.fleet.Live(), 1)) / slots
}
