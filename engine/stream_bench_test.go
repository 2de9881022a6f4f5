package engine_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/standin"
)

// cannedTransport answers every request with the same body. If slow is set, each read
// returns one byte.
type cannedTransport struct {
	body []byte
	slow bool
}

func (t cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	_ = r.Body.Close()
	var body io.Reader = bytes.NewReader(t.body)
	if t.slow {
		body = iotest.OneByteReader(body)
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(body)}, nil
}

// cannedAnswer returns a transport whose answer has so many token events and [DONE].
func cannedAnswer(tokens int) cannedTransport {
	return cannedTransport{body: []byte(strings.Repeat(token, tokens) + "data: [DONE]\n\n")}
}

// token is an event with one token as engines send it.
const token = `data: {"id":"cmpl-1","object":"chat.completion.chunk","created":0,"model":"diag@1",` +
	`"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}` + "\n\n"

// readAll sends a request, reads the stream to its end, and counts events and bytes.
func readAll(client *engine.Client, r engine.Request) (events, size int, err error) {
	s, err := client.Open(context.Background(), r)
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	for {
		event, err := s.Next()
		if err != nil {
			return events, size, err
		}
		events++
		size += len(event.Data)
		if event.Last {
			return events, size, nil
		}
	}
}

// maxStreamAllocs bounds the allocations of a request, independent of the length of its
// answer.
const maxStreamAllocs = 60

func TestStreamDoesNotAllocatePerToken(t *testing.T) {
	c := qt.New(t)
	r := request("127.0.0.1:1", true, 1)
	r.ProgressTimeout = time.Minute
	allocs := func(tokens int) float64 {
		client := engine.New(cannedAnswer(tokens))
		return testing.AllocsPerRun(20, func() {
			if events, _, err := readAll(client, r); err != nil || events != tokens+1 {
				panic(errors.Join(err, errors.New("stream was not read to its end")))
			}
		})
	}
	short, long := allocs(10), allocs(10_000)
	c.Logf("allocations: %v for 10 tokens, %v for 10,000", short, long)
	c.Assert(short <= maxStreamAllocs, qt.IsTrue, qt.Commentf("%v", short))
	c.Assert(long <= maxStreamAllocs, qt.IsTrue, qt.Commentf("%v", long))
}

// BenchmarkStreamDecode measures the client without a network.
func BenchmarkStreamDecode(b *testing.B) {
	const tokens = 1000
	client := engine.New(cannedAnswer(tokens))
	r := request("127.0.0.1:1", true, 1)
	r.ProgressTimeout = time.Minute
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := readAll(client, r); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)*tokens/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkStreamOverLoopback measures the client with a stand-in engine that sends as
// fast as it can, both in this process.
func BenchmarkStreamOverLoopback(b *testing.B) {
	const tokens = 1000
	c := qt.New(b)
	e := standin.NewEngine(standin.EngineConfig{Versions: []string{version}, AnswerTokens: 4 * tokens, Slots: 64})
	address, client := serve(c, e), newClient(c)
	r := request(address, true, tokens)
	r.ProgressTimeout = time.Minute
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if events, _, err := readAll(client, r); err != nil || events != tokens+3 {
				b.Error(events, err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)*tokens/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkPacedStreams measures 1,000 concurrent streams of 50 tokens a second each from
// one stand-in engine.
func BenchmarkPacedStreams(b *testing.B) {
	const streams, tokens = 1000, 100
	c := qt.New(b)
	e := standin.NewEngine(standin.EngineConfig{
		Versions: []string{version}, AnswerTokens: 4 * tokens, Slots: streams, TokensPerSecond: 50,
	})
	transport := &http.Transport{MaxIdleConnsPerHost: streams}
	defer transport.CloseIdleConnections()
	address, client := serve(c, e), engine.New(transport)
	r := request(address, true, tokens)
	b.ResetTimer()
	for b.Loop() {
		failed := make(chan error, streams)
		for range streams {
			go func() {
				_, _, err := readAll(client, r)
				failed <- err
			}()
		}
		for range streams {
			if err := <-failed; err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.N)*streams*tokens/b.Elapsed().Seconds(), "tokens/s")
}
