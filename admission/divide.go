package admission

import "slices"

// waterLevel returns the level up to which each want is met when total is
// divided max-min fairly: everyone gets min(want, level), and nobody who wants
// more has less than another. When all wants fit, the level is the largest
// want and rest is what is left of total. It sorts wants.
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
