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
	// reportEvery is how often an engine's load becomes known, reportLag how
	// late, and oldReportLag how late under FaultOldReports.
	reportEvery  = time.Second
	reportLag    = 200 * time.Millisecond
	oldReportLag = 2 * time.Second
	// reviewEvery is how often daemons compare the latencies of engines.
	reviewEvery = time.Second
	// ratedShare of the answers is rated, after ratingDelay on average.
	ratedShare      = 0.1
	ratingDelay     = 3 * time.Second
	lateRatingDelay = time.Minute
	// bias lowers the ratings of one organisation.
	bias = 0.3
	// slowEngineFactor is how much slower the slow engine gets.
	slowEngineFactor = 4
	// completionSpread is the standard deviation of the logarithm of lengths.
	completionSpread = 0.3
	// recentConversations bounds those of a stream that may be continued.
	recentConversations = 20
	// drainStep is how often a run is checked for its end after the last arrival.
	drainStep = 5 * time.Second
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
	// noRoom are the versions that had no room for the request.
	noRoom    []string
	escalated bool
	flow      flow
	cost      float64
	ended     bool
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
	truth    *truth
	engines  []*fakeEngine
	serving  map[string][]*fakeEngine
	daemons  []*daemon

	quality  *quality.Store
	rollouts *rollout.Controller
	versions *selection.Policy
	plan     *selection.Plan
	haltedAt time.Time
	rated    *rand.Rand

	ids    int
	open   int // requests that have not ended
	result *Result
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
	reg, rules, err := scenario.load()
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", scenario.Name, err)
	}
	s := &sim{
		clock: newClock(), scenario: scenario, fault: fault, policy: policy, reg: reg, rules: rules,
		kinds: make(map[string]*bronzeturnv1.TaskKind), truth: newTruth(reg, rules),
		serving: make(map[string][]*fakeEngine),
		quality: quality.NewStore(policy.quality()), rollouts: rollout.NewController(rollout.Options{}),
		rated: rand.New(rand.NewPCG(seed, 3)), result: newResult(c),
	}
	for _, k := range rules.GetKinds() {
		s.kinds[k.GetName()] = k
	}
	if policy == PolicyInformed {
		s.reg = s.truth.inform(reg)
	}
	s.addEngines(seed)
	s.versions = selection.NewPolicy(selection.Options{}, s.quality, s.rollouts)
	s.use(rules)
	if policy.learns() && fault != FaultColdStart {
		s.learn(seed)
	}
	if err := s.addDaemons(seed); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", scenario.Name, err)
	}
	for i := range scenario.streams {
		s.startStream(&scenario.streams[i], rand.New(rand.NewPCG(seed, uint64(100+i))))
	}
	s.startFault()
	s.runUntil(epoch.Add(scenario.Duration))
	for s.open > 0 {
		s.runUntil(s.now.Add(drainStep))
	}
	s.result.finish()
	return s.result, nil
}

func (s *sim) use(rules *bronzeturnv1.Rules) {
	s.plan = selection.NewPlan(s.reg, rules)
	s.versions.SetPlan(s.plan)
}

func (s *sim) addEngines(seed uint64) {
	for i, e := range s.reg.GetEngines() {
		engine := &fakeEngine{Engine: e, clock: s.clock, rng: rand.New(rand.NewPCG(seed, uint64(1000+i))), slow: 1}
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
	if s.fault == FaultOldReports {
		lag = oldReportLag
	}
	s.after(lag, func() {
		for _, d := range s.daemons {
			d.loadReported(e, requests, tokens, asOf)
		}
	})
	s.after(reportEvery, func() { s.reportLoad(e) })
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
			recent = s.arrive(st, rng, recent)
			next()
		})
	}
	next()
}

// rate is the rate of a stream now.
func (s *sim) rate(st *stream) float64 {
	bulk := s.kinds[st.kind].GetPriority() == bronzeturnv1.Priority_PRIORITY_BULK
	if s.fault == FaultBulkOverrun && bulk && s.faulty() {
		return st.rate * overrun
	}
	return st.rate
}

func (s *sim) faulty() bool { return !s.now.Before(epoch.Add(s.scenario.FaultAt)) }

