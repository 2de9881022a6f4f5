package engine

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of one block of a prompt for prefix hashes.
const PrefixBlockBytes = 256

// promptBody holds the fields of a request that make up its prompt. The salt separates
// the cache entries of different organisations.
type promptBody struct {
	CacheSalt string          `json:"cache_salt"`
	Messages  []promptMessage `json:"messages"`
}

// promptMessage holds the fields of a message that are part of the prompt.
type promptMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// PromptText returns the prompt of a request body in the form over which prefix hashes
// are computed.
func PromptText(body []byte) ([]byte, error) {
	var p promptBody
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("decode prompt: %w", err)
	}
	text := make([]byte, 0, len(body))
	text = append(text, p.CacheSalt...)
	text = append(text, 0)
	for _, m := range p.Messages {
		text = m.appendText(text)
	}
	return text, nil
}

// PromptStart returns at least the first size bytes of the text that PromptText returns for a salt and a
// JSON array of messages, or all of it if it is shorter. It decodes no message behind that.
func PromptStart(salt string, messages []byte, size int) ([]byte, error) {
	text := append([]byte(salt), 0)
	decoder := json.NewDecoder(bytes.NewReader(messages))
	if start, err := decoder.Token(); err != nil || start != json.Delim('[') {
		return nil, fmt.Errorf("decode prompt: the messages are no array: %w", err)
	}
	for len(text) < size && decoder.More() {
		var m promptMessage
		if err := decoder.Decode(&m); err != nil {
			return nil, fmt.Errorf("decode prompt: %w", err)
		}
		text = m.appendText(text)
	}
	return text, nil
}

// appendText appends the text of the message.
func (m *promptMessage) appendText(text []byte) []byte {
	text = append(text, m.Role...)
	text = append(text, 0)
	text = appendContent(text, m.Content)
	return append(text, 0)
}

// appendContent appends the text of a content value: the string itself, or the
// compact JSON of a structured one, so that spacing and escapes do not matter.
func appendContent(text []byte, content json.RawMessage) []byte {
	var plain string
	if json.Unmarshal(content, &plain) == nil {
		return append(text, plain...)
	}
	var compact bytes.Buffer
	// The content was decoded as JSON before, so compacting it cannot fail.
	_ = json.Compact(&compact, content)
	return append(text, compact.Bytes()...)
}

// PromptPrefixes returns the prefix hashes of a prompt, at most limit of them: the hash
// at index i covers the blocks 0 to i. An incomplete last block is ignored. Engines use
// the same hashes in their cache events.
func PromptPrefixes(text []byte, limit int) []uint64 {
	count := min(len(text)/PrefixBlockBytes, limit)
	hashes := make([]uint64, 0, max(count, 0))
	digest := xxhash.New()
	for i := range count {
		// Write of a hash never fails.
		_, _ = digest.Write(text[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
