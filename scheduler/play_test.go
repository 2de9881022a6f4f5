package scheduler_test

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

type server struct {
	scheduler.Engine
	speed   float64
	running int
	queue   []func()
}

type event struct {
	at  time.Time
	seq int
	do  func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// play runs loads against a Scheduler. Daemons report their complete state with each end.
type play struct {
	s       *scheduler.Scheduler
	rng     *rand.Rand
	now     time.Time
	events  events
	seq     int
	servers map[uint32]*server
	waiting map[scheduler.ID]*caller
	counts  map[string]map[uint32]int
	serials map[string]uint64
	tallies map[*load]*tally
	warm    time.Time // callers that come from here to the end are counted
	end     time.Time
	busy    time.Duration
	full    int // refusals by full engines
	noise   float64
}

func newPlay(c *qt.C, speeds ...float64) *play {
	s, err := scheduler.New(scheduler.Options{})
	c.Assert(err, qt.IsNil)
	p := &play{
		s: s, rng: rand.New(rand.NewPCG(1, 2)), now: start, servers: map[uint32]*server{},
		waiting: map[scheduler.ID]*caller{}, counts: map[string]map[uint32]int{}, serials: map[string]uint64{},
		tallies: map[*load]*tally{},
	}
	p.setEngines(speeds...)
	return p
}

func (p *play) setEngines(speeds ...float64) {
	var list []scheduler.Engine
	for i, speed := range speeds {
		e := scheduler.Engine{Hash: uint32(i + 1), Slots: 4}
		p.servers[e.Hash] = &server{Engine: e, speed: speed}
		list = append(list, e)
	}
	p.s.SetEngines(p.now, list)
}

func (p *play) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, event{p.now.Add(d), p.seq, do})
}

// run plays the loads for a time after a warm-up and returns the busy part of the slots. The
// loads go on for a while after, so that the callers of that time get their answers.
func (p *play) run(d time.Duration, loads ...*load) float64 {
	const warm, after = 3 * time.Second, 4 * time.Second
	p.warm = p.now.Add(warm)
	p.end = p.warm.Add(d)
	for _, l := range loads {
		p.tallies[l] = &tally{}
		l.deadline = cmp.Or(l.deadline, patient)
		if l.rate > 0 {
			p.after(0, func() { p.arrive(l) })
		}
		for range l.burst {
			p.after(time.Duration(l.from)*ms, func() { p.try(p.newCaller(l)) })
		}
	}
	p.after(0, p.tick)
	for p.events.Len() > 0 && p.events[0].at.Before(p.end.Add(after)) {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	slots := 0
	for _, s := range p.servers {
		slots += s.Slots
	}
	return p.busy.Seconds() / (d.Seconds() * float64(slots))
}

func (p *play) tick() { p.decide(); p.after(5*ms, p.tick) }

func (p *play) arrive(l *load) {
	p.after(time.Duration(p.rng.ExpFloat64()/l.rate*float64(time.Second)), func() { p.arrive(l) })
	p.try(p.newCaller(l))
}

func (p *play) try(c *caller) {
	c.came = p.now
	p.count(c, func(t *tally) {
		t.tries++
		if c.told {
			t.toldTries++
		}
		if c.born.Equal(p.now) {
			t.callers++
		}
	})
	daemon := "d"
	if len(c.daemons) > 0 {
		daemon = c.daemons[p.rng.IntN(len(c.daemons))]
	}
	p.seq++
	id := scheduler.ID{Daemon: daemon, Number: uint64(p.seq)}
	p.after(hop, func() {
		wait := c.wait
		if wait == 0 {
			wait = max(50*ms, target-c.load.work)
		}
		p.waiting[id] = c
		r, no := p.s.Offer(p.now, scheduler.Request{
			ID: id, Organisation: c.org, Rank: c.rank, Work: c.work, Key: c.key, Arrived: c.came,
			StartBy: c.came.Add(wait), Deadline: c.born.Add(c.deadline),
		})
		if no {
			p.refused(r)
		}
		p.decide()
	})
}

func (p *play) decide() {
	for _, r := range p.s.Refusals(p.now) {
		p.refused(r)
	}
	for {
		g, ok := p.s.Next(p.now)
		if !ok {
			return
		}
		c := p.waiting[g.ID]
		delete(p.waiting, g.ID)
		p.after(hop, func() { p.send(c, g) })
	}
}

func (p *play) refused(r scheduler.Refusal) {
	c := p.waiting[r.ID]
	delete(p.waiting, r.ID)
	p.count(c, func(t *tally) {
		took := p.now.Sub(c.came)
		t.slowestRefusal = max(t.slowestRefusal, took)
		t.refused++
		if took > 50*ms {
			t.late++
		}
	})
	left := c.born.Add(c.deadline).Sub(p.now)
	switch {
	case c.repeat > 0:
		c.repeat--
		p.after(ms, func() { p.try(c) })
	case c.returns > 0 && r.RetryAfter <= left/3:
		c.returns--
		c.told = r.Appointment
		p.after(r.RetryAfter, func() { p.try(c) })
	}
}

func (p *play) send(c *caller, g scheduler.Grant) {
	d, e := g.ID.Daemon, p.servers[g.Engine]
	if p.counts[d] == nil {
		p.counts[d] = map[uint32]int{}
	}
	p.serials[d] = max(p.serials[d], g.Serial)
	p.counts[d][g.Engine]++
	if e.running >= e.Slots && len(e.queue) >= 12 {
		p.full++
		p.report(d, scheduler.Finished{Engine: g.Engine, Outcome: scheduler.Full})
		return
	}
	sent := p.now
	begin := func() {
		e.running++
		run := time.Duration(float64(c.work) / e.speed)
		if !p.now.Before(p.warm) && p.now.Before(p.end) {
			p.busy += run
		}
		p.after(run, func() { p.ended(c, d, e, sent) })
	}
	if e.running < e.Slots {
		begin()
		return
	}
	e.queue = append(e.queue, begin)
}

func (p *play) ended(c *caller, d string, e *server, sent time.Time) {
	if e.running--; len(e.queue) > 0 {
		begin := e.queue[0]
		e.queue = e.queue[1:]
		begin()
	}
	p.count(c, func(t *tally) {
		t.served++
		t.took = append(t.took, p.now.Sub(c.came))
		if p.now.Sub(c.came) <= target {
			t.inTime++
		}
		if c.told {
			t.toldServed++
		} else if c.came.Equal(c.born) {
			t.newServed++
		}
	})
	p.report(d, scheduler.Finished{Engine: e.Hash, Duration: p.now.Sub(sent), Work: c.work, Outcome: scheduler.Answered})
}

func (p *play) report(d string, f scheduler.Finished) {
	p.counts[d][f.Engine]--
	counts, serial := map[uint32]int{}, p.serials[d]
	for h, n := range p.counts[d] {
		counts[h] = n
	}
	p.after(hop, func() {
		p.s.Ended(p.now, d, f)
		p.s.SetRunning(d, counts, serial)
		p.decide()
	})
}
