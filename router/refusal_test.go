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

// TestRefusals checks that each refusal is sent immediately and in the common JSON format,
// and that it is true that the request did not run: it reached no engine and has no bill.
func TestRefusals(t *testing.T) {
	tooLong := `{"messages":[{"role":"user","content":"` + strings.Repeat("x", maxBodyBytes) + `"}]}`
	tests := []struct {
		name    string
		request callerRequest
		prepare func(t *testing.T, s *fixture)
		code    failure.Code
		status  int
		// retry is set if Retry-After is expected.
		retry bool
		// message is a part of the expected message.
		message string
	}{
		{name: "no key", request: callerRequest{key: "none"}, code: failure.CodeUnauthenticated, status: 401},
		{name: "wrong key", request: callerRequest{key: "key-of-nobody"}, code: failure.CodeUnauthenticated, status: 401},
		{name: "another scheme", request: callerRequest{key: "none", header: header("Authorization", "Basic "+depotKey)}, code: failure.CodeUnauthenticated, status: 401},
		{name: "version not allowed", request: callerRequest{model: secret}, code: failure.CodeVersionNotAllowed, status: 403},
		{name: "unknown version", request: callerRequest{model: "no-such@1"}, code: failure.CodeVersionNotAllowed, status: 403},
		{name: "withdrawn version", request: callerRequest{model: withdrawn}, code: failure.CodeVersionWithdrawn, status: 410},
		{name: "unknown kind", request: callerRequest{header: header(callerapi.HeaderKind, "nonsense")}, code: failure.CodeUnknownKind, status: 400},
		{name: "not JSON", request: callerRequest{body: `{"messages": [}`}, code: failure.CodeMalformedRequest, status: 400, message: "at byte 15"},
		{name: "bytes after the body", request: callerRequest{body: `{"messages": []} x`}, code: failure.CodeMalformedRequest, status: 400, message: "at byte 18"},
		{name: "not an object", request: callerRequest{body: `[1]`}, code: failure.CodeMalformedRequest, status: 400, message: "at byte 1"},
		{name: "null", request: callerRequest{body: `null`}, code: failure.CodeMalformedRequest, status: 400, message: "JSON object"},
		{name: "wrong type of a field", request: callerRequest{body: `{"messages": [], "stream": "yes"}`}, code: failure.CodeMalformedRequest, status: 400, message: "field stream"},
		{name: "no messages", request: callerRequest{body: `{}`}, code: failure.CodeMalformedRequest, status: 400, message: "messages"},
		{name: "negative max_tokens", request: callerRequest{body: `{"messages": [], "max_tokens": -1}`}, code: failure.CodeMalformedRequest, status: 400, message: "max_tokens"},
		{name: "body over the limit", request: callerRequest{body: tooLong}, code: failure.CodeBodyTooLarge, status: 413},
		{name: "no idempotency key", request: callerRequest{header: header(callerapi.HeaderKind, "tag")}, code: failure.CodeKeyRequired, status: 400},
		{name: "idempotency key too long", request: callerRequest{header: header(callerapi.HeaderIdempotencyKey, strings.Repeat("k", 201))}, code: failure.CodeMalformedRequest, status: 400},
		{name: "idempotency key not printable", request: callerRequest{header: header(callerapi.HeaderIdempotencyKey, "caf\xe9")}, code: failure.CodeMalformedRequest, status: 400},
		{name: "deadline past", request: callerRequest{header: header(callerapi.HeaderDeadline, "-1s")}, code: failure.CodeDeadlinePassed, status: 504},
		{name: "deadline not a duration", request: callerRequest{header: header(callerapi.HeaderDeadline, "soon")}, code: failure.CodeMalformedRequest, status: 400},
		{name: "unknown priority", request: callerRequest{header: header(callerapi.HeaderPriority, "unspecified")}, code: failure.CodeMalformedRequest, status: 400},
		{name: "unknown path", request: callerRequest{path: "/v1/other"}, code: failure.CodeNotFound, status: 404},
		{name: "service not allowed", request: callerRequest{key: kioskKey, path: "/v1/services/tickets/x"}, code: failure.CodeServiceNotAllowed, status: 403},
		{name: "unknown service", request: callerRequest{path: "/v1/services/none/x"}, code: failure.CodeServiceNotAllowed, status: 403},
		{name: "service without key", request: callerRequest{path: "/v1/services/tickets/x"}, code: failure.CodeKeyRequired, status: 400},
		{name: "no slots", request: callerRequest{model: cheap}, prepare: func(_ *testing.T, s *fixture) { s.Admission.SetCapacity(cheap, 0) },
			code: failure.CodeNoCapacity, status: 503, retry: true},
		{name: "all engines leaving", prepare: func(_ *testing.T, s *fixture) {
			for i := range engineCount {
				s.leaving.Store("host-of-"+engineName(i), true)
			}
		}, code: failure.CodeNoCapacity, status: 503, retry: true},
		{name: "no configuration", prepare: func(_ *testing.T, s *fixture) { s.current.Store(nil) },
			code: failure.CodeNoConfiguration, status: 503, retry: true},
		{name: "stale configuration", prepare: func(_ *testing.T, s *fixture) {
			s.stale.Store(failure.New(failure.CodeConfigurationStale, failure.RanNo, "no news").WithRetryAfter(time.Second))
		}, code: failure.CodeConfigurationStale, status: 503, retry: true},
		{name: "leaving", prepare: func(_ *testing.T, s *fixture) { s.StopAdmitting() },
			code: failure.CodeDaemonLeaving, status: 503, retry: true},
		{name: "limit of the organisation", prepare: func(t *testing.T, s *fixture) {
			s.Admission.SetLimits([]*bronzeturnv1.Limit{{Organisation: "depot", ConcurrentRequests: 1}}, 1)
			_, err := s.Admission.Acquire(context.Background(), admission.Request{Organisation: "depot", Deadline: time.Now().Add(time.Second), Group: cheap})
			qt.Assert(t, err, qt.IsNil)
		}, code: failure.CodeLimitExceeded, status: 429, retry: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newFixture(t)
				if test.prepare != nil {
					test.prepare(t, s)
				}
				start := time.Now()
				g := s.send(test.request)
				c.Check(time.Since(start), qt.Equals, time.Duration(0))
				c.Check(g.cut, qt.IsFalse)
				c.Check(g.Code, qt.Equals, test.status)
				f := g.failure()
				c.Check(f.Code, qt.Equals, string(test.code))
				c.Check(f.Ran, qt.Equals, "no")
				c.Check(f.Message, qt.Contains, test.message)
				if !strings.Contains(test.request.path, "other") {
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

// TestNotAllowedAndUnknownAreIndistinguishable guards against refusals that disclose that
// a version or service of another organisation exists.
func TestNotAllowedAndUnknownAreIndistinguishable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		for _, pair := range [][2]callerRequest{
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
		s := newFixture(t)
		talk := callerRequest{header: header(callerapi.HeaderConversation, "c1", callerapi.HeaderKind, "report")}
		c.Assert(s.send(talk).version(), qt.Equals, strong)
		cheaper := callerRequest{header: header(callerapi.HeaderConversation, "c1")}
		c.Assert(s.send(cheaper).version(), qt.Equals, strong)

		other := talk
		other.model = cheap
		c.Assert(s.send(other).failure().Code, qt.Equals, string(failure.CodeVersionNotAllowed))
		ofKiosks := callerRequest{key: kioskKey, header: header(callerapi.HeaderConversation, "c1")}
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
		s := newFixture(t)
		first := callerRequest{header: header(callerapi.HeaderKind, "tag", callerapi.HeaderIdempotencyKey, "k1")}
		g := s.send(first)
		c.Assert(g.complete(first), qt.IsTrue, qt.Commentf("%s", g.Body))
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

// TestRepeatWaitsWithoutUsingCapacity guards against repeats that use up admission capacity
// while they wait for the first request with their key.
func TestRepeatWaitsWithoutUsingCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFixture(t)
		s.Admission.SetCapacity(cheap, 2)
		tag := callerRequest{header: header(callerapi.HeaderKind, "tag", callerapi.HeaderIdempotencyKey, "k1")}
		answers := make(chan callerResponse, 2)
		s.setEngines(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			s.engines[0].ServeHTTP(w, r)
		}))
		go func() { answers <- s.send(tag) }()
		time.Sleep(100 * time.Millisecond)
		go func() { answers <- s.send(tag) }()
		time.Sleep(100 * time.Millisecond)
		other := callerRequest{}
		start := time.Now()
		c.Check(s.send(other).complete(other), qt.IsTrue)
		c.Check(time.Since(start) < 1200*time.Millisecond, qt.IsTrue)
		c.Check((<-answers).complete(tag), qt.IsTrue)
		c.Check((<-answers).complete(tag), qt.IsTrue)
		c.Check(s.network.hosts(), qt.HasLen, 2)
	})
}

