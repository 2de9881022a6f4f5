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
	// deadline that a bad version may get.
	ExposureShare float64
	// SettleTime is the time after an order in which no session is moved, so that
	// all daemons learn of the order and of the sessions in progress.
	SettleTime time.Duration
	// SessionGap is the longest pause within one session.
	SessionGap time.Duration
	// FinishMargin is how long before the deadline an introduction is declared
	// complete; what still runs on the version before has that long less.
	FinishMargin time.Duration
}

// DefaultOptions returns the documented defaults.
func DefaultOptions() Options {
	return Options{
		TrialShare:    0.1,
		ExposureShare: 0.15,
		SettleTime:    1500 * time.Millisecond,
		SessionGap:    6 * time.Second,
		FinishMargin:  2 * time.Second,
	}
}

// After the trial the new version gets these shares, each for stepTime, or for
// less where that would use up more than stepsPart of the exposure allowed. Then
// it gets everything.
var steps = [...]float64{0.3, 0.6}

const (
	stepTime  = 1500 * time.Millisecond
	stepsPart = 0.45
)

// Some versions are bad under load only, and a share that is spread over all new
// engines would load none of them. So each new engine gets up to loadFactor times
// what one of the version before gets, and stressFactor times in the first step
// after the trial, but no more than would fill fullSlots of its slots: beyond that
// the callers would pay for the test.
const (
	loadFactor   = 1.3
	stressFactor = 2.7
	fullSlots    = 0.85
)

// Evidence needed for a verdict.
const (
	// minBad is the number of bad answers below which no version is condemned. A
	// few failures have causes of their own, such as one engine's.
	minBad = 4
	// A version is condemned when its share of bad answers is above that of the
	// version before by badMargin, or of slow ones by slowMargin, and by deviations
	// standard deviations of the difference. Slowness needs more, since the engines
	// of the two versions do not have the same load.
	badMargin  = 0.1
	slowMargin = 0.2
	deviations = 3.0
	// slowFactor is the ratio of latencies that condemns, minLatencies the number
	// of measured answers it needs.
	slowFactor   = 2.2
	minLatencies = 12
	// slowFloor is added to latencies before they are compared, in milliseconds,
	// so that short ones do not look like slowness.
	slowFloor = 10.0
	// An answer is slow when it took slowAnswer times the usual time on its route
	// and was slowDeviations beyond it.
	slowAnswer     = 2.5
	slowDeviations = 2.0
	// After the trial each new engine has more load than those of the version
	// before, and it takes slowLoaded times the usual time.
	slowLoaded = 4.0
)

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
}

// Report is what one daemon tells the others of an introduction.
type Report struct {
	Order  uint64
	Target string
	Age    time.Duration
	Counts map[CountKey]Count
	Held   []uint64
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
	// usual is what the fleet saw of the version before, by route.
	usual map[string]Count
	// grown tells that the trial is over. From then on the load differs from that of
	// the version before.
	grown bool
	// condemned is the reason of a verdict against the version, "" for none.
	condemned string
}

// New returns the introduction of an order first heard of at now.
func New(o Options, order Order, state State, now time.Time) *Introduction {
	return &Introduction{
		options: o, order: order, state: state, since: now,
		own: make(map[CountKey]Count), held: make(map[uint64]struct{}), others: make(map[string]Report), usual: make(map[string]Count),
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
func (o Options) Trialled(session uint64) bool { return point(session) < o.TrialShare }

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
		if at < i.options.TrialShare {
			i.held[session] = struct{}{}
		}
		return false
	}
	if share, moving := i.moving(age); moving {
		return at < share
	}
	return at < i.options.TrialShare && !i.isHeld(session)
}

// moving returns the share of the sessions after the trial.
func (i *Introduction) moving(age time.Duration) (share float64, moving bool) {
	at := i.order.Duration / 2
	if age < at {
		return 0, false
	}
	for _, share := range steps {
		at += i.stepLength(share)
		if age < at {
			return share, true
		}
	}
	return 1, true
}

// stepLength returns how long a step lasts.
func (i *Introduction) stepLength(share float64) time.Duration {
	part := stepsPart / float64(len(steps)) * i.options.ExposureShare * float64(i.order.Duration)
	return min(stepTime, time.Duration(part/share))
}

