package scheduler

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever happens, each request must end in one grant or refusal, ranks must be kept, and no
// slot may stay free beside a request that could use it.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"offer":    m.offer,
			"offer 2":  m.offer,
			"again":    m.offerAgain,
			"next":     m.next,
			"refusals": m.refusals,
			"report":   m.report,
			"start":    m.start,
			"end":      m.end,
			"withdraw": m.withdraw,
			"requeue":  m.requeue,
			"pass":     m.pass,
			"engines":  m.setEngines,
			"share":    m.setShare,
			"full":     m.full,
			"remove":   m.remove,
		})
		m.now = m.now.Add(maxWait + time.Second)
		m.refusals(t)
		if len(m.waiting) > 0 {
			t.Fatalf("%d requests never ended", len(m.waiting))
		}
	})
}

func (m *machine) offerAgain(t *rapid.T) {
	if id, ok := pickID(t, m.waiting); ok {
		m.same(t, func() { m.s.Offer(m.now, m.requests[id]) })
	}
	if id, ok := pickID(t, m.granted); ok {
		m.same(t, func() { m.s.Offer(m.now, m.requests[id]) })
	}
	if id, ok := pickID(t, m.refused); ok {
		if _, ok := m.s.refused.find(m.now, id); !ok {
			return
		}
		m.same(t, func() {
			if r, no := m.s.Offer(m.now, m.requests[id]); !no || r != m.refused[id] {
				t.Fatalf("refused with %+v and then with %+v", m.refused[id], r)
			}
		})
	}
}

func (m *machine) withdraw(t *rapid.T) {
	if id, ok := pickID(t, m.waiting); ok {
		delete(m.waiting, id)
		m.ended++
		m.s.Withdraw(id)
		m.same(t, func() { m.s.Withdraw(id) })
	}
}

func (m *machine) requeue(t *rapid.T) {
	if id, ok := pickID(t, m.granted); ok {
		delete(m.granted, id)
		m.waiting[id] = m.requests[id]
		if !m.s.Requeue(m.now, id) {
			t.Fatalf("%v was granted, but is not known", id)
		}
		m.same(t, func() { m.s.Requeue(m.now, id) })
	}
}

func (m *machine) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pass")) * time.Millisecond)
	if w := m.s.Wake(m.now); !w.IsZero() && w.Before(m.now) {
		t.Fatalf("wake is %v ago", m.now.Sub(w))
	}
}

func (m *machine) setShare(t *rapid.T) {
	v := rapid.SampledFrom([]float64{math.NaN(), -1, 0, 0.3, 1, math.Inf(1)}).Draw(t, "share")
	m.s.SetShare(v)
	if m.share = v; !(v >= 0 && v <= 1) {
		m.share = 1
	}
}

func (m *machine) full(t *rapid.T) {
	h := rapid.Uint32Range(1, 5).Draw(t, "engine")
	m.s.Full(m.now, h)
	if end := m.now.Add(fullPause); end.After(m.paused[h]) {
		m.paused[h] = end
	}
}

func (m *machine) remove(t *rapid.T) {
	d := rapid.SampledFrom(daemons).Draw(t, "daemon")
	m.s.RemoveDaemon(d)
	for id := range m.requests {
		if id.Daemon == d {
			delete(m.waiting, id)
			delete(m.granted, id)
			delete(m.running, id)
		}
	}
	m.same(t, func() { m.s.RemoveDaemon(d) })
}

// check compares the Scheduler's sums with what they are sums of.
func (m *machine) check(t *rapid.T) {
	s := m.s
	if n := len(s.items) - len(s.pending); n < 0 && len(m.waiting) < len(s.items) {
		t.Fatalf("%d items, %d wait", len(s.items), len(m.waiting))
	}
	if len(m.waiting) != len(s.items)+len(s.pending) || s.waiting() != len(s.items) {
		t.Fatalf("%d wait, scheduler has %d items, %d in queues, %d refusals", len(m.waiting), len(s.items), s.waiting(), len(s.pending))
	}
	run := s.undecided + total(s.elsewhere)
	for _, e := range s.pool.engines {
		run += e.running
	}
	if running := len(m.granted) + len(m.running); run != running {
		t.Fatalf("%d run, scheduler counts %d, at other engines %v", running, run, s.elsewhere)
	}
	room, counted, free := 0, 0, 0
	for _, e := range s.pool.engines {
		room, counted = room+e.room, counted+e.counted
		if e.room > e.counted {
			free++
		}
	}
	if room != s.pool.room || counted != s.pool.counted || free != s.pool.free.len() {
		t.Fatalf("room %d/%d counted %d/%d free %d/%d", room, s.pool.room, counted, s.pool.counted, free, s.pool.free.len())
	}
	for _, r := range s.queue.ranks {
		work := 0.0
		for c := range r.lanes {
			for _, f := range r.lanes[c].flows.items {
				for _, it := range f.waiting() {
					work += it.work
				}
			}
		}
		if math.Abs(work-r.work) > 1e-6*max(1, maxWork.Seconds()) || math.IsNaN(r.virtual) || math.IsInf(r.virtual, 0) {
			t.Fatalf("rank %d: work %v/%v, virtual time %v", r.value, work, r.work, r.virtual)
		}
	}
}

func total(m map[uint32]int) int {
	n := 0
	for _, k := range m {
		n += k
	}
	return n
}
