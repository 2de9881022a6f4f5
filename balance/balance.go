// Package balance chooses the engine for a request. It tracks the work in flight
// and the health of every visible engine from typed events, and compares the
// expected cost of a request at a few random engines of a data centre, two by
// default (power of two choices). The package does no I/O, reads no clock, starts
// no goroutine and blocks only on short critical sections; callers pass the time
// and the random source.
package balance

import (
	"sync"
	"sync/atomic"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// State is the runtime state of the engines that one daemon sees. It is kept
// across configuration changes and is safe for concurrent use. Each engine has
// its own locks.
type State struct {
	options Options
	cache   *prefixCache
	table   engineTable
	active  activeEngines
	// unlikeUntil is until when a pool counts as one whose engines differ in speed, in Unix
	// nanoseconds.
	unlikeUntil atomic.Int64

	// mu guards the fields that change with the configuration or a host's state.
	mu    sync.Mutex
	hosts map[string]HostState
	// plan is the newest plan; generation is incremented with each plan.
	plan       *Plan
	generation uint64
	// pendingRemoval holds engines that left the plan with work in flight or in a pause.
	pendingRemoval []*engine
	// nextID is the lowest ID never allocated; freeIDs holds those of removed engines.
	nextID  int32
	freeIDs []int32

	changesMu sync.Mutex
	changes   []Change
}

// engine is the runtime state of one engine.
type engine struct {
	name string
	// active is nil until the first event.
	active atomic.Pointer[activity]
	// poolConfig is taken from the newest configuration.
	poolConfig atomic.Pointer[poolConfig]
	// warmFrom is the start of the warm-up in Unix nanoseconds, 0 before the first choice
	// that considers the engine.
	warmFrom atomic.Int64
	// closed is set while the engine's host is leaving or gone.
	closed atomic.Bool
	// cacheEpoch is incremented when the engine's prefix cache is cleared.
	cacheEpoch atomic.Uint32
	// cacheGapAt is the time of the last gap in cache events in Unix nanoseconds.
	cacheGapAt atomic.Int64
	// id is unique among the engines in the table and indexes Plan.index. IDs of removed
	// engines are reused.
	id         int32
	host       string // guarded by State.mu
	generation uint64 // of the last plan that processed the engine; guarded by State.mu
}

// NewState returns an empty state, or an OptionError.
func NewState(o Options) (*State, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	s := &State{
		options: o,
		cache:   newPrefixCache(o.AffinityEntries),
		hosts:   make(map[string]HostState),
		active:  activeEngines{engines: make(map[*engine]struct{})},
	}
	return s, nil
}

// attachEngines sets the runtime state of the engines in a plan, creating it where missing,
// and removes the state of idle engines that left the plan. The caller holds mu.
func (s *State) attachEngines(p *Plan) {
	previous := s.plan
	if previous == nil {
		previous = &Plan{}
	}
	s.generation++
	p.engines = make([]*engine, len(p.specs))
	pos := 0 // Position in the previous plan.
	for i, spec := range p.specs {
		var e *engine
		switch {
		case pos < len(previous.specs) && previous.specs[pos] == spec:
			e, pos = previous.engines[pos], pos+1
		case pos+1 < len(previous.specs) && previous.specs[pos+1] == spec:
			e, pos = previous.engines[pos+1], pos+2
		default:
			e = s.getOrCreateEngine(spec, previous)
		}
		e.generation = s.generation
		p.engines[i] = e
	}
	s.removeUnplanned(previous)
	s.plan = p
}

// getOrCreateEngine returns the runtime state of an engine, creating it if necessary. The
// caller holds mu.
func (s *State) getOrCreateEngine(spec *bronzeturnv1.Engine, previous *Plan) *engine {
	e := s.engine(spec.GetName())
	if e == nil {
		e = &engine{name: spec.GetName(), id: s.allocateID()}
		if len(previous.engines) == 0 {
			e.warmFrom.Store(noWarmUp)
		}
		s.table.add(e)
	}
	e.host = spec.GetHost()
	e.closed.Store(s.hosts[e.host] != 0)
	return e
}

// removeUnplanned removes the idle engines that are not in the current plan. Engines with work in
// flight, and those that have asked for a pause and may come back into the plan before its end,
// are checked again with the next plan. The caller holds mu.
func (s *State) removeUnplanned(previous *Plan) {
	engines := append(s.pendingRemoval, previous.engines...)
	s.pendingRemoval = nil
	for _, e := range engines {
		switch {
		case e.generation == s.generation:
		case e.activity().load.idle() && !e.activity().health.paused(time.Now()):
			s.table.remove(e)
			s.freeIDs = append(s.freeIDs, e.id)
			e.generation = s.generation // Skips duplicates in engines.
		default:
			s.pendingRemoval = append(s.pendingRemoval, e)
			e.generation = s.generation
		}
	}
}

// allocateID returns an unused engine ID. The caller holds mu.
func (s *State) allocateID() int32 {
	if n := len(s.freeIDs); n > 0 {
		id := s.freeIDs[n-1]
		s.freeIDs = s.freeIDs[:n-1]
		return id
	}
	s.nextID++
	return s.nextID - 1
}

// assignPools assigns the engines to the pools of a new configuration and counts
// the ejected engines of each pool anew.
func assignPools(specs []*bronzeturnv1.Engine, list []*engine) {
	pools := make(map[string]*pool)
	configs := make(map[poolConfig]*poolConfig)
	configOf := make([]*poolConfig, len(list))
	for i, spec := range specs {
		p := pools[spec.GetPool()]
		if p == nil {
			p = &pool{pace: poolPaceOf(list[i], spec.GetPool())}
			pools[spec.GetPool()] = p
		}
		p.members++
		p.engines = append(p.engines, list[i])
		config := poolConfig{pool: p, nominal: newCapacity(spec).rate}
		shared := configs[config]
		if shared == nil {
			shared = &poolConfig{pool: config.pool, nominal: config.nominal}
			configs[config] = shared
		}
		configOf[i] = shared
	}
	for i, e := range list { // The pools are complete now and may be read.
		e.poolConfig.Store(configOf[i])
		if a := e.active.Load(); a != nil {
			a.health.setPool(e.poolConfig.Load())
		}
	}
}

// setPool moves the engine to a pool and counts it there if it is ejected.
func (h *health) setPool(config *poolConfig) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := config.pool
	h.pool, h.nominal = p, config.nominal
	if kind := phase(h.phase.Load()); kind != admitted {
		p.mu.Lock()
		p.add(kind, 1)
		p.mu.Unlock()
	}
}

