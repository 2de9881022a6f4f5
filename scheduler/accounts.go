package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minAccountLimit is the number of accounts from which idle ones are removed, several times
	// the organisations and ranks that a service is expected to have.
	minAccountLimit = 4096
	// accountLife is how long an idle account is kept at least. It exceeds the time for which a
	// flow tag or an appointment matters.
	accountLife = time.Minute
)

// account is an organisation's use of one rank.
type account struct {
	org  *organisation
	rank *rank
	// tag is the virtual time at which the next request starts, in seconds of work per weight.
	tag            float64
	weight         float64
	lastGrant      uint64 // serial, decides between equal tags
	flows          [classes]flow
	waiting        int
	blocked        int // see Scheduler.blocked
	asked, granted uint64
	lastAsked      time.Time
	// demand is the work asked for, demandRate its rate as of queue.weighedAt. recent is
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
	// of queue.weighedAt. listed is set while the rank is in queue.recent.
	recent       []*account
	activeWeight float64
	listed       bool
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

// account returns the account of an organisation in a rank and creates it if needed.
func (q *queue) account(now time.Time, name string, value int) *account {
	r, o := q.ranks[value], q.orgs[name]
	if r != nil && o != nil {
		if a := r.accounts[o]; a != nil {
			return a
		}
	}
	if q.total >= q.limit {
		q.prune(now)
		r, o = q.ranks[value], q.orgs[name]
	}
	if r == nil {
		r = &rank{value: value, accounts: map[*organisation]*account{}}
		q.ranks[value] = r
	}
	if o == nil {
		q.number++
		o = &organisation{name: name, number: q.number}
		q.orgs[name] = o
	}
	a := &account{org: o, rank: r, tag: r.virtual, weight: 1, lastAsked: now}
	for c := range a.flows {
		a.flows[c] = flow{account: a, lane: &r.lanes[c]}
	}
	r.accounts[o] = a
	i, _ := slices.BinarySearchFunc(o.ranks, value, func(a *account, v int) int { return cmp.Compare(a.rank.value, v) })
	o.ranks = slices.Insert(o.ranks, i, a)
	q.total++
	return a
}

// prune removes the accounts that have been idle, and sets the limit so that the next pass
// comes only after the number has doubled.
func (q *queue) prune(now time.Time) {
	for value, r := range q.ranks {
		r.weigh(now)
		for o, a := range r.accounts {
			if a.recent || a.waiting+a.blocked > 0 || now.Sub(a.lastAsked) < accountLife {
				continue
			}
			delete(r.accounts, o)
			o.ranks = slices.DeleteFunc(o.ranks, func(x *account) bool { return x == a })
			if len(o.ranks) == 0 {
				delete(q.orgs, o.name)
			}
			q.total--
		}
		if len(r.accounts) == 0 && !r.listed {
			delete(q.ranks, value)
		}
	}
	q.limit = max(minAccountLimit, 2*q.total)
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
