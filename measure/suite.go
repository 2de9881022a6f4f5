package measure

import (
	"cmp"
	"runtime"
	"slices"
	"sync"

	"github.com/bronzeturn/bronzeturn/rollout"
)

// Seed is the seed of the published tables. Goals are evaluated as means over
// goalSeeds consecutive seeds that start with Seed.
const (
	Seed      = 1
	goalSeeds = 5
)

// Suite holds the results of a set of cases.
type Suite struct {
	results map[key]*Result
}

type key struct {
	scenario string
	fault    Fault
	policy   Policy
	seed     uint64
}

// AllCases returns the cases of the published figures.
func AllCases() []Case {
	var cases []Case
	for i := range Scenarios {
		for _, fault := range Faults {
			if !Scenarios[i].supports(fault) {
				continue
			}
			for _, policy := range Policies {
				if policy != PolicyInformed || fault == FaultNone {
					cases = append(cases, Case{Scenario: &Scenarios[i], Fault: fault, Policy: policy, Seed: Seed})
				}
			}
		}
	}
	for seed := uint64(Seed + 1); seed < Seed+goalSeeds; seed++ {
		cases = append(cases, goalCases(seed)...)
	}
	return cases
}

// goalCases returns the cases that the goals compare, for one seed.
func goalCases(seed uint64) []Case {
	var cases []Case
	for i := range Scenarios {
		add := func(fault Fault, policies ...Policy) {
			for _, policy := range policies {
				cases = append(cases, Case{Scenario: &Scenarios[i], Fault: fault, Policy: policy, Seed: seed})
			}
		}
		add(FaultNone, PolicyRouter, PolicyInformed, PolicyOracle, PolicyStrongest)
		add(FaultVersionBad, PolicyRouter)
		if Scenarios[i].supports(FaultBulkOverrun) {
			add(FaultBulkOverrun, PolicyRouter)
		}
	}
	return cases
}

// RunAll runs the cases on GOMAXPROCS workers. If some fail, it returns the first error
// and the results of the others.
func RunAll(cases []Case) (*Suite, error) {
	s := &Suite{results: make(map[key]*Result)}
	todo := make(chan Case)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for c := range todo {
				r, err := Run(c)
				mu.Lock()
				if err != nil {
					firstErr = cmp.Or(firstErr, err)
				} else {
					s.results[key{c.Scenario.Name, c.Fault, c.Policy, c.Seed}] = r
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
	return s, firstErr
}

// published returns the result of a case with the published seed, or nil if it was not
// run.
func (s *Suite) published(scenario string, fault Fault, policy Policy) *Result {
	return s.results[key{scenario, fault, policy, Seed}]
}

// expectedAnswersToDetection returns the number of answers that the sequential test
// needs on average to detect that the version turned bad. It considers the kind with
// the highest rate among those whose target the version reaches before.
func (s *Scenario) expectedAnswersToDetection() (answers float64) {
	reg, rules, err := s.readConfiguration()
	if err != nil {
		return 0
	}
	t := newGroundTruth(reg, rules)
	best := 0.0
	for i := range s.streams {
		st := &s.streams[i]
		for _, k := range rules.GetKinds() {
			q := t.qualities[[2]string{s.badVersion, st.kind}]
			if k.GetName() != st.kind || q < k.GetQualityTarget() || st.rate <= best {
				continue
			}
			best = st.rate
			reference := min(k.GetQualityTarget(), priorQuality(t.versions[s.badVersion], st.kind))
			organisations := len(slices.Compact(slices.Sorted(slices.Values(st.organisations))))
			answers = rollout.Options{}.ExpectedRatings(reference, q-badVersionQualityDrop, organisations) / ratedShare
		}
	}
	return answers
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// sortedKinds returns the task kinds of a result in alphabetical order.
func sortedKinds(r *Result) []string {
	var kinds []string
	for k := range r.Kinds {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}
