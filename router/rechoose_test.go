package router

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

func TestVersionWithoutCapacityIsReplacedWhereThatIsAllowed(t *testing.T) {
	tests := []struct {
		name    string
		full    string
		request callerRequest
		version string
	}{
		{"by the next that reaches the target", cheap, callerRequest{}, strong},
		{"not by one below the target", strong, callerRequest{header: header(callerapi.HeaderKind, "report")}, ""},
		{"not when the caller named it", cheap, callerRequest{model: cheap}, ""},
		{"not beyond the model that the caller named", cheap, callerRequest{model: "small"}, ""},
		{"not for bulk work", cheap, callerRequest{header: header(callerapi.HeaderPriority, "bulk")}, ""},
		{"not in a conversation", cheap, callerRequest{model: "small", header: header(callerapi.HeaderConversation, "c1")}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newFixture(t)
				before := s.send(test.request)
				c.Assert(before.complete(test.request), qt.IsTrue, qt.Commentf("%s", before.Body))
				s.Admission.SetCapacity(test.full, 0)
				if test.name == "not in a conversation" {
					test.request.model = "" // The conversation is pinned to its version already.
				}
				got := s.send(test.request)
				if test.version != "" {
					c.Assert(got.complete(test.request), qt.IsTrue, qt.Commentf("%s", got.Body))
					c.Assert(got.version(), qt.Equals, test.version)
					c.Assert(s.executions(got.id()), qt.Equals, 1)
					return
				}
				c.Assert(got.failure().Code, qt.Equals, "no_capacity", qt.Commentf("%s", got.Body))
				c.Assert(got.failure().Ran, qt.Equals, "no")
				c.Assert(got.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
				c.Assert(s.executions(got.id()), qt.Equals, 0)
			})
		})
	}
}

func TestVersionWithoutAnEngineNowIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFixture(t)
		s.configure(t, func(r *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			for i, e := range r.GetEngines() {
				e.Versions = []string{cheap}
				if i == 0 {
					e.Versions = []string{strong}
				}
			}
		})
		for i := 1; i < engineCount; i++ {
			s.leaving.Store("host-of-"+engineName(i), true)
		}
		got := s.send(callerRequest{})
		c.Assert(got.complete(callerRequest{}), qt.IsTrue, qt.Commentf("%s", got.Body))
		c.Assert(got.version(), qt.Equals, strong)
		c.Assert(s.executions(got.id()), qt.Equals, 1)
		c.Assert(s.ledger.billsOf(got.id()), qt.HasLen, 1)
	})
}

func TestStaleConfigurationIsRefusedBeforeEachAttempt(t *testing.T) {
	tests := []struct {
		name   string
		answer http.HandlerFunc
		ran    string
	}{
		{"that follows a refusal", refusing, "no"},
		{"that follows a lost answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newFixture(t)
				s.setEngines(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					s.stale.Store(failure.New(failure.CodeConfigurationStale, failure.RanNo, "no news").WithRetryAfter(time.Second))
					test.answer(w, r)
				}))
				got := s.send(callerRequest{})
				c.Assert(got.failure().Code, qt.Equals, string(failure.CodeConfigurationStale))
				c.Assert(got.failure().Ran, qt.Equals, test.ran)
				c.Assert(got.failure().Entries, qt.Not(qt.HasLen), 0)
				c.Assert(s.network.hosts(), qt.HasLen, 1)
			})
		})
	}
}

func TestChoiceStaysWithinTheRemainingSpend(t *testing.T) {
	report := callerRequest{header: header(callerapi.HeaderKind, "report")}
	for _, test := range []struct {
		name    string
		limit   int64
		version string
	}{
		{"enough for the version at the target", 100_000, strong},
		{"enough for the best that can be paid", 60, cheap},
		{"enough for none", 1, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newFixture(t)
				s.Admission.SetLimits([]*bronzeturnv1.Limit{{Organisation: "depot", DailySpendMicros: test.limit}}, 1)
				got := s.send(report)
				if test.version != "" {
					c.Assert(got.complete(report), qt.IsTrue, qt.Commentf("%s", got.Body))
					c.Assert(got.version(), qt.Equals, test.version)
					return
				}
				c.Assert(got.failure().Code, qt.Equals, string(failure.CodeSpendExceeded))
				c.Assert(got.failure().Ran, qt.Equals, "no")
				c.Assert(got.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
				c.Assert(s.executions(got.id()), qt.Equals, 0)
			})
		})
	}
}
