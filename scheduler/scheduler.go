package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// meanGain is the weight of the newest request in the mean work.
	meanGain = 0.01
	// refusalMemory is how long a refusal is repeated to a daemon that still lists the request.
	refusalMemory = time.Second
)

// Scheduler holds the requests of one service. It is not safe for concurrent use.
type Scheduler struct {
	options Options
	queue   queue
	pool    pool
	share   float64
	items   map[ID]*item // those that wait
	expiry  heap[*item]
	// blocked holds waiting requests for which every free engine is excluded.
	blocked []*item
	// elsewhere counts the requests that run at engines that are not in the list; undecided counts
	// grants whose daemon has not yet named an engine.
	elsewhere map[uint32]int
	undecided int
	daemons   map[string]*daemon
	meanWork  float64 // seconds
	drain     drain
	returns   returns
	pending   []Refusal
	refused   refusalCache
	seq       uint64
	serial    uint64 // of the last grant
	review    review
}

// New returns a Scheduler without engines.
func New(o Options) (*Scheduler, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	return &Scheduler{
		options: o, queue: newQueue(), pool: newPool(o), share: 1, meanWork: o.DefaultWork.Seconds(),
		items: map[ID]*item{}, elsewhere: map[uint32]int{}, daemons: map[string]*daemon{},
		returns: returns{byKey: map[uint64]*appointment{}}, refused: refusalCache{byID: map[ID]Refusal{}},
	}, nil
}

// SetEngines replaces the engines of the service.
func (s *Scheduler) SetEngines(now time.Time, list []Engine) {
	s.advance(now)
	s.pool.set(list, s.meanWork, s.elsewhere)
	s.unblockAll()
	s.review.dirty, s.review.engines = true, true
}

// SetShare sets the part of the engines' capacity that may be used, from 0 to 1. An invalid
// value counts as 1. At least one request may run.
func (s *Scheduler) SetShare(fleetShare float64) {
	if !(fleetShare >= 0 && fleetShare <= 1) {
		fleetShare = 1
	}
	if fleetShare != s.share {
		s.share, s.review.dirty = fleetShare, true
	}
}

// room returns the number of requests that may run together.
func (s *Scheduler) room() int {
	const rounding = 1e-9
	if s.pool.room == 0 {
		return 0
	}
	return max(1, int(math.Ceil(float64(s.pool.room)*s.share-rounding)))
}

// places returns how many more requests may start.
func (s *Scheduler) places() int { return max(0, s.room()-s.pool.counted-s.undecided) }

func (s *Scheduler) waiting() int { return s.queue.waiting + len(s.blocked) }

// advance brings the state that depends on time up to date.
func (s *Scheduler) advance(now time.Time) {
	s.drain.pass(now, s.waiting() > 0, s.pool.speed*s.share)
	if len(s.pool.excluded) == 0 {
		return
	}
	for _, e := range s.pool.readmit(now) {
		s.refresh(e)
	}
}

// Offer adds a request to those that wait. It reports true with a refusal if the request can't
// start in time. A request that waits or is granted already is not changed, and a refusal is
// repeated for a second. A request whose grant was included in SetRunning or Started is not
// remembered: callers have to ignore older messages.
func (s *Scheduler) Offer(now time.Time, r Request) (Refusal, bool) {
	s.advance(now)
	if s.items[r.ID] != nil || s.granted(r.ID) {
		return Refusal{}, false
	}
	if old, ok := s.refused.find(now, r.ID); ok {
		return old, true
	}
	it := s.accept(now, r)
	if !s.pool.serves(it.Excluded) {
		return s.refuse(now, it, CauseNoEngine), true
	}
	bound := it.StartBy.Sub(now)
	if s.returns.find(now, it.Key, it.Organisation) != nil {
		bound = time.Duration(float64(bound) * earlyBound)
	}
	if bound < 0 || !s.startsWithin(it, bound) {
		return s.refuse(now, it, CauseBacklog), true
	}
	s.returns.use(it.Key, it.Organisation)
	s.wait(it)
	it.flow.lane.arrived.add(now, it.work)
	if s.waiting() <= s.options.MaxWaiting {
		return Refusal{}, false
	}
	victim := s.queue.newestOfLargest()
	s.drop(victim)
	refusal := s.refuse(now, victim, CauseQueueFull)
	if victim == it {
		return refusal, true
	}
	s.pending = append(s.pending, refusal)
	return Refusal{}, false
}

