package rollout

import "math"

// ExpectedRatings estimates how many ratings the sequential test needs to detect
// that the mean score of a version has fallen from reference to bad, if the
// ratings are spread evenly over the given number of organisations. It returns
// infinity if the drop is too small to be detected or organisations is below 1.
// A single organisation is taken for the only one that may use the version; if
// others may use it too, its ratings alone never cut the version off. Divide the
// result by the fraction of answers that are rated to get the number of answers.
func (o Options) ExpectedRatings(reference, bad float64, organisations int) float64 {
	o = o.withDefaults()
	drift := math.Max(o.drift(reference, bad, o.SmallDrop), o.drift(reference, bad, o.LargeDrop))
	if drift <= 0 || organisations < 1 {
		return math.Inf(1)
	}
	n := math.Log(2/o.FalseAlarm) / drift
	if organisations == 1 {
		return n // All evidence of a sole user counts.
	}
	k := float64(organisations)
	return n * k / (k - 1) // The evidence of one organisation is left out.
}

// drift returns the mean evidence per rating against a version with the mean
// score bad, in the test for the given drop.
func (o Options) drift(reference, bad, drop float64) float64 {
	return NewBet(reference-o.Margin, drop).Evidence(bad, 1)
}
