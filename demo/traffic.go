package demo

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/caller"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/standin"
)

// Properties of the traffic of one deployment.
const (
	requestsPerSecond = 60
	trafficSeed       = 1
	// requestTimeout limits the duration of each request.
	requestTimeout = 15 * time.Second
	// withdrawalTimeout limits the time until a withdrawal is in force on every
	// daemon.
	withdrawalTimeout = 10 * time.Second
)

// exampleKeyPrefix, followed by the name of an organisation, is the key of that
// organisation in the example deployments.
const exampleKeyPrefix = "key-"

// trafficGenerator sends the requests of a scenario.
type trafficGenerator struct {
	scenario scenario
	platform *Platform
	fleet    *Fleet
	outcomes *outcomes
	// clients holds one client for each organisation and daemon.
	clients      map[clientKey]*caller.Client
	requestCount atomic.Int64
	// withdrawalInForce is set once the withdrawal of the scenario is in force on
	// every daemon.
	withdrawalInForce atomic.Bool
}

// clientKey identifies a client by its organisation and the number of the daemon
// that it uses as entry.
type clientKey struct {
	organisation string
	daemon       int
}

func newTrafficGenerator(s scenario, p *Platform, f *Fleet) (*trafficGenerator, error) {
	t := &trafficGenerator{scenario: s, platform: p, fleet: f, outcomes: newOutcomes(), clients: make(map[clientKey]*caller.Client)}
	for _, organisation := range p.Register.GetOrganisations() {
		for i, d := range f.Daemons {
			c, err := caller.New(caller.Options{Entry: d.CallerAddress(), Key: exampleKeyPrefix + organisation.GetName()})
			if err != nil {
				return nil, err
			}
			t.clients[clientKey{organisation.GetName(), i}] = c
		}
	}
	return t, nil
}

// close closes the connections of all clients.
func (t *trafficGenerator) close() {
	for _, c := range t.clients {
		c.Close()
	}
}

// run sends the steady traffic for the given duration and the special requests of
// the scenario at the same time. The version is withdrawn after half the duration.
// run returns when all requests have ended.
func (t *trafficGenerator) run(ctx context.Context, duration time.Duration) {
	var running sync.WaitGroup
	for _, part := range []func(context.Context){t.holdConversation, t.sendDuplicates, t.callServices, t.provokeRefusals} {
		running.Go(func() { part(ctx) })
	}
	running.Go(func() {
		if backoff.Sleep(ctx, duration/2) == nil {
			t.withdrawVersion(ctx)
		}
	})
	t.sendSteady(ctx, duration, &running)
	running.Wait()
}

// sendSteady sends requests at a constant rate (open loop), without waiting for the
// answers to earlier ones.
func (t *trafficGenerator) sendSteady(ctx context.Context, duration time.Duration, running *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(trafficSeed, 0))
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	for range int(duration.Seconds() * requestsPerSecond) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		next := t.pickTask(random)
		daemon := random.IntN(len(t.fleet.Daemons))
		params := caller.Params{Kind: next.kind}
		if next.withIdempotencyKey {
			params.IdempotencyKey = caller.NewIdempotencyKey()
		}
		running.Go(func() { t.sendOne(ctx, daemon, next, params) })
	}
}

// pickTask selects a task at random, in proportion to the weights.
func (t *trafficGenerator) pickTask(random *rand.Rand) task {
	sum := 0
	for _, one := range t.scenario.tasks {
		sum += one.weight
	}
	drawn := random.IntN(sum)
	for _, one := range t.scenario.tasks {
		if drawn -= one.weight; drawn < 0 {
			return one
		}
	}
	return t.scenario.tasks[0]
}

// sendOne sends a request of the steady traffic.
func (t *trafficGenerator) sendOne(ctx context.Context, daemon int, work task, params caller.Params) {
	work.prompt = fmt.Sprintf("%s Request %d.", work.prompt, t.requestCount.Add(1))
	a, err := t.sendAndCheck(ctx, daemon, work, params)
	if err != nil {
		t.outcomes.recordFailure(err)
		return
	}
	t.outcomes.recordAnswer(newReceivedAnswer(work, a))
}

func newReceivedAnswer(work task, a *caller.Answer) receivedAnswer {
	return receivedAnswer{
		organisation: work.organisation, kind: work.kind, version: a.Version, requestID: a.RequestID,
		usage: a.Usage, firstToken: a.FirstToken, total: a.Total,
	}
}

// sendAndCheck sends one request and returns its answer. It returns an error unless
// this is the complete answer to the request, and records a fault if the answer
// comes from a version whose withdrawal was in force when the request was sent.
func (t *trafficGenerator) sendAndCheck(ctx context.Context, daemon int, work task, params caller.Params) (*caller.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	withdrawalInForce := t.withdrawalInForce.Load()
	completion := caller.Prompt(work.prompt)
	completion.Stream = work.stream
	completion.MaxTokens = work.maxTokens
	a, err := t.clients[clientKey{work.organisation, daemon}].Complete(ctx, params, completion, nil)
	if err != nil {
		return nil, err
	}
	if withdrawalInForce && a.Version == t.scenario.withdrawnVersion {
		t.outcomes.recordFault("%s answered request %s, sent after its withdrawal was in force", a.Version, a.RequestID)
	}
	body, err := completion.Body()
	if err != nil {
		return nil, err
	}
	if err := standin.CheckAnswer(body, a.Text); err != nil {
		return nil, &caller.BrokenAnswerError{Reason: "not the answer to this request", Cause: err}
	}
	return a, nil
}

// withdrawVersion withdraws the version of the scenario and sets withdrawalInForce
// once the withdrawal is in force on every daemon.
func (t *trafficGenerator) withdrawVersion(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, withdrawalTimeout)
	defer cancel()
	generation, err := t.platform.Withdraw(ctx, t.scenario.withdrawnVersion, "withdrawn by the demo")
	if err == nil {
		err = t.fleet.WaitGeneration(ctx, generation)
	}
	if err != nil {
		t.outcomes.recordFault("withdrawal of %s: %v", t.scenario.withdrawnVersion, err)
		return
	}
	t.withdrawalInForce.Store(true)
}

// expectRefusal records the outcome of a request that must be refused with the code
// and must not have run. Any other outcome is a fault.
func (t *trafficGenerator) expectRefusal(err error, code failure.Code, description string) {
	var refused *caller.RefusalError
	if !errors.As(err, &refused) || refused.Detail.Code != string(code) || refused.Detail.Ran != string(failure.RanNo) {
		t.outcomes.recordFault("%s: want a refusal with %s, not run, got %v", description, code, err)
	}
	if err != nil {
		t.outcomes.recordFailure(err)
	}
}
