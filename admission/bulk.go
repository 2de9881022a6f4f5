package admission

// bulkDamping divides each change of a bulk limit, since load reports are
// delayed and a full step would overshoot.
const bulkDamping = 2

// GroupLoad is the reported load of the engines that serve one group. The zero
// value has no engines and permits one bulk request.
type GroupLoad struct {
	// Daemons is the number of daemons that send requests to the same engines.
	Daemons int
	free    int // free slots outside the urgent reserve
	over    int // requests in excess of the slots outside the urgent reserve
}

// Add adds the last report of one engine: its slots, and the requests of any
// group and daemon that run or wait there.
func (l *GroupLoad) Add(slots, busy int) {
	left := slots - slots/urgentReserve - busy
	if left >= 0 {
		l.free += left
	} else {
		l.over -= left
	}
}

// BulkLimit returns how many bulk requests a daemon with own of them in
// progress may have: a part of the free slots more, or, while any engine uses
// slots reserved for urgent requests, a part of the excess fewer. It is at least
// one, so that bulk requests always make progress.
//
// Engines serve by priority but don't preempt running requests, so an urgent
// request that finds all slots taken waits for a bulk request to end. Daemons
// that each stay within the slots can still exceed them together; this bound
// makes all of them back off in time without messages between them.
func BulkLimit(own int, l GroupLoad) int {
	part := bulkDamping * max(l.Daemons, 1)
	if l.over > 0 {
		return max(1, own-(l.over+part-1)/part)
	}
	return max(1, own+(l.free+part-1)/part)
}

// SetBulkLimit bounds the bulk requests in progress by the load that the engines
// reported. The caller then starts what Next returns.
func (q *Queue) SetBulkLimit(l GroupLoad) { q.bulkLimit = BulkLimit(q.bulkInUse, l) }
