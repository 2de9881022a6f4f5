package canary

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestDaemonsWriteInOrderOfRank(t *testing.T) {
	c := qt.New(t)
	var first, second Driver
	due, isNew := first.Due(Pending, Running, 0, start)
	c.Check(due, qt.IsTrue)
	c.Check(isNew, qt.IsTrue)
	due, isNew = second.Due(Pending, Running, 1, start)
	c.Check(due, qt.IsFalse)
	c.Check(isNew, qt.IsTrue)
	due, isNew = second.Due(Pending, Running, 1, start.Add(rankDelay))
	c.Check(due, qt.IsTrue, qt.Commentf("nobody else wrote"))
	c.Check(isNew, qt.IsFalse)
	due, _ = second.Due(Pending, Running, 1, start.Add(rankDelay+minWriteInterval/2))
	c.Check(due, qt.IsFalse, qt.Commentf("it has just tried"))
	due, _ = second.Due(Running, Running, 1, start.Add(time.Minute))
	c.Check(due, qt.IsFalse, qt.Commentf("it is written"))
	_, _ = second.Due(Running, Done, 1, start.Add(time.Minute))
	due, _ = second.Due(Running, Done, 1, start.Add(time.Minute+doneDelay))
	c.Check(due, qt.IsTrue)
}

// write is a call to the store in progress.
type write struct {
	revision int
	state    State
	at       time.Duration
}

// simStore is a store with conditional writes that may be applied late.
type simStore struct {
	t        *rapid.T
	state    State
	revision int
	pending  []write
}

// applyDue applies the writes that are due and checks each change.
func (s *simStore) applyDue(now time.Duration) {
	var left []write
	for _, w := range s.pending {
		switch {
		case w.at > now:
			left = append(left, w)
		case w.revision == s.revision:
			if s.state == Done || s.state == RolledBack {
				s.t.Fatalf("%v became %v", s.state, w.state)
			}
			s.state = w.state
			s.revision++
		}
	}
	s.pending = left
}

// simDaemon is a daemon that drives an introduction.
type simDaemon struct {
	*Introduction
	driver   Driver
	revision int
	// paused is the number of further steps in which it does nothing. crashed is set for good.
	paused  int
	crashed bool
}

// TestDriversUnderPausesLateWritesAndCrashes lets several daemons drive one introduction while
// they pause, crash and learn of the state late, and while writes are applied seconds after
// they were sent. A final state never changes, a version without a fault is completed, and the
// introduction ends as long as one daemon survives.
func TestDriversUnderPausesLateWritesAndCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick, length = 100 * time.Millisecond, 12 * time.Second
		store := &simStore{t: t, state: Pending, revision: 1}
		var daemons []*simDaemon
		n := rapid.IntRange(2, 5).Draw(t, "daemons")
		for range n {
			daemons = append(daemons, &simDaemon{
				Introduction: New(DefaultOptions(), Order{Service: "s", Target: "v2", ID: 1, Duration: length}, Pending, start), revision: 1,
			})
		}
		bad := rapid.Bool().Draw(t, "bad")
		badAt := time.Duration(rapid.IntRange(2000, 9000).Draw(t, "fault_ms")) * time.Millisecond
		survivor := rapid.IntRange(0, n-1).Draw(t, "survivor")
		undisturbedFrom := length + time.Second
		for at := time.Duration(0); at < length+12*time.Second; at += tick {
			now := start.Add(at)
			store.applyDue(at)
			for rank, d := range daemons {
				if at < undisturbedFrom {
					if d.paused == 0 && rapid.IntRange(0, 39).Draw(t, "pause") == 0 {
						d.paused = rapid.IntRange(1, 40).Draw(t, "steps")
					}
					d.crashed = d.crashed || rank != survivor && rapid.IntRange(0, 199).Draw(t, "crash") == 0
				}
				if d.paused > 0 || d.crashed {
					d.paused = max(d.paused-1, 0)
					continue
				}
				if rapid.IntRange(0, 3).Draw(t, "learns_state") == 0 || at >= undisturbedFrom {
					d.SetState(store.state)
					d.revision = store.revision
				}
				if bad && at >= badAt && rank == survivor {
					for range 3 {
						d.Observe("r", true, true, 0)
						d.Observe("r", false, false, 0)
					}
				}
				for other, o := range daemons {
					if other != rank && o.paused == 0 && !o.crashed {
						d.ApplyReport(string(rune('a'+other)), o.Report(now), now)
					}
				}
				verdict := d.Review(now)
				if due, _ := d.driver.Due(d.State(), verdict.State, rank, now); due {
					late := time.Duration(0)
					if at < undisturbedFrom && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
						late = time.Duration(rapid.IntRange(0, 4000).Draw(t, "late_ms")) * time.Millisecond
					}
					store.pending = append(store.pending, write{d.revision, verdict.State, at + late})
				}
			}
		}
		if store.state != Done && store.state != RolledBack {
			t.Fatalf("ended as %v", store.state)
		}
		if !bad && store.state != Done {
			t.Fatalf("version without a fault ended as %v", store.state)
		}
	})
}
