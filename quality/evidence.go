package quality

import "math"

// negligibleWeight is the evidence, in ratings, below which an organisation's
// record is dropped.
const negligibleWeight = 1e-3

// evidence holds the ratings of each organisation for one cell, in the order
// of their first ratings, so that sums come out the same in every run.
type evidence struct {
	records []record
	index   map[string]int
}

// record is what one organisation contributed.
type record struct {
	organisation string
	// fresh came to this daemon and was not handed over yet.
	fresh moments
	// sent came to this daemon and was handed over, but is in no publication yet.
	sent moments
	// merged was collected by this daemon as the aggregator of the version.
	merged moments
}

func (r *record) total() moments {
	m := r.fresh
	m.add(r.sent)
	m.add(r.merged)
	return m
}

// of returns the record of an organisation, created at first use.
func (e *evidence) of(organisation string) *record {
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

// scale discounts all evidence by the factor f and drops what became negligible.
func (e *evidence) scale(f float64) {
	kept := e.records[:0]
	clear(e.index)
	for _, r := range e.records {
		r.fresh.scale(f)
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

// mostInfluential returns the evidence of the organisation that pulls furthest
// away from mean, up or down.
func (e *evidence) mostInfluential(mean float64) moments {
	var worst moments
	pull := 0.0
	for i := range e.records {
		m := e.records[i].total()
		if p := math.Abs(m.sum - mean*m.weight); p > pull {
			worst, pull = m, p
		}
	}
	return worst
}
