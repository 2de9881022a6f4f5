package measure

import "math"

// Goal is an upper bound with the measured values: the mean, the lowest and the
// highest over the seeds.
type Goal struct {
	Name            string
	Bound           float64
	Measured        float64
	Lowest, Highest float64
}

// Met reports whether the mean is within the bound.
func (g *Goal) Met() bool { return g.Measured <= g.Bound }

// meanGoal computes the value for each seed and returns the goal with their mean and
// range.
func (s *Suite) meanGoal(name string, bound float64, value func(seed uint64) float64) Goal {
	g := Goal{Name: name, Bound: bound, Lowest: math.Inf(1), Highest: math.Inf(-1)}
	for seed := uint64(Seed); seed < Seed+goalSeeds; seed++ {
		v := value(seed)
		g.Measured += v / goalSeeds
		g.Lowest, g.Highest = min(g.Lowest, v), max(g.Highest, v)
	}
	return g
}

// Goals returns the goals of the project with the measured values.
func (s *Suite) Goals() []Goal {
	var goals []Goal
	for i := range Scenarios {
		name := Scenarios[i].Name
		goals = append(goals,
			s.costGoal(name+": cost per answer, against the oracle", 1.10, name, PolicyRouter, PolicyOracle),
			s.costGoal(name+": the same with qualities known", 1.10, name, PolicyInformed, PolicyOracle),
			s.costGoal(name+": cost per answer, against strongest only", 0.6, name, PolicyRouter, PolicyStrongest))
	}
	for _, name := range []string{"kiosk peak", "morning burst"} {
		goals = append(goals, s.latencyGoals(name)...)
	}
	for i := range Scenarios {
		goals = append(goals, s.exposureGoal(&Scenarios[i]))
	}
	return append(goals, s.overrunGoals("morning burst")...)
}

func (s *Suite) costGoal(name string, bound float64, scenario string, policy, other Policy) Goal {
	return s.meanGoal(name, bound, func(seed uint64) float64 {
		a, b := s.results[key{scenario, FaultNone, policy, seed}], s.results[key{scenario, FaultNone, other, seed}]
		return ratio(a.CostPerAnswer(), b.CostPerAnswer())
	})
}

// latencyGoals compares the p95 latency of the urgent kinds with that of the oracle.
func (s *Suite) latencyGoals(scenario string) []Goal {
	var goals []Goal
	for _, kind := range s.urgentKinds(scenario) {
		name := scenario + ": p95 of " + kind + " at about 85% load, against the oracle"
		goals = append(goals, s.meanGoal(name, 1.25, func(seed uint64) float64 {
			router, oracle := key{scenario, FaultNone, PolicyRouter, seed}, key{scenario, FaultNone, PolicyOracle, seed}
			return ratio(s.p95(router, kind), s.p95(oracle, kind))
		}))
	}
	return goals
}

// overrunGoals compares the p95 latency of the urgent kinds under FaultBulkOverrun
// with that without a fault.
func (s *Suite) overrunGoals(scenario string) []Goal {
	var goals []Goal
	for _, kind := range s.urgentKinds(scenario) {
		name := scenario + ": p95 of " + kind + " while bulk overruns, against without"
		goals = append(goals, s.meanGoal(name, 1.1, func(seed uint64) float64 {
			overrun, baseline := key{scenario, FaultBulkOverrun, PolicyRouter, seed}, key{scenario, FaultNone, PolicyRouter, seed}
			return ratio(s.p95(overrun, kind), s.p95(baseline, kind))
		}))
	}
	return goals
}

// p95 returns the 95th percentile of the latency of a kind, in seconds.
func (s *Suite) p95(k key, kind string) float64 { return s.results[k].Kinds[kind].P95.Seconds() }

// urgentKinds returns the kinds of a scenario that have urgent priority.
func (s *Suite) urgentKinds(scenario string) []string {
	r := s.published(scenario, FaultNone, PolicyRouter)
	var kinds []string
	for _, kind := range sortedKinds(r) {
		if r.Kinds[kind].Urgent {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// exposureGoal compares the number of attempts at a version after it turned bad with
// the number of answers that the sequential test needs on average to detect it.
// Attempts that are made while ratings are delayed are included.
func (s *Suite) exposureGoal(scenario *Scenario) Goal {
	needed := scenario.expectedAnswersToDetection()
	name := scenario.Name + ": attempts at " + scenario.badVersion + " after it turned bad, against what the test needs"
	return s.meanGoal(name, 2, func(seed uint64) float64 {
		return ratio(float64(s.results[key{scenario.Name, FaultVersionBad, PolicyRouter, seed}].BadVersionAttempts), needed)
	})
}
