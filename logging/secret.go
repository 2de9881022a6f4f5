package logging

import (
	"fmt"
	"io"
)

// redacted replaces a secret in every output.
const redacted = "[redacted]"

// Secret holds a text, such as a key, that is redacted wherever it is logged, formatted or
// encoded. Secrets must be compared by their digests, in constant time.
type Secret struct {
	text string
}

// NewSecret returns a Secret that holds text.
func NewSecret(text string) Secret { return Secret{text: text} }

// Reveal returns the text. The caller must not log it.
func (s Secret) Reveal() string { return s.text }

// String implements fmt.Stringer.
func (Secret) String() string { return redacted }

// Format implements fmt.Formatter. It writes redacted for every verb.
func (Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText implements encoding.TextMarshaler, which JSON and YAML encoders use too.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
