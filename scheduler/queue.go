package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// classes is the number of classes of a rank.
const classes = int(Repeated)

// item is a waiting or granted request.
type item struct {
	Request
	startBy int64  // Unix nanoseconds of StartBy, for the review of all requests
	seq     uint64 // order of the offers
	work    float64
	flow    *flow
	expiry  int // position in the heap by StartBy
	blocked bool
	// startedBefore is the number of grants when the request arrived.
	startedBefore uint64
}

func (it *item) before(o *item) bool { return it.StartBy.Before(o.StartBy) }
func (it *item) position() *int      { return &it.expiry }

// compareArrival orders the requests of one organisation.
func compareArrival(a, b *item) int {
	if c := a.Arrived.Compare(b.Arrived); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

// flow holds the waiting requests of one account and class in order of arrival.
type flow struct {
	account *account
	lane    *lane
	items   []*item
	head    int     // index of the first item that waits
	work    float64 // seconds, sum over items
	index   int
}

func (f *flow) before(o *flow) bool {
	a, b := f.account, o.account
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	if a.lastGrant != b.lastGrant {
		return a.lastGrant < b.lastGrant
	}
	return a.org.number < b.org.number
}
func (f *flow) position() *int   { return &f.index }
func (f *flow) waiting() []*item { return f.items[f.head:] }
func (f *flow) find(it *item) int {
	i, _ := slices.BinarySearchFunc(f.waiting(), it, compareArrival)
	return i
}

func (f *flow) insert(it *item) {
	i := f.find(it)
	if i == 0 && f.head > 0 {
		f.head--
		f.items[f.head] = it
	} else {
		f.items = slices.Insert(f.items, f.head+i, it)
	}
	f.work += it.work
}

func (f *flow) remove(it *item) {
	i := f.find(it)
	f.work -= it.work
	if i > 0 {
		f.items = slices.Delete(f.items, f.head+i, f.head+i+1)
		return
	}
	f.items[f.head] = nil
	f.head++
	if f.head == len(f.items) {
		f.items, f.head, f.work = f.items[:0], 0, 0
	} else if f.head > 32 && f.head*2 > len(f.items) {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.items, f.head = f.items[:n], 0
	}
}

// lane holds the flows of one rank and class that have waiting requests, by their start tags.
type lane struct {
	flows   heap[*flow]
	work    float64
	waiting int
	// arrived is the work that was queued, rate its rate as of queue.weighedAt.
	arrived meter
	rate    float64
}

// queue holds the waiting requests of a service.
type queue struct {
	ranks  map[int]*rank
	active []*rank // those with waiting requests, most urgent first
	// recent holds the ranks that wait or were asked for recently, most urgent first.
	recent    []*rank
	weighedAt time.Time
	orgs      map[string]*organisation
	bySize    heap[*organisation]
	waiting   int
	number    uint64
	// total counts accounts; above limit, those that are idle are removed.
	total, limit int
}

func newQueue() queue {
	return queue{ranks: map[int]*rank{}, orgs: map[string]*organisation{}, limit: minAccountLimit}
}

// add makes an item wait in its flow.
func (q *queue) add(it *item) {
	f := it.flow
	a, r := f.account, f.account.rank
	if a.waiting == 0 && a.tag < r.virtual {
		a.tag = r.virtual
	}
	f.insert(it)
	f.lane.flows.update(f)
	f.lane.work += it.work
	f.lane.waiting++
	if r.waiting == 0 {
		i, _ := slices.BinarySearchFunc(q.active, r, compareRanks)
		q.active = slices.Insert(q.active, i, r)
	}
	r.work += it.work
	q.count(a, 1)
}

// remove takes a waiting item out of its flow.
func (q *queue) remove(it *item) {
	f := it.flow
	a, r := f.account, f.account.rank
	f.remove(it)
	f.lane.work -= it.work
	f.lane.waiting--
	if len(f.waiting()) == 0 {
		f.lane.flows.remove(f)
	}
	if f.lane.waiting == 0 {
		f.lane.work = 0
	}
	r.work -= it.work
	q.count(a, -1)
	if r.waiting == 0 {
		r.work = 0
		i, _ := slices.BinarySearchFunc(q.active, r, compareRanks)
		q.active = slices.Delete(q.active, i, i+1)
	}
}

func (q *queue) count(a *account, n int) {
	a.waiting += n
	a.rank.waiting += n
	a.org.waiting += n
	q.waiting += n
	if a.org.waiting > 0 {
		q.bySize.update(a.org)
	} else {
		q.bySize.remove(a.org)
	}
}

func compareRanks(a, b *rank) int { return cmp.Compare(a.value, b.value) }

// first returns the request that goes first, or nil.
func (q *queue) first() *item {
	if len(q.active) == 0 {
		return nil
	}
	for c := range q.active[0].lanes {
		if l := &q.active[0].lanes[c]; l.flows.len() > 0 {
			return l.flows.top().waiting()[0]
		}
	}
	return nil
}

// newestOfLargest returns the newest request in the least urgent rank of the organisation with
// the most waiting requests.
func (q *queue) newestOfLargest() *item {
	o := q.bySize.top()
	for _, a := range slices.Backward(o.ranks) {
		var newest *item
		for c := range a.flows {
			if w := a.flows[c].waiting(); len(w) > 0 {
				if last := w[len(w)-1]; newest == nil || compareArrival(last, newest) > 0 {
					newest = last
				}
			}
		}
		if newest != nil {
			return newest
		}
	}
	return nil
}
