package quality_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/quality"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const prior = 0.9

// newStore returns a store with a cell of the given prior for ("v", "quick").
func newStore(soleUser bool) *quality.Store {
	s := quality.NewStore(quality.Options{})
	s.Cell("v", "quick").SetPrior(prior, soleUser)
	return s
}

// rate adds n ratings of 0 or 1, drawn at random with the given mean.
func rate(t testing.TB, s *quality.Store, organisation string, mean float64, n int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 1))
	for range n {
		score := 0.0
		if rng.Float64() < mean {
			score = 1
		}
		err := s.AddRating(quality.Rating{Organisation: organisation, Version: "v", Kind: "quick", Score: score, At: start})
		qt.Assert(t, err, qt.IsNil)
	}
}

func near(t testing.TB, got, want, tolerance float64) {
	t.Helper()
	qt.Assert(t, math.Abs(got-want) <= tolerance, qt.IsTrue, qt.Commentf("got %v, want %v within %v", got, want, tolerance))
}

func TestEstimateStartsFromThePrior(t *testing.T) {
	e := newStore(false).Estimate("v", "quick", start)
	near(t, e.Mean, prior, 1e-4)
	qt.Assert(t, e.Weight, qt.Equals, 0.0)
	qt.Assert(t, e.Lower < e.Mean && e.Mean < e.Upper, qt.IsTrue)
}

func TestUnknownPairIsUninformed(t *testing.T) {
	near(t, newStore(false).Estimate("other", "quick", start).Mean, quality.UninformedPrior, 1e-4)
}

func TestRatingsOfManyOrganisationsAreLearnt(t *testing.T) {
	s := newStore(false)
	for i := range 10 {
		rate(t, s, fmt.Sprintf("o%d", i), 0.6, 50)
	}
	e := s.Estimate("v", "quick", start)
	near(t, e.Mean, 0.6, 0.05)
	qt.Assert(t, e.Upper-e.Lower < 0.06, qt.IsTrue)
}

func TestOneOrganisationCannotMoveAnEstimateAlone(t *testing.T) {
	t.Run("alone, lowering it", func(t *testing.T) {
		s := newStore(false)
		rate(t, s, "hostile", 0, 1000)
		near(t, s.Estimate("v", "quick", start).Mean, prior, 1e-4)
	})
	t.Run("beside others", func(t *testing.T) {
		s := newStore(false)
		rate(t, s, "hostile", 0, 1000)
		for i := range 4 {
			rate(t, s, fmt.Sprintf("o%d", i), prior, 50)
		}
		near(t, s.Estimate("v", "quick", start).Mean, prior, 0.03)
	})
	t.Run("alone, raising it", func(t *testing.T) {
		s := quality.NewStore(quality.Options{})
		s.Cell("v", "quick").SetPrior(0.3, false)
		rate(t, s, "friend", 1, 1000)
		near(t, s.Estimate("v", "quick", start).Mean, 0.3, 1e-4)
	})
}

func TestTwoOrganisationsThatAgreeMoveTheEstimate(t *testing.T) {
	s := newStore(false)
	rate(t, s, "a", 0.2, 100)
	rate(t, s, "b", 0.2, 100)
	qt.Assert(t, s.Estimate("v", "quick", start).Upper < 0.5, qt.IsTrue)
}

func TestSoleUserMovesTheEstimate(t *testing.T) {
	s := newStore(true)
	rate(t, s, "a", 0.2, 100)
	qt.Assert(t, s.Estimate("v", "quick", start).Upper < 0.5, qt.IsTrue)
}

func TestEstimateReturnsToThePriorWithoutRatings(t *testing.T) {
	s := newStore(true)
	rate(t, s, "a", 0.2, 100)
	at := func(age time.Duration) quality.Estimate { return s.Estimate("v", "quick", start.Add(age)) }
	near(t, at(quality.DefaultHalfLife).Weight, 50, 0.5)
	near(t, at(20*quality.DefaultHalfLife).Mean, prior, 1e-3)
}

// Ratings of one organisation above MaxWeight scale its older ones down, so that an
// estimate follows a change of quality however many ratings came before.
func TestOldRatingsOfOneOrganisationLoseWeight(t *testing.T) {
	s := newStore(true)
	rate(t, s, "a", 1, 10_000)
	rate(t, s, "a", 0, 3*int(quality.DefaultMaxWeight))
	qt.Assert(t, s.Estimate("v", "quick", start).Mean < 0.15, qt.IsTrue)
}

