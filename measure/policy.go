package measure

import (
	"math"
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/cascade"
	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/selection"
)

// Policy determines how versions and engines are selected in a run.
type Policy string

// The policies. All of them but the oracle use the admission of the router, and all
// use its retries.
const (
	// PolicyRouter is the decision code of the router.
	PolicyRouter Policy = "router"
	// PolicyInformed is the decision code of the router, with the true qualities as
	// priors that outweigh all ratings. Its cost above the oracle's is due to routing,
	// and the cost of PolicyRouter above that of PolicyInformed is due to learning.
	PolicyInformed Policy = "router, qualities known"
	// PolicyStrongest selects the allowed version with the highest prior quality.
	PolicyStrongest Policy = "strongest only"
	// PolicyCheapest selects the cheapest allowed version.
	PolicyCheapest Policy = "cheapest only"
	// PolicyRoundRobin selects versions as the router does, and engines in turn.
	PolicyRoundRobin Policy = "round robin"
	// PolicyLeastReported selects versions as the router does, and the engine that
	// last reported the fewest requests.
	PolicyLeastReported Policy = "least reported load"
	// PolicyOracle selects with knowledge of the true qualities, costs and queues.
	PolicyOracle Policy = "oracle"
)

// Policies lists all policies in the order of the tables.
var Policies = []Policy{PolicyRouter, PolicyInformed, PolicyOracle, PolicyStrongest, PolicyCheapest, PolicyRoundRobin, PolicyLeastReported}

// failedEngineAvoidance is the time for which PolicyRoundRobin and PolicyLeastReported
// avoid an engine after a failure.
const failedEngineAvoidance = 5 * time.Second

func (p Policy) isOracle() bool { return p == PolicyOracle }

// learnsFromRatings reports whether the policy selects versions by quality estimates
// that ratings change.
func (p Policy) learnsFromRatings() bool {
	return p == PolicyRouter || p == PolicyRoundRobin || p == PolicyLeastReported
}

// hedges reports whether slow requests are hedged. The oracle and the baselines for
// the selection of engines do not hedge.
func (p Policy) hedges() bool {
	return p == PolicyRouter || p == PolicyInformed || p == PolicyStrongest || p == PolicyCheapest
}

// retriesOtherVersions reports whether a request is moved to another version if the
// selected one has no room, as in the router.
func (p Policy) retriesOtherVersions() bool { return p == PolicyRouter || p == PolicyInformed }

// version selects the version for a request. The baselines and the oracle keep a
// conversation at its version.
func (p Policy) version(s *sim, r *request) (selection.Decision, error) {
	if r.conversation != nil && r.conversation.version != "" && p != PolicyRouter && p != PolicyInformed {
		return selection.Decision{Version: r.conversation.version}, nil
	}
	switch p {
	case PolicyOracle:
		return s.oracleVersion(r)
	case PolicyStrongest:
		return s.usableVersionWithMin(r, func(v *bronzeturnv1.Version) float64 { return -priorQuality(v, r.kind.GetName()) })
	case PolicyCheapest:
		return s.usableVersionWithMin(r, func(v *bronzeturnv1.Version) float64 {
			return s.truth.cost(v.GetName(), r.prompt, r.kind.GetExpectedCompletionTokens())
		})
	}
	request := selection.Request{
		Organisation: r.organisation, Kind: r.kind.GetName(), Key: r.key, InConversation: r.conversation != nil,
		PromptTokens: r.prompt, Deadline: r.deadline, FailedVersions: r.fullVersions,
	}
	if r.conversation != nil {
		request.Constraint = r.conversation.version
	}
	return s.versions.Choose(s.plan, &request, s.now, r.daemon.rng)
}

// engine selects the engine for a request.
func (p Policy) engine(s *sim, r *request) (*fakeEngine, balance.Decision, bool) {
	switch p {
	case PolicyOracle:
		e := s.fastestEngine(r, r.flow.version)
		return e, balance.Decision{}, e != nil
	case PolicyRoundRobin:
		candidates := r.daemon.candidates(r.flow.version)
		r.daemon.nextEngine++
		return candidates[r.daemon.nextEngine%len(candidates)], balance.Decision{}, true
	case PolicyLeastReported:
		candidates := r.daemon.candidates(r.flow.version)
		r.daemon.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		return slices.MinFunc(candidates, func(a, b *fakeEngine) int {
			return int(r.daemon.reported[a].requests - r.daemon.reported[b].requests)
		}), balance.Decision{}, true
	}
	d, ok := r.daemon.state.Choose(r.daemon.plan, &balance.Request{
		Version: r.flow.version, DataCentre: r.daemon.dataCentre, Work: work(r), PrefixHash: r.prefix,
		Exclude: r.flow.tried, NoProbe: !r.kind.GetIdempotent(), MaxWait: r.deadline.Sub(s.now),
	}, s.now, r.daemon.rng)
	if !ok {
		return nil, d, false
	}
	return s.engines[d.Index], d, true
}

