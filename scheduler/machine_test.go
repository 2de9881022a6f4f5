package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// machine drives a Scheduler with arbitrary events and knows what must have become of each
// request.
type machine struct {
	s        *Scheduler
	now      time.Time
	number   uint64
	waiting  map[ID]Request
	granted  map[ID]Grant // not yet started
	running  map[ID]uint32
	refused  map[ID]Refusal
	ended    int
	requests map[ID]Request
	paused   map[uint32]time.Time
	engines  []Engine
	share    float64
}

var (
	daemons   = []string{"a", "b", "c"}
	someWork  = []time.Duration{-1, 0, 10 * time.Millisecond, 100 * time.Millisecond, time.Second, math.MaxInt64}
	someFloat = []float64{math.NaN(), math.Inf(1), -1, 0, 0.5, 1, 3, 1e300, 1e-300}
)

func newMachine(t *rapid.T) *machine {
	s, err := New(Options{MaxWaiting: rapid.SampledFrom([]int{5, 0}).Draw(t, "max")})
	if err != nil {
		t.Fatal(err)
	}
	m := &machine{
		s: s, now: time.Unix(1000, 0), waiting: map[ID]Request{}, granted: map[ID]Grant{}, running: map[ID]uint32{},
		refused: map[ID]Refusal{}, requests: map[ID]Request{}, paused: map[uint32]time.Time{}, share: 1,
	}
	m.setEngines(t)
	return m
}

func (m *machine) setEngines(t *rapid.T) {
	m.engines = nil
	for h := range rapid.IntRange(0, 4).Draw(t, "engines") {
		m.engines = append(m.engines, Engine{Hash: uint32(h + 1), Slots: rapid.IntRange(1, 3).Draw(t, "slots")})
	}
	m.s.SetEngines(m.now, m.engines)
}

func (m *machine) offer(t *rapid.T) {
	m.number++
	id := ID{rapid.SampledFrom(daemons).Draw(t, "daemon"), m.number}
	wait := time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond
	r := Request{
		ID: id, Organisation: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "organisation"),
		Rank: rapid.IntRange(-1, 2).Draw(t, "rank"), Weight: rapid.SampledFrom(someFloat).Draw(t, "weight"),
		Work: rapid.SampledFrom(someWork).Draw(t, "work"), Key: uint64(rapid.IntRange(0, 3).Draw(t, "key")),
		Class: Class(rapid.IntRange(0, 5).Draw(t, "class")), Arrived: m.now, StartBy: m.now.Add(wait),
		Deadline:  m.now.Add(time.Duration(rapid.IntRange(-100, 3000).Draw(t, "left")) * time.Millisecond),
		Excluded:  rapid.SliceOfN(rapid.Uint32Range(1, 4), 0, 3).Draw(t, "excluded"),
		OwnChoice: rapid.IntRange(0, 4).Draw(t, "own") == 0,
	}
	m.requests[id], m.waiting[id] = r, r
	before := m.startable()
	refusal, no := m.s.Offer(m.now, r)
	if no {
		if refusal.ID != id {
			t.Fatalf("refused %v instead of %v", refusal.ID, id)
		}
		served := slices.ContainsFunc(m.engines, func(e Engine) bool { return !slices.Contains(r.Excluded, e.Hash) })
		if served && len(m.waiting) == 1 && slices.ContainsFunc(before, func(h uint32) bool { return accepts(r, h) }) {
			t.Fatalf("refused %v (%s) with a free engine and an empty queue", id, refusal.Cause)
		}
		m.refuse(t, refusal)
	}
}

func accepts(r Request, h uint32) bool { return r.OwnChoice || !slices.Contains(r.Excluded, h) }

// startable returns the engines that certainly have a free slot.
func (m *machine) startable() []uint32 {
	used := map[uint32]int{}
	total, room := 0, 0
	for _, g := range m.granted {
		used[g.Engine]++
		total++
	}
	for _, h := range m.running {
		used[h]++
		total++
	}
	var free []uint32
	for _, e := range m.engines {
		if m.now.Before(m.paused[e.Hash]) {
			continue
		}
		room += e.Slots
		if used[e.Hash] < e.Slots {
			free = append(free, e.Hash)
		}
	}
	if total >= int(float64(room)*m.share) {
		return nil
	}
	return free
}

