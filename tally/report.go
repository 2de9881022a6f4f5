package tally

import (
	"cmp"
	"slices"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Report holds the counts of one introduction by one or more daemons.
type Report = bronzeturnv1.CanaryReport

// maxPinnedSessions bounds the pinned sessions in a sum, maxStoppedSessions those that last ran
// on versions that have stopped.
const (
	maxPinnedSessions  = 4096
	maxStoppedSessions = 4096
)

// countKey identifies a count within a report.
type countKey struct {
	route       string
	trial, pace bool
}

func keyOf(c *bronzeturnv1.CanaryCount) countKey {
	return countKey{route: c.GetRoute(), trial: c.GetTrial(), pace: c.GetPace()}
}

// sameOrder reports whether two reports are of the same introduction.
func sameOrder(a, b *Report) bool {
	return a.GetOrder() == b.GetOrder() && a.GetTarget() == b.GetTarget()
}

// addReports adds up those of the reports that are of the first one's introduction. Counts are
// added and sessions united. The earliest start and any decision to roll back hold for all. Of
// reports of other introductions, it adds the stopped sessions: when the next order comes, some
// daemons learn of it before others, and the sessions outlast the order that stopped their version.
func addReports(first *Report, others ...*Report) *Report {
	total := &Report{Order: first.GetOrder(), Target: first.GetTarget()}
	counts := make(map[countKey]*bronzeturnv1.CanaryCount)
	for _, r := range append([]*Report{first}, others...) {
		if r == nil {
			continue
		}
		if !sameOrder(first, r) {
			total.StoppedSessions = append(total.StoppedSessions, stoppedUnder(first, r)...)
			continue
		}
		total.AgeMs = max(total.AgeMs, r.GetAgeMs())
		if total.Condemned == "" {
			total.Condemned = r.GetCondemned()
		}
		total.HeldSessions = append(total.HeldSessions, r.GetHeldSessions()...)
		total.StoppedSessions = append(total.StoppedSessions, r.GetStoppedSessions()...)
		for _, c := range r.GetCounts() {
			addCount(counts, c, 1)
		}
	}
	slices.Sort(total.HeldSessions)
	total.HeldSessions = slices.Compact(total.HeldSessions)
	total.HeldSessions = total.HeldSessions[:min(len(total.HeldSessions), maxPinnedSessions)]
	total.StoppedSessions = latestRuns(total.StoppedSessions)
	total.Counts = nonEmptyCounts(counts)
	return total
}

// stoppedUnder returns the stopped sessions of a report of another introduction, with times
// relative to the order of the first one's.
func stoppedUnder(first, other *Report) []*bronzeturnv1.StoppedSession {
	later := int32(int64(first.GetAgeMs()) - int64(other.GetAgeMs()))
	moved := make([]*bronzeturnv1.StoppedSession, 0, len(other.GetStoppedSessions()))
	for _, s := range other.GetStoppedSessions() {
		moved = append(moved, &bronzeturnv1.StoppedSession{Session: s.GetSession(), EndedMs: s.GetEndedMs() + later})
	}
	return moved
}

// aged returns a report with the age of its order some time after the report was made.
func aged(r *Report, elapsed time.Duration) *Report {
	if r == nil {
		return nil
	}
	return &Report{
		Order: r.GetOrder(), Target: r.GetTarget(), AgeMs: r.GetAgeMs() + uint64(elapsed.Milliseconds()), Counts: r.GetCounts(),
		HeldSessions: r.GetHeldSessions(), StoppedSessions: r.GetStoppedSessions(), Condemned: r.GetCondemned(),
	}
}

// latestRuns returns at most maxStoppedSessions of the runs, the latest ones. A session may be
// among them several times, with its runs at several daemons.
func latestRuns(runs []*bronzeturnv1.StoppedSession) []*bronzeturnv1.StoppedSession {
	if len(runs) <= maxStoppedSessions {
		return runs
	}
	slices.SortFunc(runs, func(a, b *bronzeturnv1.StoppedSession) int { return cmp.Compare(b.GetEndedMs(), a.GetEndedMs()) })
	return runs[:maxStoppedSessions]
}

// subtractReport returns a total without the counts of one daemon.
func subtractReport(total, own *Report) *Report {
	rest := &Report{
		Order: total.GetOrder(), Target: total.GetTarget(), AgeMs: total.GetAgeMs(),
		HeldSessions: total.GetHeldSessions(), StoppedSessions: total.GetStoppedSessions(), Condemned: total.GetCondemned(),
	}
	counts := make(map[countKey]*bronzeturnv1.CanaryCount)
	for _, c := range total.GetCounts() {
		addCount(counts, c, 1)
	}
	if sameOrder(total, own) {
		for _, c := range own.GetCounts() {
			addCount(counts, c, -1)
		}
	}
	rest.Counts = nonEmptyCounts(counts)
	return rest
}

// addCount adds a count, or subtracts it with a sign of -1. A total that lags behind may hold
// less than what is subtracted; the result is zero then.
func addCount(counts map[countKey]*bronzeturnv1.CanaryCount, c *bronzeturnv1.CanaryCount, sign int) {
	key := keyOf(c)
	sum := counts[key]
	if sum == nil {
		sum = &bronzeturnv1.CanaryCount{Route: key.route, Trial: key.trial, Pace: key.pace}
		counts[key] = sum
	}
	if sign < 0 && (sum.Answers < c.Answers || sum.Latencies < c.Latencies) {
		counts[key] = &bronzeturnv1.CanaryCount{Route: key.route, Trial: key.trial, Pace: key.pace}
		return
	}
	sum.Answers = addClamped(sum.Answers, c.Answers, sign)
	sum.Bad = addClamped(sum.Bad, c.Bad, sign)
	sum.Slow = addClamped(sum.Slow, c.Slow, sign)
	sum.Latencies = addClamped(sum.Latencies, c.Latencies, sign)
	sum.LogLatencySum += float64(sign) * c.LogLatencySum
	sum.LogLatencySquares += float64(sign) * c.LogLatencySquares
}

// addClamped returns n plus or minus by, at least 0.
func addClamped(n, by uint64, sign int) uint64 {
	if sign > 0 {
		return n + by
	}
	return n - min(n, by)
}

// nonEmptyCounts returns the counts that are not zero.
func nonEmptyCounts(counts map[countKey]*bronzeturnv1.CanaryCount) []*bronzeturnv1.CanaryCount {
	var list []*bronzeturnv1.CanaryCount
	for _, c := range counts {
		if c.Answers > 0 || c.Latencies > 0 {
			list = append(list, c)
		}
	}
	return list
}
