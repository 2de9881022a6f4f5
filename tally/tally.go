// Package tally adds up what the daemons of a fleet have counted of the versions that are
// being introduced. Each daemon sends the sums of itself and all below it to its parent
// in a tree, the roots exchange theirs, and the answers bring the fleet's sums down. So
// every daemon knows nearly the same within a second or two, at a cost that does not grow
// with the fleet, and a verdict rests on all counts rather than on those of whoever was
// heard first.
package tally

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/backoff"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

const (
	// baseInterval is the time between two rounds while something is being introduced, and
	// perDaemon what each daemon of the fleet adds to it: few daemons that see much each
	// learn of each other within half a second, as far as a bad version can have harmed by
	// then; of 410, in a tree of four levels, all know the same within 3 s, against the 5 s
	// within which a bad version must get no more work, at 900 calls a second together.
	baseInterval = 150 * time.Millisecond
	perDaemon    = 700 * time.Microsecond
	// quietInterval is the time between two looks at whether something is.
	quietInterval = backoff.IdleInterval
	// callTimeout bounds one exchange.
	callTimeout = 500 * time.Millisecond
	// keepFor is how long the sums of a daemon that is not heard again count.
	keepFor = 3 * time.Second
)

// Place is where a daemon stands in the tree.
type Place struct {
	// Depth is the number of steps from the roots, 0 for a root.
	Depth int
	// Roots are the other roots, for a root; Parents the daemons to send to, the usual
	// one first, for others.
	Roots, Parents []string
	// Live is the number of live daemons.
	Live int
}

// interval returns the time between two rounds.
func (p Place) interval() time.Duration {
	return baseInterval + time.Duration(p.Live)*perDaemon
}

// Options are what a Tally needs. All fields are required.
type Options struct {
	// Self is this daemon's name.
	Self string
	// Place returns where this daemon stands now.
	Place func() Place
	// Client opens calls to a daemon, nil when its address is not known.
	Client func(daemon string) bronzeturnv1connect.TallyServiceClient
	// Own returns what this daemon has counted, by service, of what is being introduced.
	Own func() map[string]*Report
	// Others takes what all other daemons together have counted of a service.
	Others func(service string, others *Report)
	Log    zerolog.Logger
}

// Tally takes part in the adding up. It is safe for concurrent use.
type Tally struct {
	Options

	mu sync.Mutex
	// below are the sums of the daemons that send to this one, roots those of the
	// other roots, by name.
	below, roots map[string]sums
	// total are the fleet's, by service, as they came from above.
	total map[string]*Report
}

// sums are what one daemon sent last.
type sums struct {
	reports map[string]*Report
	at      time.Time
}

// New returns a Tally that takes part once Run is called.
func New(o Options) *Tally {
	return &Tally{Options: o, below: make(map[string]sums), roots: make(map[string]sums), total: make(map[string]*Report)}
}

// Run exchanges sums until ctx ends.
func (t *Tally) Run(ctx context.Context) error {
	_ = backoff.Tick(ctx, quietInterval) // The loop ends with ctx.
	for ctx.Err() == nil {
		own := t.Own()
		if len(own) == 0 {
			_ = backoff.Tick(ctx, quietInterval) // The loop ends with ctx.
			continue
		}
		t.round(ctx, own)
		_ = backoff.Sleep(ctx, t.Place().interval()) // The loop ends with ctx.
	}
	return nil
}

// round sends this daemon's sums on, and passes on what the others have counted.
func (t *Tally) round(ctx context.Context, own map[string]*Report) {
	place := t.Place()
	if place.Depth == 0 {
		var calls sync.WaitGroup
		for _, root := range place.Roots {
			calls.Go(func() { t.exchange(ctx, root, place, own) })
		}
		calls.Wait()
	} else {
		t.send(ctx, place, own)
	}
	total := t.totals(place, own)
	for service, report := range own {
		if all := total[service]; all != nil && sameOrder(all, report) {
			t.Others(service, without(all, report))
		}
	}
}