// TestRepeatOfARequestThatStillRuns checks what a repeat is told about the first request:
// that it may have run if the repeat's own deadline passes first, and that it did not run
// once that is known.
func TestRepeatOfARequestThatStillRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFixture(t)
		refuse := make(chan struct{})
		s.setEngines(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-refuse:
			case <-r.Context().Done():
			}
			w.Header().Set("X-Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		tag := callerRequest{header: header(callerapi.HeaderKind, "tag", callerapi.HeaderIdempotencyKey, "k1")}
		answers := make(chan callerResponse, 2)
		go func() { answers <- s.send(tag) }()
		time.Sleep(100 * time.Millisecond)
		hasty := callerRequest{header: header(callerapi.HeaderKind, "tag", callerapi.HeaderIdempotencyKey, "k1", callerapi.HeaderDeadline, "200ms")}
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
		s.setEngines(s.engines[0])
		time.Sleep(time.Second) // The refusals made the balancer avoid the engines for a while.
		third := s.send(tag)
		c.Check(third.complete(tag), qt.IsTrue, qt.Commentf("a request that did not run may be sent again: %s", third.Body))
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
				s := newFixture(t)
				s.setEngines(test.handler)
				start := time.Now()
				g := s.send(callerRequest{header: header(callerapi.HeaderKind, test.kind, callerapi.HeaderIdempotencyKey, "k", callerapi.HeaderDeadline, "400ms")})
				c.Check(time.Since(start) <= 400*time.Millisecond+recordPause, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
				c.Check(g.failure().Ran, qt.Equals, string(test.ran))
				c.Check(g.Code >= http.StatusInternalServerError, qt.IsTrue)
				c.Check(s.ledger.billsOf(g.id()), qt.HasLen, 0)
			})
		})
	}
}

