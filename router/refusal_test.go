package router

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/admission"
	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/ledger"
)

func header(pairs ...string) map[string]string {
	h := make(map[string]string)
	for i := 0; i < len(pairs); i += 2 {
		h[pairs[i]] = pairs[i+1]
	}
	return h
}

// Every refusal is sent at once, has the one JSON shape, and is true: nothing
// reached an engine.
func TestRefusals(t *testing.T) {
	tooLong := `{"messages":[{"role":"user","content":"` + strings.Repeat("x", maxBodyBytes) + `"}]}`
	tests := []struct {
		name    string
		ask     ask
		prepare func(t *testing.T, s *site)
		code    failure.Code
		status  int
		// retry tells that Retry-After is expected.
		retry bool
		// message is part of the message.
		message string
	}{
		{name: "no key", ask: ask{key: "none"}, code: failure.CodeUnauthenticated, status: 401},
		{name: "wrong key", ask: ask{key: "key-of-nobody"}, code: failure.CodeUnauthenticated, status: 401},
		{name: "another scheme", ask: ask{key: "none", header: header("Authorization", "Basic "+depotKey)}, code: failure.CodeUnauthenticated, status: 401},
		{name: "version not allowed", ask: ask{model: secret}, code: failure.CodeVersionNotAllowed, status: 403},
		{name: "unknown version", ask: ask{model: "no-such@1"}, code: failure.CodeVersionNotAllowed, status: 403},
		{name: "withdrawn version", ask: ask{model: withdrawn}, code: failure.CodeVersionWithdrawn, status: 410},
		{name: "unknown kind", ask: ask{header: header(callerapi.HeaderKind, "nonsense")}, code: failure.CodeUnknownKind, status: 400},
		{name: "not JSON", ask: ask{body: `{"messages": [}`}, code: failure.CodeMalformedRequest, status: 400, message: "at byte 15"},
		{name: "bytes after the body", ask: ask{body: `{"messages": []} x`}, code: failure.CodeMalformedRequest, status: 400, message: "at byte 18"},
		{name: "not an object", ask: ask{body: `[1]`}, code: failure.CodeMalformedRequest, status: 400, message: "at byte 1"},
		{name: "null", ask: ask{body: `null`}, code: failure.CodeMalformedRequest, status: 400, message: "JSON object"},
		{name: "wrong type of a field", ask: ask{body: `{"messages": [], "stream": "yes"}`}, code: failure.CodeMalformedRequest, status: 400, message: "field stream"},
		{name: "no messages", ask: ask{body: `{}`}, code: failure.CodeMalformedRequest, status: 400, message: "messages"},
		{name: "negative max_tokens", ask: ask{body: `{"messages": [], "max_tokens": -1}`}, code: failure.CodeMalformedRequest, status: 400, message: "max_tokens"},
		{name: "body over the limit", ask: ask{body: tooLong}, code: failure.CodeBodyTooLarge, status: 413},
		{name: "no idempotency key", ask: ask{header: header(callerapi.HeaderKind, "tag")}, code: failure.CodeKeyRequired, status: 400},
		{name: "idempotency key too long", ask: ask{header: header(callerapi.HeaderIdempotencyKey, strings.Repeat("k", 201))}, code: failure.CodeMalformedRequest, status: 400},
		{name: "idempotency key not printable", ask: ask{header: header(callerapi.HeaderIdempotencyKey, "caf\xe9")}, code: failure.CodeMalformedRequest, status: 400},
		{name: "deadline past", ask: ask{header: header(callerapi.HeaderDeadline, "-1s")}, code: failure.CodeDeadlinePassed, status: 504},
		{name: "deadline not a duration", ask: ask{header: header(callerapi.HeaderDeadline, "soon")}, code: failure.CodeMalformedRequest, status: 400},
		{name: "unknown priority", ask: ask{header: header(callerapi.HeaderPriority, "unspecified")}, code: failure.CodeMalformedRequest, status: 400},
		{name: "unknown path", ask: ask{path: "/v1/other"}, code: failure.CodeNotFound, status: 404},
		{name: "service not allowed", ask: ask{key: kioskKey, path: "/v1/services/tickets/x"}, code: failure.CodeServiceNotAllowed, status: 403},
		{name: "unknown service", ask: ask{path: "/v1/services/none/x"}, code: failure.CodeServiceNotAllowed, status: 403},
		{name: "service without key", ask: ask{path: "/v1/services/tickets/x"}, code: failure.CodeKeyRequired, status: 400},
		{name: "no slots", ask: ask{model: cheap}, prepare: func(_ *testing.T, s *site) { s.Admission.SetCapacity(cheap, 0) },
			code: failure.CodeNoCapacity, status: 503, retry: true},
		{name: "all engines leaving", prepare: func(_ *testing.T, s *site) {
			for i := range engineCount {
				s.leaving.Store("host-of-"+engineName(i), true)
			}
		}, code: failure.CodeNoCapacity, status: 503, retry: true},
		{name: "no configuration", prepare: func(_ *testing.T, s *site) { s.current.Store(nil) },
			code: failure.CodeNoConfiguration, status: 503, retry: true},
		{name: "stale configuration", prepare: func(_ *testing.T, s *site) {
			s.stale.Store(failure.New(failure.CodeConfigurationStale, failure.RanNo, "no news").WithRetryAfter(time.Second))
		}, code: failure.CodeConfigurationStale, status: 503, retry: true},
		{name: "leaving", prepare: func(_ *testing.T, s *site) { s.StopAdmitting() },
			code: failure.CodeDaemonLeaving, status: 503, retry: true},
		{name: "limit of the organisation", prepare: func(t *testing.T, s *site) {
			s.Admission.Update([]*bronzeturnv1.Limit{{Organisation: "depot", ConcurrentRequests: 1}}, 1)
			_, err := s.Admission.Acquire(context.Background(), admission.Request{Organisation: "depot", Deadline: time.Now().Add(time.Second), Group: cheap})
			qt.Assert(t, err, qt.IsNil)
		}, code: failure.CodeLimitExceeded, status: 429, retry: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newSite(t)
				if test.prepare != nil {
					test.prepare(t, s)
				}
				start := time.Now()
				g := s.send(test.ask)
				c.Check(time.Since(start), qt.Equals, time.Duration(0))
				c.Check(g.cut, qt.IsFalse)
				c.Check(g.Code, qt.Equals, test.status)
				f := g.failure()
				c.Check(f.Code, qt.Equals, string(test.code))
				c.Check(f.Ran, qt.Equals, "no")
				c.Check(f.Message, qt.Contains, test.message)
				if !strings.Contains(test.ask.path, "other") {
					c.Check(g.Header().Get(callerapi.HeaderRan), qt.Equals, "no")
				}
				seconds, err := strconv.Atoi(g.Header().Get("Retry-After"))
				c.Check(err == nil && seconds >= 1 && f.RetryAfterMillis > 0, qt.Equals, test.retry)
				leaves := test.code == failure.CodeDaemonLeaving || test.code == failure.CodeConfigurationStale
				c.Check(len(f.Entries) > 0, qt.Equals, leaves)
				c.Check(s.network.hosts(), qt.HasLen, 0)
				c.Check(s.ledger.billsOf(g.id()), qt.HasLen, 0)
			})
		})
	}
}

