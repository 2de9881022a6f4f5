package router

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/bronzeturn/bronzeturn/callerapi"
)

// FuzzRequest sends arbitrary bodies and headers. The response must be a complete answer
// or a failure in the common JSON format, and nothing may panic.
func FuzzRequest(f *testing.F) {
	const good = `{"messages":[{"role":"user","content":"battery of bike 7?"}],"stream":true}`
	for _, body := range []string{
		good, ``, `null`, `[]`, `{}`, `{"messages":[]}`, `{"messages":5,"model":"auto"}`, `{"messages":[{}],"model":"small@1"}`,
		`{"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"max_tokens":3}`,
		`{"messages":[],"stream":"yes"}`, `{"messages":[],"stream_options":{"include_usage":true},"stream":true}`,
		`{"messages":[],"max_tokens":1e99}`, `{"messages":[],"stream_options":null}`, "{\"messages\":\"\xff\"}", `{"messages":[}`,
	} {
		f.Add(body, "", "", "", "", "")
	}
	f.Add(good, "tag", "key-1", "conversation-1", "1s", "bulk")
	f.Add(good, "quick", "", "", "-1h", "urgent")
	f.Add(good, "nonsense", "\x00", "\xff", "9999999h", "unspecified")
	f.Add(good, "tag", "", "c", "1ns", "")
	s := newFixture(f)
	s.setEngines(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Content-Type") != "application/json" {
			f.Error("content type of the caller was passed on")
		}
		_, _ = w.Write([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"))
	}))
	f.Fuzz(func(t *testing.T, body, kind, key, conversation, deadline, priority string) {
		h := header(callerapi.HeaderKind, kind, callerapi.HeaderIdempotencyKey, key,
			callerapi.HeaderConversation, conversation, callerapi.HeaderDeadline, deadline, callerapi.HeaderPriority, priority)
		if body == "" {
			body = " "
		}
		g := s.send(callerRequest{body: body, header: h})
		if g.cut {
			t.Fatalf("connection aborted although the engine sent a complete answer: %s", g.Body)
		}
		if g.Code == http.StatusOK {
			return
		}
		var shape callerapi.ErrorBody
		if err := json.Unmarshal(g.Body.Bytes(), &shape); err != nil {
			t.Fatalf("status %d without a failure in the common JSON format: %v", g.Code, err)
		}
		if shape.Error.Code == "" || shape.Error.Ran == "" || shape.Error.Code == "internal" {
			t.Fatalf("incomplete failure: %s", g.Body)
		}
	})
}
