// Package canary introduces a new version of a backend service: it gives the
// version a small, fixed part of the sessions, compares its answers with those
// of the version before over the whole fleet, and either moves all traffic in
// steps or none. Nothing here does I/O, reads a clock or starts a goroutine.
package canary

import (
	"math"
	"sync"
	"time"
)

// Options set the pace of introductions.
type Options struct {
	// TrialShare is the part of the sessions that the new version gets before it
	// is trusted.
	TrialShare float64
	// ExposureShare bounds the share of all requests between an order and its
	// deadline that a bad version may get, ExposureSlack how many it may get beyond.
	ExposureShare, ExposureSlack float64
	// SettleTime is the time after an order in which no session is moved, so that
	// all daemons learn of the order and of the sessions in progress.
	SettleTime time.Duration
	// SessionGap is the longest pause within one session, with a margin for what daemons
	// learn late. SessionLapse is the pause after which a request begins a new session.
	SessionGap, SessionLapse time.Duration
	// FinishMargin is how long before the deadline an introduction is declared
	// complete, at most. It covers the write and a second daemon's try.
	FinishMargin time.Duration
}

// DefaultOptions returns the documented defaults.
func DefaultOptions() Options {
	return Options{
		TrialShare:    0.1,
		ExposureShare: 0.15,
		SettleTime:    1500 * time.Millisecond,
		SessionGap:    6 * time.Second,
		SessionLapse:  5100 * time.Millisecond,
		FinishMargin:  700 * time.Millisecond,
	}
}

// Order asks for one introduction.
type Order struct {
	Service string
	Target  string
	// ID tells two orders for the same version apart.
	ID       uint64
	Duration time.Duration
}

// State is what has become of an order.
type State uint8

// The states. Only Done and RolledBack are final.
const (
	// Pending orders have not been taken up.
	Pending State = iota
	Running
	Done
	RolledBack
)

// String returns the name used in logs and metrics.
func (s State) String() string {
	return [...]string{"pending", "running", "done", "rolled_back"}[s]
}

// Count is what was seen of one version on one route.
type Count struct {
	// Bad answers are failures, Slow ones took far longer than usual.
	Answers, Bad, Slow uint64
	// LogLatencySum and LogLatencySquares are sums over the logarithms of the
	// latencies, Latencies their number.
	LogLatencySum, LogLatencySquares float64
	Latencies                        uint64
}

// spread returns mean and standard deviation of the logarithms.
func (c Count) spread() (mean, deviation float64) {
	n := float64(c.Latencies)
	mean = c.LogLatencySum / n
	return mean, math.Sqrt(max(c.LogLatencySquares/n-mean*mean, 0))
}

func (c *Count) add(o Count) {
	c.Answers += o.Answers
	c.Bad += o.Bad
	c.Slow += o.Slow
	c.LogLatencySum += o.LogLatencySum
	c.LogLatencySquares += o.LogLatencySquares
	c.Latencies += o.Latencies
}

// CountKey names a Count.
type CountKey struct {
	Route string
	Trial bool
	// Pace marks the times between the events of streams. They are counted apart:
	// a version may be slow in one and not in the other.
	Pace bool
}

// base returns the key of the version before.
func (k CountKey) base() CountKey { return CountKey{Route: k.Route, Pace: k.Pace} }

// Report is what one daemon tells the others of an introduction.
type Report struct {
	Order  uint64
	Target string
	Age    time.Duration
	Counts map[CountKey]Count
	Held   []uint64
	// Stopped are the sessions that last ran on versions that have stopped.
	Stopped []StoppedSession
	// Condemned is the reason of the daemon's verdict against the version, "" for
	// none.
	Condemned string
}

// Introduction is one order in progress on this daemon. It is safe for
// concurrent use.
type Introduction struct {
	options Options

	mu     sync.Mutex
	order  Order
	state  State
	since  time.Time
	own    map[CountKey]Count
	held   map[uint64]struct{}
	others map[string]Report
	// usual is what the fleet saw of the version before.
	usual map[CountKey]Count
	// pace is the plan, worked out anew until the trial is over.
	pace pace
	// grown tells that the trial is over. From then on the load differs from that of
	// the version before.
	grown bool
	// condemned is the reason of a verdict against the version, "" for none.
	condemned string
}

// New returns the introduction of an order first heard of at now.
func New(o Options, order Order, state State, now time.Time) *Introduction {
	return &Introduction{
		pace:    o.plan(order.Duration, 0, 0, 0),
		options: o, order: order, state: state, since: now,
		own: make(map[CountKey]Count), held: make(map[uint64]struct{}), others: make(map[string]Report), usual: make(map[CountKey]Count),
	}
}

// Order returns the order.
func (i *Introduction) Order() Order {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.order
}

// State returns the state that the store has.
func (i *Introduction) State() State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state
}

// SetState takes in the state that the store has.
func (i *Introduction) SetState(s State) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state != Done && i.state != RolledBack {
		i.state = s
	}
}

// point maps a session to [0, 1). It must be the same on all daemons.
func point(session uint64) float64 {
	const golden = 0x9e3779b97f4a7c15
	return float64((session*golden)>>11) / (1 << 53)
}

// Trialled tells whether a session is among those that a trial moves, of any
// order, so that daemons remember only these.
func (o Options) Trialled(session uint64) bool { return point(session) < o.trialShare() }

// Hold keeps a session, which has run on the version before, on it for the
// length of the trial.
func (i *Introduction) Hold(session uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.held[session] = struct{}{}
}

