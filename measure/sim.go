package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/rollout"
	"github.com/bronzeturn/bronzeturn/selection"
)

const (
	daemonCount = 6
	// reportInterval is the interval between the load reports of an engine. They reach
	// the daemons after reportLag, or staleReportLag under FaultStaleReports.
	reportInterval = time.Second
	reportLag      = 200 * time.Millisecond
	staleReportLag = 2 * time.Second
	// reviewInterval is the interval at which daemons review the latencies of engines.
	reviewInterval = time.Second
	// ratedShare is the share of answers that are rated. A rating arrives after
	// ratingDelay on average, or lateRatingDelay under FaultVersionBadLateRatings.
	ratedShare      = 0.1
	ratingDelay     = 3 * time.Second
	lateRatingDelay = time.Minute
	// ratingBias is subtracted from the scores that Scenario.biasedOrganisation gives.
	ratingBias = 0.3
	// slowEngineFactor multiplies the processing times of Scenario.slowEngine under
	// FaultSlowEngine.
	slowEngineFactor = 4
	// completionSpread is the standard deviation of the logarithm of completion lengths,
	// which have a log-normal distribution.
	completionSpread = 0.3
	// maxRecentConversations limits the conversations of a stream that may be continued.
	maxRecentConversations = 20
	// drainInterval is the virtual time between two checks whether all requests have
	// ended, after the last arrival.
	drainInterval = 5 * time.Second
)

// request is a request with its state.
type request struct {
	organisation string
	kind         *bronzeturnv1.TaskKind
	prompt       int64
	completion   int64
	prefix       uint64
	key          string
	conversation *conversation
	arrival      time.Time
	deadline     time.Time
	daemon       *daemon
	// Random draws that decide whether the answer is good, how the cascade check
	// judges it, and whether it is rated. They are the same under every policy.
	goodDraw, checkDraw, rateDraw float64

	decision selection.Decision
	// fullVersions holds the versions that had no room for the request.
	fullVersions []string
	escalated    bool
	flow         flow
	cost         float64
	ended        bool
}

// conversation holds the version that was selected for its first request.
type conversation struct {
	id      int
	version string
}

// sim is the state of one simulation run.
type sim struct {
	*clock
	scenario *Scenario
	fault    Fault
	policy   Policy
	reg      *bronzeturnv1.Register
	rules    *bronzeturnv1.Rules
	kinds    map[string]*bronzeturnv1.TaskKind
	truth    *groundTruth
	engines  []*fakeEngine
	serving  map[string][]*fakeEngine
	daemons  []*daemon

	quality    *quality.Store
	rollouts   *rollout.Controller
	versions   *selection.Policy
	plan       *selection.Plan
	haltedAt   time.Time
	ratingRand *rand.Rand

	ids        int
	inProgress int // requests that have not ended
	result     *Result
}

// Case determines one run: a policy in a scenario with a fault and a seed. Equal cases
// give equal results.
type Case struct {
	Scenario *Scenario
	Fault    Fault
	Policy   Policy
	Seed     uint64
}

// Run simulates one case and returns its result.
func Run(c Case) (*Result, error) {
	scenario, fault, policy, seed := c.Scenario, c.Fault, c.Policy, c.Seed
	reg, rules, err := scenario.readConfiguration()
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", scenario.Name, err)
	}
	s := &sim{
		clock: newClock(), scenario: scenario, fault: fault, policy: policy, reg: reg, rules: rules,
		kinds: make(map[string]*bronzeturnv1.TaskKind), truth: newGroundTruth(reg, rules),
		serving: make(map[string][]*fakeEngine),
		quality: quality.NewStore(policy.qualityOptions()), rollouts: rollout.NewController(rollout.Options{}),
		ratingRand: rand.New(rand.NewPCG(seed, 3)), result: newResult(c),
	}
	for _, k := range rules.GetKinds() {
		s.kinds[k.GetName()] = k
	}
	if policy == PolicyInformed {
		s.reg = s.truth.registerWithTrueQualities(reg)
	}
	s.addEngines(seed)
	s.versions = selection.NewPolicy(selection.Options{}, s.quality, s.rollouts)
	s.applyRules(rules)
	if policy.learnsFromRatings() && fault != FaultColdStart {
		s.replayHistory(seed)
	}
	if err := s.addDaemons(seed); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", scenario.Name, err)
	}
	for i := range scenario.streams {
		s.startStream(&scenario.streams[i], rand.New(rand.NewPCG(seed, uint64(100+i))))
	}
	s.startFault()
	s.runUntil(epoch.Add(scenario.Duration))
	for s.inProgress > 0 {
		s.runUntil(s.now.Add(drainInterval))
	}
	s.result.computeQuantiles()
	return s.result, nil
}

func (s *sim) applyRules(rules *bronzeturnv1.Rules) {
	s.plan = selection.NewPlan(s.reg, rules)
	s.versions.SetPlan(s.plan)
}

func (s *sim) addEngines(seed uint64) {
	for i, e := range s.reg.GetEngines() {
		engine := &fakeEngine{Engine: e, clock: s.clock, rng: rand.New(rand.NewPCG(seed, uint64(1000+i))), slowdown: 1}
		s.engines = append(s.engines, engine)
		for _, v := range e.GetVersions() {
			s.serving[v] = append(s.serving[v], engine)
		}
		s.reportLoad(engine)
	}
}

// reportLoad sends the load of an engine to all daemons, with a delay, and schedules
// the next report.
func (s *sim) reportLoad(e *fakeEngine) {
	if e.crashed {
		return
	}
	asOf := s.now
	requests, tokens := e.load()
	lag := reportLag
	if s.fault == FaultStaleReports {
		lag = staleReportLag
	}
	s.after(lag, func() {
		for _, d := range s.daemons {
			d.handleLoadReport(e, requests, tokens, asOf)
		}
	})
	s.after(reportInterval, func() { s.reportLoad(e) })
}

