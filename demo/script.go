package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/caller"
	"github.com/bronzeturn/bronzeturn/failure"
)

// holdConversation sends the turns of a conversation, each to another daemon. All
// turns must run on the same version.
func (t *trafficGenerator) holdConversation(ctx context.Context) {
	conversation := t.scenario.conversation
	params := caller.Params{Kind: conversation.kind, Conversation: "demo-conversation"}
	version := ""
	for turn := range t.scenario.turns {
		next := conversation
		next.prompt = fmt.Sprintf("%s Turn %d.", conversation.prompt, turn+1)
		a, err := t.sendAndCheck(ctx, turn%len(t.fleet.Daemons), next, params)
		if err != nil {
			t.outcomes.recordFailure(err)
			continue
		}
		t.outcomes.recordAnswer(newReceivedAnswer(conversation, a))
		if version == "" {
			version = a.Version
		}
		if a.Version != version {
			t.outcomes.recordFault("a conversation moved from %s to %s", version, a.Version)
		}
	}
}

// sendDuplicates sends the same non-idempotent request with the same idempotency
// key to every daemon at the same time. The request must be executed exactly once,
// and every caller must receive the answer of that execution.
func (t *trafficGenerator) sendDuplicates(ctx context.Context) {
	duplicated := t.scenario.duplicated
	params := caller.Params{Kind: duplicated.kind, IdempotencyKey: "demo-repeat"}
	answers := make([]*caller.Answer, len(t.fleet.Daemons))
	var sending sync.WaitGroup
	for daemon := range answers {
		sending.Go(func() {
			a, err := t.sendAndCheck(ctx, daemon, duplicated, params)
			if err != nil {
				t.outcomes.recordFailure(err)
				return
			}
			answers[daemon] = a
		})
	}
	sending.Wait()
	t.recordDuplicates(duplicated, answers)
}

// recordDuplicates records the answers to a duplicated request. The one of the
// execution counts as an answer, the others as duplicates. It is a fault if the
// request was not executed exactly once or reached fewer than two daemons.
func (t *trafficGenerator) recordDuplicates(duplicated task, answers []*caller.Answer) {
	runs, daemons := 0, make(map[string]bool)
	for _, a := range answers {
		if a == nil {
			continue
		}
		r := newReceivedAnswer(duplicated, a)
		executions := len(t.platform.enginesThatExecuted(a.RequestID))
		r.duplicate = executions == 0
		runs += executions
		daemons[a.Address] = true
		t.outcomes.recordAnswer(r)
	}
	if runs != 1 {
		t.outcomes.recordFault("a repeated %s request ran %d times", duplicated.kind, runs)
	}
	if len(daemons) < 2 {
		t.outcomes.recordFault("the repeated %s request reached %d daemons", duplicated.kind, len(daemons))
	}
}

// callServices calls the plain services of the scenario.
func (t *trafficGenerator) callServices(ctx context.Context) {
	for i, call := range t.scenario.services {
		params := caller.Params{}
		if call.withIdempotencyKey {
			params.IdempotencyKey = caller.NewIdempotencyKey()
		}
		daemon := i % len(t.fleet.Daemons)
		start := time.Now()
		a, err := t.clients[clientKey{call.organisation, daemon}].CallService(ctx, params, call.service+call.path, []byte(call.body))
		if err != nil {
			t.outcomes.recordFailure(err)
			continue
		}
		t.outcomes.recordAnswer(receivedAnswer{
			organisation: call.organisation, kind: "service", version: call.service, requestID: a.RequestID,
			total: time.Since(start), service: true,
		})
	}
}

// provokeRefusals sends requests that must be refused: with an unknown key, for a
// version that is not allowed, and without a required idempotency key.
func (t *trafficGenerator) provokeRefusals(ctx context.Context) {
	unauthenticated, err := caller.New(caller.Options{Entry: t.fleet.Daemons[0].CallerAddress(), Key: exampleKeyPrefix + "nobody"})
	if err != nil {
		t.outcomes.recordFault("create client: %v", err)
		return
	}
	defer unauthenticated.Close()
	_, err = unauthenticated.Complete(ctx, caller.Params{}, caller.Prompt("hello"), nil)
	t.expectRefusal(err, failure.CodeUnauthenticated, "a wrong key")

	forbiddenTask := t.scenario.forbiddenTask
	completion := caller.Prompt(forbiddenTask.prompt)
	completion.Model = t.scenario.forbiddenVersion
	_, err = t.clients[clientKey{forbiddenTask.organisation, 0}].Complete(ctx, caller.Params{Kind: forbiddenTask.kind}, completion, nil)
	t.expectRefusal(err, failure.CodeVersionNotAllowed, "a version that is not allowed")

	withoutKey := t.scenario.duplicated
	_, err = t.clients[clientKey{withoutKey.organisation, 0}].Complete(ctx, caller.Params{Kind: withoutKey.kind}, caller.Prompt(withoutKey.prompt), nil)
	t.expectRefusal(err, failure.CodeKeyRequired, "a non-idempotent request without an idempotency key")
}
