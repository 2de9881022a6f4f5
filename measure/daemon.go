package measure

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/bronzeturn/bronzeturn/admission"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/hedge"
	"github.com/bronzeturn/bronzeturn/retry"
)

const (
	// slotRate is the assumed rate of a slot before measurements, as in the
	// daemon.
	slotRate = 200
	// reportValid is how long a load report counts for the room of bulk work.
	reportValid = 5 * time.Second
	// localHop and remoteHop are one-way latencies to engines.
	localHop  = 100 * time.Microsecond
	remoteHop = time.Millisecond
	// connectFailure is how long a connection to a dead engine takes to fail.
	connectFailure = 2 * time.Millisecond
)

// daemon decides for the requests that callers sent to it.
type daemon struct {
	sim        *sim
	dataCentre string
	rng        *rand.Rand
	state      *balance.State
	plan       *balance.Plan
	hedges     *hedge.Policy
	budget     *retry.Budget
	retries    retry.Policy
	queues     map[string]*admission.Queue
	waiting    map[*admission.Item]*request
	reported   map[*fakeEngine]loadReport
	failedAt   map[*fakeEngine]time.Time // last failure, for the baselines
	turn       int
}

// loadReport is what an engine last reported.
type loadReport struct {
	requests int64
	asOf     time.Time
}

// flow is the way of a request through a daemon.
type flow struct {
	queue    *admission.Queue
	item     *admission.Item
	started  time.Time // when it got its slot
	version  string
	launch   int
	attempts int
	tried    [balance.MaxExclude]string
	sentAt   time.Time
	winner   *attempt
	live     []*attempt
}

func (s *sim) addDaemons(seed uint64) error {
	centres := s.reg.GetDataCentres()
	for i := range daemonCount {
		state, err := balance.NewState(balance.DefaultOptions())
		if err != nil {
			return err
		}
		hedges, err := hedge.New(hedge.DefaultOptions())
		if err != nil {
			return err
		}
		d := &daemon{
			sim: s, dataCentre: centres[i%len(centres)].GetName(), rng: rand.New(rand.NewPCG(seed, uint64(10+i))),
			state: state, plan: state.Plan(s.reg, nil), hedges: hedges,
			budget: retry.NewBudget(retry.DefaultBudgetOptions()), retries: retry.DefaultPolicy(),
			queues: make(map[string]*admission.Queue), waiting: make(map[*admission.Item]*request),
			reported: make(map[*fakeEngine]loadReport), failedAt: make(map[*fakeEngine]time.Time),
		}
		for version, engines := range s.serving {
			slots := 0
			for _, e := range engines {
				slots += int(e.GetSlots())
			}
			d.queues[version] = admission.NewQueue(slots, slotRate)
		}
		s.daemons = append(s.daemons, d)
		d.review()
	}
	return nil
}

// review compares the engines from time to time.
func (d *daemon) review() {
	d.state.Review(d.plan, d.sim.now)
	if d.sim.now.After(epoch) {
		d.setRooms()
	}
	d.sim.after(reviewEvery, d.review)
}

func (d *daemon) loadReported(e *fakeEngine, requests, tokens int64, asOf time.Time) {
	d.reported[e] = loadReport{requests: requests, asOf: asOf}
	d.state.LoadReported(balance.LoadReported{Engine: e.GetName(), Requests: requests, Tokens: tokens, AsOf: asOf})
}

// enter chooses a version and lets the request through admission.
func (s *sim) enter(r *request) {
	d := r.daemon
	var err error
	if r.decision, err = s.policy.version(s, r); err != nil {
		s.refuse(r, failure.From(err).Code)
		return
	}
	if r.conversation != nil && r.conversation.version == "" {
		r.conversation.version = r.decision.Version
	}
	if s.policy.oracle() {
		r.flow.started = s.now
		s.launch(r, r.decision.Version)
		return
	}
	tokens := float64(r.prompt + r.kind.GetExpectedCompletionTokens())
	item := admission.NewItem(r.organisation, r.kind.GetPriority(), tokens)
	r.flow.queue, r.flow.item = d.queues[r.decision.Version], item
	outcome, _, evicted := r.flow.queue.Offer(s.now, r.deadline, item)
	if evicted != nil {
		s.refuse(d.waiting[evicted], failure.CodeNoCapacity)
		delete(d.waiting, evicted)
	}
	switch outcome {
	case admission.StartNow:
		r.flow.started = s.now
		s.launch(r, r.decision.Version)
	case admission.WaitTurn:
		d.waiting[item] = r
		s.after(item.Latest().Sub(s.now), func() { d.giveUp(item) })
	case admission.Refuse:
		s.refuse(r, failure.CodeNoCapacity)
	}
}

