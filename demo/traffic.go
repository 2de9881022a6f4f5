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

// Shape of the traffic of one deployment.
const (
	requestsPerSecond = 60
	trafficSeed       = 1
	// requestTimeout bounds each request of the demo.
	requestTimeout = 15 * time.Second
	// inForceTimeout bounds the wait for a withdrawal to be in force.
	inForceTimeout = 10 * time.Second
)

// keyPrefix and the name of an organisation make its example key.
const keyPrefix = "key-"

// traffic sends the requests of a scenario.
type traffic struct {
	scenario scenario
	platform *Platform
	fleet    *Fleet
	tally    *tally
	// clients has one for each organisation and daemon.
	clients map[clientKey]*caller.Client
	number  atomic.Int64
	// withdrawn is set once the withdrawal is in force on every daemon.
	withdrawn atomic.Bool
}

// clientKey names a client by organisation and the daemon that it asks first.
type clientKey struct {
	organisation string
	daemon       int
}

func newTraffic(s scenario, p *Platform, f *Fleet) (*traffic, error) {
	t := &traffic{scenario: s, platform: p, fleet: f, tally: newTally(), clients: make(map[clientKey]*caller.Client)}
	for _, organisation := range p.Register.GetOrganisations() {
		for i, d := range f.Daemons {
			c, err := caller.New(caller.Options{Entry: d.CallerAddress(), Key: keyPrefix + organisation.GetName()})
			if err != nil {
				return nil, err
			}
			t.clients[clientKey{organisation.GetName(), i}] = c
		}
	}
	return t, nil
}

// close closes the connections of all clients.
func (t *traffic) close() {
	for _, c := range t.clients {
		c.Close()
	}
}

// run sends the steady traffic for the duration, plays the script beside it and
// returns when every request has ended.
func (t *traffic) run(ctx context.Context, duration time.Duration) {
	var running sync.WaitGroup
	for _, part := range []func(context.Context){t.converse, t.repeat, t.callServices, t.provokeRefusals} {
		running.Go(func() { part(ctx) })
	}
	running.Go(func() {
		if backoff.Sleep(ctx, duration/2) == nil {
			t.withdraw(ctx)
		}
	})
	t.steady(ctx, duration, &running)
	running.Wait()
}

// steady sends requests at a steady rate, whether earlier ones are answered or
// not.
func (t *traffic) steady(ctx context.Context, duration time.Duration, running *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(trafficSeed, 0))
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	for range int(duration.Seconds() * requestsPerSecond) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		next := t.pick(random)
		daemon := random.IntN(len(t.fleet.Daemons))
		params := caller.Params{Kind: next.kind}
		if next.keyed {
			params.IdempotencyKey = caller.NewIdempotencyKey()
		}
		running.Go(func() { t.one(ctx, daemon, next, params) })
	}
}

// pick draws a task by the weights.
func (t *traffic) pick(random *rand.Rand) task {
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

// one sends a request of the steady traffic.
func (t *traffic) one(ctx context.Context, daemon int, what task, params caller.Params) {
	what.prompt = fmt.Sprintf("%s Request %d.", what.prompt, t.number.Add(1))
	a, err := t.exchange(ctx, daemon, what, params)
	if err != nil {
		t.tally.failed(err)
		return
	}
	t.tally.answered(receivedFrom(what, a))
}

func receivedFrom(what task, a *caller.Answer) received {
	return received{
		organisation: what.organisation, kind: what.kind, version: a.Version, requestID: a.RequestID,
		usage: a.Usage, firstToken: a.FirstToken, total: a.Total,
	}
}

// exchange sends one request and returns its answer, checked to be the whole
// answer to this request and from a version that was not withdrawn.
func (t *traffic) exchange(ctx context.Context, daemon int, what task, params caller.Params) (*caller.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	withdrawn := t.withdrawn.Load()
	completion := caller.Prompt(what.prompt)
	completion.Stream = what.stream
	completion.MaxTokens = what.maxTokens
	a, err := t.clients[clientKey{what.organisation, daemon}].Complete(ctx, params, completion, nil)
	if err != nil {
		return nil, err
	}
	if withdrawn && a.Version == t.scenario.withdrawn {
		t.tally.fault("%s answered request %s, sent after its withdrawal was in force", a.Version, a.RequestID)
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

// withdraw withdraws a version and notes when that is in force everywhere.
func (t *traffic) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	generation, err := t.platform.Withdraw(ctx, t.scenario.withdrawn, "withdrawn by the demo")
	if err == nil {
		err = t.fleet.WaitGeneration(ctx, generation)
	}
	if err != nil {
		t.tally.fault("withdrawal of %s: %v", t.scenario.withdrawn, err)
		return
	}
	t.withdrawn.Store(true)
}

// expectRefusal records a request that must be refused with the code.
func (t *traffic) expectRefusal(err error, code failure.Code, what string) {
	var refused *caller.RefusalError
	if !errors.As(err, &refused) || refused.Detail.Code != string(code) || refused.Detail.Ran != string(failure.RanNo) {
		t.tally.fault("%s: want a refusal with %s, not run, got %v", what, code, err)
	}
	if err != nil {
		t.tally.failed(err)
	}
}
