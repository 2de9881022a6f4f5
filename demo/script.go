package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/caller"
	"github.com/bronzeturn/bronzeturn/failure"
)

// converse holds a conversation, each turn at another daemon. All turns must run
// on one version.
func (t *traffic) converse(ctx context.Context) {
	what := t.scenario.conversation
	params := caller.Params{Kind: what.kind, Conversation: "demo-conversation"}
	version := ""
	for turn := range t.scenario.turns {
		next := what
		next.prompt = fmt.Sprintf("%s Turn %d.", what.prompt, turn+1)
		a, err := t.exchange(ctx, turn%len(t.fleet.Daemons), next, params)
		if err != nil {
			t.tally.failed(err)
			continue
		}
		t.tally.answered(receivedFrom(what, a))
		if version == "" {
			version = a.Version
		}
		if a.Version != version {
			t.tally.fault("a conversation moved from %s to %s", version, a.Version)
		}
	}
}

// repeat sends one non-idempotent request with one idempotency key to every
// daemon at the same time. It must run once, and every caller must get the
// answer of that run.
func (t *traffic) repeat(ctx context.Context) {
	what := t.scenario.repeated
	params := caller.Params{Kind: what.kind, IdempotencyKey: "demo-repeat"}
	answers := make([]*caller.Answer, len(t.fleet.Daemons))
	var sending sync.WaitGroup
	for daemon := range answers {
		sending.Go(func() {
			a, err := t.exchange(ctx, daemon, what, params)
			if err != nil {
				t.tally.failed(err)
				return
			}
			answers[daemon] = a
		})
	}
	sending.Wait()
	t.recordRepeat(what, answers)
}

// recordRepeat counts the answers to one repeated request as one: that of the
// run. The others are repeats.
func (t *traffic) recordRepeat(what task, answers []*caller.Answer) {
	runs, daemons := 0, make(map[string]bool)
	for _, a := range answers {
		if a == nil {
			continue
		}
		r := receivedFrom(what, a)
		executions := len(t.platform.enginesOf(a.RequestID))
		r.repeat = executions == 0
		runs += executions
		daemons[a.Address] = true
		t.tally.answered(r)
	}
	if runs != 1 {
		t.tally.fault("a repeated %s request ran %d times", what.kind, runs)
	}
	if len(daemons) < 2 {
		t.tally.fault("the repeated %s request reached %d daemons", what.kind, len(daemons))
	}
}

// callServices calls the plain services.
func (t *traffic) callServices(ctx context.Context) {
	for i, call := range t.scenario.services {
		params := caller.Params{}
		if call.keyed {
			params.IdempotencyKey = caller.NewIdempotencyKey()
		}
		daemon := i % len(t.fleet.Daemons)
		start := time.Now()
		a, err := t.clients[clientKey{call.organisation, daemon}].CallService(ctx, params, call.service+call.path, []byte(call.body))
		if err != nil {
			t.tally.failed(err)
			continue
		}
		t.tally.answered(received{
			organisation: call.organisation, kind: "service", version: call.service, requestID: a.RequestID,
			total: time.Since(start), service: true,
		})
	}
}

// provokeRefusals sends requests that must be refused.
func (t *traffic) provokeRefusals(ctx context.Context) {
	intruder, err := caller.New(caller.Options{Entry: t.fleet.Daemons[0].CallerAddress(), Key: keyPrefix + "nobody"})
	if err != nil {
		t.tally.fault("client: %v", err)
		return
	}
	defer intruder.Close()
	_, err = intruder.Complete(ctx, caller.Params{}, caller.Prompt("hello"), nil)
	t.expectRefusal(err, failure.CodeUnauthenticated, "a wrong key")

	forbidden := t.scenario.forbidden
	completion := caller.Prompt(forbidden.prompt)
	completion.Model = t.scenario.forbiddenVersion
	_, err = t.clients[clientKey{forbidden.organisation, 0}].Complete(ctx, caller.Params{Kind: forbidden.kind}, completion, nil)
	t.expectRefusal(err, failure.CodeVersionNotAllowed, "a version that is not allowed")

	keyless := t.scenario.repeated
	_, err = t.clients[clientKey{keyless.organisation, 0}].Complete(ctx, caller.Params{Kind: keyless.kind}, caller.Prompt(keyless.prompt), nil)
	t.expectRefusal(err, failure.CodeKeyRequired, "a non-idempotent request without an idempotency key")
}
