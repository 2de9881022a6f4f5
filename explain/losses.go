package explain

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Cause is why a request did not earn its full worth.
type Cause string

// The causes, in the order in which the first one that holds is taken.
const (
	// CauseNone is an answer on time that its model did not doubt.
	CauseNone Cause = "on_time"
	// CauseRefused is a request that did not run, CauseFailed one that got no whole
	// answer though it may have run.
	CauseRefused Cause = "refused"
	CauseFailed  Cause = "failed"
	// CauseLateFirst is an answer that began after its route's target, CauseLatePause a
	// stream with a pause above its route's bound.
	CauseLateFirst Cause = "late_first"
	CauseLatePause Cause = "late_pause"
	// CauseLowConfidence is an answer that is as likely wrong as right by its model's own
	// confidence, or likelier.
	CauseLowConfidence Cause = "doubted"
)

// Causes are all causes in the order of tables.
func Causes() []Cause {
	return []Cause{CauseNone, CauseRefused, CauseFailed, CauseLateFirst, CauseLatePause, CauseLowConfidence}
}

// evenChance is the chance of being right at and below which an answer counts as doubted.
const evenChance = 0.5

// Loss sums up the requests of one group.
type Loss struct {
	// Group names a route, a part of a route's sizes, or a time.
	Group    string `json:"group"`
	Requests int    `json:"requests"`
	// ByCause counts the requests by what became of them.
	ByCause map[Cause]int `json:"by_cause"`
	// Worth is what right answers would have been worth, Doubt the part of it that
	// answers are expected to miss for being wrong, Price what the model sizes cost. All
	// are in the unit of the models' prices and zero where the size was not open.
	Worth        float64 `json:"worth"`
	ExpectedLoss float64 `json:"doubt"`
	Price        float64 `json:"price"`
	// Resends counts second and further sends, Resumed streams that went on at another
	// engine.
	Resends int `json:"again"`
	Resumed int `json:"resumed"`
}

// endedRequest is one request as its last log line tells it.
type endedRequest struct {
	at           time.Time
	route        string
	size         float64
	cause        Cause
	worth, price float64
	doubt        float64
	again        int
	resumed      int
}

// number returns a field as a number, zero when there is none.
func (l *Line) number(name string) float64 {
	value, err := strconv.ParseFloat(l.field(name), 64)
	if err != nil {
		return 0 // The field is left out where it means nothing.
	}
	return value
}

// outputSize is the size of a generated token in those of the prompt, as in the worth of
// an answer.
const outputSize = 10

// parseEndedRequest reads the last line of a request.
func parseEndedRequest(l *Line) endedRequest {
	e := endedRequest{
		at: l.Time, route: l.field("route"), cause: causeOf(l), worth: l.number("worth"), price: l.number("price"),
		size: l.number("prompt_tokens") + outputSize*l.number("answer_tokens"),
	}
	e.again = max(int(l.number("attempts"))-1, 0)
	e.resumed = int(l.number("resumed"))
	if e.cause != CauseRefused && e.cause != CauseFailed {
		e.doubt = e.worth * (1 - l.number("chance"))
	}
	return e
}

// causeOf finds the first cause that holds.
func causeOf(l *Line) Cause {
	target, pause := l.number("target_ms"), l.number("most_pause_ms")
	_, sized := l.lookup("chance")
	switch {
	case l.field("outcome") != "answered" && l.field("ran") == "no":
		return CauseRefused
	case l.field("outcome") != "answered" || l.number("status") >= 300:
		return CauseFailed
	case target > 0 && l.number("first_ms") > target:
		return CauseLateFirst
	case pause > 0 && l.number("pause_ms") > pause:
		return CauseLatePause
	case sized && l.number("chance") <= evenChance:
		return CauseLowConfidence
	}
	return CauseNone
}

// sizeClasses are the parts of a route's requests by size that are told apart.
var sizeClasses = []struct {
	name     string
	from, to float64
}{{"smaller half", 0, 0.5}, {"next fifth", 0.5, 0.7}, {"fifth below the largest tenth", 0.7, 0.9}, {"largest tenth", 0.9, 1}}

// Losses tell where worth went: by route, by size within the routes whose requests have
// one, and by time in steps. Callers' tries count as requests of their own.
func Losses(lines []Line, step time.Duration) (byRoute, bySize, byTime []Loss) {
	var all []endedRequest
	for i := range lines {
		if lines[i].Message == "request ended" && lines[i].field("route") != "" {
			all = append(all, parseEndedRequest(&lines[i]))
		}
	}
	slices.SortStableFunc(all, func(a, b endedRequest) int { return a.at.Compare(b.at) })
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

// sumUpBySize sums up one route's requests, which are in the order of their sizes.
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

// runsOf cuts requests into runs of the same name.
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

// sumUp sums up requests.
func sumUp(group string, all []endedRequest) Loss {
	sum := Loss{Group: group, Requests: len(all), ByCause: make(map[Cause]int)}
	for _, e := range all {
		sum.ByCause[e.cause]++
		sum.Worth += e.worth
		sum.ExpectedLoss += e.doubt
		sum.Price += e.price
		sum.Resends += e.again
		sum.Resumed += e.resumed
	}
	return sum
}
