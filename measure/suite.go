package measure

import (
	"cmp"
	"runtime"
	"slices"
	"sync"

	"github.com/bronzeturn/bronzeturn/rollout"
)

// Seed is the seed of the published figures.
const Seed = 1

// Suite holds the results of many cases.
type Suite struct {
	results map[key]*Result
}

type key struct {
	scenario string
	fault    Fault
	policy   Policy
}

// AllCases are the cases of the published figures.
func AllCases() []Case {
	var cases []Case
	for i := range Scenarios {
		for _, fault := range Faults {
			if !Scenarios[i].meets(fault) {
				continue
			}
			for _, policy := range Policies {
				cases = append(cases, Case{Scenario: &Scenarios[i], Fault: fault, Policy: policy, Seed: Seed})
			}
		}
	}
	return cases
}

// RunAll measures cases, as many at a time as there are processors.
func RunAll(cases []Case) (*Suite, error) {
	s := &Suite{results: make(map[key]*Result)}
	todo := make(chan Case)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for c := range todo {
				r, err := Run(c)
				mu.Lock()
				if err != nil {
					failed = cmp.Or(failed, err)
				} else {
					s.results[key{c.Scenario.Name, c.Fault, c.Policy}] = r
				}
				mu.Unlock()
			}
		})
	}
	for _, c := range cases {
		todo <- c
	}
	close(todo)
	wait.Wait()
	return s, failed
}

// get returns a result, or nil when the case was not run.
func (s *Suite) get(scenario string, fault Fault, policy Policy) *Result {
	return s.results[key{scenario, fault, policy}]
}

// Goal is a goal with what was measured beside it.
type Goal struct {
	Name     string
	Bound    float64
	Measured float64
	Note     string
}

// Met tells whether the goal was met.
func (g *Goal) Met() bool { return g.Measured <= g.Bound }

// Goals compares the results with the goals of the project.
func (s *Suite) Goals() []Goal {
	var goals []Goal
	for i := range Scenarios {
		name := Scenarios[i].Name
		router := s.get(name, FaultNone, PolicyRouter)
		goals = append(goals,
			costGoal(name+": cost per answer, against the oracle", 1.10, router, s.get(name, FaultNone, PolicyOracle)),
			costGoal(name+": cost per answer, against strongest only", 0.6, router, s.get(name, FaultNone, PolicyStrongest)))
	}
	for _, name := range []string{"kiosk peak", "morning burst"} {
		goals = append(goals, s.latencyGoals(name)...)
	}
	for i := range Scenarios {
		goals = append(goals, s.exposureGoal(&Scenarios[i]))
	}
	calm, overrun := s.get("morning burst", FaultNone, PolicyRouter), s.get("morning burst", FaultBulkOverrun, PolicyRouter)
	for _, kind := range []string{"sheet", "price"} {
		goals = append(goals, Goal{
			Name: "morning burst: p95 of " + kind + " while bulk overruns, against without", Bound: 1.1,
			Measured: ratio(overrun.Kinds[kind].P95.Seconds(), calm.Kinds[kind].P95.Seconds()),
		})
	}
	return goals
}

func costGoal(name string, bound float64, router, other *Result) Goal {
	return Goal{Name: name, Bound: bound, Measured: ratio(router.CostPerAnswer(), other.CostPerAnswer())}
}

// latencyGoals compares the p95 of the urgent kinds with the oracle's.
func (s *Suite) latencyGoals(name string) []Goal {
	router, oracle := s.get(name, FaultNone, PolicyRouter), s.get(name, FaultNone, PolicyOracle)
	var goals []Goal
	for _, kind := range kindsOf(router) {
		if router.Kinds[kind].Urgent {
			goals = append(goals, Goal{
				Name: name + ": p95 of " + kind + " at about 85% load, against the oracle", Bound: 1.25,
				Measured: ratio(router.Kinds[kind].P95.Seconds(), oracle.Kinds[kind].P95.Seconds()),
			})
		}
	}
	return goals
}

// exposureGoal compares the attempts at a version that turned bad with what
// its sequential test needs on average. Ratings that are on their way count
// against the policy.
func (s *Suite) exposureGoal(scenario *Scenario) Goal {
	router := s.get(scenario.Name, FaultVersionBad, PolicyRouter)
	needed, kind := scenario.neededAnswers()
	return Goal{
		Name: scenario.Name + ": attempts at " + scenario.bad + " after it turned bad, against what the test needs", Bound: 2,
		Measured: ratio(float64(router.ToBad), needed),
		Note:     kind,
	}
}

// neededAnswers is how many answers the sequential test needs on average to
// find the bad version, for the kind that the version mostly serves.
func (s *Scenario) neededAnswers() (answers float64, kind string) {
	reg, rules, err := s.load()
	if err != nil {
		return 0, ""
	}
	t := newTruth(reg, rules)
	best := 0.0
	for i := range s.streams {
		st := &s.streams[i]
		for _, k := range rules.GetKinds() {
			q := t.qualities[[2]string{s.bad, st.kind}]
			if k.GetName() != st.kind || q < k.GetQualityTarget() || st.rate <= best {
				continue
			}
			best, kind = st.rate, st.kind
			reference := min(k.GetQualityTarget(), priorOf(t.versions[s.bad], st.kind))
			organisations := len(slices.Compact(slices.Sorted(slices.Values(st.organisations))))
			answers = rollout.Options{}.ExpectedRatings(reference, q-badDrop, organisations) / ratedShare
		}
	}
	return answers, kind
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// kindsOf lists the task kinds of a result in order.
func kindsOf(r *Result) []string {
	var kinds []string
	for k := range r.Kinds {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}
