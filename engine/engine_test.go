package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/standin"
)

const version = "diag@1"

// serve runs a stand-in server until the test ends and returns its address.
func serve(c *qt.C, s standin.Server) string {
	address, wait, err := standin.Start(c.Context(), s)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(wait(), qt.IsNil) })
	return address
}

func newClient(c *qt.C) *engine.Client {
	t := &http.Transport{}
	c.Cleanup(t.CloseIdleConnections)
	return engine.New(t)
}

// request returns a request for at most so many answer tokens.
func request(address string, stream bool, tokens int) engine.Request {
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"check 7"}]}`,
		version, stream, tokens)
	return engine.Request{
		Address: address, RequestID: "r1", Version: version, Body: []byte(body), Stream: stream,
	}
}

// answerText reads a stream to its end and joins the text of its events.
func answerText(s *engine.Stream) (text string, events int, err error) {
	for {
		event, err := s.Next()
		if err != nil {
			return text, events, err
		}
		events++
		text += eventText(event.Data)
		if event.Last {
			return text, events, nil
		}
	}
}

func eventText(data []byte) string {
	var v struct {
		Choices []struct {
			Delta   struct{ Content string }
			Message struct{ Content string }
		}
	}
	body := strings.TrimPrefix(string(data), "data: ")
	if json.Unmarshal([]byte(body), &v) != nil || len(v.Choices) == 0 {
		return ""
	}
	return v.Choices[0].Delta.Content + v.Choices[0].Message.Content
}

func TestCompleteAnswer(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream=%v", stream), func(t *testing.T) {
			c := qt.New(t)
			address := serve(c, standin.NewEngine(standin.EngineConfig{Versions: []string{version}}))
			r := request(address, stream, 5)
			s, err := newClient(c).Open(context.Background(), r)
			c.Assert(err, qt.IsNil)
			defer s.Close()
			text, events, err := answerText(s)
			c.Assert(err, qt.IsNil)
			c.Assert(standin.CheckAnswer(r.Body, text), qt.IsNil)
			usage, ok := s.Usage()
			c.Assert(ok, qt.IsTrue)
			c.Assert(usage.CompletionTokens, qt.Equals, int64(5))
			c.Assert(usage.PromptTokens > 0, qt.IsTrue)
			if stream {
				c.Assert(events, qt.Equals, 5+3) // Tokens, finish, usage, [DONE].
			}
		})
	}
}

// errorOf sends a request, reads its answer until it fails, and returns the error.
func errorOf(c *qt.C, client *engine.Client, ctx context.Context, r engine.Request) *engine.Error {
	s, err := client.Open(ctx, r)
	if err == nil {
		defer s.Close()
		_, _, err = answerText(s)
	}
	var failed *engine.Error
	c.Assert(errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
	return failed
}

// serveRaw starts a server that writes raw to the connection as its answer.
func serveRaw(c *qt.C, raw string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, raw)
	}))
	c.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func chunked(parts ...string) string {
	raw := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, p := range parts {
		raw += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
	}
	return raw
}

const (
	oneToken  = "data: {\"choices\":[]}\n\n"
	lastChunk = "0\r\n\r\n"
)

func TestErrorKindAndRan(t *testing.T) {
	status := func(line, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", line, header, len(body), body)
	}
	tests := []struct {
		name   string
		raw    string
		stream bool
		kind   engine.ErrorKind
		ran    failure.Ran
	}{
		{"refused by header", status("503 Busy", "X-Not-Run: true\r\n", ""), true, engine.KindRefused, failure.RanNo},
		{"refused by type", status("503 Busy", "", `{"error":{"type":"not_run"}}`), true, engine.KindRefused, failure.RanNo},
		{"version not loaded", status("404 None", "X-Not-Run: true\r\n", ""), true, engine.KindRefused, failure.RanNo},
		{"too many requests", status("429 Busy", "", ""), true, engine.KindRefused, failure.RanNo},
		{"unmarked 503", status("503 Busy", "", ""), true, engine.KindFailed, failure.RanUnknown},
		{"500", status("500 Oops", "", "text"), true, engine.KindFailed, failure.RanUnknown},
		{"400", status("400 Bad", "", ""), true, engine.KindRejected, failure.RanNo},
		{"fenced", status("409 Old", "", `{"error":{"type":"fenced"}}`), true, engine.KindFenced, failure.RanNo},
		{"no answer", "", true, engine.KindBroken, failure.RanUnknown},
		{"incomplete status line", "HTTP/1.1 200", true, engine.KindBroken, failure.RanUnknown},
		{"stream cut", chunked(oneToken), true, engine.KindBroken, failure.RanYes},
		{"stream cut inside an event", chunked("data: {"), true, engine.KindBroken, failure.RanYes},
		{"chunked body ends without [DONE]", chunked(oneToken) + lastChunk, true, engine.KindBroken, failure.RanYes},
		{"[DONE] without its blank line", chunked(oneToken, "data: [DONE]\n") + lastChunk, true, engine.KindBroken, failure.RanYes},
		{"error inside the stream", chunked(oneToken, "data: {\"error\":{}}\n\n"), true, engine.KindFailed, failure.RanYes},
		{"short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", false, engine.KindBroken, failure.RanYes},
		{"body of unknown length cut", "HTTP/1.1 200 OK\r\n\r\n{\"a\":", false, engine.KindBroken, failure.RanYes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := request(serveRaw(c, test.raw), test.stream, 1)
			failed := errorOf(c, newClient(c), context.Background(), r)
			c.Assert(failed.Kind, qt.Equals, test.kind, qt.Commentf("%v", failed))
			c.Assert(failed.Ran, qt.Equals, test.ran)
		})
	}
}

func TestRetryAfterIsRead(t *testing.T) {
	c := qt.New(t)
	address := serveRaw(c, "HTTP/1.1 429 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")
	failed := errorOf(c, newClient(c), context.Background(), request(address, true, 1))
	c.Assert(failed.RetryAfter, qt.Equals, 2*time.Second)
	c.Assert(failed.Status, qt.Equals, http.StatusTooManyRequests)
}

func TestUnreachableEngineDidNotRun(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	failed := errorOf(c, newClient(c), context.Background(), request(l.Addr().String(), true, 1))
	c.Assert(failed.Kind, qt.Equals, engine.KindUnreachable)
	c.Assert(failed.Ran, qt.Equals, failure.RanNo)
}

func TestLostAnswerIsUnknownAndRanOnce(t *testing.T) {
	c := qt.New(t)
	e := standin.NewEngine(standin.EngineConfig{Versions: []string{version}})
	address, client := serve(c, e), newClient(c)
	first := request(address, true, 1)
	first.RequestID = "warm-up"
	s, err := client.Open(context.Background(), first)
	c.Assert(err, qt.IsNil)
	_, _, err = answerText(s)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)

	e.SetFaults(standin.Faults{LoseAnswers: 1})
	failed := errorOf(c, client, context.Background(), request(address, true, 1))
	c.Assert(failed.Kind, qt.Equals, engine.KindBroken)
	c.Assert(failed.Ran, qt.Equals, failure.RanUnknown)
	c.Assert(e.Executions()["r1"], qt.Equals, 1)
}

func TestSilentConnectionIsDroppedAndNotReused(t *testing.T) {
	c := qt.New(t)
	e := standin.NewEngine(standin.EngineConfig{Versions: []string{version}})
	address, client := serve(c, e), newClient(c)
	r := request(address, true, 1)
	s, err := client.Open(context.Background(), r)
	c.Assert(err, qt.IsNil)
	_, _, err = answerText(s)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Close(), qt.IsNil) // The connection is idle now and will be reused.

	e.SetFaults(standin.Faults{SilenceConnections: true})
	r.ProgressTimeout = 50 * time.Millisecond
	failed := errorOf(c, client, context.Background(), r)
	c.Assert(failed.Kind, qt.Equals, engine.KindSilent)
	c.Assert(failed.Ran, qt.Equals, failure.RanUnknown)

	r.ProgressTimeout = 0
	s, err = client.Open(context.Background(), r)
	c.Assert(err, qt.IsNil)
	defer s.Close()
	_, _, err = answerText(s)
	c.Assert(err, qt.IsNil)
}

func TestCloseCancelsTheWorkAndFreesTheSlot(t *testing.T) {
	c := qt.New(t)
	// At this rate the first answer would take hours.
	e := standin.NewEngine(standin.EngineConfig{Versions: []string{version}, Slots: 1, TokensPerSecond: 0.01})
	address, client := serve(c, e), newClient(c)
	s, err := client.Open(context.Background(), request(address, true, 5))
	c.Assert(err, qt.IsNil)
	_, err = s.Next()
	c.Assert(err, qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	_, err = s.Next()
	var failed *engine.Error
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Assert(failed.Kind, qt.Equals, engine.KindCanceled)

	s, err = client.Open(context.Background(), request(address, true, 5))
	c.Assert(err, qt.IsNil)
	defer s.Close()
	_, err = s.Next()
	c.Assert(err, qt.IsNil)
}

func TestEndedContextIsCanceled(t *testing.T) {
	c := qt.New(t)
	e := standin.NewEngine(standin.EngineConfig{Versions: []string{version}, TokensPerSecond: 0.01})
	ctx, cancel := context.WithCancel(context.Background())
	s, err := newClient(c).Open(ctx, request(serve(c, e), true, 5))
	c.Assert(err, qt.IsNil)
	defer s.Close()
	cancel()
	_, _, err = answerText(s)
	var failed *engine.Error
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Assert(failed.Kind, qt.Equals, engine.KindCanceled)
	c.Assert(failed.Ran, qt.Equals, failure.RanYes)
}

func TestEventsArePassedOnByteForByte(t *testing.T) {
	c := qt.New(t)
	long := "data: " + strings.Repeat("x", 40_000) + "\n\n"
	events := []string{": comment\n\n", "data: a\r\n\r\n", "event: e\ndata: b\ndata: c\n\n", long, "data: [DONE]\n\n"}
	all := strings.Join(events, "")
	raw := chunked(all[:5], all[5:12], all[12:13], all[13:20_000], all[20_000:]) + lastChunk
	s, err := newClient(c).Open(context.Background(), request(serveRaw(c, raw), true, 1))
	c.Assert(err, qt.IsNil)
	defer s.Close()
	for i, want := range events {
		event, err := s.Next()
		c.Assert(err, qt.IsNil)
		c.Assert(string(event.Data), qt.Equals, want)
		c.Assert(event.Last, qt.Equals, i == len(events)-1)
	}
}
