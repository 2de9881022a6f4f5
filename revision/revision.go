// Package revision combines the two numbers that order the states of a store: its era, which
// increases each time the store comes back from a copy and has lost what was written since, and
// its counter, which increases with each change but is given out again after such a loss.
package revision

// counterBits is the number of low bits that hold the counter. At 10,000 changes a second they
// last three years.
const counterBits = 40

// In returns the revision with a counter in an era. Revisions are ordered by their eras, and
// within an era by their counters. The revisions of a store without eras are its counters.
func In(era, counter uint64) uint64 { return era<<counterBits | counter&(1<<counterBits-1) }

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision >> counterBits }

// Counter returns the counter of a revision.
func Counter(revision uint64) uint64 { return revision & (1<<counterBits - 1) }
