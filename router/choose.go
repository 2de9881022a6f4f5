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

// choose asks the policy for a version that satisfies a constraint.
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
		// No version fits the remaining spend. Choose without this limit: admission
		// then refuses the request, and knows when the limit resets.
		req.SpendLimited = false
		decision, f = r.chooseWith(c, &req, now)
	}
	return decision, f
}

// chooseWith asks the policy for a version once.
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

// completionHint returns the caller's max_tokens if it is less than the length
// expected for the kind, and zero otherwise, since a high bound says nothing about
// the length of the answer.
func (c *call) completionHint() int64 {
	if c.chat.maxTokens < c.kind.GetExpectedCompletionTokens() {
		return c.chat.maxTokens
	}
	return 0
}

// stickyKey returns the key that assigns a request to one version of a roll-out.
func (c *call) stickyKey() string {
	if c.conversation != "" {
		return c.conversation
	}
	if c.idempotencyKey != "" {
		return c.idempotencyKey
	}
	return c.requestID
}

// expectedTokens returns the expected length of the answer in tokens.
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

// maxPrefixBlocks bounds the number of prompt blocks that determine prefix-cache
// affinity.
const maxPrefixBlocks = 4

// maxSaltBytes bounds the salt that precedes a prompt, including its separator.
const maxSaltBytes = 24

// prefixHash returns the hash of the beginning of a prompt, salted by organisation,
// as engines report it in their cache events. It is zero for short prompts.
func prefixHash(organisation string, messages json.RawMessage) uint64 {
	if len(messages)+maxSaltBytes < engine.PrefixBlockBytes {
		return 0 // The prompt text is at most as long as its JSON.
	}
	text, err := engine.PromptStart(saltOf(organisation), messages, maxPrefixBlocks*engine.PrefixBlockBytes)
	if err != nil {
		return 0
	}
	hashes := engine.PromptPrefixes(text, maxPrefixBlocks)
	if len(hashes) == 0 {
		return 0
	}
	return hashes[len(hashes)-1]
}

// saltOf returns the salt that keeps the prefix-cache entries of organisations separate within an
// engine.
func saltOf(organisation string) string {
	return strconv.FormatUint(xxhash.Sum64String(organisation), 16)
}

// cacheSalt returns the salt of an organisation in JSON.
func cacheSalt(organisation string) json.RawMessage {
	return json.RawMessage(strconv.AppendQuote(nil, saltOf(organisation)))
}

// encodeJSON encodes v without escaping HTML, since prompts must pass unchanged.
func encodeJSON(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}