// One can't learn from a refusal that another organisation's version exists.
func TestNotAllowedAndUnknownLookAlike(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		for _, pair := range [][2]ask{
			{{model: secret}, {model: "no-such@1"}},
			{{model: "secret"}, {model: "no-such"}},
			{{key: kioskKey, path: "/v1/services/tickets/x"}, {key: kioskKey, path: "/v1/services/none/x"}},
			{{key: "none"}, {key: "key-of-nobody"}},
		} {
			first, second := s.send(pair[0]), s.send(pair[1])
			qt.Check(t, first.Body.String(), qt.Equals, second.Body.String())
			qt.Check(t, first.Code, qt.Equals, second.Code)
		}
	})
}

func TestConversationIsNeverMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(t)
		talk := ask{header: header(callerapi.HeaderConversation, "c1", callerapi.HeaderKind, "report")}
		c.Assert(s.send(talk).version(), qt.Equals, strong)
		cheaper := ask{header: header(callerapi.HeaderConversation, "c1")}
		c.Assert(s.send(cheaper).version(), qt.Equals, strong)

		other := talk
		other.model = cheap
		c.Assert(s.send(other).failure().Code, qt.Equals, string(failure.CodeVersionNotAllowed))
		ofKiosks := ask{key: kioskKey, header: header(callerapi.HeaderConversation, "c1")}
		c.Assert(s.send(ofKiosks).version(), qt.Equals, cheap, qt.Commentf("conversations are scoped by organisation"))

		s.withdraw(t, strong)
		g := s.send(cheaper)
		c.Assert(g.Code, qt.Equals, http.StatusGone)
		c.Assert(g.failure().Code, qt.Equals, string(failure.CodeVersionWithdrawn))
		c.Assert(g.failure().Ran, qt.Equals, "no")
	})
}

func TestIdempotencyKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(t)
		first := ask{header: header(callerapi.HeaderKind, "tag", callerapi.HeaderIdempotencyKey, "k1")}
		g := s.send(first)
		c.Assert(g.whole(first), qt.IsTrue, qt.Commentf("%s", g.Body))
		again := s.send(first)
		c.Assert(again.Body.String(), qt.Equals, g.Body.String())
		c.Assert(s.network.hosts(), qt.HasLen, 1)
		c.Assert(s.ledger.billsOf(again.id()), qt.HasLen, 0)

		reused := first
		reused.prompt = "another"
		refused := s.send(reused)
		c.Assert(refused.Code, qt.Equals, http.StatusUnprocessableEntity)
		c.Assert(refused.failure().Code, qt.Equals, string(failure.CodeKeyReused))
		c.Assert(refused.failure().Ran, qt.Equals, "no")

		ofKiosks := reused
		ofKiosks.key = kioskKey
		c.Assert(s.send(ofKiosks).Code, qt.Equals, http.StatusOK, qt.Commentf("keys are scoped by organisation"))
	})
}

// A repeat that waits for the first request must not take a place from others.
func TestRepeatWaitsWithoutAPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(t)
		s.Admission.SetCapacity(cheap, 2)
		tag := ask{header: header(callerapi.HeaderKind, "tag", callerapi.HeaderIdempotencyKey, "k1")}
		answers := make(chan got, 2)
		s.all(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			s.engines[0].ServeHTTP(w, r)
		}))
		go func() { answers <- s.send(tag) }()
		time.Sleep(100 * time.Millisecond)
		go func() { answers <- s.send(tag) }()
		time.Sleep(100 * time.Millisecond)
		other := ask{}
		start := time.Now()
		c.Check(s.send(other).whole(other), qt.IsTrue)
		c.Check(time.Since(start) < 1200*time.Millisecond, qt.IsTrue)
		c.Check((<-answers).whole(tag), qt.IsTrue)
		c.Check((<-answers).whole(tag), qt.IsTrue)
		c.Check(s.network.hosts(), qt.HasLen, 2)
	})
}

// A repeat is told the truth when its own deadline comes first, and when the
// first request turns out not to have run.
func TestRepeatOfARequestThatStillRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(t)
		refuse := make(chan struct{})
		s.all(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-refuse:
			case <-r.Context().Done():
			}
			w.Header().Set("X-Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		tag := ask{header: header(callerapi.HeaderKind, "tag", callerapi.HeaderIdempotencyKey, "k1")}
		answers := make(chan got, 2)
		go func() { answers <- s.send(tag) }()
		time.Sleep(100 * time.Millisecond)
		hasty := ask{header: header(callerapi.HeaderKind, "tag", callerapi.HeaderIdempotencyKey, "k1", callerapi.HeaderDeadline, "200ms")}
		start := time.Now()
		g := s.send(hasty)
		c.Check(time.Since(start), qt.Equals, 200*time.Millisecond)
		c.Check(g.failure().Code, qt.Equals, string(failure.CodeInProgress))
		c.Check(g.failure().Ran, qt.Equals, "unknown")
		go func() { answers <- s.send(tag) }()
		time.Sleep(100 * time.Millisecond)
		close(refuse)
		for range 2 {
			f := (<-answers).failure()
			c.Check(f.Ran, qt.Equals, "no", qt.Commentf("%+v", f))
		}
		s.all(s.engines[0])
		time.Sleep(time.Second) // The engines asked for a pause.
		third := s.send(tag)
		c.Check(third.whole(tag), qt.IsTrue, qt.Commentf("a request that did not run may be sent again: %s", third.Body))
	})
}

