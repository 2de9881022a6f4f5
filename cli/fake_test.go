package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/bronzeturn/bronzeturn/callerapi"
	qt "github.com/frankban/quicktest"
)

// outcome is what one run of the command line gave.
type outcome struct {
	code           int
	stdout, stderr string
}

// run runs the command line.
func run(t *testing.T, args ...string) outcome {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := Run(t.Context(), args, &stdout, &stderr, Commands{})
	return outcome{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

// decode parses JSON output into v.
func decode(t *testing.T, text string, v any) {
	t.Helper()
	qt.Assert(t, json.Unmarshal([]byte(text), v), qt.IsNil, qt.Commentf("%s", text))
}

// entry is a fake daemon as callers see it.
type entry struct {
	*httptest.Server
	// chat answers requests to models and services.
	chat http.HandlerFunc

	mu         sync.Mutex
	entries    callerapi.Entries
	asked      int
	requests   []*http.Request
	bodies     []string
	entriesErr int
}

// newEntry starts a fake daemon that names itself to callers.
func newEntry(t *testing.T, chat http.HandlerFunc) *entry {
	t.Helper()
	e := &entry{chat: chat}
	e.Server = httptest.NewServer(e)
	e.entries = callerapi.Entries{Addresses: []string{e.address()}, KeepSeconds: 60}
	t.Cleanup(e.Close)
	return e
}

func (e *entry) address() string { return e.Listener.Addr().String() }

// ServeHTTP implements http.Handler.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == callerapi.PathEntries {
		e.serveEntries(w)
		return
	}
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.requests = append(e.requests, r)
	e.bodies = append(e.bodies, string(body))
	e.mu.Unlock()
	e.chat(w, r)
}

func (e *entry) serveEntries(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	if e.entriesErr != 0 {
		w.WriteHeader(e.entriesErr)
		return
	}
	_ = json.NewEncoder(w).Encode(e.entries)
}

func (e *entry) received() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// whole answers in one piece.
func whole(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(callerapi.HeaderVersion, "diag-large@3")
	w.Header().Set(callerapi.HeaderRequestID, "r1")
	_, _ = io.WriteString(w, `{"model":"diag-large@3","choices":[{"message":{"role":"assistant","content":"all good"},"finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":2}}`)
}

// stream answers with the given data of events.
func stream(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentStream)
		for _, event := range events {
			fmt.Fprintf(w, "data: %s\n\n", event)
		}
	}
}

const (
	eventText   = `{"choices":[{"delta":{"content":"all "}}]}`
	eventFinish = `{"choices":[{"delta":{"content":"good"},"finish_reason":"stop"}]}`
	eventUsage  = `{"choices":[],"usage":{"prompt_tokens":4,"completion_tokens":2}}`
	eventBroken = `{"error":{"code":"answer_broken","message":"engine gone","ran":"yes"}}`
)

// refuse answers with a failure.
func refuse(status int, detail callerapi.ErrorDetail) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(callerapi.ErrorBody{Error: detail})
	}
}

// drop closes the connection without an answer.
func drop(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// deadAddress returns an address on which nothing listens.
func deadAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, l.Close(), qt.IsNil)
	return l.Addr().String()
}

// contains tells whether text holds every part.
func contains(text string, parts ...string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}
