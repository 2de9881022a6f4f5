package demo

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/examples"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/hostlist"
)

// shortTraffic is long enough for each part of the scenarios to send some requests.
const shortTraffic = 600 * time.Millisecond

func TestShortDemoBillsEveryAnswerOnce(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	err := Run(t.Context(), &out, Options{JSON: true, Traffic: shortTraffic})
	c.Assert(err, qt.IsNil)
	var report Report
	c.Assert(json.Unmarshal(out.Bytes(), &report), qt.IsNil)
	c.Assert(report.Deployments, qt.HasLen, len(examples.Names))
	for _, d := range report.Deployments {
		c.Check(d.Faults, qt.HasLen, 0)
		c.Check(d.BrokenAnswers, qt.Equals, int64(0))
		c.Check(d.Bills.Recorded, qt.Equals, d.Bills.Answers)
		c.Check(d.Bills.Repeats, qt.Equals, uint64(demoDaemons-1))
		answers := uint64(0)
		for _, row := range d.Rows {
			answers += uint64(row.Answers)
		}
		c.Check(answers, qt.Equals, d.Bills.Answers)
		refused := make(map[string]bool)
		for _, r := range d.Refusals {
			refused[r.Code] = true
		}
		for _, code := range []failure.Code{failure.CodeUnauthenticated, failure.CodeVersionNotAllowed, failure.CodeKeyRequired} {
			c.Check(refused[string(code)], qt.IsTrue, qt.Commentf("%s: %v", code, d.Refusals))
		}
	}
}

func TestFaultsOfTheReport(t *testing.T) {
	tests := []struct {
		name   string
		bills  Bills
		broken int64
		want   int
	}{
		{"a bill for each answer", Bills{Recorded: 7, Answers: 7, Repeats: 2}, 0, 0},
		{"an answer without a bill", Bills{Recorded: 6, Answers: 7}, 0, 1},
		{"a bill too many", Bills{Recorded: 8, Answers: 7}, 0, 1},
		{"a broken answer", Bills{Recorded: 7, Answers: 7}, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := DeploymentReport{Faults: test.bills.faults(test.broken), Bills: test.bills}
			c.Check(d.Faults, qt.HasLen, test.want)
			err := Report{Deployments: []DeploymentReport{d}}.faultError()
			var fault *FaultError
			c.Check(errors.As(err, &fault), qt.Equals, test.want > 0)
			var text strings.Builder
			d.print(&text)
			c.Check(strings.Count(text.String(), "FAULT"), qt.Equals, test.want)
		})
	}
}

func TestExampleHostListsNameEveryHostOfTheRegister(t *testing.T) {
	for _, example := range examples.Names {
		t.Run(example, func(t *testing.T) {
			c := qt.New(t)
			register, _, err := readExample(example)
			c.Assert(err, qt.IsNil)
			data, err := examples.Files.ReadFile(example + "/hosts.json")
			c.Assert(err, qt.IsNil)
			var hosts []hostlist.Host
			c.Assert(json.Unmarshal(data, &hosts), qt.IsNil)
			want := (&Platform{Register: register}).hosts(demoDaemons)
			byName := func(a, b hostlist.Host) int { return strings.Compare(a.Name, b.Name) }
			slices.SortFunc(hosts, byName)
			slices.SortFunc(want, byName)
			c.Check(hosts, qt.DeepEquals, want)
		})
	}
}

func TestRepeatedRequestThatDidNotRunOnceIsAFault(t *testing.T) {
	c := qt.New(t)
	p, err := StartPlatform(examples.Andina, 1)
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Stop)
	generator := &trafficGenerator{platform: p, outcomes: newOutcomes()}
	generator.recordDuplicates(task{kind: "reorder"}, nil)
	c.Check(generator.outcomes.faults, qt.DeepEquals, []string{
		"a repeated reorder request ran 0 times", "the repeated reorder request reached 0 daemons",
	})
}
