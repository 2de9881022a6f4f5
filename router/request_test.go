package router

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/engine"
)

// TestForwardBody checks that the body for an engine equals that of the caller except for
// the fields that the router sets.
func TestForwardBody(t *testing.T) {
	c := qt.New(t)
	for _, stream := range []bool{false, true} {
		sent := map[string]any{
			"messages": []any{map[string]any{"role": "user", "content": "a <b> \" \u2028 é"}}, "stream": stream, "model": "auto",
			"cache_salt": "of the caller", "odd \"name\"": map[string]any{"x": []any{1.5, nil}}, "stream_options": map[string]any{"include_usage": false},
		}
		data, err := json.Marshal(sent)
		c.Assert(err, qt.IsNil)
		chat, f := parseChat(data)
		c.Assert(f == nil, qt.IsTrue)
		body, err := chat.forwardBody("depot", "small@1")
		c.Assert(err, qt.IsNil)
		var got map[string]any
		c.Assert(json.Unmarshal(body, &got), qt.IsNil, qt.Commentf("%s", body))
		c.Check(got["cache_salt"], qt.Not(qt.Equals), sent["cache_salt"])
		sent["cache_salt"], sent["model"] = got["cache_salt"], "small@1"
		if stream {
			sent["stream_options"] = map[string]any{"include_usage": true}
		}
		c.Check(got, qt.DeepEquals, sent)
		c.Check(strings.Count(string(body), `"model"`), qt.Equals, 1)
	}
}

// TestPrefixHash checks that prompts shorter than one block have no prefix hash, that other
// prompts have the hash that engines compute, and that it differs between organisations.
func TestPrefixHash(t *testing.T) {
	c := qt.New(t)
	for length := 1; length < 3*engine.PrefixBlockBytes; length += 7 {
		messages, err := json.Marshal([]any{map[string]any{"role": "user", "content": strings.Repeat("x", length)}})
		c.Assert(err, qt.IsNil)
		body, err := encodeJSON(map[string]json.RawMessage{"cache_salt": cacheSalt("depot"), "messages": messages})
		c.Assert(err, qt.IsNil)
		text, err := engine.PromptText(body)
		c.Assert(err, qt.IsNil)
		var wanted uint64
		if hashes := engine.PromptPrefixes(text, maxPrefixBlocks); len(hashes) > 0 {
			wanted = hashes[len(hashes)-1]
		}
		c.Assert(prefixHash("depot", messages), qt.Equals, wanted)
		c.Assert(wanted == 0 || prefixHash("kiosks", messages) != wanted, qt.IsTrue)
	}
}
