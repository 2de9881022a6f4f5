package caller_test

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/bronzeturn/bronzeturn/caller"
	"github.com/bronzeturn/bronzeturn/caller/callertest"
	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/standin"
	qt "github.com/frankban/quicktest"
)

func newEntry(t *testing.T, chat http.HandlerFunc) *callertest.Entry {
	t.Helper()
	e := callertest.NewEntry(chat)
	t.Cleanup(e.Close)
	return e
}

func newClient(t *testing.T, e *callertest.Entry) *caller.Client {
	t.Helper()
	c, err := caller.New(caller.Options{Entry: e.Address(), Key: "k1"})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(c.Close)
	return c
}

// deadAddress returns an address on which no process listens.
func deadAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, l.Close(), qt.IsNil)
	return l.Addr().String()
}

// result names the outcome of a request by the type of its error.
func result(err error) string {
	var refused *caller.RefusalError
	var unavailable *caller.UnavailableError
	var broken *caller.BrokenAnswerError
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &broken):
		return "broken"
	default:
		return err.Error()
	}
}

func TestInvalidEntriesAreRejected(t *testing.T) {
	for _, entry := range []string{"", "no-port", "ftp://127.0.0.1:1", "127.0.0.1:1/path"} {
		_, err := caller.New(caller.Options{Entry: entry})
		var invalid *caller.OptionError
		qt.Check(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%q: %v", entry, err))
	}
}

func TestConcurrentRequestsFetchEntriesOnce(t *testing.T) {
	c := qt.New(t)
	e := newEntry(t, callertest.AnswerWhole)
	client := newClient(t, e)
	var sending sync.WaitGroup
	for range 8 {
		sending.Go(func() {
			_, err := client.Complete(t.Context(), caller.Params{}, caller.Prompt("hello"), nil)
			c.Check(err, qt.IsNil)
		})
	}
	sending.Wait()
	c.Check(e.EntriesQueries(), qt.Equals, 1)
	c.Check(e.Requests(), qt.HasLen, 8)
}

func TestIncompleteAnswersAreErrors(t *testing.T) {
	tests := []struct {
		name   string
		chat   http.HandlerFunc
		stream bool
	}{
		{"stream without [DONE]", callertest.Stream(callertest.EventText, callertest.EventFinish), true},
		{"stream without finish reason", callertest.Stream(callertest.EventText, callertest.EventDone), true},
		{"stream marked as broken", callertest.Stream(callertest.EventText, callertest.EventBroken), true},
		{"stream with an event that is not JSON", callertest.Stream(`{"choices":`, callertest.EventDone), true},
		{"answer in one piece where a stream was asked for", callertest.AnswerWhole, true},
		{"body cut short", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"choices":[{"mess`)) }, false},
		{"body without finish reason", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"choices":[]}`)) }, false},
		{"body with an error", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(callertest.EventBroken)) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEntry(t, test.chat)
			completion := caller.Prompt("hello")
			completion.Stream = test.stream
			_, err := newClient(t, e).Complete(t.Context(), caller.Params{}, completion, nil)
			qt.Check(t, result(err), qt.Equals, "broken")
			qt.Check(t, e.Requests(), qt.HasLen, 1)
		})
	}
}

func TestNextEntryIsTriedOnlyWhereSafe(t *testing.T) {
	leaving := callerapi.ErrorDetail{Code: "daemon_leaving", Ran: "no"}
	unknown := callerapi.ErrorDetail{Code: "outcome_unknown", Ran: "unknown"}
	tests := []struct {
		name string
		// first is the handler of the best entry, nil if no process listens there.
		first  http.HandlerFunc
		key    string
		second int
		want   string
	}{
		{"no connection", nil, "", 1, "answered"},
		{"answer lost", callertest.DropConnection, "", 0, "unavailable"},
		{"answer lost with an idempotency key", callertest.DropConnection, "i1", 1, "answered"},
		{"outcome unknown", callertest.Refuse(http.StatusBadGateway, unknown), "i1", 0, "refused"},
		{"leaving without others", callertest.Refuse(http.StatusServiceUnavailable, leaving), "", 0, "refused"},
		{"stream broken", callertest.Stream(callertest.EventText, callertest.EventBroken), "i1", 0, "broken"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			second := newEntry(t, callertest.AnswerWhole)
			address := deadAddress(t)
			if test.first != nil {
				address = newEntry(t, test.first).Address()
			}
			second.SetAddresses(address, second.Address())
			_, err := newClient(t, second).Complete(t.Context(), caller.Params{IdempotencyKey: test.key}, caller.Prompt("hello"), nil)
			c.Check(result(err), qt.Equals, test.want)
			c.Check(second.Requests(), qt.HasLen, test.second)
		})
	}
}

func TestRefusedRequestIsSentToNamedEntries(t *testing.T) {
	for _, code := range []string{"daemon_leaving", "configuration_stale"} {
		t.Run(code, func(t *testing.T) {
			c := qt.New(t)
			other := newEntry(t, callertest.AnswerWhole)
			first := newEntry(t, callertest.Refuse(http.StatusServiceUnavailable, callerapi.ErrorDetail{
				Code: code, Ran: "no", Entries: []string{other.Address()},
			}))
			_, err := newClient(t, first).Complete(t.Context(), caller.Params{}, caller.Prompt("hello"), nil)
			c.Check(err, qt.IsNil)
			c.Check(other.Requests(), qt.HasLen, 1)
			c.Check(first.Requests(), qt.HasLen, 1)
		})
	}
}

func TestNamedEntriesAreTriedOnlyIfTheRequestDidNotRun(t *testing.T) {
	tests := []callerapi.ErrorDetail{
		{Code: "daemon_leaving", Ran: "unknown"},
		{Code: "daemon_leaving", Ran: "yes"},
		{Code: "daemon_leaving"},
	}
	for _, detail := range tests {
		t.Run(detail.Code+" "+detail.Ran, func(t *testing.T) {
			other := newEntry(t, callertest.AnswerWhole)
			detail.Entries = []string{other.Address()}
			first := newEntry(t, callertest.Refuse(http.StatusServiceUnavailable, detail))
			_, err := newClient(t, first).Complete(t.Context(), caller.Params{IdempotencyKey: "i1"}, caller.Prompt("hello"), nil)
			qt.Check(t, result(err), qt.Equals, "refused")
			qt.Check(t, other.Requests(), qt.HasLen, 0)
		})
	}
}

// TestInvalidHeadIsNoAnswer checks that an answer whose head is none is not taken for one, and that the request is
// not sent again.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	const header, body = "Content-Type: application/json\r\n", `{"choices":[{"message":{"content":"x"},"finish_reason":"stop"}]}`
	for name, answer := range standin.InvalidHeads(header, body) {
		c := qt.New(t)
		raw := &standin.RawServer{}
		raw.Set(standin.RawAnswer{Bytes: answer, End: standin.EndAtOnce})
		var requests atomic.Int32
		e := newEntry(t, func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			raw.ServeHTTP(w, r)
		})
		_, err := newClient(t, e).Complete(c.Context(), caller.Params{}, caller.Prompt("x"), nil)
		c.Check(result(err), qt.Equals, "unavailable", qt.Commentf("%s: %v", name, err))
		c.Check(requests.Load(), qt.Equals, int32(1), qt.Commentf(name))
	}
}