// recordPause bounds the virtual time that the ledger takes to write one record.
const recordPause = 200 * time.Millisecond

// TestBodyReadEndsAtTheDeadline checks that the router does not wait for a body beyond the
// deadline of the request, which the task kind bounds.
func TestBodyReadEndsAtTheDeadline(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t)
	w := &slowWriter{header: make(http.Header)}
	r := callerRequest{}.request()
	r.Body = w
	r.ContentLength = -1
	r.Header.Set(callerapi.HeaderDeadline, "1h")
	c.Assert(s.serveTo(w, r), qt.IsFalse)
	c.Assert(w.status, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(w.readDeadline.IsZero(), qt.IsFalse)
	c.Assert(time.Until(w.readDeadline) <= 30*time.Second, qt.IsTrue, qt.Commentf("the rule bounds the caller's deadline"))
	c.Assert(w.text.String(), qt.Contains, string(failure.CodeDeadlinePassed))
}

// TestLogsHoldNeitherKeysNorPrompts checks that neither keys nor prompts appear in the log,
// also for requests that fail and for engine errors that quote the prompt.
func TestLogsHoldNeitherKeysNorPrompts(t *testing.T) {
	const prompt = "the-prompt-nobody-may-read"
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		_, _ = w.Write([]byte(`{"error":{"type":"invalid_request_error","message":"bad prompt: ` + prompt + `"}}`))
	})
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		for _, a := range []callerRequest{
			{prompt: prompt}, {prompt: prompt, stream: true},
			{prompt: prompt, key: "key-nobody-may-read"},
			{body: `{"messages": "` + prompt + `}`}, {body: `{"stream": "` + prompt + `", "messages": []}`},
			{prompt: prompt, header: header(callerapi.HeaderDeadline, prompt)},
			{prompt: prompt, header: header(callerapi.HeaderPriority, prompt)},
			{prompt: prompt, header: header(callerapi.HeaderKind, prompt)},
		} {
			s.send(a)
		}
		s.setEngines(echo)
		g := s.send(callerRequest{prompt: prompt})
		qt.Check(t, g.Code, qt.Equals, http.StatusBadRequest)
		qt.Check(t, g.Body.String(), qt.Not(qt.Contains), prompt)
		text := s.log.String()
		qt.Check(t, text, qt.Contains, "request failed")
		for _, word := range []string{prompt, depotKey, "key-nobody-may-read"} {
			qt.Check(t, strings.Contains(text, word), qt.IsFalse, qt.Commentf("%q is in the log", word))
		}
	})
}

// TestFailedBill guards against an outcome that is recorded although its bill is not: a
// repeat would then get the answer for free.
func TestFailedBill(t *testing.T) {
	for _, stream := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newFixture(t)
			s.ledger.onBill = func(context.Context) error { return ledger.ErrStopped }
			tag := callerRequest{stream: stream, header: header(callerapi.HeaderKind, "tag", callerapi.HeaderIdempotencyKey, "k1")}
			g := s.send(tag)
			c.Check(g.complete(tag), qt.IsFalse)
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
