package gateway

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/route"
)

// Parameters of a simulation of the load for which minWeight exists: bursts in which engines
// get more prompts than they can process. Every prompt goes to the smallest model, and to
// the largest one if the confidence is low and the largest one is expected to begin in time.
// An engine processes prompts one after the other, in chunks, and with each chunk makes a
// step for all its requests, whatever their model. A third of the engine time for prompts
// goes to the smallest model. By its price alone, that work weighs a fifth of the time that
// it takes, so that engines look less busy than they are, and the largest model is asked for
// answers that come late. The durations are those of engines in production.
const (
	simEngines   = 12
	simChunk     = 1024
	simStep      = 6 * time.Millisecond
	simLargeRead = 27 * time.Microsecond // per prompt token on the largest model
	simSmallPart = 0.1                   // share of simLargeRead on the smallest model
	simPrompt    = 4000
	simRequests  = 6000
	simPerSecond = 95
	simBurst     = 2.2 // factor of the request rate in a burst
	simSeeds     = 4
)

// simRoute is the route of all requests.
var simRoute = route.Route{Name: "r", Kind: route.Stream, Resumable: true, Models: []string{"small", "large"}, Target: time.Second, Attempts: 3}

// simService has the prices of the smallest and largest model of a deployment.
var simService = route.Service{
	Name: "s", Slots: 48, ShortestTarget: time.Second,
	Models: []route.Model{{Name: "small", Cost: 0.019}, {Name: "large", Cost: 0.29}},
}

// simBursts reports whether a time is in a burst, which is two of every eight seconds.
func simBursts(at time.Time) bool { return at.Sub(testStart)%(8*time.Second) < 2*time.Second }

// simRead returns the time that an engine takes to process a prompt.
func simRead(large bool, tokens int) time.Duration {
	read := float64(simLargeRead)
	if !large {
		read *= simSmallPart
	}
	chunks := (tokens + simChunk - 1) / simChunk
	return time.Duration(chunks)*simStep + time.Duration(read*float64(tokens))
}

// simEvent is the arrival of a request, or the completion of its prompt by an engine.
type simEvent struct {
	at time.Time
	// arrived is the time at which the caller sent the request.
	arrived time.Time
	large   bool
	tokens  int
	// hardness is above simSkill if the smallest model's answer is wrong.
	hardness float64
	// engine is the engine that processed the prompt, "" for an arrival.
	engine string
	work   balance.Work
}

// The smallest model's answer is right up to a hardness of simSkill. Its confidence has
// noise of simNoise points and falls by simSlope points from the easiest request to the
// hardest.
const (
	simSkill = 0.56
	simSlope = 160
	simNoise = 10
	// Worth of a late answer and of a wrong one, relative to a right one in time.
	simLate, simWrong = 0.3, 0.05
)

// simQueue is a heap of events, the earliest first.
type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(e any)        { *q = append(*q, e.(simEvent)) }

