// Package jsonparts splits JSON objects and arrays into their parts without decoding these, so that a
// part that cannot be decoded, or is nested too deeply for encoding/json, does not make the others
// unreadable. Parts are not validated beyond their brackets and strings.
package jsonparts

import (
	"encoding/json"
	"errors"
	"iter"
)

// Errors of documents that cannot be split.
var (
	// ErrNotObject and ErrNotArray report a document of another type.
	ErrNotObject = errors.New("not a JSON object")
	ErrNotArray  = errors.New("not a JSON array")
	// ErrTruncated reports a document that ends early, ErrMalformed one without the separators between
	// its parts.
	ErrTruncated = errors.New("the JSON document is truncated")
	ErrMalformed = errors.New("the JSON document is malformed")
)

// Fields returns the fields of an object, the last of those with the same name. The values are parts of
// data. The value null gives no fields.
func Fields(data []byte) (map[string]json.RawMessage, error) {
	if isNull(data) {
		return nil, nil
	}
	fields := make(map[string]json.RawMessage)
	for part, err := range parts(data, '{', '}', ErrNotObject) {
		if err != nil {
			return nil, err
		}
		end := skipString(part, 0)
		if end < 0 {
			return nil, ErrMalformed
		}
		var name string
		if err := json.Unmarshal(part[:end], &name); err != nil {
			return nil, ErrMalformed
		}
		colon := skipSpace(part, end)
		if colon == len(part) || part[colon] != ':' {
			return nil, ErrMalformed
		}
		fields[name] = trim(part[colon+1:])
	}
	return fields, nil
}

// Elements returns the elements of an array, which are parts of data. The value null gives none.
func Elements(data []byte) ([]json.RawMessage, error) {
	if isNull(data) {
		return nil, nil
	}
	var elements []json.RawMessage
	for part, err := range parts(data, '[', ']', ErrNotArray) {
		if err != nil {
			return nil, err
		}
		elements = append(elements, json.RawMessage(part))
	}
	return elements, nil
}

// parts yields what is between the commas of an object or array.
func parts(data []byte, open, closing byte, wrongType error) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		data = trim(data)
		switch {
		case len(data) == 0:
			yield(nil, ErrTruncated)
			return
		case data[0] != open:
			yield(nil, wrongType)
			return
		}
		begin, depth := 1, 1
		for at := 1; at < len(data); at++ {
			switch data[at] {
			case '"':
				end := skipString(data, at)
				if end < 0 {
					yield(nil, ErrTruncated)
					return
				}
				at = end - 1
			case '{', '[':
				depth++
			case '}', ']':
				depth--
			case ',':
				if depth == 1 {
					if !yield(trim(data[begin:at]), nil) {
						return
					}
					begin = at + 1
				}
			}
			if depth == 0 {
				last := trim(data[begin:at])
				switch {
				case data[at] != closing || at != len(data)-1:
					yield(nil, ErrMalformed)
				case len(last) > 0:
					yield(last, nil)
				case begin > 1:
					yield(nil, ErrMalformed) // A comma without a part after it.
				}
				return
			}
		}
		yield(nil, ErrTruncated)
	}
}

// skipString returns the position after the string that begins at a position, -1 if there is none.
func skipString(data []byte, at int) int {
	if at >= len(data) || data[at] != '"' {
		return -1
	}
	for at++; at < len(data); at++ {
		switch data[at] {
		case '\\':
			at++
		case '"':
			return at + 1
		}
	}
	return -1
}

// isSpace reports whether a byte is white space.
func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\n' || b == '\r' }

// skipSpace returns the position of the first byte from a position on that is no white space.
func skipSpace(data []byte, at int) int {
	for at < len(data) && isSpace(data[at]) {
		at++
	}
	return at
}

// trim returns data without the white space around it.
func trim(data []byte) []byte {
	data = data[skipSpace(data, 0):]
	for len(data) > 0 && isSpace(data[len(data)-1]) {
		data = data[:len(data)-1]
	}
	return data
}

func isNull(data []byte) bool { return string(trim(data)) == "null" }