// Choose tells whether a request of the session goes to the new version. A
// request without a session counts as a session of its own.
func (i *Introduction) Choose(session uint64, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.state == Done:
		return true
	case i.state == RolledBack || i.condemned != "":
		return false
	}
	age := now.Sub(i.since)
	at := point(session)
	if age < i.options.SettleTime {
		if at < i.options.trialShare() {
			i.held[session] = struct{}{}
		}
		return false
	}
	if share, moving := i.moving(age); moving {
		return at < share
	}
	return at < i.options.trialShare() && !i.isHeld(session)
}

// isHeld tells whether any daemon keeps the session on the version before. The
// caller holds mu.
func (i *Introduction) isHeld(session uint64) bool {
	if _, ok := i.held[session]; ok {
		return true
	}
	for _, r := range i.others {
		for _, h := range r.Held {
			if h == session {
				return true
			}
		}
	}
	return false
}

// Observe takes in one answer. A latency of zero was not measured.
func (i *Introduction) Observe(route string, trial, bad bool, latency time.Duration) {
	i.observe(CountKey{Route: route, Trial: trial}, bad, latency)
}

// ObservePace takes in the mean time between two events of a stream that came whole.
func (i *Introduction) ObservePace(route string, trial bool, pace time.Duration) {
	i.observe(CountKey{Route: route, Trial: trial, Pace: true}, false, pace)
}

func (i *Introduction) observe(key CountKey, bad bool, latency time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := i.own[key]
	c.Answers++
	if bad {
		c.Bad++
	}
	if latency > 0 {
		value := math.Log(latency.Seconds()*1000 + slowFloor)
		if i.isSlow(key, value) {
			c.Slow++
		}
		c.LogLatencySum += value
		c.LogLatencySquares += value * value
		c.Latencies++
	}
	i.own[key] = c
}

// Report returns what this daemon tells the others.
func (i *Introduction) Report(now time.Time) Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := Report{Order: i.order.ID, Target: i.order.Target, Age: now.Sub(i.since), Counts: make(map[CountKey]Count, len(i.own)), Condemned: i.condemned}
	for k, c := range i.own {
		r.Counts[k] = c
	}
	for s := range i.held {
		r.Held = append(r.Held, s)
	}
	return r
}

// Heard takes in the report of another daemon. The oldest start that any daemon
// knows counts, so that one that restarted goes on where the fleet is. A verdict
// against the version is taken over: the daemons' counts differ a little, and some
// would declare complete what others no longer send anything to.
func (i *Introduction) Heard(daemon string, r Report, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if r.Order != i.order.ID || r.Target != i.order.Target {
		return
	}
	i.others[daemon] = r
	if i.condemned == "" {
		i.condemned = r.Condemned
	}
	if since := now.Add(-r.Age); since.Before(i.since) {
		i.since = since
	}
}

// Verdict is what an introduction has come to on this daemon.
type Verdict struct {
	// State is what should be in the store now.
	State  State
	Reason string
	// Trial and Base sum up the answers of the fleet.
	Trial, Base Count
	// Slowdown is the ratio of the latencies to the first event or answer, PaceSlowdown
	// that of the times between events. They are zero when there are too few.
	Slowdown, PaceSlowdown float64
	// SlowPace tells that the times between events condemn the version, Slow that all
	// latencies together are beyond chance.
	SlowPace, Slow bool
	Age            time.Duration
	// Whole is the age from which the new version gets everything.
	Whole time.Duration
}

// Review judges the introduction. A version once condemned stays so.
func (i *Introduction) Review(now time.Time) Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	sums := i.sum()
	v := Verdict{State: Running, Age: now.Sub(i.since)}
	for key, c := range sums {
		if !key.Trial {
			i.usual[key] = c
		}
		switch {
		case key.Pace: // Of answers that are counted already.
		case key.Trial:
			v.Trial.add(c)
		default:
			v.Base.add(c)
		}
	}
	if !i.grown {
		i.pace = i.options.plan(i.order.Duration, v.Age, v.Trial.Answers, v.Base.Answers)
	}
	_, i.grown = i.moving(v.Age)
	if !i.grown {
		first := compareLatencies(sums, func(k CountKey) bool { return !k.Pace })
		paces := compareLatencies(sums, func(k CountKey) bool { return k.Pace })
		v.Slowdown = first.slowdown(slowFactor, minLatencies)
		v.PaceSlowdown = paces.slowdown(paces.paceFactor(), minPaces)
		v.SlowPace = v.PaceSlowdown > paces.paceFactor()
		v.Slow = compareLatencies(sums, func(CountKey) bool { return true }).certain()
	}
	if i.condemned == "" {
		i.condemned = condemn(sums, v)
	}
	v.Whole = i.pace.whole
	switch {
	case i.state == Done || i.state == RolledBack:
		v.State = i.state
	case i.condemned != "":
		v.State, v.Reason = RolledBack, i.condemned
	case v.Age >= i.options.finish(i.order.Duration, i.pace):
		v.State, v.Reason = Done, "no fault found"
	}
	return v
}

// sum adds up the counts of all daemons. The caller holds mu.
func (i *Introduction) sum() map[CountKey]Count {
	sums := make(map[CountKey]Count)
	merge := func(from map[CountKey]Count) {
		for key, c := range from {
			total := sums[key]
			total.add(c)
			sums[key] = total
		}
	}
	merge(i.own)
	for _, r := range i.others {
		merge(r.Counts)
	}
	return sums
}
