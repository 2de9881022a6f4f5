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
	CacheSalt string `json:"cache_salt"`
	Messages  []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
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
		text = append(text, m.Role...)
		text = append(text, 0)
		text = appendContent(text, m.Content)
		text = append(text, 0)
	}
	return text, nil
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
