package router

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/engine"
)

// canned is an engine that answers each request with the same bytes.
type canned []byte

// RoundTrip implements http.RoundTripper.
func (b canned) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := httptrace.ContextClientTrace(req.Context())
	trace.GetConn(req.URL.Host)
	trace.GotConn(httptrace.GotConnInfo{})
	trace.WroteHeaders()
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(b)), ContentLength: -1}, nil
}

// cannedStream is a streamed answer of so many tokens.
func cannedStream(tokens int) canned {
	const event = `data: {"id":"cmpl-1","object":"chat.completion.chunk","created":0,"model":"small@1","choices":[{"index":0,"delta":{"content":"battery "},"finish_reason":null}]}` + "\n\n"
	const usage = `data: {"choices":[],"usage":{"prompt_tokens":10,"completion_tokens":3}}` + "\n\ndata: [DONE]\n\n"
	return canned(strings.Repeat(event, tokens) + usage)
}

// askCanned sends one streamed request whose engine answers with b.
func (s *site) askCanned(t testing.TB, b canned) {
	s.EngineClient = engine.New(b)
	w := &discardWriter{header: make(http.Header)}
	s.serveTo(w, ask{stream: true}.request())
	if !w.ended() {
		t.Fatalf("stream ended with %q", w.end)
	}
}

// A streamed event costs no allocation.
func TestStreamedEventsDoNotAllocate(t *testing.T) {
	s := newSite(t)
	s.ledger.instant = true
	s.Log = zerolog.New(io.Discard)
	const runs, tokens = 20, 5000
	short, long := cannedStream(tokens), cannedStream(2*tokens)
	few := testing.AllocsPerRun(runs, func() { s.askCanned(t, short) })
	many := testing.AllocsPerRun(runs, func() { s.askCanned(t, long) })
	perEvent := (many - few) / tokens
	qt.Assert(t, perEvent < 0.01, qt.IsTrue, qt.Commentf("%v allocations per event: %v for %d, %v for %d", perEvent, few, tokens, many, 2*tokens))
}

// maxRequestAllocations bounds a whole request without sockets; 157 were
// measured.
const maxRequestAllocations = 200

func TestRequestAllocationsAreBounded(t *testing.T) {
	s := newSite(t)
	s.ledger.instant = true
	s.Log = zerolog.New(io.Discard)
	answer := cannedStream(16)
	allocations := testing.AllocsPerRun(100, func() { s.askCanned(t, answer) })
	qt.Assert(t, allocations <= maxRequestAllocations, qt.IsTrue, qt.Commentf("%v allocations", allocations))
}

// BenchmarkRequest is one request of 16 streamed tokens, without sockets.
func BenchmarkRequest(b *testing.B) {
	s := newSite(b)
	s.ledger.instant = true
	s.Log = zerolog.New(io.Discard)
	answer := cannedStream(16)
	b.ReportAllocs()
	for b.Loop() {
		s.askCanned(b, answer)
	}
}

// BenchmarkStreamedEvent is one event of a stream, without sockets.
func BenchmarkStreamedEvent(b *testing.B) {
	s := newSite(b)
	s.ledger.instant = true
	s.Log = zerolog.New(io.Discard)
	const tokens = 1000
	answer := cannedStream(tokens)
	b.ReportAllocs()
	for b.Loop() {
		s.askCanned(b, answer)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/event")
}
