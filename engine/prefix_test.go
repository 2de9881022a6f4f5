package engine_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/engine"
)

// TestPromptStartIsTheStartOfThePrompt compares both ways to get the text of a prompt.
func TestPromptStartIsTheStartOfThePrompt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.OneOf(
			rapid.Map(rapid.IntRange(0, 600), func(n int) any { return strings.Repeat("x", n) }),
			rapid.SampledFrom([]any{nil, "a\"b", []any{map[string]any{"text": "é"}}, 7.5}),
		)
		var messages []any
		for range rapid.IntRange(0, 6).Draw(t, "messages") {
			messages = append(messages, map[string]any{"role": rapid.SampledFrom([]string{"", "user"}).Draw(t, "role"), "content": content.Draw(t, "content")})
		}
		list, err := json.Marshal(append([]any{}, messages...))
		if err != nil {
			t.Fatal(err)
		}
		whole, err := engine.PromptText([]byte(`{"cache_salt":"salt","messages":` + string(list) + `}`))
		if err != nil {
			t.Fatal(err)
		}
		size := rapid.IntRange(0, 1500).Draw(t, "size")
		start, err := engine.PromptStart("salt", list, size)
		if err != nil || !bytes.HasPrefix(whole, start) || len(start) < min(size, len(whole)) {
			t.Fatalf("%d bytes of %d, at least %d wanted: %v", len(start), len(whole), size, err)
		}
	})
}
