package router

import (
	"bytes"
	"encoding/json"
	"iter"
	"slices"

	"github.com/bronzeturn/bronzeturn/quarantine"
)

// maxFields bounds the fields of an object in a request that the router decodes. Each of them takes far
// more memory than its text.
const maxFields = 1024

// separators returns the positions of the commas between the elements of a JSON array, or between the
// fields of an object. It allocates nothing.
func separators(value []byte) iter.Seq[int] {
	return func(yield func(int) bool) {
		depth, inString, escaped := 0, false, false
		for i, c := range value {
			switch {
			case escaped:
				escaped = false
			case inString:
				escaped, inString = c == '\\', c != '"'
			case c == '"':
				inString = true
			case c == '[' || c == '{':
				depth++
			case c == ']' || c == '}':
				depth--
			case c == ',' && depth == 1 && !yield(i):
				return
			}
		}
	}
}

// tooManyFields reports whether a JSON object has more than maxFields fields.
func tooManyFields(object []byte) bool {
	fields := 1
	for range separators(object) {
		if fields++; fields > maxFields {
			return true
		}
	}
	return false
}

// elementsBeforeLast returns the elements of a JSON array but the last. Of long arrays, it returns the
// first and the last of them, as many as have quarantine keys. It allocates nothing for a single
// element, which most requests have.
func elementsBeforeLast(array json.RawMessage) (elements []string) {
	if !bytes.HasPrefix(bytes.TrimSpace(array), []byte("[")) {
		return nil
	}
	// span is an element's text.
	type span struct{ start, end int }
	var spans []span
	start := bytes.IndexByte(array, '[') + 1
	for i := range separators(array) {
		if len(spans) == quarantine.MaxSharedParts {
			const kept = quarantine.MaxSharedParts / 2
			spans = slices.Delete(spans, kept, kept+1)
		}
		spans = append(spans, span{start, i})
		start = i + 1
	}
	for _, s := range spans {
		elements = append(elements, string(bytes.TrimSpace(array[s.start:s.end])))
	}
	return elements
}