func (m *machine) refuse(t *rapid.T, r Refusal) {
	if _, ok := m.waiting[r.ID]; !ok {
		t.Fatalf("refused %v, which does not wait", r.ID)
	}
	if r.RetryAfter <= 0 || r.Cause == "" {
		t.Fatalf("refusal without a time or cause: %+v", r)
	}
	delete(m.waiting, r.ID)
	m.refused[r.ID] = r
}

func (m *machine) refusals(t *rapid.T) {
	for _, r := range m.s.Refusals(m.now) {
		m.refuse(t, r)
	}
}

// next takes all grants and checks their order, and that no engine stays free for one that
// waits.
func (m *machine) next(t *rapid.T) {
	for {
		g, ok := m.s.Next(m.now)
		m.refusals(t)
		if !ok {
			break
		}
		r, waits := m.waiting[g.ID]
		if !waits {
			t.Fatalf("granted %v, which does not wait", g.ID)
		}
		delete(m.waiting, g.ID)
		m.granted[g.ID] = g
		if r.OwnChoice != (g.Engine == 0) || !r.OwnChoice && !accepts(r, g.Engine) {
			t.Fatalf("granted %v at %d, excluded are %v", g.ID, g.Engine, r.Excluded)
		}
		for _, w := range m.waiting {
			if w.Rank < r.Rank && (accepts(w, g.Engine) && g.Engine != 0 || w.OwnChoice) {
				t.Fatalf("granted rank %d at %d before %d", r.Rank, g.Engine, w.Rank)
			}
		}
	}
	for _, h := range m.startable() {
		for _, w := range m.waiting {
			if accepts(w, h) {
				t.Fatalf("%v waits beside the free engine %d", w.ID, h)
			}
		}
	}
}

func pickID[V any](t *rapid.T, m map[ID]V) (ID, bool) {
	ids := make([]ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return ID{}, false
	}
	slices.SortFunc(ids, func(a, b ID) int { return int(a.Number) - int(b.Number) })
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

// report sends the complete state of a daemon, twice.
func (m *machine) report(t *rapid.T) {
	d := rapid.SampledFrom(daemons).Draw(t, "daemon")
	counts := map[uint32]int{}
	for id, g := range m.granted {
		if id.Daemon == d && g.Engine != 0 {
			delete(m.granted, id)
			m.running[id] = g.Engine
		}
	}
	for id, h := range m.running {
		if id.Daemon == d {
			counts[h]++
		}
	}
	for id, g := range m.granted {
		if id.Daemon == d {
			delete(m.granted, id) // a choice that was not sent
			m.ended++
			m.s.Returned(g.ID)
		}
	}
	m.s.SetRunning(d, counts, m.s.serial)
	m.same(t, func() { m.s.SetRunning(d, counts, m.s.serial) })
}

// same fails if a step changes the state.
func (m *machine) same(t *rapid.T, step func()) {
	before := fmt.Sprint(m.s.Status(m.now))
	step()
	if after := fmt.Sprint(m.s.Status(m.now)); after != before {
		t.Fatalf("a repeated message changed\n%s to\n%s", before, after)
	}
}

func (m *machine) start(t *rapid.T) {
	if id, ok := pickID(t, m.granted); ok {
		e := m.granted[id].Engine
		if e == 0 {
			e = uint32(rapid.IntRange(1, 4).Draw(t, "choice"))
		}
		delete(m.granted, id)
		m.running[id] = e
		m.s.Started(id, e)
		m.same(t, func() { m.s.Started(id, e) })
	}
}

func (m *machine) end(t *rapid.T) {
	id, ok := pickID(t, m.running)
	if !ok {
		return
	}
	e := m.running[id]
	delete(m.running, id)
	m.ended++
	f := Finished{
		Engine: e, Duration: rapid.SampledFrom(someWork).Draw(t, "duration"), Work: m.requests[id].Work,
		Outcome: Outcome(rapid.IntRange(0, 5).Draw(t, "outcome")),
	}
	m.s.Ended(m.now, id.Daemon, f)
	if f.Outcome == Full || f.Outcome == Failed {
		m.paused[e] = m.now.Add(failurePause) // at most
	}
}
