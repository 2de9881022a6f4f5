package admission

import "slices"

// waterLevel divides total max-min fairly by water filling and returns the level:
// each participant gets min(want, level). When all wants fit, the level is the
// largest want and rest is what is left of total. It sorts wants.
func waterLevel(total float64, wants []float64) (level, rest float64) {
	slices.Sort(wants)
	rest = max(total, 0)
	for i, want := range wants {
		part := rest / float64(len(wants)-i)
		if want > part {
			return part, 0
		}
		rest -= want
		level = want
	}
	return level, rest
}
