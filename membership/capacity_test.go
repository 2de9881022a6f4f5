package membership

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// TestWatchersAreChosenByCapacity guards against choosing watchers regardless of capacity:
// three of the 59 hosts in each of five data centres have about forty times the capacity of the
// others.
func TestWatchersAreChosenByCapacity(t *testing.T) {
	c := qt.New(t)
	strong, all := 0, 0
	for round := range 40 {
		r := newRecords()
		for i := range 295 {
			d := &bronzeturnv1.DaemonState{DataCentre: fmt.Sprint("centre-", i%5), Capacity: 0.192 * 20}
			if i < 15 {
				d.Capacity = 0.8 * 200
			}
			r.daemons[fmt.Sprint("d-", round, "-", i)] = d
		}
		v := buildView("d", r, 0)
		centres := make(map[string]bool)
		for _, name := range v.Watchers {
			m, _ := v.Member(name)
			centres[m.DataCentre] = true
			all++
			if m.Capacity > 100 {
				strong++
			}
		}
		c.Check(centres, qt.HasLen, 5)
	}
	// The expected share is 3 x 160 of 3 x 160 + 56 x 3.84, which is 0.69.
	c.Check(float64(strong) >= 0.6*float64(all), qt.IsTrue, qt.Commentf("%d of %d", strong, all))
}

func TestInvalidCapacityIsTreatedAsOne(t *testing.T) {
	c := qt.New(t)
	for stated, want := range map[float64]float64{0: 1, -3: 1, math.Inf(1): 1, 1e300: 1, 0.5: 0.5, 32: 32} {
		c.Check(capacityOf(&bronzeturnv1.DaemonState{Capacity: stated}), qt.Equals, want)
	}
	c.Check(capacityOf(&bronzeturnv1.DaemonState{Capacity: math.NaN()}), qt.Equals, 1.0)
}
