package scheduler_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

// twin plays the same events against two Schedulers, one of which gets some of them changed or
// repeated, and compares the decisions.
type twin struct {
	a, b    *scheduler.Scheduler
	now     time.Time
	number  uint64
	granted []scheduler.Grant
	started map[scheduler.ID]bool
	offered []scheduler.Request
}

func newTwin(t *rapid.T) *twin {
	w := &twin{now: start, started: map[scheduler.ID]bool{}}
	w.a, _ = scheduler.New(scheduler.Options{MaxWaiting: 20})
	w.b, _ = scheduler.New(scheduler.Options{MaxWaiting: 20})
	engines := []scheduler.Engine{{Hash: 1, Slots: 1}, {Hash: 2, Slots: 2}}
	w.a.SetEngines(w.now, engines)
	w.b.SetEngines(w.now, engines)
	return w
}

func (w *twin) request(t *rapid.T) scheduler.Request {
	w.number++
	return scheduler.Request{
		ID:           scheduler.ID{Daemon: "d", Number: w.number},
		Organisation: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "organisation"),
		Rank:         rapid.IntRange(0, 1).Draw(t, "rank"), Weight: 1, Work: 100 * ms, Key: w.number % 7,
		Class: scheduler.First, Arrived: w.now,
		StartBy:  w.now.Add(time.Duration(rapid.IntRange(50, 500).Draw(t, "wait")) * ms),
		Deadline: w.now.Add(patient),
	}
}

func (w *twin) offer(t *rapid.T, ra, rb scheduler.Request) {
	x, xno := w.a.Offer(w.now, ra)
	y, yno := w.b.Offer(w.now, rb)
	if x != y || xno != yno {
		t.Fatalf("offer of %v: %+v %v and %+v %v", ra.ID, x, xno, y, yno)
	}
	w.offered = append(w.offered, rb)
}

// decide compares the grants and refusals.
func (w *twin) decide(t *rapid.T) {
	if x, y := fmt.Sprint(w.a.Refusals(w.now)), fmt.Sprint(w.b.Refusals(w.now)); x != y {
		t.Fatalf("refused %s and %s", x, y)
	}
	for {
		g, ok := w.a.Next(w.now)
		h, other := w.b.Next(w.now)
		if g != h || ok != other {
			t.Fatalf("granted %+v %v and %+v %v", g, ok, h, other)
		}
		if !ok {
			break
		}
		w.a.Started(g.ID, g.Engine)
		w.b.Started(g.ID, g.Engine)
		w.granted = append(w.granted, g)
		w.started[g.ID] = true
	}
	if x, y := w.a.Wake(w.now), w.b.Wake(w.now); !x.Equal(y) {
		t.Fatalf("wakes at %v and %v", x, y)
	}
}

func (w *twin) end(*rapid.T) {
	if len(w.granted) == 0 {
		return
	}
	f := scheduler.Finished{Engine: w.granted[0].Engine, Work: 100 * ms, Outcome: scheduler.Answered, Duration: 100 * ms}
	w.a.Ended(w.now, "d", f)
	w.b.Ended(w.now, "d", f)
	w.granted = w.granted[1:]
}

func (w *twin) pass(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pass")) * ms)
}

// Repeated messages must not change any decision.
func TestRepeatedMessagesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTwin(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer":  func(t *rapid.T) { r := w.request(t); w.offer(t, r, r) },
			"decide": w.decide,
			"end":    w.end,
			"pass":   w.pass,
			"again": func(t *rapid.T) {
				for _, g := range w.granted {
					w.b.Started(g.ID, g.Engine)
					w.b.Started(g.ID, 3-g.Engine)
					w.b.Requeue(w.now, g.ID)
					w.b.Withdraw(g.ID)
				}
				if len(w.offered) > 0 {
					if r := w.offered[len(w.offered)-1]; r.Arrived.Equal(w.now) && !w.started[r.ID] {
						w.b.Offer(w.now, r)
					}
				}
			},
		})
	})
}

// Values that are not valid must count as the default, so that they neither help nor harm
// anyone.
func TestInvalidInputCountsAsDefault(t *testing.T) {
	weights := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 0}
	rapid.Check(t, func(t *rapid.T) {
		w := newTwin(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				r := w.request(t)
				bad := r
				if r.Organisation == "x" {
					bad.Weight = rapid.SampledFrom(weights).Draw(t, "weight")
					bad.Work = rapid.SampledFrom([]time.Duration{0, -1, math.MinInt64}).Draw(t, "work")
					bad.Class = scheduler.Class(rapid.SampledFrom([]uint8{0, 2, 9}).Draw(t, "class"))
					bad.Arrived = rapid.SampledFrom([]time.Time{{}, w.now.Add(time.Hour)}).Draw(t, "arrived")
				}
				w.offer(t, r, bad)
			},
			"decide": w.decide,
			"end":    w.end,
			"pass":   w.pass,
			"messages": func(t *rapid.T) {
				w.b.Ended(w.now, "d", scheduler.Finished{Engine: 9, Duration: -1, Outcome: scheduler.Full})
				w.b.SetShare(rapid.SampledFrom(weights[:4]).Draw(t, "share"))
				w.b.SetRunning("e", map[uint32]int{1: -5, 9: 1 << 40}, 0)
				w.b.Full(w.now, 77)
			},
		})
	})
}

// Organisations that always have requests waiting must get slot time by weight, to within one
// request of each.
func TestSlotTimeByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := scheduler.New(scheduler.Options{})
		s.SetEngines(start, []scheduler.Engine{{Hash: 1, Slots: 1}})
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 10), 2, 6).Draw(t, "weights")
		number, org, longest := uint64(0), map[uint64]int{}, make([]float64, len(weights))
		works, got := map[uint64]float64{}, make([]float64, len(weights))
		offer := func(i int) {
			number++
			org[number] = i
			work := time.Duration(rapid.IntRange(1, 400).Draw(t, "work")) * ms
			longest[i] = max(longest[i], work.Seconds())
			_, no := s.Offer(start, scheduler.Request{
				ID: scheduler.ID{Daemon: "d", Number: number}, Organisation: fmt.Sprint(i), Weight: weights[i],
				Work: work, Class: scheduler.First, Arrived: start, StartBy: start.Add(5 * time.Minute),
			})
			if no {
				t.Fatalf("refused")
			}
			works[number] = work.Seconds()
		}
		for i := range weights {
			for range 3 {
				offer(i)
			}
		}
		for range 60 {
			g, ok := s.Next(start)
			if !ok {
				break
			}
			i := org[g.ID.Number]
			got[i] += works[g.ID.Number] / weights[i]
			offer(i)
			for j := range got {
				if bound := longest[i]/weights[i] + longest[j]/weights[j] + 1e-9; math.Abs(got[i]-got[j]) > bound {
					t.Fatalf("organisations %d and %d got %v and %v, bound %v", i, j, got[i], got[j], bound)
				}
			}
			s.Started(g.ID, g.Engine)
			s.Ended(start, "d", scheduler.Finished{Engine: 1, Outcome: scheduler.Canceled})
		}
	})
}

// Settings out of range must be rejected with the fault of each.
func TestOptionsValidate(t *testing.T) {
	c := qt.New(t)
	_, err := scheduler.New(scheduler.Options{DefaultWork: -1, DefaultWait: -1, Turnaround: 2 * time.Second, MaxWaiting: -1})
	for _, want := range []error{
		scheduler.ErrDefaultWork, scheduler.ErrDefaultWait, scheduler.ErrTurnaround, scheduler.ErrMaxWaiting,
	} {
		c.Check(err, qt.ErrorIs, want)
	}
}
