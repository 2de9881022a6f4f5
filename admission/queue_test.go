package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// queueModel performs random operations on a queue and checks its state against
// the running and waiting requests.
type queueModel struct {
	q       *Queue
	now     time.Time
	running []*Item
	waiting map[*Item]bool
}

const meanTokens = 100

func (m *queueModel) arrive(t *rapid.T) {
	it := &Item{
		organisation: rapid.SampledFrom([]string{"large", "small", "other"}).Draw(t, "organisation"),
		class:        rapid.IntRange(classUrgent, classBulk).Draw(t, "class"),
		tokens:       float64(rapid.IntRange(1, 2*meanTokens).Draw(t, "tokens")),
	}
	before := m.q.waiting
	d, after, evicted := m.q.Offer(m.now, m.now.Add(time.Hour), it)
	switch d {
	case StartNow:
		m.running = append(m.running, it)
		for other := range m.waiting {
			if other.class <= it.class {
				t.Fatalf("class %d passed a waiting request of class %d", it.class, other.class)
			}
		}
	case WaitTurn:
		m.waiting[it] = true
		if evicted != nil {
			if evicted.class < it.class {
				t.Fatalf("class %d evicted class %d", it.class, evicted.class)
			}
			delete(m.waiting, evicted)
		}
	case Refuse:
		if after < minRetryAfter || before != m.q.waiting {
			t.Fatalf("refused with retry time %v, waiting %d then %d", after, before, m.q.waiting)
		}
	}
}

func (m *queueModel) finish(t *rapid.T) {
	if len(m.running) == 0 {
		// Tells rapid that this step does not apply; the test goes on.
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "index")
	it := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.q.Release(it, it.tokens, time.Second)
	for next := m.q.Next(m.now); next != nil; next = m.q.Next(m.now) {
		m.start(t, next)
	}
}

func (m *queueModel) start(t *rapid.T, it *Item) {
	if !m.waiting[it] {
		t.Fatal("started a request that was not waiting, or twice")
	}
	delete(m.waiting, it)
	m.running = append(m.running, it)
	for other := range m.waiting {
		if other.class == classUrgent && it.class != classUrgent {
			t.Fatalf("class %d started before an urgent request", it.class)
		}
	}
}

func (m *queueModel) giveUp(t *rapid.T) {
	for it := range m.waiting {
		if !m.q.Remove(it) || m.q.Remove(it) {
			t.Fatal("a waiting request must be removable exactly once")
		}
		delete(m.waiting, it)
		return
	}
	// Tells rapid that this step does not apply; the test goes on.
	t.Skip("nothing waits")
}

func (m *queueModel) check(t *rapid.T) {
	if m.q.inUse != len(m.running) || m.q.inUse > m.q.slots {
		t.Fatalf("in use %d, running %d, slots %d", m.q.inUse, len(m.running), m.q.slots)
	}
	if m.q.waiting != len(m.waiting) || m.q.waiting > maxWaiting {
		t.Fatalf("waiting %d, want %d", m.q.waiting, len(m.waiting))
	}
	for class := range m.q.classes {
		if c := &m.q.classes[class]; c.tokens < 0 || (c.waiting == 0) != (len(c.backlog) == 0) {
			t.Fatalf("class %d: %d waiting in %d flows, %v tokens", class, c.waiting, len(c.backlog), c.tokens)
		}
	}
	if m.q.inUse < m.q.slots-m.q.slots/urgentReserve && m.q.waiting > 0 {
		t.Fatalf("%d wait while %d of %d slots are in use", m.q.waiting, m.q.inUse, m.q.slots)
	}
}

func TestQueueKeepsEveryRequestAndItsPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{
			q: NewQueue(rapid.IntRange(1, 20).Draw(t, "slots"), 1e6), now: time.Unix(0, 0),
			waiting: make(map[*Item]bool),
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "arrive again": m.arrive, "finish": m.finish, "give up": m.giveUp, "": m.check,
		})
	})
}

// While two organisations both wait, the tokens served to them differ by at most
// two of the largest requests, however many more requests one of them has.
func TestQueueServesWaitingOrganisationsFairly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		q := NewQueue(1, 1e6)
		running := &Item{organisation: "first", class: classNormal, tokens: 1}
		q.startNow(now, running)
		size := rapid.Float64Range(1, 1000)
		largest := 0.0
		for _, organisation := range []string{"large", "small"} {
			n := 40
			if organisation == "large" {
				n = 400
			}
			for range n {
				tokens := size.Draw(t, "tokens")
				largest = max(largest, tokens)
				q.enqueue(&Item{organisation: organisation, class: classNormal, tokens: tokens})
			}
		}
		served := map[string]float64{}
		for q.classes[classNormal].flows["small"].tokens > 0 {
			q.Release(running, 1, time.Second)
			running = q.Next(now)
			served[running.organisation] += running.tokens
			if gap := served["large"] - served["small"]; gap > 2*largest || gap < -2*largest {
				t.Fatalf("served %v, largest request %v", served, largest)
			}
		}
	})
}