func (s *State) engine(name string) *engine {
	return s.table.get(name)
}

// work returns the work of a request's prompt and answer in units of generated
// tokens.
func (s *State) work(w Work) (prompt, answer int64) {
	prompt = int64(s.options.PromptWeight * float64(max(0, w.PromptTokens)))
	return prompt, max(1, w.ExpectedTokens)
}

// Dispatched records that a request was sent to an engine.
func (s *State) Dispatched(ev Dispatched) {
	e := s.engine(ev.Engine)
	if e == nil {
		return
	}
	prompt, answer := s.work(ev.Work)
	s.changeLoad(e, ev.Work, 1, prompt+answer, ev.At)
	if ev.PrefixHash != 0 && s.options.affinityApplies(ev.Work.PromptTokens) {
		s.cache.store(ev.PrefixHash, e, ev.At.UnixNano())
	}
}

// FirstToken records the first token of an answer.
func (s *State) FirstToken(ev FirstToken) {
	e := s.engine(ev.Engine)
	if e == nil {
		return
	}
	prompt, _ := s.work(ev.Work)
	s.changeLoad(e, ev.Work, 0, -prompt, ev.At)
	s.active.getOrCreate(e, ev.At).health.observeFirstToken(ev.Latency, ev.Expected, ev.At)
}

