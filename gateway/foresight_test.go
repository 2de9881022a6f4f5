package gateway

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestForecastsThatProveTooDarkAreCorrected is the load of long prompts on engines that
// read faster than the estimates say: the larger model's answers are foretold near the
// target and begin in half the time. From then on they are asked for.
func TestForecastsThatProveTooDarkAreCorrected(t *testing.T) {
	c := qt.New(t)
	service, urgent, _ := sizes()
	m := NewModelChoice(byPriority())
	q := m.Sized(urgent, service, 9000, 400)
	const doubtful = 45
	_, asked := m.Larger(q, "small", doubtful, at(0.9), noTry)
	c.Check(asked, qt.IsFalse)
	for range 30 {
		m.Began(q, 2*time.Second, time.Second)
	}
	_, asked = m.Larger(q, "small", doubtful, at(0.9), noTry)
	c.Check(asked, qt.IsTrue)
	// Once the engines are slower than foretold, less is asked of them.
	for range 60 {
		m.Began(q, time.Second, 3*time.Second)
	}
	_, asked = m.Larger(q, "small", doubtful, at(0.6), noTry)
	c.Check(asked, qt.IsFalse)
}

func FuzzForesight(f *testing.F) {
	f.Add(int64(1), int64(2), 0.5)
	f.Fuzz(func(t *testing.T, foretold, took int64, share float64) {
		sight := newForesight()
		for range 100 {
			sight.took(time.Duration(foretold), time.Duration(took))
		}
		if math.IsNaN(share) || share < 0 {
			return
		}
		if got := sight.corrected(share); math.IsNaN(got) || got < 0 {
			t.Fatalf("%v", got)
		}
	})
}
