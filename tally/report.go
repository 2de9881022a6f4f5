package tally

import (
	"cmp"
	"slices"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Report is what one or several daemons have counted of one introduction.
type Report = bronzeturnv1.CanaryReport

// mostSessions bounds the sessions of a sum that are held, mostStopped those that have last run
// on versions that have stopped.
const (
	mostSessions = 4096
	mostStopped  = 4096
)

// countKey names a count within a report.
type countKey struct {
	route       string
	trial, pace bool
}

func keyOf(c *bronzeturnv1.CanaryCount) countKey {
	return countKey{route: c.GetRoute(), trial: c.GetTrial(), pace: c.GetPace()}
}

// sameOrder tells whether two reports are of one introduction.
func sameOrder(a, b *Report) bool {
	return a.GetOrder() == b.GetOrder() && a.GetTarget() == b.GetTarget()
}

// sum adds up the reports that are of the first one's introduction: counts are added,
// sessions united; the oldest start and any verdict hold for all.
func sum(first *Report, others ...*Report) *Report {
	total := &Report{Order: first.GetOrder(), Target: first.GetTarget()}
	counts := make(map[countKey]*bronzeturnv1.CanaryCount)
	for _, r := range append([]*Report{first}, others...) {
		if r == nil || !sameOrder(first, r) {
			continue
		}
		total.AgeMs = max(total.AgeMs, r.GetAgeMs())
		if total.Condemned == "" {
			total.Condemned = r.GetCondemned()
		}
		total.HeldSessions = append(total.HeldSessions, r.GetHeldSessions()...)
		total.StoppedSessions = append(total.StoppedSessions, r.GetStoppedSessions()...)
		for _, c := range r.GetCounts() {
			add(counts, c, 1)
		}
	}
	slices.Sort(total.HeldSessions)
	total.HeldSessions = slices.Compact(total.HeldSessions)
	total.HeldSessions = total.HeldSessions[:min(len(total.HeldSessions), mostSessions)]
	total.StoppedSessions = latestRuns(total.StoppedSessions)
	total.Counts = listOf(counts)
	return total
}

// latestRuns bounds the runs to the latest. A session may be among them more than once, with
// its runs at several daemons.
func latestRuns(runs []*bronzeturnv1.StoppedSession) []*bronzeturnv1.StoppedSession {
	if len(runs) <= mostStopped {
		return runs
	}
	slices.SortFunc(runs, func(a, b *bronzeturnv1.StoppedSession) int { return cmp.Compare(b.GetEndedMs(), a.GetEndedMs()) })
	return runs[:mostStopped]
}

// without returns a total less what one daemon has put into it.
func without(total, own *Report) *Report {
	rest := &Report{
		Order: total.GetOrder(), Target: total.GetTarget(), AgeMs: total.GetAgeMs(),
		HeldSessions: total.GetHeldSessions(), StoppedSessions: total.GetStoppedSessions(), Condemned: total.GetCondemned(),
	}
	counts := make(map[countKey]*bronzeturnv1.CanaryCount)
	for _, c := range total.GetCounts() {
		add(counts, c, 1)
	}
	if sameOrder(total, own) {
		for _, c := range own.GetCounts() {
			add(counts, c, -1)
		}
	}
	rest.Counts = listOf(counts)
	return rest
}

// add adds a count, or takes it away with a sign of -1. A total that lags behind may hold
// less than what is taken from it; nothing is left then.
func add(counts map[countKey]*bronzeturnv1.CanaryCount, c *bronzeturnv1.CanaryCount, sign int) {
	key := keyOf(c)
	held := counts[key]
	if held == nil {
		held = &bronzeturnv1.CanaryCount{Route: key.route, Trial: key.trial, Pace: key.pace}
		counts[key] = held
	}
	if sign < 0 && (held.Answers < c.Answers || held.Latencies < c.Latencies) {
		counts[key] = &bronzeturnv1.CanaryCount{Route: key.route, Trial: key.trial, Pace: key.pace}
		return
	}
	held.Answers = shifted(held.Answers, c.Answers, sign)
	held.Bad = shifted(held.Bad, c.Bad, sign)
	held.Slow = shifted(held.Slow, c.Slow, sign)
	held.Latencies = shifted(held.Latencies, c.Latencies, sign)
	held.LogLatencySum += float64(sign) * c.LogLatencySum
	held.LogLatencySquares += float64(sign) * c.LogLatencySquares
}

// shifted returns a number plus or minus another, at least 0.
func shifted(n, by uint64, sign int) uint64 {
	if sign > 0 {
		return n + by
	}
	return n - min(n, by)
}

// listOf returns the counts that hold anything.
func listOf(counts map[countKey]*bronzeturnv1.CanaryCount) []*bronzeturnv1.CanaryCount {
	var list []*bronzeturnv1.CanaryCount
	for _, c := range counts {
		if c.Answers > 0 || c.Latencies > 0 {
			list = append(list, c)
		}
	}
	return list
}
