package entry

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/occupancy"
)

// pacePlay plays a load of streamed answers in virtual time. Each engine has slots and a
// first-come queue. All daemons know each other's work in progress, as with the queries of
// sharedBalancer; paces are shared if shared is set.
type pacePlay struct {
	shared  bool
	daemons int
	paces   []float64 // time per token of each engine
	load    float64   // demand relative to the capacity
	first   float64   // share of the demand at the first daemon, 0 for equal shares
	rate    float64   // tokens per second of one stream at pace 1
	noise   float64   // standard deviation of the logarithm of an answer's pace
	length  time.Duration
	seed    uint64

	store    *occupancy.Store
	states   []*balance.State
	plans    []*balance.Plan
	baseline []float64
	paced    map[[2]int]*occupancy.PaceReport
	sequence uint64
	ids      map[string]int
	running  []int
	queues   [][]*played
	events   playEvents
	rng      *rand.Rand
	done     []*played
}

type playEvent struct {
	at time.Time
	f  func(now time.Time)
}

type playEvents []playEvent

func (e playEvents) Len() int           { return len(e) }
func (e playEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e playEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *playEvents) Push(x any)        { *e = append(*e, x.(playEvent)) }
func (e *playEvents) Pop() any          { last := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return last }

const (
	playSlots = 4
	// One request in five has playLong tokens, the others have playShort. Daemons expect the mean.
	playLong, playShort, playMean = 500, 100, 180
	playGain                      = 0.02 // smoothing of the daemon's baseline, as in package gateway
)

var playStart = time.Unix(1_800_000_000, 0)

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// run plays the load and returns the requests that arrived.
func (p *pacePlay) run() []*played {
	p.rng, p.store = rand.New(rand.NewPCG(p.seed, 1)), occupancy.NewStore()
	p.running, p.queues = make([]int, len(p.paces)), make([][]*played, len(p.paces))
	p.baseline, p.paced, p.ids = make([]float64, p.daemons), map[[2]int]*occupancy.PaceReport{}, map[string]int{}
	register, capacity := &bronzeturnv1.Register{}, 0.0
	for i, pace := range p.paces {
		p.ids[engineName(i)] = i
		capacity += playSlots * p.rate / pace / playMean
		register.Engines = append(register.Engines, &bronzeturnv1.Engine{
			Name: engineName(i), Pool: "s", Host: engineName(i), Versions: []string{"s"}, Slots: playSlots, TokensPerSecond: p.rate,
		})
	}
	for range p.daemons {
		state, _ := balance.NewState(balanceOptions())
		p.states, p.plans = append(p.states, state), append(p.plans, state.Plan(register, nil))
	}
	arrivals := rand.New(rand.NewPCG(p.seed, 2))
	for at := playStart; at.Before(playStart.Add(p.length)); {
		at = at.Add(time.Duration(arrivals.ExpFloat64() / capacity / p.load * float64(time.Second)))
		r := &played{daemon: arrivals.IntN(p.daemons), arrived: at, tokens: playShort, work: balance.Work{PromptTokens: 300, ExpectedTokens: playMean}}
		if arrivals.Float64() < p.first {
			r.daemon = 0
		}
		if arrivals.IntN(5) == 0 {
			r.tokens = playLong
		}
		r.generation = time.Duration(r.tokens / p.rate * math.Exp(p.noise*arrivals.NormFloat64()) * float64(time.Second))
		heap.Push(&p.events, playEvent{at, func(now time.Time) { p.send(r, now) }})
	}
	for at := playStart; at.Before(playStart.Add(p.length)); at = at.Add(time.Second) {
		heap.Push(&p.events, playEvent{at, func(now time.Time) {
			for d, s := range p.states {
				s.Review(p.plans[d], now)
			}
		}})
	}
	for p.events.Len() > 0 {
		next := heap.Pop(&p.events).(playEvent)
		next.f(next.at)
	}
	return p.done
}

// begin starts the requests at the head of an engine's queue that find a free slot.
func (p *pacePlay) begin(engine int, now time.Time) {
	for p.running[engine] < playSlots && len(p.queues[engine]) > 0 {
		r := p.queues[engine][0]
		p.queues[engine] = p.queues[engine][1:]
		p.running[engine]++
		r.began = now
		p.states[r.daemon].FirstToken(balance.FirstToken{Engine: engineName(engine), Work: r.work, At: now})
		r.generation = time.Duration(float64(r.generation) * p.paces[engine])
		heap.Push(&p.events, playEvent{now.Add(r.generation), func(now time.Time) { p.end(r, now) }})
	}
}

// end completes a request, whose pace is measured as in package gateway.
func (p *pacePlay) end(r *played, now time.Time) {
	r.ended = now
	p.done = append(p.done, r)
	p.running[r.engine]--
	pace, mean := r.generation.Seconds()/r.tokens, p.baseline[r.daemon]
	if mean == 0 {
		mean = pace
	}
	p.baseline[r.daemon] = mean + playGain*(pace-mean)
	generation := time.Duration(pace / mean * 99 / p.rate * float64(time.Second))
	p.states[r.daemon].Finished(balance.Finished{
		Engine: engineName(r.engine), Work: r.work, FirstTokenSeen: true, Tokens: 100, Generation: generation, At: now,
	})
	sums := p.paced[[2]int{r.daemon, r.engine}]
	if sums == nil {
		sums = &occupancy.PaceReport{}
		p.paced[[2]int{r.daemon, r.engine}] = sums
	}
	log := math.Log(pace / mean)
	sums.LogSum, sums.SquareSum, sums.Count = sums.LogSum+log, sums.SquareSum+log*log, sums.Count+1
	p.report(r, now)
	p.begin(r.engine, now)
}