// accept returns the item of a new request and counts it as asked.
func (s *Scheduler) accept(now time.Time, r Request) *item {
	s.options.normalise(now, &r)
	if r.Class == First && s.returns.due(now, r.Key, r.Organisation) {
		r.Class = Returning
	}
	s.seq++
	it := &item{Request: r, seq: s.seq, work: r.Work.Seconds(), startBy: r.StartBy.UnixNano(), startedBefore: s.serial}
	s.meanWork += (it.work - s.meanWork) * meanGain
	a := s.queue.account(now, r.Organisation, r.Rank)
	it.flow = &a.flows[r.Class-1]
	a.weight = r.Weight
	a.asked++
	a.rank.recordArrival(now, a, it.work)
	s.queue.recordArrival(now, a.rank)
	return it
}

// wait makes an item one of those that wait.
func (s *Scheduler) wait(it *item) {
	s.items[it.ID] = it
	s.expiry.update(it)
	s.queue.add(it)
	s.review.dirty = true
}

// drop removes an item from those that wait.
func (s *Scheduler) drop(it *item) {
	delete(s.items, it.ID)
	s.expiry.remove(it)
	if it.blocked {
		s.unlist(it)
	} else {
		s.queue.remove(it)
	}
}

// Withdraw removes a waiting request whose caller does not need it any more.
func (s *Scheduler) Withdraw(id ID) {
	if it := s.items[id]; it != nil {
		s.drop(it)
		return
	}
	s.pending = slices.DeleteFunc(s.pending, func(r Refusal) bool { return r.ID == id })
}

// Requeue makes a granted request that was not started wait again at its old position. It
// reports whether there was such a grant.
func (s *Scheduler) Requeue(now time.Time, id ID) bool {
	s.advance(now)
	g := s.revoke(id)
	if g == nil {
		return false
	}
	it := g.item
	a := s.rejoin(now, it)
	a.granted--
	if a.lastGrant == g.serial {
		a.lastGrant = g.previous
	}
	s.wait(it)
	a.charge(-it.work / it.Weight)
	return true
}

// rejoin finds the flow of an item again, as its account may have been removed meanwhile.
func (s *Scheduler) rejoin(now time.Time, it *item) *account {
	a := s.queue.account(now, it.Organisation, it.Rank)
	it.flow = &a.flows[it.Class-1]
	return a
}

// Next grants the next request that may start now. It reports false if there is none.
func (s *Scheduler) Next(now time.Time) (Grant, bool) {
	s.advance(now)
	s.expire(now)
	for s.places() > 0 {
		it := s.queue.first()
		if it == nil {
			break
		}
		if it.OwnChoice {
			return s.grant(it, 0), true
		}
		if e := s.pool.pick(it, s.meanWork); e != nil {
			return s.grant(it, e.Hash), true
		}
		if s.pool.free.len() == 0 {
			break
		}
		s.block(it)
	}
	return Grant{}, false
}

func (s *Scheduler) grant(it *item, engine uint32) Grant {
	a := it.flow.account
	ahead := int(s.serial - it.startedBefore)
	previous := a.lastGrant
	s.serial++
	a.lastGrant = s.serial
	a.rank.started(it)
	s.drop(it)
	a.granted++
	s.daemon(it.ID.Daemon).granted[it.ID.Number] = &grant{item: it, engine: engine, serial: s.serial, previous: previous}
	s.occupy(engine, 1)
	return Grant{ID: it.ID, Engine: engine, Ahead: ahead, Serial: s.serial}
}

func (s *Scheduler) granted(id ID) bool {
	d := s.daemons[id.Daemon]
	return d != nil && d.granted[id.Number] != nil
}

// expire refuses the requests that can't start in time any more.
func (s *Scheduler) expire(now time.Time) {
	for s.expiry.len() > 0 && s.expiry.top().StartBy.Before(now) {
		it := s.expiry.top()
		s.drop(it)
		s.pending = append(s.pending, s.refuse(now, it, CauseBacklog))
	}
}

// Refusals returns the waiting requests that are refused since the last call. Most calls only
// look at a few times, so it may be called every few milliseconds.
func (s *Scheduler) Refusals(now time.Time) []Refusal {
	s.advance(now)
	s.expire(now)
	if s.review.due(now) {
		s.reviewAll(now)
	}
	out := s.pending
	s.pending = nil
	return out
}

// Wake returns the time at which Next or Refusals may return something without another event,
// or the zero time if there is none.
func (s *Scheduler) Wake(now time.Time) time.Time {
	if len(s.pending) > 0 {
		return now
	}
	if s.waiting() == 0 {
		return time.Time{}
	}
	wake := s.expiry.top().StartBy.Add(1)
	if s.review.dirty && s.review.next.Before(wake) {
		wake = s.review.next
	}
	for _, e := range s.pool.excluded {
		if e.until.Before(wake) {
			wake = e.until
		}
	}
	if wake.Before(now) {
		return now
	}
	return wake
}
