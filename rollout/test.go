package rollout

import "math"

// Bet measures the evidence of ratings against a version, in the sense of testing by
// betting: the log-likelihood ratio of the hypothesis that the mean score equals an
// alternative over the hypothesis that it equals the reference. Ratings are treated as
// fractional successes.
//
// For scores between 0 and 1 with a mean of at least the reference, the exponential of
// the summed ratio is a non-negative supermartingale that starts at 1: the ratio is
// linear in the score and, by concavity, lies below the logarithm of the bet
// 1+l*(reference-score). The sum over any batch is therefore sufficient. By Ville's
// inequality, the probability that the sum ever reaches log(1/a) is at most a,
// however often it is checked.
type Bet struct {
	failure float64 // evidence per unit of 1-score, positive
	success float64 // evidence per unit of score, negative
}

// minBetDistance is the minimum distance of reference and alternative from 0 and 1,
// where the logarithms are not finite.
const minBetDistance = 0.01

// NewBet returns the bet for a reference mean and an alternative that is lower by drop.
func NewBet(reference, drop float64) Bet {
	r := math.Min(math.Max(reference, 2*minBetDistance), 1-minBetDistance)
	a := math.Max(minBetDistance, r-drop)
	return Bet{
		failure: math.Log((1 - a) / (1 - r)),
		success: math.Log(a / r),
	}
}

// Evidence returns the log-likelihood ratio for n ratings with the given sum of scores.
func (b Bet) Evidence(sum, n float64) float64 {
	return (n-sum)*b.failure + sum*b.success
}

// Test accumulates the evidence against one version by organisation. The zero value is
// ready to use. It is not safe for concurrent use.
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

// Against returns the evidence that the version is bad, without the evidence of the
// organisation with the most against it. The result never exceeds the evidence that
// remains without any one organisation, so a single organisation cannot raise an
// alarm. With soleUser, all evidence counts.
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

// InFavour returns the evidence that the version is good, without the evidence of the
// organisation with the most in its favour. With soleUser, all evidence counts.
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

// Restart discards all evidence.
func (t *Test) Restart() {
	clear(t.organisations)
	t.organisations = t.organisations[:0]
	t.total = 0
}
