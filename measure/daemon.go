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
	"github.com/bronzeturn/bronzeturn/selection"
)

const (
	// initialSlotRate is the service rate of a slot before one was measured, in tokens
	// per second. It is the default of package admission.
	initialSlotRate = 200
	// maxReportAge is the age from which a load report is ignored in the limit of bulk
	// requests.
	maxReportAge = 5 * time.Second
	// localHopLatency and remoteHopLatency are the one-way network latencies to engines
	// in the same and in another data centre.
	localHopLatency  = 100 * time.Microsecond
	remoteHopLatency = time.Millisecond
	// failDelay is the time until a daemon notices that its connection to an engine
	// failed, beyond the network latency.
	failDelay = 2 * time.Millisecond
)

// daemon makes the decisions for the requests that callers send to it.
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
	failedAt   map[*fakeEngine]time.Time // last failure, for the baselines of engine selection
	nextEngine int
}

// loadReport is the latest load report of an engine.
type loadReport struct {
	requests int64
	asOf     time.Time
}

// flow is the state of a request in a daemon.
type flow struct {
	queue          *admission.Queue
	item           *admission.Item
	slotAcquiredAt time.Time // zero until the request gets a slot
	version        string
	startNumber    int // changes with every start at a version
	attempts       int // since the last start
	tried          [balance.MaxExclude]string
	sentAt         time.Time
	winner         *attempt // the first one to produce a token
	liveAttempts   []*attempt
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
			d.queues[version] = admission.NewQueue(slots, initialSlotRate)
		}
		s.daemons = append(s.daemons, d)
		d.reviewPeriodically()
	}
	return nil
}

// reviewPeriodically reviews the latencies of the engines and updates the limits of
// bulk requests every reviewInterval.
func (d *daemon) reviewPeriodically() {
	d.state.Review(d.plan, d.sim.now)
	if d.sim.now.After(epoch) {
		d.updateBulkLimits()
	}
	d.sim.after(reviewInterval, d.reviewPeriodically)
}

func (d *daemon) handleLoadReport(e *fakeEngine, requests, tokens int64, asOf time.Time) {
	d.reported[e] = loadReport{requests: requests, asOf: asOf}
	d.state.LoadReported(balance.LoadReported{Engine: e.GetName(), Requests: requests, Tokens: tokens, AsOf: asOf})
}

// admit selects a version for the request and passes the request to the admission
// queue of that version. The oracle works without admission.
func (s *sim) admit(r *request) {
	var err error
	if r.decision, err = s.policy.version(s, r); err != nil {
		s.refuse(r, failure.From(err).Code)
		return
	}
	if r.conversation != nil && r.conversation.version == "" {
		r.conversation.version = r.decision.Version
	}
	if s.policy.isOracle() {
		r.flow.slotAcquiredAt = s.now
		s.startVersion(r, r.decision.Version)
		return
	}
	s.enqueue(r)
}

// enqueue offers the request to the admission queue of its version.
func (s *sim) enqueue(r *request) {
	d := r.daemon
	tokens := float64(r.prompt + r.kind.GetExpectedCompletionTokens())
	item := admission.NewItem(r.organisation, r.kind.GetPriority(), tokens)
	r.flow.queue, r.flow.item = d.queues[r.decision.Version], item
	outcome, _, evicted := r.flow.queue.Offer(s.now, r.deadline, item)
	if evicted != nil {
		evictedRequest := d.waiting[evicted]
		delete(d.waiting, evicted)
		s.handleNoRoom(evictedRequest)
	}
	switch outcome {
	case admission.StartNow:
		r.flow.slotAcquiredAt = s.now
		s.startVersion(r, r.decision.Version)
	case admission.WaitTurn:
		d.waiting[item] = r
		s.after(item.LatestStart().Sub(s.now), func() { d.expireWait(item) })
	case admission.Refuse:
		s.handleNoRoom(r)
	}
}

// maxOtherVersions limits the versions that are tried for one request after the
// first one has no room, as in the router.
const maxOtherVersions = 2

// handleNoRoom handles a request that was not sent, since its version has no room.
// It moves the request to another version that reaches the quality target, if there
// is one, and refuses it otherwise. Bulk requests, requests in conversations,
// escalated requests and those of policies that do not try other versions are refused
// at once.
func (s *sim) handleNoRoom(r *request) {
	bulk := r.kind.GetPriority() == bronzeturnv1.Priority_PRIORITY_BULK
	if !s.policy.retriesOtherVersions() || bulk || r.conversation != nil || r.escalated || len(r.fullVersions) == maxOtherVersions {
		s.refuse(r, failure.CodeNoCapacity)
		return
	}
	r.fullVersions = append(r.fullVersions, r.decision.Version)
	next, err := s.policy.version(s, r)
	if err != nil || next.Reason == selection.ReasonBestAvailable || next.Reason == selection.ReasonLastResort {
		s.refuse(r, failure.CodeNoCapacity)
		return
	}
	s.release(r)
	r.flow = flow{startNumber: r.flow.startNumber + 1}
	r.decision = next
	s.enqueue(r)
}

// expireWait removes a request that waited for too long from its queue.
func (d *daemon) expireWait(item *admission.Item) {
	r := d.waiting[item]
	if r != nil && r.flow.queue.Remove(item) {
		delete(d.waiting, item)
		d.sim.handleNoRoom(r)
	}
}

// release frees the slot of the request and starts waiting requests.
func (s *sim) release(r *request) {
	if r.flow.queue == nil || r.flow.slotAcquiredAt.IsZero() {
		return
	}
	tokens := float64(r.prompt + r.completion)
	if r.flow.winner == nil {
		tokens = 0
	}
	r.flow.queue.Release(r.flow.item, tokens, s.now.Sub(r.flow.slotAcquiredAt))
	r.daemon.startWaiting(r.flow.queue)
}

// startWaiting starts the waiting requests that the queue now admits.
func (d *daemon) startWaiting(q *admission.Queue) {
	for item := q.Next(d.sim.now); item != nil; item = q.Next(d.sim.now) {
		next := d.waiting[item]
		delete(d.waiting, item)
		next.flow.slotAcquiredAt = d.sim.now
		d.sim.startVersion(next, next.decision.Version)
	}
}

// updateBulkLimits limits the bulk requests of each version according to the recent
// load reports of its engines, and starts waiting requests that are now admitted.
func (d *daemon) updateBulkLimits() {
	for _, v := range d.sim.reg.GetVersions() {
		q := d.queues[v.GetName()]
		if q == nil {
			continue
		}
		load := admission.GroupLoad{Daemons: daemonCount}
		for _, e := range d.sim.serving[v.GetName()] {
			if report, ok := d.reported[e]; ok && d.sim.now.Sub(report.asOf) < maxReportAge {
				load.Add(int(e.GetSlots()), int(report.requests))
			}
		}
		q.SetBulkLimit(load)
		d.startWaiting(q)
	}
}

// prefixHash returns a hash that identifies the prefix of a prompt.
func prefixHash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// isUrgent reports whether a kind has urgent priority, that is, people wait for its
// answers.
func isUrgent(k *bronzeturnv1.TaskKind) bool {
	return k.GetPriority() == bronzeturnv1.Priority_PRIORITY_URGENT
}