// candidates returns the engines that serve a version and have not failed within
// failedEngineAvoidance, or all that serve it if none is left.
func (d *daemon) candidates(version string) []*fakeEngine {
	all := d.sim.serving[version]
	var usable []*fakeEngine
	for _, e := range all {
		if failed, ok := d.failedAt[e]; !ok || d.sim.now.Sub(failed) > failedEngineAvoidance {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return slices.Clone(all)
	}
	return usable
}

// usableVersions returns the versions that the organisation of a request may use, that
// some engine serves, and that the rules do not exclude.
func (s *sim) usableVersions(r *request) []*bronzeturnv1.Version {
	i := slices.IndexFunc(s.reg.GetOrganisations(), func(o *bronzeturnv1.Organisation) bool { return o.GetName() == r.organisation })
	organisation := s.reg.GetOrganisations()[i]
	var usable []*bronzeturnv1.Version
	for _, v := range s.reg.GetVersions() {
		allowed := slices.Contains(organisation.GetAllowedVersions(), v.GetName()) ||
			slices.Contains(organisation.GetAllowedModels(), v.GetModel())
		if allowed && len(s.serving[v.GetName()]) > 0 && !s.excluded(v.GetName()) {
			usable = append(usable, v)
		}
	}
	return usable
}

// excluded reports whether a version is withdrawn or its roll-out is halted.
func (s *sim) excluded(version string) bool {
	withdrawn := slices.ContainsFunc(s.rules.GetWithdrawals(), func(w *bronzeturnv1.Withdrawal) bool { return w.GetVersion() == version })
	return withdrawn || slices.ContainsFunc(s.rules.GetRollouts(), func(o *bronzeturnv1.Rollout) bool {
		return o.GetVersion() == version && o.GetState() == bronzeturnv1.RolloutState_ROLLOUT_STATE_HALTED
	})
}

// usableVersionWithMin selects the usable version for which value is lowest.
func (s *sim) usableVersionWithMin(r *request, value func(*bronzeturnv1.Version) float64) (selection.Decision, error) {
	usable := s.usableVersions(r)
	if len(usable) == 0 {
		return selection.Decision{}, failure.New(failure.CodeVersionNotAllowed, failure.RanNo, "no usable version")
	}
	v := slices.MinFunc(usable, func(a, b *bronzeturnv1.Version) int {
		return compare(value(a), value(b))
	})
	return selection.Decision{Version: v.GetName()}, nil
}

// oracleVersion selects the cheapest version or cascade that reaches the quality target
// within the deadline. If there is none, it selects the version of the highest quality
// that can answer within the deadline.
func (s *sim) oracleVersion(r *request) (selection.Decision, error) {
	kind, target := r.kind.GetName(), r.kind.GetQualityTarget()
	best, bestCost := selection.Decision{}, math.Inf(1)
	var fallback selection.Decision
	fallbackQuality := -1.0
	usable := s.usableVersions(r)
	for _, v := range usable {
		q := s.truth.quality(v.GetName(), kind, s.now)
		if s.fastestEngine(r, v.GetName()).timeToFinish(r) > r.deadline.Sub(s.now) {
			continue
		}
		cost := s.truth.cost(v.GetName(), r.prompt, r.completion)
		if q >= target && cost < bestCost {
			best, bestCost = selection.Decision{Version: v.GetName()}, cost
		}
		if q > fallbackQuality {
			fallback, fallbackQuality = selection.Decision{Version: v.GetName()}, q
		}
	}
	if r.kind.GetCascade() && r.conversation == nil {
		best = s.oracleCascade(r, usable, best, bestCost)
	}
	switch {
	case best.Version != "":
		return best, nil
	case fallback.Version != "":
		return fallback, nil
	}
	return selection.Decision{}, failure.New(failure.CodeNoCapacity, failure.RanNo, "no version in time")
}

// oracleCascade returns the cheapest cascade that reaches the quality target within the
// deadline, or best if no cascade costs less than bestCost.
func (s *sim) oracleCascade(r *request, usable []*bronzeturnv1.Version, best selection.Decision, bestCost float64) selection.Decision {
	left := r.deadline.Sub(s.now)
	for _, cheap := range usable {
		for _, strong := range usable {
			a, b := s.fastestEngine(r, cheap.GetName()), s.fastestEngine(r, strong.GetName())
			expected := s.truth.expectedCascade(cheap.GetName(), strong.GetName(), r, s.now)
			if cheap == strong || expected.Quality < r.kind.GetQualityTarget() || expected.Cost >= bestCost || a.timeToFinish(r)+b.timeToFinish(r) > left {
				continue
			}
			bestCost = expected.Cost
			best = selection.Decision{
				Version: cheap.GetName(), Escalatable: true,
				Cascade: cascade.Plan{Next: strong.GetName(), NextDuration: b.timeToFinish(r)},
			}
		}
	}
	return best
}

// fastestEngine returns the engine that would complete the answer first.
func (s *sim) fastestEngine(r *request, version string) *fakeEngine {
	return slices.MinFunc(s.serving[version], func(a, b *fakeEngine) int {
		return compare(a.timeToFinish(r).Seconds(), b.timeToFinish(r).Seconds())
	})
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