func TestQueueAntiStarvation(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	q := NewQueue(1, 1e6)
	running := &Item{organisation: "a", class: classNormal, tokens: 1}
	q.startNow(now, running)
	for i := range 20 * bulkStartInterval {
		q.enqueue(&Item{organisation: "a", class: classNormal, tokens: 1})
		if i < 20 {
			q.enqueue(&Item{organisation: "a", class: classBulk, tokens: 1})
		}
	}
	bulk := 0
	for range 10 * bulkStartInterval {
		q.Release(running, 1, time.Second)
		running = q.Next(now)
		if running.class == classBulk {
			bulk++
		}
	}
	c.Assert(bulk, qt.Equals, 10)
	q.enqueue(&Item{organisation: "a", class: classUrgent, tokens: 1})
	q.sinceBulk = bulkStartInterval
	q.Release(running, 1, time.Second)
	c.Assert(q.Next(now).class, qt.Equals, classUrgent)
}

func TestQueueOfferRefuses(t *testing.T) {
	now := time.Unix(0, 0)
	cases := []struct {
		name     string
		slots    int
		waiting  int // normal requests of 100 tokens
		class    int
		deadline time.Duration
		want     Decision
	}{
		{"starts in a free slot however short the deadline", 2, 0, classNormal, time.Millisecond, StartNow},
		{"waits when it can start in time", 1, 1, classNormal, 10 * time.Second, WaitTurn},
		{"refuses at once what can't start in time", 1, 10, classNormal, 10 * time.Second, Refuse},
		{"urgent passes the waiting normal requests", 1, 10, classUrgent, 10 * time.Second, WaitTurn},
		{"bulk waits behind normal requests", 1, 4, classBulk, 10 * time.Second, Refuse},
		{"refuses when there is no slot at all", 0, 0, classUrgent, time.Hour, Refuse},
		{"keeps time for the request itself", 1, 0, classNormal, 1500 * time.Millisecond, Refuse},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q := NewQueue(test.slots, 100) // a request of 100 tokens takes a second
			if test.slots == 1 {
				q.startNow(now, &Item{organisation: "busy", class: classNormal, tokens: 100})
			}
			for range test.waiting {
				q.enqueue(&Item{organisation: "busy", class: classNormal, tokens: 100})
			}
			it := &Item{organisation: "busy", class: test.class, tokens: 100}
			d, after, _ := q.Offer(now, now.Add(test.deadline), it)
			c.Assert(d, qt.Equals, test.want)
			if d == Refuse {
				c.Assert(after >= minRetryAfter, qt.IsTrue, qt.Commentf("%v", after))
				c.Assert(after <= maxRetryAfter, qt.IsTrue, qt.Commentf("%v", after))
			}
		})
	}
}

// A full queue evicts a request of the organisation with the most waiting requests
// for one of an organisation with fewer, or of a higher priority.
func TestQueueEvictsFromTheLongestFlow(t *testing.T) {
	c := qt.New(t)
	now, deadline := time.Unix(0, 0), time.Unix(3600, 0)
	q := NewQueue(1, 1e9)
	q.startNow(now, &Item{organisation: "large", class: classBulk, tokens: 1})
	for i := range maxWaiting {
		d, _, evicted := q.Offer(now, deadline, &Item{organisation: "large", class: classBulk, tokens: 1})
		c.Assert(d, qt.Equals, WaitTurn, qt.Commentf("request %d", i))
		c.Assert(evicted, qt.IsNil)
	}
	d, _, _ := q.Offer(now, deadline, &Item{organisation: "large", class: classBulk, tokens: 1})
	c.Assert(d, qt.Equals, Refuse)
	for i, class := range []int{classBulk, classNormal, classUrgent} {
		d, _, evicted := q.Offer(now, deadline, &Item{organisation: fmt.Sprint("small", i), class: class, tokens: 1})
		c.Assert(d, qt.Equals, WaitTurn)
		c.Assert(evicted.organisation, qt.Equals, "large")
	}
	c.Assert(q.waiting, qt.Equals, maxWaiting)
}

func TestBulkLimitFollowsTheReportedLoad(t *testing.T) {
	cases := []struct {
		name    string
		own     int
		daemons int
		busy    []int // of engines with 40 slots, 35 of them for bulk
		want    int
	}{
		{"free engines", 4, 6, []int{5, 5}, 4 + 5},
		{"the last free slot below the reserve", 4, 6, []int{35, 34}, 5},
		{"the reserve is reached", 4, 6, []int{35, 35}, 4},
		{"one engine uses the reserve", 9, 6, []int{0, 38}, 8},
		{"far beyond the slots", 2, 1, []int{200, 200}, 1},
		{"no engine reported", 0, 6, nil, 1},
		{"one daemon", 0, 0, []int{31}, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, BulkLimit(test.own, loadOf(test.daemons, test.busy)), qt.Equals, test.want)
		})
	}
	now := time.Unix(0, 0)
	q := NewQueue(80, 1e9)
	q.SetBulkLimit(loadOf(1, []int{31, 35}))
	starts := 0
	for range 10 {
		if d, _, _ := q.Offer(now, now.Add(time.Hour), &Item{organisation: "a", class: classBulk, tokens: 1}); d == StartNow {
			starts++
		}
	}
	qt.Check(t, starts, qt.Equals, 2)
	d, _, _ := q.Offer(now, now.Add(time.Hour), &Item{organisation: "a", class: classUrgent, tokens: 1})
	qt.Check(t, d, qt.Equals, StartNow)
}

func loadOf(daemons int, busy []int) GroupLoad {
	load := GroupLoad{Daemons: daemons}
	for _, b := range busy {
		load.Add(40, b)
	}
	return load
}
