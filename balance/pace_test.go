package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// testVariance is the variance of a streamed answer's pace.
const testVariance = 0.04

// reportPaces reports the fleet's means for engines 0 to len(ratios)-1.
func reportPaces(s *State, weight float64, at time.Time, ratios ...float64) {
	for i, ratio := range ratios {
		s.PaceReported(PaceReported{Engine: fmt.Sprintf("engine-%d", i), MeanLog: math.Log(ratio), Variance: testVariance, Weight: weight, At: at})
	}
	// A second report after the interval has the means compared again.
	later := at.Add(paceCheckInterval)
	s.PaceReported(PaceReported{Engine: "engine-0", MeanLog: math.Log(ratios[0]), Variance: testVariance, Weight: weight, At: later})
}

// factors returns the slowness that estimates use at the given time.
func factors(s *State, p *Plan, now time.Time) []float64 {
	var all []float64
	for _, e := range p.engines {
		all = append(all, math.Round(1000*e.slownessFactor(now.UnixNano(), s.options.SpeedPrior))/1000)
	}
	return all
}

// TestFleetPaceReplacesOwnPaceOfUnlikeEngines guards against the use of the fleet's means where
// they are not better than the daemon's own, or are too old.
func TestFleetPaceReplacesOwnPaceOfUnlikeEngines(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	p := s.Plan(newRegister(3), nil)
	reportPaces(s, 100, epoch, 1.6, 1, 0.625)
	c.Check(factors(s, p, epoch), qt.DeepEquals, []float64{1.6, 1, 0.625})
	answer(s, "engine-0", 5, 25*time.Millisecond, epoch)
	c.Check(factors(s, p, epoch)[0], qt.Equals, 1.6)
	reportPaces(s, minPaceWeight, epoch.Add(time.Second), 1.6, 1, 0.625)
	c.Check(factors(s, p, epoch.Add(time.Second))[0], qt.Equals, 1.6)
	answer(s, "engine-0", 5, 25*time.Millisecond, epoch)
	c.Check(factors(s, p, epoch.Add(time.Second)), qt.DeepEquals, []float64{1, 1, 0.625}, qt.Commentf("the own mean of engine-0 has more weight"))
	s.Plan(newRegister(4), nil)
	c.Check(factors(s, p, epoch.Add(time.Second)), qt.DeepEquals, []float64{1, 1, 0.625}, qt.Commentf("a new plan keeps the state of the pool"))
	c.Check(factors(s, p, epoch.Add(paceTTL+2*time.Second)), qt.DeepEquals, []float64{1, 1, 1}, qt.Commentf("means expire"))
}

// TestOwnWeightIsBounded guards against counting all answers ever seen as the
// weight of a moving average that covers only the last ones.
func TestOwnWeightIsBounded(t *testing.T) {
	c := qt.New(t)
	s := newState(c)
	p := s.Plan(newRegister(3), nil)
	answer(s, "engine-0", 1000, 25*time.Millisecond, epoch)
	reportPaces(s, maxOwnWeight+1, epoch, 1.6, 1, 0.625)
	c.Check(factors(s, p, epoch)[0], qt.Equals, 1.6)
}

// TestFleetPaceNeedsAnEstablishedDifference guards against changes for pools whose engines are
// alike, or too few or too little measured to tell.
func TestFleetPaceNeedsAnEstablishedDifference(t *testing.T) {
	c := qt.New(t)
	for name, report := range map[string]func(s *State){
		"similar engines":     func(s *State) { reportPaces(s, 1e6, epoch, 1.2, 1, 0.82) },
		"two measured":        func(s *State) { reportPaces(s, 100, epoch, 3, 1) },
		"little weight":       func(s *State) { reportPaces(s, minPaceWeight-1, epoch, 9, 1, 0.2) },
		"within the noise":    func(s *State) { reportPaces(s, minPaceWeight, epoch, 1.3, 1, 0.8) },
		"no finite weight":    func(s *State) { reportPaces(s, math.Inf(1), epoch, 3, 1, 0.5) },
		"weight not a number": func(s *State) { reportPaces(s, math.NaN(), epoch, 3, 1, 0.5) },
		"negative weight":     func(s *State) { reportPaces(s, -9, epoch, 3, 1, 0.5) },
		"not a number":        func(s *State) { reportPaces(s, 100, epoch, 3, -1, 0.5) },
		"implausible":         func(s *State) { reportPaces(s, 100, epoch, 21, 1, 0.04) },
		"zero":                func(s *State) { reportPaces(s, 100, epoch, 3, 1, 0) },
	} {
		s := newState(c)
		p := s.Plan(newRegister(3), nil)
		report(s)
		c.Check(factors(s, p, epoch), qt.DeepEquals, []float64{1, 1, 1}, qt.Commentf(name))
	}
}

// TestSimilarEnginesAreChosenAsWithoutFleetPace guards against noise in the fleet's means that
// changes choices among engines of the same speed.
func TestSimilarEnginesAreChosenAsWithoutFleetPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.SampledFrom([]int{3, 10, 40}).Draw(t, "engines")
		weight := rapid.Float64Range(minPaceWeight, 200).Draw(t, "weight")
		noise := rapid.Float64Range(0.05, 1).Draw(t, "noise")
		rng := newRand()
		plain, paced := mustState(t), mustState(t)
		plans := []*Plan{plain.Plan(newRegister(engines), nil), paced.Plan(newRegister(engines), nil)}
		for step := range 20 {
			now := epoch.Add(time.Duration(step) * paceCheckInterval)
			for i := range engines {
				name := fmt.Sprintf("engine-%d", i)
				ratio := math.Exp(noise * rng.NormFloat64())
				for _, s := range []*State{plain, paced} {
					answer(s, name, 1, time.Duration(ratio*float64(25*time.Millisecond)), now)
				}
				paced.PaceReported(PaceReported{Engine: name, MeanLog: noise * rng.NormFloat64() / math.Sqrt(weight), Variance: noise * noise, Weight: weight, At: now})
			}
			a, _ := plain.Choose(plans[0], newRequest(), now, newRand())
			b, _ := paced.Choose(plans[1], newRequest(), now, newRand())
			if a.Index != b.Index || a.ExpectedAnswer != b.ExpectedAnswer {
				t.Fatalf("step %d: engine %d with the fleet's means, %d without", step, b.Index, a.Index)
			}
		}
	})
}
