package rollout

import "math"

// ExpectedRatings estimates how many ratings the sequential test needs to find
// that the mean score of a version fell from its reference to bad, when the
// ratings come evenly from the given number of organisations. It is infinite
// when the drop is too small to be found, or when only one of several
// organisations rates. Dividing by the sampled share of ratings gives the
// number of answers.
func (o Options) ExpectedRatings(reference, bad float64, organisations int) float64 {
	o = o.withDefaults()
	drift := math.Max(o.drift(reference, bad, o.SmallDrop), o.drift(reference, bad, o.LargeDrop))
	if drift <= 0 || organisations < 1 {
		return math.Inf(1)
	}
	n := math.Log(2/o.FalseAlarm) / drift
	if organisations == 1 {
		return n // the sole user
	}
	k := float64(organisations)
	return n * k / (k - 1) // one organisation is left out
}

// drift is the mean evidence of one rating.
func (o Options) drift(reference, bad, drop float64) float64 {
	return NewBet(reference-o.Margin, drop).Evidence(bad, 1)
}