// giveUp ends a wait that took too long.
func (d *daemon) giveUp(item *admission.Item) {
	r := d.waiting[item]
	if r != nil && r.flow.queue.Remove(item) {
		delete(d.waiting, item)
		d.sim.refuse(r, failure.CodeNoCapacity)
	}
}

// release frees the request's slot and starts those whose turn it is.
func (s *sim) release(r *request) {
	if r.flow.queue == nil || r.flow.started.IsZero() {
		return
	}
	tokens := float64(r.prompt + r.completion)
	if r.flow.winner == nil {
		tokens = 0
	}
	r.flow.queue.Release(r.flow.item, tokens, s.now.Sub(r.flow.started))
	r.daemon.startWaiting(r.flow.queue)
}

// startWaiting starts the requests whose turn it is.
func (d *daemon) startWaiting(q *admission.Queue) {
	for item := q.Next(d.sim.now); item != nil; item = q.Next(d.sim.now) {
		next := d.waiting[item]
		delete(d.waiting, item)
		next.flow.started = d.sim.now
		d.sim.launch(next, next.decision.Version)
	}
}

// setRooms bounds bulk work by what the engines reported.
func (d *daemon) setRooms() {
	for _, v := range d.sim.reg.GetVersions() {
		q := d.queues[v.GetName()]
		if q == nil {
			continue
		}
		room := admission.Room{Sharers: daemonCount}
		for _, e := range d.sim.serving[v.GetName()] {
			if report, ok := d.reported[e]; ok && d.sim.now.Sub(report.asOf) < reportValid {
				room.Add(int(e.GetSlots()), int(report.requests))
			}
		}
		q.SetBulkLimit(room)
		d.startWaiting(q)
	}
}

// launch sends the request to engines that serve the version.
func (s *sim) launch(r *request, version string) {
	f := &r.flow
	f.version, f.winner, f.live = version, nil, nil
	f.launch++
	f.attempts = 0
	f.tried = [balance.MaxExclude]string{}
	r.daemon.budget.Request(s.now)
	s.dispatch(r)
}

// dispatch chooses an engine and sends the request, and later a hedge.
func (s *sim) dispatch(r *request) {
	if r.ended {
		return
	}
	engine, decision, ok := s.policy.engine(s, r)
	if !ok {
		s.refuse(r, failure.CodeNoCapacity)
		return
	}
	r.flow.sentAt = s.now
	if s.policy.hedges() && r.kind.GetHedge() && r.kind.GetIdempotent() {
		r.daemon.hedges.Request(s.now)
		if delay, measured := r.daemon.hedges.Delay(r.kind.GetName()); measured {
			launch, attempts := r.flow.launch, r.flow.attempts+1
			s.after(delay, func() { s.hedge(r, delay, launch, attempts) })
		}
	}
	s.send(r, engine, decision)
}

// hedge sends a second copy of a request that has not begun its answer.
func (s *sim) hedge(r *request, delay time.Duration, launch, attempts int) {
	f := &r.flow
	if r.ended || f.winner != nil || f.launch != launch || f.attempts != attempts || len(f.live) != 1 {
		return
	}
	engine, second, ok := s.policy.engine(s, r)
	if !ok {
		return
	}
	granted, _ := r.daemon.hedges.Next(hedge.Request{
		Kind: r.kind.GetName(), Idempotent: r.kind.GetIdempotent(), Flagged: r.kind.GetHedge(),
		Delay: delay, Elapsed: s.now.Sub(f.sentAt), Left: r.deadline.Sub(s.now),
		SecondWait: second.ExpectedWait, SecondAnswer: second.ExpectedAnswer,
	}, s.now)
	if granted {
		s.result.hedged()
		s.send(r, engine, second)
	}
}

// send sends one copy to an engine.
func (s *sim) send(r *request, e *fakeEngine, d balance.Decision) {
	f := &r.flow
	f.attempts++
	for i := range f.tried {
		if f.tried[i] == "" {
			f.tried[i] = e.GetName()
			break
		}
	}
	s.result.dispatched(s, f.version)
	hop := remoteHop
	if e.GetDataCentre() == r.daemon.dataCentre {
		hop = localHop
	}
	a := &attempt{
		request: r, engine: e, sentAt: s.now, launch: f.launch, expectedFirst: d.ExpectedFirstToken,
		onFirst: func(a *attempt) { s.after(hop, func() { s.firstToken(a) }) },
		onDone:  func(a *attempt) { s.after(hop, func() { s.answered(a) }) },
		onFail:  func(a *attempt, ran bool) { a.over = true; s.after(hop+connectFailure, func() { s.failed(a, ran) }) },
	}
	f.live = append(f.live, a)
	r.daemon.state.Dispatched(balance.Dispatched{Engine: e.GetName(), Work: work(r), PrefixHash: r.prefix, At: s.now})
	s.after(hop, func() { e.submit(a) })
}

