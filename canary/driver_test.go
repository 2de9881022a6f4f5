package canary

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestPreferredDaemonWritesFirstAndTheNextOnesFollow(t *testing.T) {
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
	due, _ = second.Due(Pending, Running, 1, start.Add(rankDelay+writePause/2))
	c.Check(due, qt.IsFalse, qt.Commentf("it has just tried"))
	due, _ = second.Due(Running, Running, 1, start.Add(time.Minute))
	c.Check(due, qt.IsFalse, qt.Commentf("it is written"))
	_, _ = second.Due(Running, Done, 1, start.Add(time.Minute))
	due, _ = second.Due(Running, Done, 1, start.Add(time.Minute+doneDelay))
	c.Check(due, qt.IsTrue)
}

// write is a call of the store under way.
type write struct {
	revision int
	state    State
	at       time.Duration
}

// simStore is a store with conditional writes that may be carried out late.
type simStore struct {
	t        *rapid.T
	state    State
	revision int
	pending  []write
}

// settle carries out the writes that are due and checks each change.
func (s *simStore) settle(now time.Duration) {
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

// simDaemon is one daemon that drives an introduction.
type simDaemon struct {
	*Introduction
	driver   Driver
	revision int
	// frozen is how many more steps it does nothing, dead that it is gone.
	frozen int
	dead   bool
}

// TestDriversUnderPausesLostAnswersAndDeaths lets several daemons drive one
// introduction while they freeze, die, learn of the state late, and while writes are
// carried out seconds after they were sent. A final state never changes, a version
// without a fault is completed, and as long as one daemon lives the introduction ends.
func TestDriversUnderPausesLostAnswersAndDeaths(t *testing.T) {
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
		calm := length + time.Second
		for at := time.Duration(0); at < length+12*time.Second; at += tick {
			now := start.Add(at)
			store.settle(at)
			for place, d := range daemons {
				if at < calm {
					if d.frozen == 0 && rapid.IntRange(0, 39).Draw(t, "freeze") == 0 {
						d.frozen = rapid.IntRange(1, 40).Draw(t, "steps")
					}
					d.dead = d.dead || place != survivor && rapid.IntRange(0, 199).Draw(t, "die") == 0
				}
				if d.frozen > 0 || d.dead {
					d.frozen = max(d.frozen-1, 0)
					continue
				}
				if rapid.IntRange(0, 3).Draw(t, "news") == 0 || at >= calm {
					d.SetState(store.state)
					d.revision = store.revision
				}
				if bad && at >= badAt && place == survivor {
					for range 3 {
						d.Observe("r", true, true, 0)
						d.Observe("r", false, false, 0)
					}
				}
				for other, o := range daemons {
					if other != place && o.frozen == 0 && !o.dead {
						d.Heard(string(rune('a'+other)), o.Report(now), now)
					}
				}
				verdict := d.Review(now)
				if due, _ := d.driver.Due(d.State(), verdict.State, place, now); due {
					late := time.Duration(0)
					if at < calm && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
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
			t.Fatalf("good version ended as %v", store.state)
		}
	})
}
