package cli

import (
	"net/http"
	"strings"
	"testing"

	"github.com/bronzeturn/bronzeturn/callerapi"
	qt "github.com/frankban/quicktest"
)

func TestEntriesShowsAddressesAndTime(t *testing.T) {
	c := qt.New(t)
	e := newEntry(t, nil)
	got := run(t, "entries", "--entry", e.address(), "--json")
	c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	var entries callerapi.Entries
	decode(t, got.stdout, &entries)
	c.Check(entries, qt.DeepEquals, callerapi.Entries{Addresses: []string{e.address()}, KeepSeconds: 60})
	people := run(t, "entries", "--entry", e.URL)
	c.Check(people.stdout, qt.Equals, e.address()+"\nkeep for 60 s\n")
}

func TestSendWholeAndStreamedAnswers(t *testing.T) {
	tests := []struct {
		name   string
		chat   http.HandlerFunc
		args   []string
		stream bool
	}{
		{"whole", whole, nil, false},
		{"streamed", stream(eventText, eventFinish, eventUsage, eventDone), []string{"--stream"}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e := newEntry(t, test.chat)
			t.Setenv("BRONZETURN_KEY", "k1")
			args := append([]string{"send", "hello", "--entry", e.address(), "--kind", "quick", "--deadline", "2s",
				"--conversation", "c1", "--idempotency-key", "i1", "--priority", "bulk", "--model", "diag-llm"}, test.args...)
			got := run(t, append(args, "--json")...)
			c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
			var a answer
			decode(t, got.stdout, &a)
			c.Check(a.Text, qt.Equals, "all good")
			c.Check(a.FinishReason, qt.Equals, "stop")
			c.Check(a.Usage, qt.Equals, tokenUsage{Prompt: 4, Completion: 2})

			h := e.requests[0].Header
			c.Check(h.Get("Authorization"), qt.Equals, "Bearer k1")
			c.Check(h.Get(callerapi.HeaderKind), qt.Equals, "quick")
			c.Check(h.Get(callerapi.HeaderConversation), qt.Equals, "c1")
			c.Check(h.Get(callerapi.HeaderIdempotencyKey), qt.Equals, "i1")
			c.Check(h.Get(callerapi.HeaderPriority), qt.Equals, "bulk")
			c.Check(h.Get(callerapi.HeaderDeadline), qt.Equals, "2s")
			var body completionRequest
			decode(t, e.bodies[0], &body)
			c.Check(body.Stream, qt.Equals, test.stream)
			c.Check(body.Messages, qt.DeepEquals, []message{{Role: "user", Content: "hello"}})

			people := run(t, args...)
			c.Check(contains(people.stdout, "all good", "4 prompt tokens, 2 completion tokens"), qt.IsTrue, qt.Commentf("%s", people.stdout))
			c.Check(strings.Count(people.stdout, "all good"), qt.Equals, 1)
		})
	}
}

func TestSendCallsPlainServices(t *testing.T) {
	c := qt.New(t)
	e := newEntry(t, func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte(r.URL.Path)) })
	got := run(t, "send", `{"a":1}`, "--entry", e.address(), "--service", "orders/new", "--json")
	c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	var out serviceOutput
	decode(t, got.stdout, &out)
	c.Check(out.Body, qt.Equals, callerapi.PathServices+"orders/new")
	c.Check(e.bodies, qt.DeepEquals, []string{`{"a":1}`})
}