// work is the size of a request as the balancer sees it.
func work(r *request) balance.Work {
	return balance.Work{
		Priority: r.kind.GetPriority(), PromptTokens: r.prompt,
		ExpectedTokens: r.kind.GetExpectedCompletionTokens(),
	}
}

// lost reports whether an attempt no longer belongs to its request's way.
func (s *sim) lost(a *attempt) bool {
	return a.request.ended || a.launch != a.request.flow.launch || !contains(a.request.flow.live, a)
}

// firstToken makes the first copy that begins its answer the winner.
func (s *sim) firstToken(a *attempt) {
	r := a.request
	if s.lost(a) {
		return
	}
	a.first = true
	r.daemon.state.FirstToken(balance.FirstToken{
		Engine: a.engine.GetName(), Work: work(r), Latency: s.now.Sub(a.sentAt), Expected: a.expectedFirst, At: s.now,
	})
	r.flow.winner = a
	for _, other := range r.flow.live {
		if other != a {
			s.cancel(other)
		}
	}
	r.flow.live = []*attempt{a}
	if s.policy.hedges() && r.kind.GetHedge() {
		r.daemon.hedges.Answered(hedge.Answered{Kind: r.kind.GetName(), Latency: s.now.Sub(r.flow.sentAt)})
	}
}

// cancel ends a copy that is no longer wanted. What it generated is paid.
func (s *sim) cancel(a *attempt) {
	r := a.request
	if !a.begun.IsZero() && !a.over {
		generated := float64(s.now.Sub(a.begun)-a.prefill) / float64(max(a.generate, 1))
		tokens := int64(max(0, min(generated, 1)) * float64(r.completion))
		r.cost += s.truth.cost(r.flow.version, r.prompt, tokens)
	}
	if !a.over {
		a.engine.leave(a)
	}
	r.daemon.state.Finished(balance.Finished{Engine: a.engine.GetName(), Work: work(r), FirstTokenSeen: a.first, Cancelled: true, At: s.now})
}

// answered takes in a whole answer.
func (s *sim) answered(a *attempt) {
	r := a.request
	if s.lost(a) {
		return
	}
	r.daemon.state.Finished(balance.Finished{
		Engine: a.engine.GetName(), Work: work(r), FirstTokenSeen: a.first,
		Tokens: r.completion, Generation: a.generate, At: s.now,
	})
	r.flow.live = nil
	r.cost += s.truth.cost(r.flow.version, r.prompt, r.completion)
	s.judge(r)
}

// failed takes in that a copy got no answer, and tries again where it is safe.
func (s *sim) failed(a *attempt, ran bool) {
	r := a.request
	if s.lost(a) {
		return
	}
	d := r.daemon
	d.failedAt[a.engine] = s.now
	kind, retryKind, outcome := balance.FailureUnreachable, retry.KindConnect, failure.RanNo
	if ran {
		kind, retryKind, outcome = balance.FailureError, retry.KindBroken, failure.RanUnknown
	}
	d.state.Failed(balance.Failed{Engine: a.engine.GetName(), Work: work(r), FirstTokenSeen: a.first, Kind: kind, At: s.now})
	r.flow.live = without(r.flow.live, a)
	if len(r.flow.live) > 0 {
		return
	}
	sent := int64(0)
	if a.first {
		sent = 1
	}
	again, wait, _ := d.retries.Next(retry.Attempt{
		Kind: retryKind, Ran: outcome, Idempotent: r.kind.GetIdempotent(), Number: r.flow.attempts,
		Left: r.deadline.Sub(s.now), BytesSent: sent,
	}, d.budget, s.now, d.rng)
	if !again {
		s.fail(r)
		return
	}
	s.after(wait, func() { s.dispatch(r) })
}

func contains(list []*attempt, a *attempt) bool {
	for _, o := range list {
		if o == a {
			return true
		}
	}
	return false
}

func without(list []*attempt, a *attempt) []*attempt {
	var kept []*attempt
	for _, o := range list {
		if o != a {
			kept = append(kept, o)
		}
	}
	return kept
}

// hashOf names a prompt's prefix.
func hashOf(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// urgent tells whether people wait for the answers of a kind.
func urgent(k *bronzeturnv1.TaskKind) bool {
	return k.GetPriority() == bronzeturnv1.Priority_PRIORITY_URGENT
}