// arrive creates a request and sends it on its way.
func (s *sim) arrive(st *stream, rng *rand.Rand, recent []*conversation) []*conversation {
	kind := s.kinds[st.kind]
	s.ids++
	mean := float64(kind.GetExpectedCompletionTokens())
	length := mean * math.Exp(rng.NormFloat64()*completionSpread-completionSpread*completionSpread/2)
	r := &request{
		organisation: st.organisations[rng.IntN(len(st.organisations))],
		kind:         kind, prompt: st.prompt, completion: max(1, int64(length)),
		key: fmt.Sprint(s.ids), arrival: s.now, deadline: s.now.Add(kind.GetDeadline().AsDuration()),
		daemon:   s.daemons[rng.IntN(daemonCount)],
		goodDraw: rng.Float64(), checkDraw: rng.Float64(), rateDraw: rng.Float64(),
	}
	r.prefix = hashOf(r.organisation, st.kind)
	if st.conversations > 0 {
		recent = s.converse(r, st, rng, recent)
	}
	s.open++
	s.result.offered(r)
	s.after(r.deadline.Sub(s.now), func() { s.expire(r) })
	s.enter(r)
	return recent
}

// converse continues a recent conversation or begins one.
func (s *sim) converse(r *request, st *stream, rng *rand.Rand, recent []*conversation) []*conversation {
	continues := rng.Float64() < st.conversations
	which := rng.IntN(recentConversations)
	if continues && which < len(recent) {
		r.conversation = recent[which]
	} else {
		r.conversation = &conversation{id: s.ids}
		recent = append(recent, r.conversation)
		recent = recent[max(0, len(recent)-recentConversations):]
	}
	r.key = fmt.Sprint("conversation ", r.conversation.id)
	r.organisation = st.organisations[r.conversation.id%len(st.organisations)]
	r.prefix = hashOf(r.organisation, r.key)
	return recent
}

// startFault schedules the fault of the run.
func (s *sim) startFault() {
	s.after(s.scenario.FaultAt, func() {
		switch s.fault {
		case FaultVersionBad, FaultBadRatedLate:
			s.truth.bad, s.truth.badSince = s.scenario.bad, s.now
		case FaultHalfPool:
			s.loseHalf(s.scenario.pool)
		case FaultRolloutHalted:
			s.haltRollout()
		case FaultSlowEngine:
			for _, e := range s.engines {
				if e.GetName() == s.scenario.slow {
					e.slow = slowEngineFactor
				}
			}
		}
	})
}

// loseHalf kills every second engine of a pool.
func (s *sim) loseHalf(pool string) {
	n := 0
	for _, e := range s.engines {
		if e.GetPool() == pool {
			if n%2 == 0 {
				e.die()
			}
			n++
		}
	}
}

func (s *sim) haltRollout() {
	rules := proto.CloneOf(s.rules)
	for _, r := range rules.GetRollouts() {
		if r.GetVersion() == s.scenario.halted {
			r.State = bronzeturnv1.RolloutState_ROLLOUT_STATE_HALTED
		}
	}
	s.haltedAt = s.now
	s.rules = rules
	s.use(rules)
}

// score is the rating of an answer. One organisation rates too low.
func (s *sim) score(organisation string, good bool) float64 {
	score := 0.0
	if good {
		score = 1
	}
	if organisation == s.scenario.biased {
		score = max(0, score-bias)
	}
	return score
}

// rateAnswer sends an answer to the raters, who answer later or never.
func (s *sim) rateAnswer(r *request, version string, accepted, good bool) {
	if r.rateDraw >= ratedShare || s.fault == FaultRatingsSilent && s.faulty() {
		return
	}
	mean := ratingDelay
	if s.fault == FaultBadRatedLate {
		mean = lateRatingDelay
	}
	delay := mean/2 + seconds(s.rated.ExpFloat64()*mean.Seconds()/2)
	s.after(delay, func() {
		// Scores are within 0 and 1, so the event is valid.
		_, _ = s.versions.ObserveRating(quality.Rating{
			Organisation: r.organisation, Version: version, Kind: r.kind.GetName(),
			Accepted: accepted, Score: s.score(r.organisation, good), At: s.now,
		})
	})
}
