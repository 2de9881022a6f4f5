package explain

import (
	"cmp"
	"slices"
	"time"
)

// Load tells how requests fared under load, by who sent them and where.
type Load struct {
	ByOrganisation []Share `json:"by_organisation"`
	ByPriority     []Share `json:"by_priority"`
	ByDataCentre   []Share `json:"by_data_centre"`
	Returns        Returns `json:"returns"`
}

// Share sums up the requests of one group.
type Share struct {
	// Group is an organisation, a priority, or the data centre of the daemon.
	Group    string        `json:"group"`
	Requests int           `json:"requests"`
	ByCause  map[Cause]int `json:"by_cause"`
	// Waited counts the requests that waited for a grant, WaitP95 is the 95th percentile of
	// their waits.
	Waited  int           `json:"waited"`
	WaitP95 time.Duration `json:"wait_p95"`
}

// Returns tells what callers did after a refusal. A request with the same content within
// returnWindow counts as a return.
type Returns struct {
	// Refused counts the refusals, Returned those after which the caller returned, Served the
	// returns that were answered.
	Refused  int `json:"refused"`
	Returned int `json:"returned"`
	Served   int `json:"served"`
}

// returnWindow is the time after a refusal in which a request with the same content counts as
// a return of its caller.
const returnWindow = 10 * time.Second

// SumUpLoad sums up the requests of a log by organisation, priority and data centre. Each
// retry of a caller counts as a request.
func SumUpLoad(lines []Line) Load {
	all := endedRequests(lines)
	dataCentres := dataCentresOf(lines)
	return Load{
		ByOrganisation: sharesBy(all, func(e endedRequest) string { return e.organisation }),
		ByPriority:     sharesBy(all, func(e endedRequest) string { return e.priority }),
		ByDataCentre:   sharesBy(all, func(e endedRequest) string { return dataCentres[e.host] }),
		Returns:        returnsOf(all),
	}
}

// dataCentresOf returns the data centre of each host.
func dataCentresOf(lines []Line) map[string]string {
	found := make(map[string]string)
	for i := range lines {
		if name := lines[i].field("data_centre"); name != "" && lines[i].Message == "daemon started" {
			found[lines[i].Host] = name
		}
	}
	return found
}

// sharesBy sums up the requests of each group, the largest group first.
func sharesBy(all []endedRequest, group func(endedRequest) string) []Share {
	byGroup := make(map[string][]endedRequest)
	for _, e := range all {
		byGroup[group(e)] = append(byGroup[group(e)], e)
	}
	var shares []Share
	for name, requests := range byGroup {
		shares = append(shares, shareOf(name, requests))
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Group, b.Group))
	})
	return shares
}

func shareOf(name string, requests []endedRequest) Share {
	s := Share{Group: name, Requests: len(requests), ByCause: make(map[Cause]int)}
	var waits []time.Duration
	for _, e := range requests {
		s.ByCause[e.cause]++
		if e.waited > 0 {
			waits = append(waits, e.waited)
		}
	}
	slices.Sort(waits)
	if s.Waited = len(waits); s.Waited > 0 {
		s.WaitP95 = waits[(len(waits)-1)*95/100]
	}
	return s
}

// returnsOf follows the refused requests, in the order of time.
func returnsOf(all []endedRequest) (r Returns) {
	refusedAt := make(map[string][]time.Time)
	for _, e := range all {
		if e.hash == "" {
			continue
		}
		if pending := refusedAt[e.hash]; len(pending) > 0 {
			refusedAt[e.hash] = pending[1:]
			if e.at.Sub(pending[0]) <= returnWindow {
				r.Returned++
				if e.cause != CauseRefused && e.cause != CauseFailed {
					r.Served++
				}
			}
		}
		if e.cause == CauseRefused {
			r.Refused++
			refusedAt[e.hash] = append(refusedAt[e.hash], e.at)
		}
	}
	return r
}