func TestAcceptedAnswersHaveTheirOwnEstimate(t *testing.T) {
	s := newStore(false)
	for _, o := range []string{"a", "b", "c"} {
		for range 100 {
			err := s.AddRating(quality.Rating{Organisation: o, Version: "v", Kind: "quick", Accepted: true, Score: 1, At: start})
			qt.Assert(t, err, qt.IsNil)
		}
	}
	near(t, s.Estimate("v", "quick", start).Mean, prior, 1e-4)
	qt.Assert(t, s.AcceptedCell("v", "quick").Estimate(start).Mean > 0.9, qt.IsTrue)
}

func TestAnswersAndChecksAreSmoothed(t *testing.T) {
	s := newStore(false)
	for range 300 {
		s.AddAnswer(quality.CompletedAnswer{Version: "v", Kind: "quick", CompletionTokens: 500})
		s.AddCheck(quality.CheckResult{Version: "v", Kind: "quick", Flagged: true})
	}
	near(t, s.Cell("v", "quick").CompletionTokens(), 500, 1)
	near(t, s.AcceptedCell("v", "quick").FlaggedShare(), 1, 0.02)
}

func TestInvalidScoresAreRefused(t *testing.T) {
	s := newStore(false)
	for _, score := range []float64{-0.1, 1.1, math.NaN(), math.Inf(1)} {
		qt.Check(t, s.AddRating(quality.Rating{Score: score}), qt.ErrorIs, quality.ErrScore)
	}
}

func TestEstimateAllocatesNothing(t *testing.T) {
	s := newStore(false)
	rate(t, s, "a", 0.5, 10)
	cell := s.Cell("v", "quick")
	now := start
	allocs := testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Minute) // each call discounts
		s.Estimate("v", "quick", now)
		cell.Estimate(now)
	})
	qt.Assert(t, allocs, qt.Equals, 0.0)
}

// TestHostileOrganisationChangesNothingAmongOthersThatAgree guards against a
// single organisation that shifts an estimate. The others all rate at the prior,
// so the shift of the mean is due to the hostile one alone, whose influence equals
// that of all others together; it is therefore the one excluded, for any number of
// ratings.
func TestHostileOrganisationChangesNothingAmongOthersThatAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore(false)
		observe := func(organisation string, score float64, n int) {
			for range n {
				if err := s.AddRating(quality.Rating{Organisation: organisation, Version: "v", Kind: "quick", Score: score, At: start}); err != nil {
					t.Fatal(err)
				}
			}
		}
		hostile := rapid.Float64Range(0, 1).Draw(t, "hostile score")
		observe("hostile", hostile, rapid.IntRange(0, 2000).Draw(t, "hostile ratings"))
		for i := range rapid.IntRange(0, 6).Draw(t, "others") {
			observe(fmt.Sprintf("o%d", i), prior, rapid.IntRange(1, 50).Draw(t, "ratings"))
		}
		const resolution = 1e-4
		if mean := s.Estimate("v", "quick", start).Mean; math.Abs(mean-prior) > resolution {
			t.Fatalf("mean %v, want %v", mean, prior)
		}
	})
}

func TestConcurrentUse(t *testing.T) {
	s := newStore(false)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for n := range 500 {
				rate(t, s, fmt.Sprintf("o%d", i), 0.5, 1)
				s.Estimate("v", "quick", start.Add(time.Duration(n)*time.Minute))
			}
		})
	}
	group.Wait()
	qt.Assert(t, s.Estimate("v", "quick", start).Weight > 0, qt.IsTrue)
}

func BenchmarkEstimate(b *testing.B) {
	s := newStore(false)
	rate(b, s, "a", 0.5, 10)
	cell := s.Cell("v", "quick")
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			cell.Estimate(start)
		}
	})
}

func BenchmarkAddRating(b *testing.B) {
	for _, organisations := range []int{10, 400} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			s := newStore(false)
			events := make([]quality.Rating, organisations)
			for i := range events {
				events[i] = quality.Rating{Organisation: fmt.Sprintf("o%d", i), Version: "v", Kind: "quick", Score: 1, At: start}
			}
			i := 0
			for b.Loop() {
				if err := s.AddRating(events[i%organisations]); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}
