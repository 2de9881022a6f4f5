package follow

import "slices"

// maxHistory is the maximum number of steps in the history. A daemon that is further behind
// receives the names of all objects or the full state.
const maxHistory = 128

// step is one change of the copy from one revision to another.
type step struct {
	from, to uint64
	// names lists the objects that changed or were removed.
	names []string
	// netOnly reports whether names is the difference between two complete snapshots,
	// without objects that were created and removed in between. Other steps include such
	// objects and can be applied to any revision within the step.
	netOnly bool
}

// newStep returns the step from a revision to that of c, with the names of the objects in c.
func newStep(from uint64, c *Changes, netOnly bool) step {
	names := make([]string, 0, len(c.Changed)+len(c.Removed))
	for i := range c.Changed {
		names = append(names, c.Changed[i].Name)
	}
	return step{from: from, to: c.Revision, names: append(names, c.Removed...), netOnly: netOnly}
}

// history holds the names of the objects affected by the most recent changes of a copy. Their
// content is read from the current snapshot, so that it is not stored twice.
type history struct {
	steps []step
}

// add appends a step and discards the oldest one if the history is full.
func (h *history) add(s step) {
	if len(h.steps) == maxHistory {
		h.steps = append(h.steps[:0], h.steps[1:]...)
	}
	h.steps = append(h.steps, s)
}

// since returns the combined changes from a revision to the current snapshot. It returns false
// if they are no longer in the history or the revision lies within a netOnly step: a copy at
// such a revision may hold an object whose removal the step does not include.
func (h *history) since(after uint64, current *Snapshot) (Changes, bool) {
	if len(h.steps) == 0 || after < h.steps[0].from || after == 0 {
		return Changes{}, false
	}
	var names []string
	for _, s := range h.steps {
		if s.netOnly && s.from < after && after < s.to {
			return Changes{}, false
		}
		if s.to > after {
			names = append(names, s.names...)
		}
	}
	slices.Sort(names)
	c := Changes{Revision: current.Revision}
	for _, name := range slices.Compact(names) {
		if item, ok := current.Item(name); ok {
			c.Changed = append(c.Changed, item)
		} else {
			c.Removed = append(c.Removed, name)
		}
	}
	return c, true
}
