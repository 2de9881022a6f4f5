package rollout

import "math"

// Bet scores ratings for and against a version: the log-likelihood ratio of
// "the mean score is Alternative" over "the mean score is Reference" for
// ratings read as fractional successes.
//
// For scores anywhere in 0 to 1 with a mean of at least Reference, the
// exponential of the summed ratio is a non-negative supermartingale that starts
// at 1: the ratio is linear in the score and lies below the logarithm of the
// bet 1+l*(Reference-score), by concavity. So the sum of any batch is enough,
// and by Ville's inequality the sum ever reaches log(1/a) with a probability of
// at most a, whenever one looks.
type Bet struct {
	failure float64 // added per unit of 1-score, positive
	success float64 // added per unit of score, negative
}

// betBound keeps reference and alternative off 0 and 1.
const betBound = 0.01

// NewBet returns the bet for a reference mean and a drop below it.
func NewBet(reference, drop float64) Bet {
	r := math.Min(math.Max(reference, 2*betBound), 1-betBound)
	a := math.Max(betBound, r-drop)
	return Bet{
		failure: math.Log((1 - a) / (1 - r)),
		success: math.Log(a / r),
	}
}

// Evidence returns the log-likelihood ratio of n ratings with the given sum.
func (b Bet) Evidence(sum, n float64) float64 {
	return (n-sum)*b.failure + sum*b.success
}

// Test accumulates the evidence against one version by organisation. The zero
// value is ready. It is not safe for concurrent use.
type Test struct {
	organisations []testRecord
	total         float64
}

type testRecord struct {
	name     string
	evidence float64
}

// Add adds the evidence of one organisation's ratings.
func (t *Test) Add(organisation string, evidence float64) {
	t.total += evidence
	for i := range t.organisations {
		if t.organisations[i].name == organisation {
			t.organisations[i].evidence += evidence
			return
		}
	}
	t.organisations = append(t.organisations, testRecord{organisation, evidence})
}

// Against returns the evidence that the version is bad, without that of the
// organisation that speaks most against it. It never exceeds the evidence of
// all organisations but any one of them, so a single organisation cannot raise
// an alarm. With soleUser all evidence counts.
func (t *Test) Against(soleUser bool) float64 {
	if soleUser {
		return t.total
	}
	most := 0.0
	for i := range t.organisations {
		most = math.Max(most, t.organisations[i].evidence)
	}
	return t.total - most
}

// InFavour returns the evidence that the version is good, without that of the
// organisation that speaks most in its favour.
func (t *Test) InFavour(soleUser bool) float64 {
	if soleUser {
		return -t.total
	}
	most := 0.0
	for i := range t.organisations {
		most = math.Max(most, -t.organisations[i].evidence)
	}
	return -t.total - most
}

// Restart forgets all evidence.
func (t *Test) Restart() {
	clear(t.organisations)
	t.organisations = t.organisations[:0]
	t.total = 0
}
