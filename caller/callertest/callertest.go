// Package callertest provides a fake daemon for tests of package caller and its users.
package callertest

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"

	"github.com/bronzeturn/bronzeturn/callerapi"
)

// keepSeconds is how long clients may cache the entry addresses.
const keepSeconds = 60

// Data of the events of a streamed answer. EventText and EventFinish together give the
// text "all good".
const (
	EventText   = `{"choices":[{"delta":{"content":"all "}}]}`
	EventFinish = `{"choices":[{"delta":{"content":"good"},"finish_reason":"stop"}]}`
	EventUsage  = `{"choices":[],"usage":{"prompt_tokens":4,"completion_tokens":2}}`
	EventBroken = `{"error":{"code":"answer_broken","message":"engine gone","ran":"yes"}}`
	EventDone   = "[DONE]"
)

// Entry is a fake daemon. It must be closed after use.
type Entry struct {
	*httptest.Server
	// chat handles requests to models and services.
	chat http.HandlerFunc

	mu             sync.Mutex
	entries        callerapi.Entries
	entriesQueries int
	requests       []Request
}

// Request is one request that the fake received.
type Request struct {
	Header http.Header
	Body   string
}

// NewEntry starts a fake daemon whose list of entry addresses is its own address. chat
// handles requests to models and services.
func NewEntry(chat http.HandlerFunc) *Entry {
	e := &Entry{chat: chat}
	e.Server = httptest.NewServer(e)
	e.SetAddresses(e.Address())
	return e
}

// Address returns the address on which the daemon listens.
func (e *Entry) Address() string { return e.Listener.Addr().String() }

// SetAddresses sets the entry addresses that the daemon returns.
func (e *Entry) SetAddresses(addresses ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries = callerapi.Entries{Addresses: addresses, KeepSeconds: keepSeconds}
}

// EntriesQueries returns how often the entry addresses were fetched.
func (e *Entry) EntriesQueries() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entriesQueries
}

// Requests returns the requests to models and services received so far.
func (e *Entry) Requests() []Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[:len(e.requests):len(e.requests)]
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == callerapi.PathEntries {
		e.serveEntries(w)
		return
	}
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.requests = append(e.requests, Request{Header: r.Header, Body: string(body)})
	e.mu.Unlock()
	e.chat(w, r)
}

func (e *Entry) serveEntries(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entriesQueries++
	_ = json.NewEncoder(w).Encode(e.entries)
}

// AnswerWhole answers with "all good" in one piece.
func AnswerWhole(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(callerapi.HeaderVersion, "diag-large@3")
	w.Header().Set(callerapi.HeaderRequestID, "r1")
	_, _ = io.WriteString(w, `{"model":"diag-large@3","choices":[{"message":{"role":"assistant","content":"all good"},"finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":2}}`)
}

// Stream returns a handler that answers with a stream of the given events' data.
func Stream(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, event := range events {
			fmt.Fprintf(w, "data: %s\n\n", event)
		}
	}
}

// Refuse returns a handler that answers with an error.
func Refuse(status int, detail callerapi.ErrorDetail) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(callerapi.ErrorBody{Error: detail})
	}
}

// DropConnection closes the connection without an answer.
func DropConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
