package load

import (
	"math/rand/v2"
	"sort"
)

// kindPicker draws random task kinds with probabilities proportional to their
// weights.
type kindPicker struct {
	kinds []string
	// ends holds the cumulative sums of the weights.
	ends []int
}

func newKindPicker(mix map[string]int) kindPicker {
	var p kindPicker
	for kind := range mix {
		p.kinds = append(p.kinds, kind)
	}
	sort.Strings(p.kinds)
	sum := 0
	for _, kind := range p.kinds {
		sum += mix[kind]
		p.ends = append(p.ends, sum)
	}
	return p
}

func (p kindPicker) pick(random *rand.Rand) string {
	drawn := random.IntN(p.ends[len(p.ends)-1])
	return p.kinds[sort.SearchInts(p.ends, drawn+1)]
}
