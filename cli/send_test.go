package cli

import (
	"net/http"
	"strings"
	"testing"

	"github.com/bronzeturn/bronzeturn/caller"
	"github.com/bronzeturn/bronzeturn/caller/callertest"
	"github.com/bronzeturn/bronzeturn/callerapi"
	qt "github.com/frankban/quicktest"
)

func TestEntriesShowsAddressesAndCacheTime(t *testing.T) {
	c := qt.New(t)
	e := newEntry(t, nil)
	got := run(t, "entries", "--entry", e.Address(), "--json")
	c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	var entries callerapi.Entries
	decode(t, got.stdout, &entries)
	c.Check(entries, qt.DeepEquals, callerapi.Entries{Addresses: []string{e.Address()}, KeepSeconds: 60})
	text := run(t, "entries", "--entry", e.URL)
	c.Check(text.stdout, qt.Equals, e.Address()+"\nkeep for 60 s\n")
}

func TestSendPrintsWholeAndStreamedAnswers(t *testing.T) {
	tests := []struct {
		name   string
		chat   http.HandlerFunc
		args   []string
		stream bool
	}{
		{"whole", callertest.AnswerWhole, nil, false},
		{"streamed", callertest.Stream(callertest.EventText, callertest.EventFinish, callertest.EventUsage, callertest.EventDone), []string{"--stream"}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e := newEntry(t, test.chat)
			t.Setenv("BRONZETURN_KEY", "k1")
			args := append([]string{"send", "hello", "--entry", e.Address(), "--kind", "quick", "--deadline", "2s",
				"--conversation", "c1", "--idempotency-key", "i1", "--priority", "bulk", "--model", "diag-llm"}, test.args...)
			got := run(t, append(args, "--json")...)
			c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
			var a caller.Answer
			decode(t, got.stdout, &a)
			c.Check(a.Text, qt.Equals, "all good")
			c.Check(a.FinishReason, qt.Equals, "stop")
			c.Check(a.Usage, qt.Equals, caller.Usage{Prompt: 4, Completion: 2})

			h := e.Requests()[0].Header
			c.Check(h.Get("Authorization"), qt.Equals, "Bearer k1")
			c.Check(h.Get(callerapi.HeaderKind), qt.Equals, "quick")
			c.Check(h.Get(callerapi.HeaderConversation), qt.Equals, "c1")
			c.Check(h.Get(callerapi.HeaderIdempotencyKey), qt.Equals, "i1")
			c.Check(h.Get(callerapi.HeaderPriority), qt.Equals, "bulk")
			c.Check(h.Get(callerapi.HeaderDeadline), qt.Equals, "2s")
			var body struct {
				Stream   bool
				Messages []caller.Message
			}
			decode(t, e.Requests()[0].Body, &body)
			c.Check(body.Stream, qt.Equals, test.stream)
			c.Check(body.Messages, qt.DeepEquals, []caller.Message{{Role: "user", Content: "hello"}})

			text := run(t, args...)
			c.Check(contains(text.stdout, "all good", "4 prompt tokens, 2 completion tokens"), qt.IsTrue, qt.Commentf("%s", text.stdout))
			c.Check(strings.Count(text.stdout, "all good"), qt.Equals, 1)
		})
	}
}

func TestSendCallsPlainServices(t *testing.T) {
	c := qt.New(t)
	e := newEntry(t, func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte(r.URL.Path)) })
	got := run(t, "send", `{"a":1}`, "--entry", e.Address(), "--service", "orders/new", "--json")
	c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	var out serviceOutput
	decode(t, got.stdout, &out)
	c.Check(out.Body, qt.Equals, callerapi.PathServices+"orders/new")
	c.Assert(e.Requests(), qt.HasLen, 1)
	c.Check(e.Requests()[0].Body, qt.Equals, `{"a":1}`)
}

func TestSendFailsOnABrokenAnswer(t *testing.T) {
	e := newEntry(t, callertest.Stream(callertest.EventText, callertest.EventBroken))
	got := run(t, "send", "hello", "--entry", e.Address(), "--json")
	qt.Check(t, got.code, qt.Equals, ExitFailure)
	var out errorOutput
	decode(t, got.stderr, &out)
	qt.Check(t, out.Message, qt.Contains, "answer broken")
	qt.Check(t, e.Requests(), qt.HasLen, 1)
}

func TestRefusalIsShownWithItsCode(t *testing.T) {
	c := qt.New(t)
	detail := callerapi.ErrorDetail{Code: "no_capacity", Message: "pool is short", Ran: "no", RetryAfterMillis: 1500}
	e := newEntry(t, callertest.Refuse(http.StatusServiceUnavailable, detail))
	got := run(t, "send", "hello", "--entry", e.Address(), "--json")
	c.Check(got.code, qt.Equals, ExitRefused)
	var out errorOutput
	decode(t, got.stderr, &out)
	c.Check(*out.Refusal, qt.DeepEquals, detail)
	c.Check(len(e.Requests()), qt.Equals, 1)
	text := run(t, "send", "hello", "--entry", e.Address())
	c.Check(contains(text.stderr, "no_capacity", "pool is short", "ran: no", "retry after 1.5s"), qt.IsTrue, qt.Commentf("%s", text.stderr))
}

func TestKeyIsNeverPrinted(t *testing.T) {
	e := newEntry(t, callertest.DropConnection)
	for _, args := range [][]string{{"send", "x", "--entry", e.Address()}, {"send", "x", "--entry", deadAddress(t)}, {"send", "x", "--entry", "wrong"}, {"send", "--help"}} {
		t.Setenv("BRONZETURN_KEY", "sk-secret")
		got := run(t, append(args, "--json")...)
		qt.Check(t, got.stdout+got.stderr, qt.Not(qt.Contains), "sk-secret")
	}
}
