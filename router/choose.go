package router

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/ledger"
	"github.com/bronzeturn/bronzeturn/selection"
)

// choose asks the policy for a version within a constraint.
func (r *Router) choose(c *call, constraint string) (decision selection.Decision, f *failure.Error) {
	req := selection.Request{
		Organisation:             c.organisation.GetName(),
		Kind:                     c.kind.GetName(),
		Key:                      c.stickyKey(),
		Constraint:               constraint,
		InConversation:           c.conversation != "",
		PromptTokens:             c.chat.promptTokens,
		ExpectedCompletionTokens: c.completionHint(),
		Deadline:                 c.deadline,
		FailedVersions:           c.tried,
	}
	now := time.Now()
	req.SpendLeftMicros, req.SpendLimited = r.Admission.SpendLeft(req.Organisation, now)
	decision, f = r.chooseWith(c, &req, now)
	if f != nil && f.Code == failure.CodeSpendExceeded {
		// Nothing fits what is left here. Admission refuses it, and knows when
		// there may be more.
		req.SpendLimited = false
		decision, f = r.chooseWith(c, &req, now)
	}
	return decision, f
}

// chooseWith asks the policy once.
func (r *Router) chooseWith(c *call, req *selection.Request, now time.Time) (decision selection.Decision, f *failure.Error) {
	var err error
	r.withRand(func(rng *rand.Rand) {
		decision, err = r.Versions.Choose(c.tables.Versions, req, now, rng)
	})
	if err != nil {
		return decision, failure.From(err)
	}
	return decision, nil
}

// completionHint is the caller's bound on the answer where it is shorter than
// usual, and zero otherwise: a generous bound tells nothing of the length.
func (c *call) completionHint() int64 {
	if c.chat.maxTokens < c.kind.GetExpectedCompletionTokens() {
		return c.chat.maxTokens
	}
	return 0
}

// stickyKey is the key by which a request falls on one side of a roll-out.
func (c *call) stickyKey() string {
	if c.conversation != "" {
		return c.conversation
	}
	if c.idempotencyKey != "" {
		return c.idempotencyKey
	}
	return c.requestID
}

// expectedTokens is the expected length of the answer.
func (c *call) expectedTokens() int64 {
	expected := c.kind.GetExpectedCompletionTokens()
	if c.chat.maxTokens > 0 {
		expected = min(expected, c.chat.maxTokens)
	}
	return max(expected, 1)
}

func pinRequest(c *call, version string) ledger.PinRequest {
	return ledger.PinRequest{
		Organisation: c.organisation.GetName(),
		Conversation: c.conversation,
		Version:      version,
	}
}

// prefixBlocks bounds the part of a prompt that decides prefix-cache affinity.
const prefixBlocks = 4

// maxSaltBytes bounds the salt in front of a prompt, its separator included.
const maxSaltBytes = 24

// prefixHash names the beginning of a prompt, salted by organisation, in the
// form that engines use in their cache events. It is zero for short prompts.
func prefixHash(organisation string, messages json.RawMessage) uint64 {
	if len(messages)+maxSaltBytes < engine.PrefixBlockBytes {
		return 0 // The text of the prompt is no longer than its JSON.
	}
	body, err := encodeJSON(map[string]json.RawMessage{
		"cache_salt": cacheSalt(organisation),
		"messages":   messages,
	})
	if err != nil {
		return 0
	}
	text, err := engine.PromptText(body)
	if err != nil {
		return 0
	}
	hashes := engine.PromptPrefixes(text, prefixBlocks)
	if len(hashes) == 0 {
		return 0
	}
	return hashes[len(hashes)-1]
}

// cacheSalt separates the prefix caches of organisations inside an engine.
func cacheSalt(organisation string) json.RawMessage {
	return json.RawMessage(strconv.AppendQuote(nil, strconv.FormatUint(xxhash.Sum64String(organisation), 16)))
}

// encodeJSON encodes v without escaping HTML, since prompts pass unchanged.
func encodeJSON(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}
