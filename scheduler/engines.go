package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// paceGain is the weight of the newest run in an engine's pace, once enough were seen.
	paceGain = 0.1
	// minPace and maxPace bound the ratio that a single run contributes.
	minPace, maxPace = 0.02, 50
	// fullPause is how long an engine that refused a request gets no more. It covers the time
	// in which the daemon's next message corrects the count of running requests.
	fullPause = 50 * time.Millisecond
	// maxFailures in a row exclude an engine for failurePause.
	maxFailures  = 3
	failurePause = time.Second
	// maxAllowance bounds the requests beyond the slots, in multiples of the slots.
	maxAllowance = 16
	// sampleSize is the number of engines that are compared for a request.
	sampleSize = 15
)

// engine is an engine with the requests that run there.
type engine struct {
	Engine
	order   uint32 // decides between equally good engines
	pace    float64
	samples float64
	failed  int
	// until is the end of the exclusion.
	until   time.Time
	running int
	gone    bool
	// cost is the expected time until the end of the next request, relative to the mean work.
	cost  float64
	index int
	// The engine's part in the totals of pool.
	room, counted int
	speed         float64
}

func (e *engine) before(o *engine) bool {
	if e.cost != o.cost {
		return e.cost < o.cost
	}
	if l, m := e.running*o.Slots, o.running*e.Slots; l != m {
		return l < m
	}
	return e.order < o.order
}
func (e *engine) position() *int { return &e.index }

// end returns the time until the end of a request that is sent now. One that finds no free
// slot waits for its part of a mean run.
func (e *engine) end(work, meanWork float64) float64 {
	queued := max(0, e.running+1-e.Slots)
	return e.pace * (work + meanWork*float64(queued)/float64(e.Slots))
}

// pool holds the engines of a service.
type pool struct {
	engines  map[uint32]*engine
	free     heap[*engine] // those that may get a request, best first
	excluded []*engine
	// room, counted and speed are sums over the engines that are not excluded. speed is in
	// seconds of work per second.
	room, counted int
	speed         float64
	pace          float64 // moving average over all engines
	turnaround    float64 // seconds
	seed          uint32
	skipped       []*engine // scratch of pick
}

func newPool(o Options) pool {
	return pool{engines: map[uint32]*engine{}, pace: 1, turnaround: o.Turnaround.Seconds(), seed: o.Seed}
}

// set replaces the engines. It keeps what is known of those that stay. elsewhere are the requests
// that run at engines that are not in the list.
func (p *pool) set(list []Engine, meanWork float64, elsewhere map[uint32]int) {
	for _, e := range p.engines {
		e.gone = true
	}
	for _, in := range list {
		in.Slots = min(max(in.Slots, 1), maxSlots)
		e := p.engines[in.Hash]
		if e == nil {
			e = &engine{order: mix(in.Hash ^ p.seed), pace: p.pace, running: elsewhere[in.Hash]}
			p.engines[in.Hash] = e
			delete(elsewhere, in.Hash)
		}
		e.Engine, e.gone = in, false
	}
	for h, e := range p.engines {
		p.refresh(e, meanWork)
		if e.gone {
			delete(p.engines, h)
			if e.running != 0 {
				elsewhere[h] = e.running
			}
			p.excluded = slices.DeleteFunc(p.excluded, func(x *engine) bool { return x == e })
		}
	}
}

// mix spreads the bits of a hash.
func mix(h uint32) uint32 {
	h = (h ^ h>>16) * 0x45d9f3b
	h = (h ^ h>>16) * 0x45d9f3b
	return h ^ h>>16
}

// refresh recomputes the engine's part in the totals and its place among the free engines.
// It returns how many more requests the engine can take than before.
func (p *pool) refresh(e *engine, meanWork float64) int {
	places := e.room - e.counted
	p.room -= e.room
	p.counted -= e.counted
	p.speed -= e.speed
	e.room, e.counted, e.speed = 0, 0, 0
	if !e.gone && e.until.IsZero() {
		run := max(e.pace*meanWork, 1e-4)
		allowance := math.Ceil(float64(e.Slots) * p.turnaround / run)
		e.room = e.Slots + int(min(allowance, float64(maxAllowance*e.Slots)))
		e.counted = min(e.running, e.room)
	}
	if !e.gone {
		// An exclusion is short and its engine drains meanwhile.
		e.speed = float64(e.Slots) / e.pace
	}
	p.room += e.room
	p.counted += e.counted
	p.speed += e.speed
	if e.counted >= e.room {
		p.free.remove(e)
	} else {
		e.cost = e.end(1, 1)
		p.free.update(e)
	}
	return e.room - e.counted - places
}

// learn adds a run to the engine's pace.
func (p *pool) learn(e *engine, run, work float64) {
	ratio := min(max(run/work, minPace), maxPace)
	e.samples++
	e.pace += (ratio - e.pace) * max(paceGain, 1/(e.samples+1))
	p.pace += (ratio - p.pace) * paceGain / float64(max(1, len(p.engines)))
}

// exclude keeps the engine from requests until a time.
func (p *pool) exclude(e *engine, until time.Time) {
	if e.until.IsZero() {
		p.excluded = append(p.excluded, e)
	}
	if until.After(e.until) {
		e.until = until
	}
}

// readmit ends the exclusions that have passed and returns their engines.
func (p *pool) readmit(now time.Time) []*engine {
	var back []*engine
	p.excluded = slices.DeleteFunc(p.excluded, func(e *engine) bool {
		if now.Before(e.until) {
			return false
		}
		e.until = time.Time{}
		back = append(back, e)
		return true
	})
	return back
}

// pick returns the free engine at which a request is expected to end first, or nil. Engines
// that the request must not get are set aside meanwhile. Engines are ordered for requests of
// mean work; for others, the first few in the heap are compared.
func (p *pool) pick(it *item, meanWork float64) *engine {
	var best *engine
	p.skipped = p.skipped[:0]
	for p.free.len() > 0 && best == nil {
		e := p.free.top()
		if slices.Contains(it.Excluded, e.Hash) {
			p.free.remove(e)
			p.skipped = append(p.skipped, e)
			continue
		}
		best = e
	}
	if best != nil {
		for _, e := range p.free.items[1:min(sampleSize, p.free.len())] {
			if e.end(it.work, meanWork) < best.end(it.work, meanWork) && !slices.Contains(it.Excluded, e.Hash) {
				best = e
			}
		}
	}
	for _, e := range p.skipped {
		p.free.update(e)
	}
	return best
}

// serves reports whether any engine may get the request.
func (p *pool) serves(excluded []uint32) bool {
	if len(p.engines) > len(excluded) {
		return true
	}
	n := 0
	for _, h := range excluded {
		if p.engines[h] != nil {
			n++
		}
	}
	return n < len(p.engines)
}
