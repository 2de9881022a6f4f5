package settings

import (
	"fmt"
	"io"
	"strings"
)

const documentHead = `# Settings of the daemon

Generated from proto/bronzeturn/v1/settings.proto by
` + "`go test ./settings -run TestDocument -update`" + `. Do not edit.

A flag goes before its environment variable, a variable before the default. An
empty variable counts as absent. A wrong or contradictory setting is refused at
start; all faults are listed at once. Durations are written as 500ms, 30s, 10m.

| flag | variable | default | unit | bounds | meaning |
|---|---|---|---|---|---|
`

// WriteDocument writes the reference of all settings as a Markdown table.
func WriteDocument(w io.Writer) error {
	var b strings.Builder
	b.WriteString(documentHead)
	for _, o := range options {
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s | %s | %s |\n",
			o.flag.GetName(), o.flag.GetEnv(), o.documentDefault(), o.flag.GetUnit(), o.documentBounds(), o.flag.GetHelp())
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write settings document: %w", err)
	}
	return nil
}

func (o option) documentDefault() string {
	switch {
	case o.flag.GetDefault() != "":
		return "`" + o.flag.GetDefault() + "`"
	case o.flag.GetRequired():
		return "none, required"
	case o.isBool():
		return "`false`"
	default:
		return ""
	}
}

func (o option) documentBounds() string {
	switch {
	case o.flag.GetMax() != "":
		return o.flag.GetMin() + " to " + o.flag.GetMax()
	case len(o.flag.GetValues()) > 0:
		return strings.Join(o.flag.GetValues(), ", ")
	default:
		return ""
	}
}
