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

// fixedAnswer is the transport of an engine that answers every request with the same
// bytes.
type fixedAnswer []byte

// RoundTrip implements http.RoundTripper.
func (b fixedAnswer) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := httptrace.ContextClientTrace(req.Context())
	trace.GetConn(req.URL.Host)
	trace.GotConn(httptrace.GotConnInfo{})
	trace.WroteHeaders()
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(b)), ContentLength: -1}, nil
}

// fixedStream returns a streamed answer of the given number of tokens.
func fixedStream(tokens int) fixedAnswer {
	const event = `data: {"id":"cmpl-1","object":"chat.completion.chunk","created":0,"model":"small@1","choices":[{"index":0,"delta":{"content":"battery "},"finish_reason":null}]}` + "\n\n"
	const usage = `data: {"choices":[],"usage":{"prompt_tokens":10,"completion_tokens":3}}` + "\n\ndata: [DONE]\n\n"
	return fixedAnswer(strings.Repeat(event, tokens) + usage)
}

// sendWithAnswer sends one streamed request whose engine answers with b.
func (s *fixture) sendWithAnswer(t testing.TB, b fixedAnswer) {
	s.EngineClient = engine.New(b)
	w := &discardWriter{header: make(http.Header)}
	s.serveTo(w, callerRequest{stream: true}.request())
	if !w.ended() {
		t.Fatalf("stream ended with %q", w.end)
	}
}

// TestStreamedEventsDoNotAllocate guards against allocations per event of a stream. It
// compares the allocations of a short and a long stream.
func TestStreamedEventsDoNotAllocate(t *testing.T) {
	s := newFixture(t)
	s.ledger.instant = true
	s.Log = zerolog.New(io.Discard)
	const runs, tokens = 20, 5000
	short, long := fixedStream(tokens), fixedStream(2*tokens)
	few := testing.AllocsPerRun(runs, func() { s.sendWithAnswer(t, short) })
	many := testing.AllocsPerRun(runs, func() { s.sendWithAnswer(t, long) })
	perEvent := (many - few) / tokens
	qt.Assert(t, perEvent < 0.01, qt.IsTrue, qt.Commentf("%v allocations per event: %v for %d, %v for %d", perEvent, few, tokens, many, 2*tokens))
}

// maxRequestAllocations bounds the allocations of one request without sockets. A request
// makes about 157; the rest is headroom.
const maxRequestAllocations = 200

func TestRequestAllocationsAreBounded(t *testing.T) {
	s := newFixture(t)
	s.ledger.instant = true
	s.Log = zerolog.New(io.Discard)
	answer := fixedStream(16)
	allocations := testing.AllocsPerRun(100, func() { s.sendWithAnswer(t, answer) })
	qt.Assert(t, allocations <= maxRequestAllocations, qt.IsTrue, qt.Commentf("%v allocations", allocations))
}

// BenchmarkRequest measures one request of 16 streamed tokens, without sockets.
func BenchmarkRequest(b *testing.B) {
	s := newFixture(b)
	s.ledger.instant = true
	s.Log = zerolog.New(io.Discard)
	answer := fixedStream(16)
	b.ReportAllocs()
	for b.Loop() {
		s.sendWithAnswer(b, answer)
	}
}

// BenchmarkStreamedEvent measures one event of a stream, without sockets.
func BenchmarkStreamedEvent(b *testing.B) {
	s := newFixture(b)
	s.ledger.instant = true
	s.Log = zerolog.New(io.Discard)
	const tokens = 1000
	answer := fixedStream(tokens)
	b.ReportAllocs()
	for b.Loop() {
		s.sendWithAnswer(b, answer)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/event")
}
