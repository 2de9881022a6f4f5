package cli

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/bronzeturn/bronzeturn/caller/callertest"
	qt "github.com/frankban/quicktest"
)

// outcome is the result of one run of the command line.
type outcome struct {
	code           int
	stdout, stderr string
}

// run runs the command line with args, without a demo.
func run(t *testing.T, args ...string) outcome {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := Run(t.Context(), args, &stdout, &stderr, Commands{})
	return outcome{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

// decode decodes JSON output into v.
func decode(t *testing.T, text string, v any) {
	t.Helper()
	qt.Assert(t, json.Unmarshal([]byte(text), v), qt.IsNil, qt.Commentf("%s", text))
}

// newEntry starts a fake daemon whose list of entry addresses is its own address.
func newEntry(t *testing.T, chat http.HandlerFunc) *callertest.Entry {
	t.Helper()
	e := callertest.NewEntry(chat)
	t.Cleanup(e.Close)
	return e
}

// deadAddress returns an address on which no process listens.
func deadAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, l.Close(), qt.IsNil)
	return l.Addr().String()
}

// contains reports whether text contains every part.
func contains(text string, parts ...string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}