// Width returns on how many engines the new version should run now, when the
// version before runs on so many and uses a part of their slots: as many as its
// share keeps busy, and all once it has everything.
func (i *Introduction) Width(before int, used float64, now time.Time) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	share, moving := i.moving(now.Sub(i.since))
	factor := loadFactor
	switch {
	case !moving:
		share = i.options.TrialShare
	case share >= 1:
		return math.MaxInt
	case share == steps[0]:
		factor = stressFactor
	}
	if used > 0 {
		factor = max(min(factor, fullSlots/used), 1)
	}
	return max(int(share*float64(before)/factor), 1)
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
	i.mu.Lock()
	defer i.mu.Unlock()
	key := CountKey{Route: route, Trial: trial}
	c := i.own[key]
	c.Answers++
	if bad {
		c.Bad++
	}
	if latency > 0 {
		value := math.Log(latency.Seconds()*1000 + slowFloor)
		if i.isSlow(route, value) {
			c.Slow++
		}
		c.LogLatencySum += value
		c.LogLatencySquares += value * value
		c.Latencies++
	}
	i.own[key] = c
}

// isSlow compares a latency with what is usual on the route with the version
// before, as of the last review. The caller holds mu.
func (i *Introduction) isSlow(route string, value float64) bool {
	usual, ok := i.usual[route]
	if !ok || usual.Latencies < minLatencies {
		return false
	}
	mean, deviation := usual.spread()
	times := slowAnswer
	if i.grown {
		times = slowLoaded
	}
	return value > mean+max(math.Log(times), slowDeviations*deviation)
}

// Report returns what this daemon tells the others.
func (i *Introduction) Report(now time.Time) Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := Report{Order: i.order.ID, Target: i.order.Target, Age: now.Sub(i.since), Counts: make(map[CountKey]Count, len(i.own))}
	for k, c := range i.own {
		r.Counts[k] = c
	}
	for s := range i.held {
		r.Held = append(r.Held, s)
	}
	return r
}

// Heard takes in the report of another daemon. The oldest start that any daemon
// knows counts, so that one that restarted goes on where the fleet is.
func (i *Introduction) Heard(daemon string, r Report, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if r.Order != i.order.ID || r.Target != i.order.Target {
		return
	}
	i.others[daemon] = r
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
	// Slowdown is the ratio of latencies, zero when there are too few.
	Slowdown float64
	Age      time.Duration
}

// Review judges the introduction. A version once condemned stays so.
func (i *Introduction) Review(now time.Time) Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	sums := i.sum()
	v := Verdict{State: Running, Age: now.Sub(i.since)}
	for key, c := range sums {
		if key.Trial {
			v.Trial.add(c)
			continue
		}
		v.Base.add(c)
		i.usual[key.Route] = c
	}
	_, i.grown = i.moving(v.Age)
	if !i.grown {
		v.Slowdown = slowdown(sums)
	}
	if i.condemned == "" {
		i.condemned = condemn(sums, v)
	}
	switch {
	case i.state == Done || i.state == RolledBack:
		v.State = i.state
	case i.condemned != "":
		v.State, v.Reason = RolledBack, i.condemned
	case v.Age >= max(i.order.Duration-i.options.FinishMargin, 0):
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

// condemn returns the reason against the version, or "".
func condemn(sums map[CountKey]Count, v Verdict) string {
	if fails(v.Trial, v.Base) {
		return "errors"
	}
	for key, trial := range sums {
		if key.Trial && fails(trial, sums[CountKey{Route: key.Route}]) {
			return "errors on one route"
		}
	}
	if v.Slowdown > slowFactor {
		return "slow"
	}
	return ""
}

// fails compares the shares of bad answers, and of slow ones.
func fails(trial, base Count) bool {
	return exceeds(trial.Bad, trial.Answers, base.Bad, base.Answers, badMargin) ||
		exceeds(trial.Slow, trial.Answers, base.Slow, base.Answers, slowMargin)
}

// exceeds tells whether hits among n answers are more than usual among m.
func exceeds(hits, n, usual, m uint64, margin float64) bool {
	if hits < minBad {
		return false
	}
	share := float64(hits) / float64(n)
	if m == 0 {
		return share > max(margin, deviations*math.Sqrt(share*(1-share)/float64(n)))
	}
	both := float64(hits+usual) / float64(n+m)
	deviation := math.Sqrt(both * (1 - both) * (1/float64(n) + 1/float64(m)))
	return share-float64(usual)/float64(m) > max(margin, deviations*deviation)
}

// slowdown returns how much slower the new version is: the mean ratio of
// geometric mean latencies by route, weighted by the answers of the trial.
func slowdown(sums map[CountKey]Count) float64 {
	var logs, weight float64
	for key, trial := range sums {
		base := sums[CountKey{Route: key.Route}]
		if !key.Trial || trial.Latencies == 0 || base.Latencies < minLatencies {
			continue
		}
		n := float64(trial.Latencies)
		logs += n * (trial.LogLatencySum/n - base.LogLatencySum/float64(base.Latencies))
		weight += n
	}
	if weight < minLatencies {
		return 0
	}
	return math.Exp(logs / weight)
}
