// Package canary introduces a new version of a backend service. It gives the version a small,
// fixed share of the sessions, compares its answers over the whole fleet with those of the
// previous version, and then either moves all traffic in steps or rolls back. The package does
// no I/O, reads no clock and starts no goroutines.
package canary

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

// Options configures introductions.
type Options struct {
	// TrialShare is the share of the sessions that the new version gets during the trial.
	TrialShare float64
	// ExposureShare bounds the share of all requests between an order and its deadline that a
	// bad version may get. ExposureSlack is a number of requests that it may get in addition.
	ExposureShare, ExposureSlack float64
	// SettleTime is the time after an order in which no session is moved, so that all daemons
	// learn of the order and of the sessions in progress.
	SettleTime time.Duration
	// SessionGap is the longest pause within one session, with a margin for delays between
	// daemons. SessionLapse is the pause after which a request begins a new session.
	SessionGap, SessionLapse time.Duration
	// FinishMargin is how long before the deadline an introduction is declared complete, at
	// most. It covers the write to the store and an attempt by a second daemon.
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
	// ID distinguishes orders for the same version.
	ID       uint64
	Duration time.Duration
}

// State is the state of an order.
type State uint8

// The states. Only Done and RolledBack are final.
const (
	// Pending orders have not been started.
	Pending State = iota
	Running
	Done
	RolledBack
)

// String returns the name used in logs and metrics.
func (s State) String() string {
	return [...]string{"pending", "running", "done", "rolled_back"}[s]
}

// Count sums up the answers of one version on one route.
type Count struct {
	// Bad answers are failures. Slow answers took far longer than is usual on the route.
	Answers, Bad, Slow uint64
	// LogLatencySum and LogLatencySquares are the sums of the logarithms of the latencies and
	// of their squares, Latencies the number of latencies.
	LogLatencySum, LogLatencySquares float64
	Latencies                        uint64
}

// logStats returns the mean and the standard deviation of the logarithms of the latencies.
func (c Count) logStats() (mean, deviation float64) {
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

// CountKey identifies a Count.
type CountKey struct {
	Route string
	Trial bool
	// Pace marks counts of the mean times between the events of streams. They are kept apart
	// from the latencies, because a version may be slow in one and not in the other.
	Pace bool
}

// base returns the key of the previous version's count.
func (k CountKey) base() CountKey { return CountKey{Route: k.Route, Pace: k.Pace} }

// Report is what one daemon reports to the others about an introduction.
type Report struct {
	Order  uint64
	Target string
	Age    time.Duration
	Counts map[CountKey]Count
	Pinned []uint64
	// Stopped are the sessions that last ran on versions that have stopped.
	Stopped []StoppedSession
	// RollbackReason is the reason for which the daemon rolls the version back, "" for none.
	RollbackReason string
}

// Introduction is an order in progress on this daemon. It is safe for concurrent use.
type Introduction struct {
	options Options

	mu     sync.Mutex
	order  Order
	state  State
	since  time.Time
	own    map[CountKey]Count
	pinned map[uint64]struct{}
	others map[string]Report
	// baseline holds the fleet's counts of the previous version as of the last review.
	baseline map[CountKey]Count
	// schedule is recalculated until the trial is over.
	schedule schedule
	// trialOver is set once the trial is over. From then on the load of the engines differs
	// from that of the previous version's.
	trialOver bool
	// rollbackReason is the reason for rolling the version back, "" for none.
	rollbackReason string
}

// New returns the introduction of an order that this daemon first learned of at now.
func New(o Options, order Order, state State, now time.Time) *Introduction {
	return &Introduction{
		schedule: o.plan(order.Duration, 0, 0, 0),
		options:  o, order: order, state: state, since: now,
		own: make(map[CountKey]Count), pinned: make(map[uint64]struct{}), others: make(map[string]Report), baseline: make(map[CountKey]Count),
	}
}

func (i *Introduction) Order() Order {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.order
}

// State returns the state in the store, as far as this daemon knows it.
func (i *Introduction) State() State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state
}

// SetState sets the state that the store has. It ignores changes of a final state.
func (i *Introduction) SetState(s State) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state != Done && i.state != RolledBack {
		i.state = s
	}
}

// sessionFraction maps a session to [0, 1). The result must be the same on all daemons.
func sessionFraction(session uint64) float64 {
	const golden = 0x9e3779b97f4a7c15
	return float64((session*golden)>>11) / (1 << 53)
}

// InTrial reports whether a session is among those that a trial moves. These are the same for
// all orders, so that daemons need to remember only them.
func (o Options) InTrial(session uint64) bool { return sessionFraction(session) < o.trialShare() }

// Pin pins a session that has run on the previous version to it for the duration of the trial.
func (i *Introduction) Pin(session uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pinned[session] = struct{}{}
}

// Choose reports whether a request of the session goes to the new version. A request without a
// session counts as a session of its own.
func (i *Introduction) Choose(session uint64, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.state == Done:
		return true
	case i.state == RolledBack || i.rollbackReason != "":
		return false
	}
	age := now.Sub(i.since)
	at := sessionFraction(session)
	if age < i.options.SettleTime {
		if at < i.options.trialShare() {
			i.pinned[session] = struct{}{}
		}
		return false
	}
	if share, trialOver := i.shareAfterTrial(age); trialOver {
		return at < share
	}
	return at < i.options.trialShare() && !i.isPinned(session)
}