// startStream schedules the arrivals of a stream until the scenario ends. They form a
// Poisson process.
func (s *sim) startStream(st *stream, rng *rand.Rand) {
	var recent []*conversation
	end := epoch.Add(s.scenario.Duration)
	var next func()
	next = func() {
		s.after(seconds(rng.ExpFloat64()/s.rate(st)), func() {
			if s.now.After(end) {
				return
			}
			recent = s.createRequest(st, rng, recent)
			next()
		})
	}
	next()
}

// rate returns the current rate of a stream.
func (s *sim) rate(st *stream) float64 {
	bulk := s.kinds[st.kind].GetPriority() == bronzeturnv1.Priority_PRIORITY_BULK
	if s.fault == FaultBulkOverrun && bulk && s.faultActive() {
		return st.rate * bulkOverrunFactor
	}
	return st.rate
}

func (s *sim) faultActive() bool { return !s.now.Before(epoch.Add(s.scenario.FaultAt)) }

// createRequest creates a request at a random daemon and admits it. It returns the
// recent conversations, with the one of this request if it is new.
func (s *sim) createRequest(st *stream, rng *rand.Rand, recent []*conversation) []*conversation {
	kind := s.kinds[st.kind]
	s.ids++
	meanTokens := float64(kind.GetExpectedCompletionTokens())
	length := meanTokens * math.Exp(rng.NormFloat64()*completionSpread-completionSpread*completionSpread/2)
	r := &request{
		organisation: st.organisations[rng.IntN(len(st.organisations))],
		kind:         kind, prompt: st.promptTokens, completion: max(1, int64(length)),
		key: fmt.Sprint(s.ids), arrival: s.now, deadline: s.now.Add(kind.GetDeadline().AsDuration()),
		daemon:   s.daemons[rng.IntN(daemonCount)],
		goodDraw: rng.Float64(), checkDraw: rng.Float64(), rateDraw: rng.Float64(),
	}
	r.prefix = prefixHash(r.organisation, st.kind)
	if st.conversationShare > 0 {
		recent = s.assignConversation(r, st, rng, recent)
	}
	s.inProgress++
	s.result.recordOffered(r)
	s.after(r.deadline.Sub(s.now), func() { s.expire(r) })
	s.admit(r)
	return recent
}

// assignConversation assigns the request to a recent conversation or to a new one. It
// returns the recent conversations.
func (s *sim) assignConversation(r *request, st *stream, rng *rand.Rand, recent []*conversation) []*conversation {
	continues := rng.Float64() < st.conversationShare
	which := rng.IntN(maxRecentConversations)
	if continues && which < len(recent) {
		r.conversation = recent[which]
	} else {
		r.conversation = &conversation{id: s.ids}
		recent = append(recent, r.conversation)
		recent = recent[max(0, len(recent)-maxRecentConversations):]
	}
	r.key = fmt.Sprint("conversation ", r.conversation.id)
	r.organisation = st.organisations[r.conversation.id%len(st.organisations)]
	r.prefix = prefixHash(r.organisation, r.key)
	return recent
}

// startFault schedules the start of the fault. Faults that are not listed here take
// effect where the affected value is used.
func (s *sim) startFault() {
	s.after(s.scenario.FaultAt, func() {
		switch s.fault {
		case FaultVersionBad, FaultVersionBadLateRatings:
			s.truth.badVersion, s.truth.badSince = s.scenario.badVersion, s.now
		case FaultHalfPoolLost:
			s.failHalfOfPool(s.scenario.failingPool)
		case FaultRolloutHalted:
			s.haltRollout()
		case FaultSlowEngine:
			for _, e := range s.engines {
				if e.GetName() == s.scenario.slowEngine {
					e.slowdown = slowEngineFactor
				}
			}
		}
	})
}

// failHalfOfPool crashes every second engine of a pool.
func (s *sim) failHalfOfPool(pool string) {
	n := 0
	for _, e := range s.engines {
		if e.GetPool() == pool {
			if n%2 == 0 {
				e.crash()
			}
			n++
		}
	}
}

func (s *sim) haltRollout() {
	rules := proto.CloneOf(s.rules)
	for _, r := range rules.GetRollouts() {
		if r.GetVersion() == s.scenario.haltedVersion {
			r.State = bronzeturnv1.RolloutState_ROLLOUT_STATE_HALTED
		}
	}
	s.haltedAt = s.now
	s.rules = rules
	s.applyRules(rules)
}

// score returns the rating that an organisation gives to an answer.
func (s *sim) score(organisation string, good bool) float64 {
	score := 0.0
	if good {
		score = 1
	}
	if organisation == s.scenario.biasedOrganisation {
		score = max(0, score-ratingBias)
	}
	return score
}

// rateAnswer schedules the rating of an answer, if it is one of those that are rated.
func (s *sim) rateAnswer(r *request, version string, accepted, good bool) {
	if r.rateDraw >= ratedShare || s.fault == FaultRatingsStopped && s.faultActive() {
		return
	}
	mean := ratingDelay
	if s.fault == FaultVersionBadLateRatings {
		mean = lateRatingDelay
	}
	delay := mean/2 + seconds(s.ratingRand.ExpFloat64()*mean.Seconds()/2)
	s.after(delay, func() {
		// The score is between 0 and 1, so that the rating is valid.
		_, _ = s.versions.ObserveRating(quality.Rating{
			Organisation: r.organisation, Version: version, Kind: r.kind.GetName(),
			Accepted: accepted, Score: s.score(r.organisation, good), At: s.now,
		})
	})
}
