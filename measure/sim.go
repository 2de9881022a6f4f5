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
	// reportInterval is how often an engine's load becomes known, reportLag how
	// late, and oldReportLag how late under FaultOldReports.
	reportInterval = time.Second
	reportLag      = 200 * time.Millisecond
	staleReportLag = 2 * time.Second
	// reviewInterval is how often daemons compare the latencies of engines.
	reviewInterval = time.Second
	// ratedShare of the answers is rated, after ratingDelay on average.
	ratedShare      = 0.1
	ratingDelay     = 3 * time.Second
	lateRatingDelay = time.Minute
	// ratingBias lowers the ratings of one organisation.
	ratingBias = 0.3
	// slowEngineFactor is how much slower the slow engine gets.
	slowEngineFactor = 4
	// completionSpread is the standard deviation of the logarithm of lengths.
	completionSpread = 0.3
	// maxRecentConversations bounds those of a stream that may be continued.
	maxRecentConversations = 20
	// drainInterval is how often a run is checked for its end after the last arrival.
	drainInterval = 5 * time.Second
)

// request is one request on its way.
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
	// Draws that decide what happens, the same under every policy.
	goodDraw, checkDraw, rateDraw float64

	decision selection.Decision
	// fullVersions are the versions that had no room for the request.
	fullVersions []string
	escalated    bool
	flow         flow
	cost         float64
	ended        bool
}

// conversation keeps the version that its first request got.
type conversation struct {
	id      int
	version string
}

// sim is one run.
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

// Case is one run: a policy that meets a scenario with a fault. Equal cases
// give equal results.
type Case struct {
	Scenario *Scenario
	Fault    Fault
	Policy   Policy
	Seed     uint64
}

// Run measures one case.
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
	s.versions.Use(s.plan)
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

// reportLoad tells the daemons of an engine's load, late, again and again.
func (s *sim) reportLoad(e *fakeEngine) {
	if e.dead {
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

// startStream lets requests of a stream arrive until the scenario ends.
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

// rate is the rate of a stream now.
func (s *sim) rate(st *stream) float64 {
	bulk := s.kinds[st.kind].GetPriority() == bronzeturnv1.Priority_PRIORITY_BULK
	if s.fault == FaultBulkOverrun && bulk && s.faultActive() {
		return st.rate * bulkOverrunFactor
	}
	return st.rate
}

func (s *sim) faultActive() bool { return !s.now.Before(epoch.Add(s.scenario.FaultAt)) }

// createRequest creates a request and sends it on its way.
func (s *sim) createRequest(st *stream, rng *rand.Rand, recent []*conversation) []*conversation {
	kind := s.kinds[st.kind]
	s.ids++
	mean := float64(kind.GetExpectedCompletionTokens())
	length := mean * math.Exp(rng.NormFloat64()*completionSpread-completionSpread*completionSpread/2)
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

// assignConversation continues a recent conversation or begins one.
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

// startFault schedules the fault of the run.
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

// failHalfOfPool kills every second engine of a pool.
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

// score is the rating of an answer. One organisation rates too low.
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

// rateAnswer sends an answer to the raters, who answer later or never.
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
		// Scores are within 0 and 1, so the event is valid.
		_, _ = s.versions.Rated(quality.Rated{
			Organisation: r.organisation, Version: version, Kind: r.kind.GetName(),
			Accepted: accepted, Score: s.score(r.organisation, good), At: s.now,
		})
	})
}