// send sends this daemon's sums to its parent, or else the next that answers.
func (t *Tally) send(ctx context.Context, place Place, own map[string]*Report) {
	for _, parent := range place.Parents[:min(len(place.Parents), mostParents)] {
		if t.exchange(ctx, parent, place, own) {
			return
		}
	}
}

// mostParents bounds the daemons tried in one round.
const mostParents = 2

// exchange sends this daemon's sums to another and takes in the answer. It tells whether
// the other answered.
func (t *Tally) exchange(ctx context.Context, daemon string, place Place, own map[string]*Report) bool {
	client := t.Client(daemon)
	if client == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m := &bronzeturnv1.AddRequest{Daemon: t.Self, Depth: uint32(place.Depth), Tallies: messages(t.subtree(daemon, own))}
	answer, err := client.Add(ctx, connect.NewRequest(m))
	if err != nil {
		t.Log.Debug().Err(err).Str("daemon", daemon).Msg("sums not exchanged")
		return false
	}
	reports := reportsOf(answer.Msg.GetTallies())
	t.mu.Lock()
	defer t.mu.Unlock()
	if place.Depth == 0 {
		t.roots[daemon] = sums{reports: reports, at: time.Now()}
		return true
	}
	t.total = reports
	return true
}

// subtree returns the sums of this daemon and all below it but the one that they are
// sent to, which may have been below until just now.
func (t *Tally) subtree(to string, own map[string]*Report) map[string]*Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.subtreeLocked(to, own)
}

func (t *Tally) subtreeLocked(to string, own map[string]*Report) map[string]*Report {
	now := time.Now()
	maps.DeleteFunc(t.below, func(_ string, s sums) bool { return now.Sub(s.at) > keepFor })
	maps.DeleteFunc(t.roots, func(_ string, s sums) bool { return now.Sub(s.at) > keepFor })
	all := make(map[string]*Report, len(own))
	for service, report := range own {
		parts := make([]*Report, 0, len(t.below))
		for daemon, s := range t.below {
			if daemon != to {
				parts = append(parts, s.reports[service])
			}
		}
		all[service] = sum(report, parts...)
	}
	return all
}

// totals returns the fleet's sums as far as this daemon knows them: a root adds up the
// roots', others go by what came from above.
func (t *Tally) totals(place Place, own map[string]*Report) map[string]*Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if place.Depth > 0 {
		return t.total
	}
	all := t.subtreeLocked("", own)
	for service, report := range all {
		parts := make([]*Report, 0, len(t.roots))
		for _, s := range t.roots {
			parts = append(parts, s.reports[service])
		}
		all[service] = sum(report, parts...)
	}
	return all
}

// Add takes in the sums of another daemon and returns the answer to it.
func (t *Tally) Add(m *bronzeturnv1.AddRequest) *bronzeturnv1.AddResponse {
	place, own := t.Place(), t.Own()
	received := sums{reports: reportsOf(m.GetTallies()), at: time.Now()}
	fromRoot := place.Depth == 0 && m.GetDepth() == 0
	t.mu.Lock()
	switch {
	case fromRoot:
		t.roots[m.GetDaemon()] = received
		delete(t.below, m.GetDaemon())
	case int(m.GetDepth()) > place.Depth:
		t.below[m.GetDaemon()] = received
		delete(t.roots, m.GetDaemon())
	}
	t.mu.Unlock()
	if fromRoot {
		return &bronzeturnv1.AddResponse{Tallies: messages(t.subtree("", own))}
	}
	return &bronzeturnv1.AddResponse{Tallies: messages(t.totals(place, own))}
}

// messages returns the reports as they are sent, in the order of their services.
func messages(reports map[string]*Report) []*bronzeturnv1.ServiceTally {
	var list []*bronzeturnv1.ServiceTally
	for _, service := range slices.Sorted(maps.Keys(reports)) {
		list = append(list, &bronzeturnv1.ServiceTally{Service: service, Report: reports[service]})
	}
	return list
}

// reportsOf returns the reports by their services.
func reportsOf(list []*bronzeturnv1.ServiceTally) map[string]*Report {
	reports := make(map[string]*Report, len(list))
	for _, m := range list {
		if m.GetReport() != nil {
			reports[m.GetService()] = m.GetReport()
		}
	}
	return reports
}
