package admission

// bulkDamping slows the growth of bulk work, since reports of load are late.
const bulkDamping = 2

// GroupLoad is what a daemon knows of the engines that serve one group. The zero
// value knows of none and leaves room for one bulk request.
type GroupLoad struct {
	// Daemons is the number of daemons that send work to the same engines.
	Daemons int
	free    int // slots below the urgent reserve that are not taken
	over    int // requests beyond that, at engines that have no free slot there
}

// Add takes in the last report of one engine: its slots, and the requests of
// any group and daemon that run or wait there.
func (r *GroupLoad) Add(slots, busy int) {
	left := slots - slots/urgentReserve - busy
	if left >= 0 {
		r.free += left
	} else {
		r.over -= left
	}
}

// BulkLimit returns how many bulk requests a daemon with own of them in
// progress may have: a part of the free room more, or, while any engine is
// into the slots reserved for urgent work, a part of the excess less. It is at
// least one, so that bulk is never shut out.
//
// Engines serve by priority but don't stop running requests, so an urgent one
// that finds all slots taken waits for the end of a bulk one. Daemons that
// each respect the slots can still fill them together; this bound makes all of
// them stop in time without a message between them.
func BulkLimit(own int, r GroupLoad) int {
	part := bulkDamping * max(r.Daemons, 1)
	if r.over > 0 {
		return max(1, own-(r.over+part-1)/part)
	}
	return max(1, own+(r.free+part-1)/part)
}

// SetBulkLimit bounds the bulk requests in progress by what the engines
// reported. The caller then starts what Next returns.
func (q *Queue) SetBulkLimit(r GroupLoad) { q.bulkLimit = BulkLimit(q.bulkInUse, r) }
