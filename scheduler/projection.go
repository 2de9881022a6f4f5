package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// weighInterval is how often the recent organisations of a rank are determined.
	weighInterval = 50 * time.Millisecond
	// recentFor is how long an organisation counts as one that competes after a request.
	recentFor = time.Second
	// minRateShare is the least part of the capacity that a projection assumes for any
	// request, so that a short burst of urgent work does not refuse everything else.
	minRateShare = 0.05
	// acceptPart is the part of its bound within which a request must be expected to start when
	// it arrives. With the whole bound, at twice the capacity twice as many of the accepted
	// requests were refused later, and no more were served.
	acceptPart = 0.85
	// drainLife is the time in which the weight of past measurements falls to 1/e.
	drainLife = 3 * time.Second
	// drainPrior is the time for which the start value counts as if it had been measured.
	drainPrior = 500 * time.Millisecond
	// minDrain and maxDrain bound the measured rate relative to slots and learnt pace.
	minDrain, maxDrain = 0.2, 4
)

// drain measures the rate at which the engines drain work while requests wait, relative to
// the rate that follows from slots and pace.
type drain struct {
	at       time.Time
	busy     bool
	work     float64 // seconds of work that ended
	expected float64 // seconds of work that slots and pace let expect
}

// pass accounts for the time since the last call, in which requests waited if busy is set.
func (d *drain) pass(now time.Time, busy bool, speed float64) {
	d.busy = busy
	passed := now.Sub(d.at).Seconds()
	if passed <= 0 {
		return
	}
	if d.at = now; busy {
		keep := math.Exp(-passed / drainLife.Seconds())
		d.work *= keep
		d.expected = d.expected*keep + speed*drainLife.Seconds()*(1-keep)
	}
}

func (d *drain) ended(work float64) {
	if d.busy {
		d.work += work
	}
}

func (d *drain) factor(speed float64) float64 {
	prior := speed * drainPrior.Seconds()
	if prior <= 0 {
		return 1
	}
	return min(max((d.work+prior)/(d.expected+prior), minDrain), maxDrain)
}

// rate returns the work in seconds that the engines drain per second.
func (s *Scheduler) rate() float64 {
	speed := s.pool.speed * s.share
	return max(speed*s.drain.factor(speed), 1e-6)
}

// recordArrival counts a request of an account.
func (r *rank) recordArrival(now time.Time, a *account, work float64) {
	a.lastAsked = now
	a.demand.add(now, work)
	if !a.recent {
		a.recent = true
		r.recent = append(r.recent, a)
	}
}

// recordArrival lists the rank as one that competes, and brings the measurements of all up to date.
func (q *queue) recordArrival(now time.Time, r *rank) {
	if !r.listed {
		r.listed = true
		i, _ := slices.BinarySearchFunc(q.recent, r, compareRanks)
		q.recent = slices.Insert(q.recent, i, r)
	}
	if now.Sub(q.weighedAt) < weighInterval {
		return
	}
	q.weighedAt = now
	q.recent = slices.DeleteFunc(q.recent, func(r *rank) bool {
		r.weigh(now)
		r.listed = len(r.recent) > 0
		return !r.listed
	})
}

// weigh determines the organisations that compete in the rank, and their demand.
func (r *rank) weigh(now time.Time) {
	r.activeWeight = 0
	r.recent = slices.DeleteFunc(r.recent, func(a *account) bool {
		a.recent = a.waiting > 0 || now.Sub(a.lastAsked) < recentFor
		if a.recent {
			a.demandRate = a.demand.rate(now)
			r.activeWeight += a.weight
		}
		return !a.recent
	})
	for c := range r.lanes {
		r.lanes[c].rate = r.lanes[c].arrived.rate(now)
	}
}

// accountRate returns the part of a rate that an account can get: its share by weight of what
// those leave that ask for less than theirs.
func (r *rank) accountRate(a *account, rate float64) float64 {
	level := rate / max(r.activeWeight, a.weight)
	left, weight := rate, a.weight
	for _, o := range r.recent {
		switch {
		case o == a:
		case o.demandRate < level*o.weight:
			left -= o.demandRate
		default:
			weight += o.weight
		}
	}
	return max(level*a.weight, left*a.weight/weight)
}

// backlog is what goes before the requests of a lane, and how it drains.
type backlog struct {
	lane   *lane
	class  int
	rank   *rank
	ahead  float64 // seconds of work in preferred lanes, less what can start at once
	rate   float64 // seconds of work per second that are left for the lane
	next   float64 // seconds until the next place is free
	places int
}

// backlogOf returns the backlog before a lane.
func (s *Scheduler) backlogOf(r *rank, class int) backlog {
	rate := s.rate()
	b := backlog{lane: &r.lanes[class], class: class, rank: r, rate: rate, places: s.places()}
	for _, q := range s.queue.recent {
		if q.value >= r.value {
			break
		}
		b.ahead += q.work
		for c := range q.lanes {
			b.rate -= q.lanes[c].rate
		}
	}
	for c := range class {
		b.ahead += r.lanes[c].work
		b.rate -= r.lanes[c].rate
	}
	b.rate = max(b.rate, rate*minRateShare)
	b.ahead -= float64(b.places) * s.meanWork
	if b.places == 0 {
		// On average half a run passes until one of the slots is free.
		b.next = s.meanWork / rate / 2
	}
	return b
}

// startAfter returns the seconds until a request of the lane with start tag x is expected to
// start. Other organisations go first with the work up to that tag, which waits or arrives
// until then.
func (b *backlog) startAfter(x float64) float64 {
	ahead := b.ahead
	for _, a := range b.rank.recent {
		ahead += min(a.flows[b.class].work, a.weight*max(0, x-a.tag))
	}
	first := max(0, ahead) / b.rate
	if first == 0 {
		return b.next
	}
	rate := b.rate
	for _, a := range b.rank.recent {
		limit := a.weight*max(0, x-max(a.tag, b.rank.virtual)) - a.flows[b.class].work
		if limit <= 0 {
			continue
		}
		if a.demandRate*first < limit {
			rate -= a.demandRate
		} else {
			ahead += limit
		}
	}
	return max(0, ahead)/max(rate, b.rate*minRateShare) + b.next
}

// startsWithin reports whether a request that arrives now is expected to start within a time.
func (s *Scheduler) startsWithin(it *item, bound time.Duration) bool {
	if s.waiting() < s.places() {
		return true
	}
	a := it.flow.account
	b := s.backlogOf(a.rank, int(it.Class)-1)
	tag := a.tag
	if a.waiting == 0 {
		tag = max(tag, a.rank.virtual)
	}
	return b.startAfter(tag+it.flow.work/it.Weight) <= acceptPart*bound.Seconds()
}
