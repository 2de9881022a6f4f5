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
	seq    uint64 // order of the offers
	work   float64
	flow   *flow
	expiry int // position in the heap by StartBy
	parked bool
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
	// arrived is the work that was queued, rate its rate as of the rank's weighedAt.
	arrived meter
	rate    float64
}

// account is an organisation's use of one rank.
type account struct {
	org  *organisation
	rank *rank
	// tag is the virtual time at which the next request starts, in seconds of work per weight.
	tag            float64
	weight         float64
	flows          [classes]flow
	waiting        int
	asked, granted uint64
	lastAsked      time.Time
	// demand is the work asked for, demandRate its rate as of the rank's weighedAt. recent is
	// set while the account is in the rank's list.
	demand     meter
	demandRate float64
	recent     bool
	// nextReturn is the time of the next appointment that is free.
	nextReturn time.Time
}

// rank holds the waiting requests of one priority.
type rank struct {
	value    int
	virtual  float64 // start tag of the last grant, seconds of work per weight
	lanes    [classes]lane
	accounts map[*organisation]*account
	work     float64
	waiting  int
	// recent holds the accounts that wait or asked recently, activeWeight is their weight as
	// of weighedAt.
	recent       []*account
	activeWeight float64
	weighedAt    time.Time
}

// organisation is ordered by its number of waiting requests.
type organisation struct {
	name    string
	number  uint64
	ranks   []*account // by rank, most urgent first
	waiting int
	index   int
}

func (o *organisation) before(p *organisation) bool { return o.waiting > p.waiting }
func (o *organisation) position() *int              { return &o.index }

// queue holds the waiting requests of a service.
type queue struct {
	ranks   map[int]*rank
	active  []*rank // those with waiting requests, most urgent first
	orgs    map[string]*organisation
	bySize  heap[*organisation]
	waiting int
	number  uint64
	total   int // accounts
}

func newQueue() queue {
	return queue{ranks: map[int]*rank{}, orgs: map[string]*organisation{}}
}

// account returns the account of an organisation in a rank and creates it if needed.
func (q *queue) account(name string, value int) *account {
	r := q.ranks[value]
	if r == nil {
		r = &rank{value: value, accounts: map[*organisation]*account{}}
		q.ranks[value] = r
	}
	o := q.orgs[name]
	if o == nil {
		q.number++
		o = &organisation{name: name, number: q.number}
		q.orgs[name] = o
	}
	a := r.accounts[o]
	if a == nil {
		a = &account{org: o, rank: r, tag: r.virtual, weight: 1}
		for c := range a.flows {
			a.flows[c] = flow{account: a, lane: &r.lanes[c]}
		}
		r.accounts[o] = a
		i, _ := slices.BinarySearchFunc(o.ranks, value, func(a *account, v int) int { return cmp.Compare(a.rank.value, v) })
		o.ranks = slices.Insert(o.ranks, i, a)
		q.total++
	}
	return a
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

// charge advances the account's tag by an amount of work, and moves its flows.
func (a *account) charge(work float64) {
	a.tag += work
	for c := range a.flows {
		if f := &a.flows[c]; f.index > 0 {
			f.lane.flows.update(f)
		}
	}
}

// started charges a granted item, which still waits, and advances the rank's virtual time to
// the least tag of those that wait. The item's own tag may be higher: its class goes first.
func (r *rank) started(it *item) {
	least := it.flow.account.tag
	for c := range r.lanes {
		if l := &r.lanes[c]; l.flows.len() > 0 {
			least = min(least, l.flows.top().account.tag)
		}
	}
	r.virtual = max(r.virtual, least)
	it.flow.account.charge(it.work / it.Weight)
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