func TestDeadlinePassesWhileWaiting(t *testing.T) {
	tests := []struct {
		name    string
		kind    string
		handler http.HandlerFunc
		ran     failure.Ran
	}{
		{"engine refuses until then", "default", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(390 * time.Millisecond)
			w.Header().Set("X-Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, failure.RanNo},
		{"engine does not answer", "tag", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, failure.RanUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newSite(t)
				s.all(test.handler)
				start := time.Now()
				g := s.send(ask{header: header(callerapi.HeaderKind, test.kind, callerapi.HeaderIdempotencyKey, "k", callerapi.HeaderDeadline, "400ms")})
				c.Check(time.Since(start) <= 400*time.Millisecond+recordPause, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
				c.Check(g.failure().Ran, qt.Equals, string(test.ran))
				c.Check(g.Code >= http.StatusInternalServerError, qt.IsTrue)
				c.Check(s.ledger.billsOf(g.id()), qt.HasLen, 0)
			})
		})
	}
}

// recordPause bounds the virtual time that the ledger takes for one record.
const recordPause = 200 * time.Millisecond

// A body that does not come is not waited for beyond the deadline.
func TestBodyThatNeverComes(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	w := &slowWriter{header: make(http.Header)}
	r := ask{}.request()
	r.Body = w
	r.ContentLength = -1
	r.Header.Set(callerapi.HeaderDeadline, "1h")
	c.Assert(s.serveTo(w, r), qt.IsFalse)
	c.Assert(w.status, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(w.readDeadline.IsZero(), qt.IsFalse)
	c.Assert(time.Until(w.readDeadline) <= 30*time.Second, qt.IsTrue, qt.Commentf("the rule bounds the caller's deadline"))
	c.Assert(w.text.String(), qt.Contains, string(failure.CodeDeadlinePassed))
}

// Neither keys nor prompts show in the log, whatever happens to the request.
func TestLogsHoldNeitherKeysNorPrompts(t *testing.T) {
	const prompt = "the-prompt-nobody-may-read"
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		_, _ = w.Write([]byte(`{"error":{"type":"invalid_request_error","message":"bad prompt: ` + prompt + `"}}`))
	})
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		for _, a := range []ask{
			{prompt: prompt}, {prompt: prompt, stream: true},
			{prompt: prompt, key: "key-nobody-may-read"},
			{body: `{"messages": "` + prompt + `}`}, {body: `{"stream": "` + prompt + `", "messages": []}`},
			{prompt: prompt, header: header(callerapi.HeaderDeadline, prompt)},
			{prompt: prompt, header: header(callerapi.HeaderPriority, prompt)},
			{prompt: prompt, header: header(callerapi.HeaderKind, prompt)},
		} {
			s.send(a)
		}
		s.all(echo)
		g := s.send(ask{prompt: prompt})
		qt.Check(t, g.Code, qt.Equals, http.StatusBadRequest)
		qt.Check(t, g.Body.String(), qt.Not(qt.Contains), prompt)
		text := s.log.String()
		qt.Check(t, text, qt.Contains, "request failed")
		for _, word := range []string{prompt, depotKey, "key-nobody-may-read"} {
			qt.Check(t, strings.Contains(text, word), qt.IsFalse, qt.Commentf("%q is in the log", word))
		}
	})
}

// A bill that fails must not leave a recorded answer that a repeat would get
// for nothing.
func TestFailedBill(t *testing.T) {
	for _, stream := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newSite(t)
			s.ledger.onBill = func(context.Context) error { return ledger.ErrStopped }
			tag := ask{stream: stream, header: header(callerapi.HeaderKind, "tag", callerapi.HeaderIdempotencyKey, "k1")}
			g := s.send(tag)
			c.Check(g.whole(tag), qt.IsFalse)
			c.Check(g.cut, qt.Equals, stream)
			c.Check(g.failure().Code, qt.Equals, string(failure.CodeLedgerUnavailable))
			c.Check(g.failure().Ran, qt.Equals, "yes")
			s.ledger.onBill = nil
			again := s.send(tag)
			c.Check(again.failure().Code, qt.Equals, string(failure.CodeOutcomeUnknown))
			c.Check(s.network.hosts(), qt.HasLen, 1)
		})
	}
}
