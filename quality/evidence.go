package quality

import "math"

// negligibleWeight is the weight, in ratings, below which evidence is dropped or
// not published.
const negligibleWeight = 1e-3

// evidence holds the ratings of each organisation for one cell, in the order of
// their first ratings, so that floating-point sums are reproducible.
type evidence struct {
	records []record
	index   map[string]int
}

// record holds the ratings of one organisation.
type record struct {
	organisation string
	// unsent ratings arrived at this daemon and are in no report yet.
	unsent moments
	// sent ratings arrived at this daemon and are in a report, but in no known
	// publication yet.
	sent moments
	// merged ratings were collected by this daemon as the aggregator of the version.
	merged moments
}

func (r *record) total() moments {
	m := r.unsent
	m.add(r.sent)
	m.add(r.merged)
	return m
}

// recordOf returns the record of an organisation, creating it on first use.
func (e *evidence) recordOf(organisation string) *record {
	i, ok := e.index[organisation]
	if !ok {
		if e.index == nil {
			e.index = make(map[string]int)
		}
		i = len(e.records)
		e.index[organisation] = i
		e.records = append(e.records, record{organisation: organisation})
	}
	return &e.records[i]
}

// scale multiplies all evidence by f and drops records of negligible weight.
func (e *evidence) scale(f float64) {
	kept := e.records[:0]
	clear(e.index)
	for _, r := range e.records {
		r.unsent.scale(f)
		r.sent.scale(f)
		r.merged.scale(f)
		if r.total().weight < negligibleWeight {
			continue
		}
		e.index[r.organisation] = len(kept)
		kept = append(kept, r)
	}
	clear(e.records[len(kept):])
	e.records = kept
}

func (e *evidence) total() moments {
	var sum moments
	for i := range e.records {
		sum.add(e.records[i].total())
	}
	return sum
}

// mostInfluential returns the evidence of the organisation that shifts the
// estimate furthest from mean in either direction.
func (e *evidence) mostInfluential(mean float64) moments {
	var most moments
	influence := 0.0
	for i := range e.records {
		m := e.records[i].total()
		if p := math.Abs(m.sum - mean*m.weight); p > influence {
			most, influence = m, p
		}
	}
	return most
}