func (q *simQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simulation is one run of the load.
type simulation struct {
	state   *balance.State
	engines *Engines
	models  *ModelChoice
	random  *rand.Rand
	queue   simQueue
	free    map[string]time.Time
	// weight is the weight of the smallest model.
	weight float64
	worth  float64
}

// newSimulation returns a simulation with idle engines.
func newSimulation(c *qt.C, weight float64, seed uint64) *simulation {
	options := balance.DefaultOptions()
	options.PrefillTokensPerSecond, options.PromptWeight = 30000, PromptTokenWork
	options.BatchSlowdown, options.SampleSize, options.WarmUp = 1, 4, 0
	state, err := balance.NewState(options)
	c.Assert(err, qt.IsNil)
	var list []inventory.Engine
	for i := range simEngines {
		list = append(list, inventory.Engine{ID: string(rune('a' + i)), Service: "s", Address: "192.0.2.1:1", DataCentre: "hall-1", Slots: 48})
	}
	set := inventory.New(time.Second, func(_, _ *inventory.View) {})
	set.Apply(inventory.Change{Registered: list}, testStart)
	return &simulation{
		state: state, engines: NewEngines(state, set.View(), assignAll), models: NewModelChoice(DefaultModelOptions()),
		random: rand.New(rand.NewPCG(seed, 4)), free: make(map[string]time.Time), weight: weight,
	}
}

// arrive queues the next request after the given time.
func (s *simulation) arrive(after time.Time) {
	rate := float64(simPerSecond)
	if simBursts(after) {
		rate *= simBurst
	}
	at := after.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
	heap.Push(&s.queue, simEvent{at: at, arrived: at, tokens: int(simPrompt * (0.25 + 1.5*s.random.Float64())), hardness: s.random.Float64()})
}

// ask returns the balancer's decision for a request to the smallest or the largest model,
// and the work of the request.
func (s *simulation) ask(c *qt.C, e *simEvent, large bool) (balance.Decision, balance.Work) {
	scale := s.weight
	if large {
		scale = 1
	}
	work := balance.Work{PromptTokens: int64(scale * float64(e.tokens)), ExpectedTokens: 10}
	r := &balance.Request{Version: Group("s", false), DataCentre: "hall-1", Work: work}
	d, ok := s.state.Choose(s.engines.Plan, r, e.at, s.random)
	c.Assert(ok, qt.IsTrue)
	return d, work
}

// send queues a request at the chosen engine, after the requests already there.
func (s *simulation) send(c *qt.C, e simEvent) {
	d, work := s.ask(c, &e, e.large)
	e.engine, e.work = d.Engine.GetName(), work
	s.state.Dispatched(balance.Dispatched{Engine: e.engine, Work: work, At: e.at})
	begins := e.at
	if busy := s.free[e.engine]; busy.After(begins) {
		begins = busy
	}
	e.at = begins.Add(simRead(e.large, e.tokens))
	s.free[e.engine] = e.at
	heap.Push(&s.queue, e)
}

// read completes a request, or escalates it to the largest model.
func (s *simulation) read(c *qt.C, e simEvent) {
	s.state.FirstToken(balance.FirstToken{Engine: e.engine, Work: e.work, At: e.at})
	s.state.Finished(balance.Finished{Engine: e.engine, Work: e.work, FirstTokenSeen: true, At: e.at})
	right := e.large || e.hardness < simSkill
	if !e.large && s.escalates(c, &e) {
		s.send(c, simEvent{at: e.at, arrived: e.arrived, tokens: e.tokens, hardness: e.hardness, large: true})
		return
	}
	worth := 1.0
	if !right {
		worth = simWrong
	}
	if e.at.Sub(e.arrived) > simRoute.Target {
		worth *= simLate
	}
	s.worth += worth
}

// escalates reports whether the largest model should answer instead.
func (s *simulation) escalates(c *qt.C, e *simEvent) bool {
	noise := simNoise * s.random.NormFloat64()
	confidence := int(min(max(50+simSlope*(simSkill-e.hardness)+noise, 0), 100))
	d, _ := s.ask(c, e, true)
	begins := func(string) float64 {
		return (e.at.Sub(e.arrived) + d.Backlog + d.ExpectedFirstToken).Seconds() / simRoute.Target.Seconds()
	}
	q := s.models.Sized(&simRoute, &simService, e.tokens, 10)
	_, larger := s.models.Larger(q, "small", confidence, begins, noExploration)
	return larger
}

// simulate returns the mean worth of an answer if the smallest model has the given weight
// relative to the largest one.
func simulate(c *qt.C, weight float64, seed uint64) float64 {
	s := newSimulation(c, weight, seed)
	arrivals := 1
	s.arrive(testStart)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		if e.engine != "" {
			s.read(c, e)
			continue
		}
		if arrivals++; arrivals <= simRequests {
			s.arrive(e.at)
		}
		s.send(c, e)
	}
	return s.worth / simRequests
}

// TestMinWeightRaisesWorthUnderLoad compares minWeight with a weight by price alone.
func TestMinWeightRaisesWorthUnderLoad(t *testing.T) {
	c := qt.New(t)
	m := NewModelChoice(DefaultModelOptions())
	weight := m.Weight(&simService, "small")
	byPrice := simService.Models[0].Cost / simService.LargestCost()
	c.Check(m.Weight(&simService, "large"), qt.Equals, 1.0)
	right, cheap := 0.0, 0.0
	for seed := range uint64(simSeeds) {
		right += simulate(c, weight, seed) / simSeeds
		cheap += simulate(c, byPrice, seed) / simSeeds
	}
	t.Logf("worth %.3f with weight %.2f, %.3f with %.2f", right, weight, cheap, byPrice)
	c.Check(right > cheap+0.01, qt.IsTrue)
}
