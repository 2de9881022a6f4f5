package canary

import "math"

const (
	// priorBad and priorAnswers are added to the previous version's answers on each route: its
	// share of bad answers is uncertain while there are few.
	priorBad     = 0.5
	priorAnswers = 10.0
	// smallExcess and largeExcess are the additional shares of bad answers of the two versions with
	// which a new one is compared: one that fails under load or at times, and one that fails often.
	smallExcess = 0.1
	largeExcess = 0.5
)

// The natural logarithms of likelihood ratios.
var (
	// minEvidence is what is needed beside a significant difference to roll a version back. Where
	// bad answers are common, few of them differ significantly by chance.
	minEvidence = math.Log(100)
	// enoughEvidence is enough to roll a version back.
	enoughEvidence = math.Log(1000)
	// minDoubt is the evidence beyond which a version with bad answers is doubted, routeDoubt that on
	// one route. Little is needed: a version that fails under load only has few answers under load.
	minDoubt   = -math.Log(20)
	routeDoubt = math.Log(10)
)

// doubtShare bounds the time for which a doubted version is not declared complete, as a share of the
// order's duration. The engines of the previous version end when it is, and with them the possibility
// to roll back.
const doubtShare = 0.5

// evidence is the logarithm of the likelihood ratio of two assumptions, given the bad answers: that
// the new version has more of them than the previous one, and that it has as many on each route.
type evidence struct{ small, large float64 }

// badEvidence returns the evidence of the answers on one route.
func badEvidence(trial, base Count) evidence {
	usual := (float64(base.Bad) + priorBad) / (float64(base.Answers) + priorAnswers)
	ratio := func(excess float64) float64 {
		bad, good := float64(trial.Bad), float64(trial.Answers-trial.Bad)
		return bad*math.Log((usual+excess*(1-usual))/usual) + good*math.Log(1-excess)
	}
	return evidence{small: ratio(smallExcess), large: ratio(largeExcess)}
}

// allBadEvidence returns the evidence of the answers on all routes.
func allBadEvidence(sums map[CountKey]Count) (all evidence) {
	for key, trial := range sums {
		if key.Trial && !key.Pace {
			e := badEvidence(trial, sums[key.base()])
			all.small += e.small
			all.large += e.large
		}
	}
	return all
}

// max returns the evidence for the likelier one of the two versions.
func (e evidence) max() float64 { return max(e.small, e.large) }

// isDoubted reports whether the new version has bad answers and may well be worse than the previous
// one by them, if there is not enough evidence to roll it back.
func isDoubted(sums map[CountKey]Count, bad uint64) bool {
	if bad == 0 {
		return false
	}
	if allBadEvidence(sums).small > minDoubt {
		return true
	}
	for key, trial := range sums {
		if key.Trial && !key.Pace && badEvidence(trial, sums[key.base()]).max() > routeDoubt {
			return true
		}
	}
	return false
}
