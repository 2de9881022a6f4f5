package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Status returns the state for operators, with the usage by rank and organisation. It
// leaves out organisations that have been idle for long.
func (s *Scheduler) Status(now time.Time) Status {
	s.advance(now)
	st := Status{Room: s.room(), Running: s.pool.counted + s.undecided, Waiting: s.waiting()}
	for _, o := range s.queue.orgs {
		for _, a := range o.ranks {
			st.Usage = append(st.Usage, Usage{
				Organisation: o.name, Rank: a.rank.value, Waiting: a.waiting + a.blocked, Asked: a.asked, Granted: a.granted,
			})
		}
	}
	slices.SortFunc(st.Usage, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Organisation, b.Organisation))
	})
	return st
}