// Finished records the end of an answer.
func (s *State) Finished(ev Finished) {
	e := s.engine(ev.Engine)
	if e == nil {
		return
	}
	s.removeRequest(e, ev.Work, ev.FirstTokenSeen, ev.At)
	if ev.Cancelled {
		return
	}
	h := &s.active.getOrCreate(e, ev.At).health
	h.observeGeneration(ev.Tokens, ev.Generation, ev.At, s.options.SpeedPrior)
	if h.succeeded(ev.At, &s.options) {
		s.recordChange(e, 0, ev.At)
	}
}

// Failed records that an engine did not answer a request.
func (s *State) Failed(ev Failed) {
	e := s.engine(ev.Engine)
	if e == nil {
		return
	}
	s.removeRequest(e, ev.Work, ev.FirstTokenSeen, ev.At)
	h := &s.active.getOrCreate(e, ev.At).health
	h.pause(ev.At, ev.RetryAfter)
	if ev.Kind == FailureBusy {
		h.refused(ev.At)
		return
	}
	if h.failed(ev.At, &s.options) {
		s.recordChange(e, 0, ev.At)
	}
}

// removeRequest removes a request from the work in flight.
func (s *State) removeRequest(e *engine, w Work, firstTokenSeen bool, at time.Time) {
	prompt, answer := s.work(w)
	if firstTokenSeen {
		prompt = 0
	}
	s.changeLoad(e, w, -1, -prompt-answer, at)
}

// changeLoad adds to the work in flight at an engine. It retries if the engine's activity
// is evicted concurrently.
func (s *State) changeLoad(e *engine, w Work, requests, tokens int64, at time.Time) {
	for !s.active.getOrCreate(e, at).load.change(priorityIndex(w.Priority), requests, tokens, at) {
	}
}

// PausedUntil returns the end of the last pause that an engine asked for, or the zero time.
func (s *State) PausedUntil(engine string) time.Time {
	e := s.engine(engine)
	if e == nil {
		return time.Time{}
	}
	return e.activity().health.pauseEnd()
}

// InFlight calls f for every engine at which this daemon has requests in flight.
func (s *State) InFlight(f func(engine string, requests, tokens int64)) {
	for _, e := range s.active.list() {
		l := &e.activity().load
		if requests := sum(&l.requests); requests > 0 {
			f(e.name, requests, sum(&l.tokens))
		}
	}
}

// LoadReported handles an engine's load report.
func (s *State) LoadReported(ev LoadReported) {
	if e := s.engine(ev.Engine); e != nil {
		s.active.getOrCreate(e, ev.AsOf).load.report(ev)
	}
}

// PeerLoadReported handles a report of the other daemons' work at an engine.
func (s *State) PeerLoadReported(ev PeerLoadReported) {
	e := s.engine(ev.Engine)
	if e == nil || ev.Requests == 0 && ev.Tokens == 0 && e.active.Load() == nil {
		return // An engine without an activity already counts as idle.
	}
	s.active.getOrCreate(e, ev.At).load.reportPeerLoad(ev)
}

// OwnLoad returns the requests and tokens that this daemon has in flight at an
// engine.
func (s *State) OwnLoad(engine string) (requests, tokens int64) {
	e := s.engine(engine)
	if e == nil {
		return 0, 0
	}
	l := &e.activity().load
	return sum(&l.requests), sum(&l.tokens)
}

// MembershipChanged handles a change of a backend host's state.
func (s *State) MembershipChanged(ev MembershipChanged) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.markHost(ev)
	if ev.State == HostLive || (ev.State == HostGone && !known) {
		delete(s.hosts, ev.Host)
		return
	}
	s.hosts[ev.Host] = ev.State
}

// markHost opens or closes the engines of the host and reports whether there are
// any. A closed engine starts a warm-up when its host is live again. The caller
// holds mu.
func (s *State) markHost(ev MembershipChanged) bool {
	known := false
	s.table.each(func(e *engine) {
		if e.host != ev.Host {
			return
		}
		known = true
		closed := ev.State != HostLive
		if e.closed.Swap(closed) && !closed {
			e.warmFrom.Store(ev.At.UnixNano())
		}
	})
	return known
}
