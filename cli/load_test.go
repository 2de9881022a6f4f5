package cli

import (
	"net/http"
	"testing"

	"github.com/bronzeturn/bronzeturn/caller/callertest"
	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/load"
	qt "github.com/frankban/quicktest"
)

func TestLoadCountsAnswersAndRefusalsByKind(t *testing.T) {
	c := qt.New(t)
	e := newEntry(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(callerapi.HeaderKind) == "tag" {
			callertest.Refuse(http.StatusTooManyRequests, callerapi.ErrorDetail{Code: "limit_exceeded", Ran: "no"})(w, r)
			return
		}
		callertest.Stream(callertest.EventText, callertest.EventFinish, callertest.EventUsage, callertest.EventDone)(w, r)
	})
	got := run(t, "load", "--entry", e.Address(), "--rate=500", "--duration=100ms", "--mix=quick=3,tag=1", "--stream", "--json")
	c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	var report load.Report
	decode(t, got.stdout, &report)
	c.Check(report.Sent+report.NotSent, qt.Equals, int64(50))
	c.Check(report.Sent, qt.Equals, int64(len(e.Requests())))
	c.Assert(report.Kinds, qt.HasLen, 1)
	c.Check(report.Kinds[0].Answered, qt.Equals, report.Answered)
	c.Check(report.Kinds[0].Tokens, qt.Equals, 2*report.Answered)
	c.Check(report.Kinds[0].FirstToken, qt.IsNotNil)
	c.Assert(report.Refusals, qt.HasLen, 1)
	c.Check(report.Refusals[0].Code, qt.Equals, "limit_exceeded")
	c.Check(report.Refusals[0].Count+report.Answered, qt.Equals, report.Sent)
	c.Check(e.EntriesQueries(), qt.Equals, 1, qt.Commentf("the entry addresses are cached"))
}

func TestLoadFailsOnIncompleteAnswers(t *testing.T) {
	tests := []struct {
		name string
		chat http.HandlerFunc
		args []string
		code int
	}{
		{"broken streams", callertest.Stream(callertest.EventText, callertest.EventBroken), nil, ExitFailure},
		{"answers in one piece where streams were asked for", callertest.AnswerWhole, []string{"--stream"}, ExitFailure},
		{"answers that do not belong to their requests", callertest.AnswerWhole, []string{"--stand-ins"}, ExitFailure},
		{"only refusals", callertest.Refuse(http.StatusTooManyRequests, callerapi.ErrorDetail{Code: "limit_exceeded"}), nil, ExitUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEntry(t, test.chat)
			args := []string{"load", "--entry", e.Address(), "--rate=100", "--duration=20ms"}
			got := run(t, append(args, test.args...)...)
			qt.Check(t, got.code, qt.Equals, test.code, qt.Commentf("%s%s", got.stdout, got.stderr))
		})
	}
}

func TestLoadIsBounded(t *testing.T) {
	for _, flag := range []string{"--rate=0", "--rate=NaN", "--rate=5001", "--duration=61s", "--duration=0s", "--in-flight=0", "--deadline=0s", "--mix=a=0", "--mix=a=-1,b=2"} {
		got := run(t, "load", "--entry", "127.0.0.1:1", flag)
		qt.Check(t, got.code, qt.Equals, ExitUsage, qt.Commentf(flag))
	}
}
