// Package tally adds up what the daemons of a fleet have counted of the versions that are being
// introduced. Each daemon sends the sums of its subtree to its parent in a tree, the roots
// exchange theirs, and the responses carry the fleet's sums down. So all daemons know nearly
// the same within a second or two, at a cost for each daemon that does not grow with the fleet,
// and a verdict is based on all counts instead of those that arrived first.
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
	// baseInterval is the time between two rounds while a version is being introduced, and
	// intervalPerDaemon what each daemon of the fleet adds to it. In a small fleet, daemons
	// that each see much traffic learn of each other's counts within half a second, which
	// limits the harm of a bad version until then. In a fleet of 410 daemons, a tree of four
	// levels, all know the same within 3 s, at 900 calls a second in total. A bad version must
	// get no more work within 5 s.
	baseInterval      = 150 * time.Millisecond
	intervalPerDaemon = 700 * time.Microsecond
	// idleInterval is the time between two checks for an introduction while there is none.
	idleInterval = backoff.IdleInterval
	// callTimeout bounds one exchange.
	callTimeout = 500 * time.Millisecond
	// sumsTTL is how long the sums of a daemon count after it last sent them.
	sumsTTL = 3 * time.Second
)

// Place is the position of a daemon in the tree.
type Place struct {
	// Depth is the distance from the roots, 0 for a root.
	Depth int
	// Roots are the other roots, if the daemon is a root. Parents are the daemons to send to,
	// the preferred one first, if it is not.
	Roots, Parents []string
	// Live is the number of live daemons.
	Live int
}

// interval returns the time between two rounds.
func (p Place) interval() time.Duration {
	return baseInterval + time.Duration(p.Live)*intervalPerDaemon
}

// Options configures a Tally. All fields are required.
type Options struct {
	// Self is this daemon's name.
	Self string
	// Place returns this daemon's current position.
	Place func() Place
	// Client returns a client for calls to a daemon, nil if its address is not known.
	Client func(daemon string) bronzeturnv1connect.TallyServiceClient
	// Own returns this daemon's counts of the versions being introduced, by service.
	Own func() map[string]*Report
	// Others receives the sums of all other daemons for a service.
	Others func(service string, others *Report)
	Log    zerolog.Logger
}

// Tally exchanges sums with the other daemons. It is safe for concurrent use.
type Tally struct {
	Options

	mu sync.Mutex
	// below holds the sums of the daemons that send to this one, roots those of the other
	// roots, by name.
	below, roots map[string]sums
	// total holds the fleet's sums, as received from the parent.
	total sums
}

// sums are the last ones that a daemon sent, by service.
type sums struct {
	reports map[string]*Report
	at      time.Time
}

// of returns the sums of a service, nil if there are none.
func (s sums) of(service string, now time.Time) *Report {
	return aged(s.reports[service], now.Sub(s.at))
}

// New returns a Tally. It exchanges no sums until Run is called.
func New(o Options) *Tally {
	return &Tally{Options: o, below: make(map[string]sums), roots: make(map[string]sums)}
}

// Run exchanges sums until ctx ends.
func (t *Tally) Run(ctx context.Context) error {
	_ = backoff.Tick(ctx, idleInterval) // The loop ends with ctx.
	for ctx.Err() == nil {
		own := t.Own()
		if len(own) == 0 {
			_ = backoff.Tick(ctx, idleInterval) // The loop ends with ctx.
			continue
		}
		t.round(ctx, own)
		_ = backoff.Sleep(ctx, t.Place().interval()) // The loop ends with ctx.
	}
	return nil
}

// round sends this daemon's sums and passes the others' sums to Options.Others.
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
		if all := total[service]; all != nil {
			t.Others(service, subtractReport(all, report))
		}
	}
}

// send sends this daemon's sums to the first parent that answers.
func (t *Tally) send(ctx context.Context, place Place, own map[string]*Report) {
	for _, parent := range place.Parents[:min(len(place.Parents), maxParentsTried)] {
		if t.exchange(ctx, parent, place, own) {
			return
		}
	}
}

// maxParentsTried bounds the parents tried in one round.
const maxParentsTried = 2

// exchange sends this daemon's sums to another daemon, stores the response, and reports whether
// there was one.
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
	received := sums{reports: reportsOf(answer.Msg.GetTallies()), at: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	if place.Depth == 0 {
		t.roots[daemon] = received
		return true
	}
	t.total = received
	return true
}

// subtree returns the sums of this daemon and all below it. It leaves out the daemon that they
// are sent to, which may have been below this one until just now.
func (t *Tally) subtree(to string, own map[string]*Report) map[string]*Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.subtreeLocked(to, own)
}

// subtreeLocked is subtree for callers that hold mu. It drops expired sums.
func (t *Tally) subtreeLocked(to string, own map[string]*Report) map[string]*Report {
	now := time.Now()
	maps.DeleteFunc(t.below, func(_ string, s sums) bool { return now.Sub(s.at) > sumsTTL })
	maps.DeleteFunc(t.roots, func(_ string, s sums) bool { return now.Sub(s.at) > sumsTTL })
	all := make(map[string]*Report, len(own))
	for service, report := range own {
		parts := make([]*Report, 0, len(t.below))
		for daemon, s := range t.below {
			if daemon != to {
				parts = append(parts, s.of(service, now))
			}
		}
		all[service] = addReports(report, parts...)
	}
	return all
}

// totals returns the fleet's sums as far as this daemon knows them. A root adds up the sums of
// all roots, other daemons return what their parent sent. The sums of a service that this daemon
// has counts of are of the same introduction as these.
func (t *Tally) totals(place Place, own map[string]*Report) map[string]*Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if place.Depth > 0 {
		return t.receivedTotals(own, now)
	}
	all := t.subtreeLocked("", own)
	for service, report := range all {
		parts := make([]*Report, 0, len(t.roots))
		for _, s := range t.roots {
			parts = append(parts, s.of(service, now))
		}
		all[service] = addReports(report, parts...)
	}
	return all
}

// receivedTotals returns what the parent sent. The caller holds mu.
func (t *Tally) receivedTotals(own map[string]*Report, now time.Time) map[string]*Report {
	all := make(map[string]*Report, len(t.total.reports))
	for service := range t.total.reports {
		total := t.total.of(service, now)
		if report := own[service]; report != nil && !sameOrder(report, total) {
			if now.Sub(t.total.at) > sumsTTL {
				continue // Its sessions have lapsed, or will be reported again.
			}
			none := &Report{Order: report.GetOrder(), Target: report.GetTarget(), AgeMs: report.GetAgeMs()}
			total = addReports(none, total)
		}
		all[service] = total
	}
	return all
}

// Add stores the sums of another daemon and returns the response to it.
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

// messages encodes the reports, ordered by service.
func messages(reports map[string]*Report) []*bronzeturnv1.ServiceTally {
	var list []*bronzeturnv1.ServiceTally
	for _, service := range slices.Sorted(maps.Keys(reports)) {
		list = append(list, &bronzeturnv1.ServiceTally{Service: service, Report: reports[service]})
	}
	return list
}

// reportsOf decodes reports by service.
func reportsOf(list []*bronzeturnv1.ServiceTally) map[string]*Report {
	reports := make(map[string]*Report, len(list))
	for _, m := range list {
		if m.GetReport() != nil {
			reports[m.GetService()] = m.GetReport()
		}
	}
	return reports
}
