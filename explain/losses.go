package explain

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Cause is why a request did not bring its full worth, the value of a right answer on time.
type Cause string

// The causes. A request has one: the first that applies, in the order refused, failed,
// late first byte, late pause, low confidence.
const (
	// CauseNone is an answer on time whose chance of being right, if known, is above
	// evenChance.
	CauseNone Cause = "on_time"
	// CauseRefused is a request that did not run, CauseFailed one that may have run but
	// got no complete answer.
	CauseRefused Cause = "refused"
	CauseFailed  Cause = "failed"
	// CauseLateFirst is an answer that began later than its route's target, CauseLatePause
	// a stream with a longer pause than its route allows.
	CauseLateFirst Cause = "late_first"
	CauseLatePause Cause = "late_pause"
	// CauseLowConfidence is an answer whose chance of being right, by its model's own
	// confidence, is evenChance or less.
	CauseLowConfidence Cause = "doubted"
)

// Causes returns all causes in the order of the columns of tables.
func Causes() []Cause {
	return []Cause{CauseNone, CauseRefused, CauseFailed, CauseLateFirst, CauseLatePause, CauseLowConfidence}
}

// evenChance is the chance of being right at or below which CauseLowConfidence applies.
const evenChance = 0.5

// Loss sums up the requests of one group.
type Loss struct {
	// Group is a route, a size class of a route, or the start of an interval.
	Group    string `json:"group"`
	Requests int    `json:"requests"`
	// ByCause counts the requests by cause.
	ByCause map[Cause]int `json:"by_cause"`
	// Worth is what right answers to all requests would have been worth, ExpectedLoss the
	// part of it that answers are expected to lose by being wrong, and Price what the
	// chosen models cost. All are in the unit of the models' prices, and zero for requests
	// without a choice of model, whose log lines lack these fields.
	Worth        float64 `json:"worth"`
	ExpectedLoss float64 `json:"doubt"`
	Price        float64 `json:"price"`
	// Resends counts attempts after the first one, Resumed counts streams that continued
	// on another engine.
	Resends int `json:"again"`
	Resumed int `json:"resumed"`
}

// endedRequest holds the data of a request's last log line, "request ended".
type endedRequest struct {
	at    time.Time
	host  string
	route string
	// organisation and priority are those of the request, hash identifies its content.
	organisation, priority, hash string
	// waited and attempts tell how long the request waited for a grant and how often it was
	// sent to an engine.
	waited       time.Duration
	attempts     int
	size         float64
	cause        Cause
	worth, price float64
	expectedLoss float64
	resends      int
	resumed      int
}

// number returns the value of a numeric field, or 0 if the line does not have it.
func (l *Line) number(name string) float64 {
	value, err := strconv.ParseFloat(l.field(name), 64)
	if err != nil {
		return 0 // Fields that do not apply to a request are left out.
	}
	return value
}

// outputSize is the number of prompt tokens that one generated token counts as in the
// size of a request. The worth of an answer uses the same ratio.
const outputSize = 10

// parseEndedRequest reads the last log line of a request.
func parseEndedRequest(l *Line) endedRequest {
	e := endedRequest{
		at: l.Time, host: l.Host, route: l.field("route"), cause: causeOf(l), worth: l.number("worth"), price: l.number("price"),
		organisation: l.field("organisation"), priority: l.field("priority"), hash: l.field("hash"),
		waited: time.Duration(l.number("waited_ms") * float64(time.Millisecond)), attempts: int(l.number("attempts")),
		size: l.number("prompt_tokens") + outputSize*l.number("answer_tokens"),
	}
	e.resends = max(int(l.number("attempts"))-1, 0)
	e.resumed = int(l.number("resumed"))
	if e.cause != CauseRefused && e.cause != CauseFailed {
		e.expectedLoss = e.worth * (1 - l.number("chance"))
	}
	return e
}

// causeOf returns the first cause that applies.
func causeOf(l *Line) Cause {
	target, pause := l.number("target_ms"), l.number("most_pause_ms")
	_, hasChance := l.lookup("chance")
	switch {
	case l.field("outcome") != "answered" && l.field("ran") == "no":
		return CauseRefused
	case l.field("outcome") != "answered" || l.number("status") >= 300:
		return CauseFailed
	case target > 0 && l.number("first_ms") > target:
		return CauseLateFirst
	case pause > 0 && l.number("pause_ms") > pause:
		return CauseLatePause
	case hasChance && l.number("chance") <= evenChance:
		return CauseLowConfidence
	}
	return CauseNone
}

// sizeClasses are the size classes of a route's requests, as quantile ranges of their sizes.
var sizeClasses = []struct {
	name     string
	from, to float64
}{{"smaller half", 0, 0.5}, {"next fifth", 0.5, 0.7}, {"fifth below the largest tenth", 0.7, 0.9}, {"largest tenth", 0.9, 1}}

// Losses sums up the requests of a log by route, by size within the routes whose requests
// have one, and by intervals of length step. Each retry of a caller counts as a request.
func Losses(lines []Line, step time.Duration) (byRoute, bySize, byTime []Loss) {
	all := endedRequests(lines)
	interval := func(e endedRequest) string { return e.at.Truncate(step).UTC().Format(time.TimeOnly) }
	for _, run := range runsOf(all, interval) {
		byTime = append(byTime, sumUp(interval(run[0]), run))
	}
	slices.SortStableFunc(all, func(a, b endedRequest) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.size, b.size))
	})
	for _, run := range runsOf(all, func(e endedRequest) string { return e.route }) {
		byRoute = append(byRoute, sumUp(run[0].route, run))
		if run[len(run)-1].size > 0 {
			bySize = append(bySize, sumUpBySize(run)...)
		}
	}
	return byRoute, bySize, byTime
}

// endedRequests returns the requests that ended, in the order of time.
func endedRequests(lines []Line) []endedRequest {
	var all []endedRequest
	for i := range lines {
		if lines[i].Message == "request ended" && lines[i].field("route") != "" {
			all = append(all, parseEndedRequest(&lines[i]))
		}
	}
	slices.SortStableFunc(all, func(a, b endedRequest) int { return a.at.Compare(b.at) })
	return all
}

// sumUpBySize sums up one route's requests, sorted by size, for each size class.
func sumUpBySize(all []endedRequest) []Loss {
	var parts []Loss
	for _, p := range sizeClasses {
		from, to := int(p.from*float64(len(all))), int(p.to*float64(len(all)))
		if from < to {
			parts = append(parts, sumUp(all[0].route+", "+p.name, all[from:to]))
		}
	}
	return parts
}

// runsOf splits requests into runs of consecutive ones with the same name.
func runsOf(all []endedRequest, name func(endedRequest) string) (runs [][]endedRequest) {
	for len(all) > 0 {
		n := 1
		for n < len(all) && name(all[n]) == name(all[0]) {
			n++
		}
		runs = append(runs, all[:n])
		all = all[n:]
	}
	return runs
}

// sumUp returns the sums over the requests of one group.
func sumUp(group string, all []endedRequest) Loss {
	sum := Loss{Group: group, Requests: len(all), ByCause: make(map[Cause]int)}
	for _, e := range all {
		sum.ByCause[e.cause]++
		sum.Worth += e.worth
		sum.ExpectedLoss += e.expectedLoss
		sum.Price += e.price
		sum.Resends += e.resends
		sum.Resumed += e.resumed
	}
	return sum
}