// isPinned reports whether any daemon has pinned the session to the previous version. The
// caller holds mu.
func (i *Introduction) isPinned(session uint64) bool {
	if _, ok := i.pinned[session]; ok {
		return true
	}
	for _, r := range i.others {
		for _, h := range r.Pinned {
			if h == session {
				return true
			}
		}
	}
	return false
}

// Observe counts one answer. A latency of zero means that it was not measured.
func (i *Introduction) Observe(route string, trial, bad bool, latency time.Duration) {
	i.observe(CountKey{Route: route, Trial: trial}, bad, latency)
}

// ObservePace counts the mean time between two events of a complete stream.
func (i *Introduction) ObservePace(route string, trial bool, interval time.Duration) {
	i.observe(CountKey{Route: route, Trial: trial, Pace: true}, false, interval)
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
		value := math.Log(latency.Seconds()*1000 + latencyOffsetMs)
		if i.isSlow(key, value) {
			c.Slow++
		}
		c.LogLatencySum += value
		c.LogLatencySquares += value * value
		c.Latencies++
	}
	i.own[key] = c
}

// Report returns this daemon's report to the others.
func (i *Introduction) Report(now time.Time) Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := Report{Order: i.order.ID, Target: i.order.Target, Age: now.Sub(i.since), Counts: make(map[CountKey]Count, len(i.own)), RollbackReason: i.rollbackReason}
	for k, c := range i.own {
		r.Counts[k] = c
	}
	for s := range i.pinned {
		r.Pinned = append(r.Pinned, s)
	}
	return r
}

// ApplyReport applies the report of another daemon. The earliest start known to any daemon
// counts, so that a restarted daemon continues where the fleet is. A decision to roll back is
// adopted: the daemons' counts differ slightly, and otherwise some daemons could declare a
// version complete to which others send nothing any more.
func (i *Introduction) ApplyReport(daemon string, r Report, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if r.Order != i.order.ID || r.Target != i.order.Target {
		return
	}
	i.others[daemon] = r
	if i.rollbackReason == "" {
		i.rollbackReason = r.RollbackReason
	}
	if since := now.Add(-r.Age); since.Before(i.since) {
		i.since = since
	}
}

// Verdict is the result of a review.
type Verdict struct {
	// State is the state that the store should have.
	State  State
	Reason string
	// Trial and Base are the fleet's counts of the new and the previous version.
	Trial, Base Count
	// BadByRoute describes the routes with bad answers: the bad answers and all answers of the new
	// version, and the same of the previous version.
	BadByRoute []string
	// Doubted is set if the version is not declared complete yet because of its bad answers.
	Doubted bool
	// Slowdown is the ratio of the new version's latencies to the first event or answer to
	// those of the previous version, PaceSlowdown that of the times between events. They are
	// zero if there are too few answers.
	Slowdown, PaceSlowdown float64
	// SlowPace is set if the times between events are reason to roll back, Slow if the slowdown
	// of all latencies together is statistically significant.
	SlowPace, Slow bool
	Age            time.Duration
	// FullTrafficAge is the age from which the new version gets all traffic.
	FullTrafficAge time.Duration
}

// Review evaluates the introduction. A decision to roll back is final.
func (i *Introduction) Review(now time.Time) Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	sums := i.sum()
	v := Verdict{State: Running, Age: now.Sub(i.since)}
	for key, c := range sums {
		if !key.Trial {
			i.baseline[key] = c
		}
		switch {
		case key.Pace: // These answers are counted under their other key.
		case key.Trial:
			v.Trial.add(c)
		default:
			v.Base.add(c)
		}
	}
	if !i.trialOver {
		i.schedule = i.options.plan(i.order.Duration, v.Age, v.Trial.Answers, v.Base.Answers)
	}
	_, i.trialOver = i.shareAfterTrial(v.Age)
	if !i.trialOver {
		first := compareLatencies(sums, func(k CountKey) bool { return !k.Pace })
		paces := compareLatencies(sums, func(k CountKey) bool { return k.Pace })
		v.Slowdown = first.slowdown(slowFactor, minLatencies)
		v.PaceSlowdown = paces.slowdown(paces.paceFactor(), minPaces)
		v.SlowPace = v.PaceSlowdown > paces.paceFactor()
		v.Slow = compareLatencies(sums, func(CountKey) bool { return true }).significant()
	}
	if i.rollbackReason == "" {
		i.rollbackReason = rollbackReason(sums, v)
	}
	v.BadByRoute = badByRoute(sums)
	v.FullTrafficAge = i.schedule.fullTraffic
	finishAge := i.options.finishAge(i.order.Duration, i.schedule)
	switch {
	case i.state == Done || i.state == RolledBack:
		v.State = i.state
	case i.rollbackReason != "":
		v.State, v.Reason = RolledBack, i.rollbackReason
	case v.Age < finishAge:
	case v.Age < finishAge+seconds(doubtShare*i.order.Duration.Seconds()) && isDoubted(sums, v.Trial.Bad):
		v.Doubted = true
	default:
		v.State, v.Reason = Done, "no fault found"
	}
	return v
}

// sum returns the counts of all daemons, added up. The caller holds mu.
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

// badByRoute describes the routes with bad answers.
func badByRoute(sums map[CountKey]Count) (routes []string) {
	for key, c := range sums {
		if key.Pace || c.Bad == 0 {
			continue
		}
		trial, base := sums[CountKey{Route: key.Route, Trial: true}], sums[key.base()]
		routes = append(routes, fmt.Sprintf("%s %d/%d before %d/%d", key.Route, trial.Bad, trial.Answers, base.Bad, base.Answers))
	}
	slices.Sort(routes)
	return slices.Compact(routes) // Both versions may have bad answers.
}