func TestAnswersThatAreNotWhole(t *testing.T) {
	tests := []struct {
		name string
		chat http.HandlerFunc
	}{
		{"stream without end mark", stream(eventText, eventFinish)},
		{"stream without finish reason", stream(eventText, eventDone)},
		{"stream marked as broken", stream(eventText, eventBroken)},
		{"stream with an event that is not JSON", stream(`{"choices":`, eventDone)},
		{"body cut short", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"choices":[{"mess`)) }},
		{"body without finish reason", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"choices":[]}`)) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEntry(t, test.chat)
			got := run(t, "send", "hello", "--entry", e.address(), "--json")
			qt.Check(t, got.code, qt.Equals, ExitFailure)
			var out errorOutput
			decode(t, got.stderr, &out)
			qt.Check(t, out.Message, qt.Contains, "answer broken")
			qt.Check(t, e.received(), qt.Equals, 1)
		})
	}
}

func TestRefusalIsShownWithItsCode(t *testing.T) {
	c := qt.New(t)
	detail := callerapi.ErrorDetail{Code: "no_capacity", Message: "pool is short", Ran: "no", RetryAfterMillis: 1500}
	e := newEntry(t, refuse(http.StatusServiceUnavailable, detail))
	got := run(t, "send", "hello", "--entry", e.address(), "--json")
	c.Check(got.code, qt.Equals, ExitRefused)
	var out errorOutput
	decode(t, got.stderr, &out)
	c.Check(*out.Refusal, qt.DeepEquals, detail)
	c.Check(e.received(), qt.Equals, 1)
	people := run(t, "send", "hello", "--entry", e.address())
	c.Check(contains(people.stderr, "no_capacity", "pool is short", "ran: no", "retry after 1.5s"), qt.IsTrue, qt.Commentf("%s", people.stderr))
}

func TestNextEntryIsTriedOnlyWhereSafe(t *testing.T) {
	leaving := callerapi.ErrorDetail{Code: "daemon_leaving", Ran: "no"}
	unknown := callerapi.ErrorDetail{Code: "outcome_unknown", Ran: "unknown"}
	tests := []struct {
		name string
		// first is what the best entry does, nil when nothing listens there.
		first  http.HandlerFunc
		args   []string
		second int
		code   int
	}{
		{"no connection", nil, nil, 1, ExitOK},
		{"answer lost", drop, nil, 0, ExitUnavailable},
		{"answer lost with an idempotency key", drop, []string{"--idempotency-key=new"}, 1, ExitOK},
		{"outcome unknown", refuse(http.StatusBadGateway, unknown), []string{"--idempotency-key=new"}, 0, ExitRefused},
		{"leaving without others", refuse(http.StatusServiceUnavailable, leaving), nil, 0, ExitRefused},
		{"stream broken", stream(eventText, eventBroken), []string{"--idempotency-key=new"}, 0, ExitFailure},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			second := newEntry(t, whole)
			address := deadAddress(t)
			if test.first != nil {
				address = newEntry(t, test.first).address()
			}
			second.entries.Addresses = []string{address, second.address()}
			got := run(t, append([]string{"send", "hello", "--entry", second.address()}, test.args...)...)
			c.Check(got.code, qt.Equals, test.code, qt.Commentf("%s", got.stderr))
			c.Check(second.received(), qt.Equals, test.second)
		})
	}
}

func TestDaemonThatTakesNoWorkSendsTheCallerElsewhere(t *testing.T) {
	for _, code := range []string{"daemon_leaving", "configuration_stale"} {
		t.Run(code, func(t *testing.T) {
			c := qt.New(t)
			other := newEntry(t, whole)
			first := newEntry(t, refuse(http.StatusServiceUnavailable, callerapi.ErrorDetail{
				Code: code, Ran: "no", Entries: []string{other.address()},
			}))
			got := run(t, "send", "hello", "--entry", first.address())
			c.Check(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
			c.Check(other.received(), qt.Equals, 1)
			c.Check(first.received(), qt.Equals, 1)
		})
	}
}

func TestKeyIsNeverPrinted(t *testing.T) {
	e := newEntry(t, drop)
	for _, args := range [][]string{{"send", "x", "--entry", e.address()}, {"send", "x", "--entry", deadAddress(t)}, {"send", "x", "--entry", "wrong"}, {"send", "--help"}} {
		t.Setenv("BRONZETURN_KEY", "sk-secret")
		got := run(t, append(args, "--json")...)
		qt.Check(t, got.stdout+got.stderr, qt.Not(qt.Contains), "sk-secret")
	}
}

func TestNamedEntriesAreTriedOnlyAfterANotRun(t *testing.T) {
	tests := []callerapi.ErrorDetail{
		{Code: "daemon_leaving", Ran: "unknown"},
		{Code: "daemon_leaving", Ran: "yes"},
		{Code: "daemon_leaving"},
	}
	for _, detail := range tests {
		t.Run(detail.Code+" "+detail.Ran, func(t *testing.T) {
			other := newEntry(t, whole)
			detail.Entries = []string{other.address()}
			first := newEntry(t, refuse(http.StatusServiceUnavailable, detail))
			got := run(t, "send", "hello", "--entry", first.address(), "--idempotency-key=new")
			qt.Check(t, got.code, qt.Equals, ExitRefused)
			qt.Check(t, other.received(), qt.Equals, 0)
		})
	}
}
