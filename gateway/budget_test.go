package gateway

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/failure"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestFleetBudgetHoldsInAnyWindow guards against daemons exceeding the fleet's retry budget
// together. Daemons that do not communicate take all they can at random times, and every
// window is checked against the fleet's budget.
func TestFleetBudgetHoldsInAnyWindow(t *testing.T) {
	const window = 10
	rapid.Check(t, func(t *rapid.T) {
		options := BudgetOptions{
			Ratio: rapid.SampledFrom([]float64{0.2, 0.9}).Draw(t, "ratio"),
			Slack: rapid.SampledFrom([]float64{12, 52, 198}).Draw(t, "slack"), Window: window * time.Second,
		}
		n := rapid.IntRange(1, 12).Draw(t, "daemons")
		var daemons []*budgets
		for range n {
			daemons = append(daemons, newBudgets(options, func() int { return n }))
		}
		start := time.Unix(1000, 0)
		const seconds = 40
		var requests, sends [seconds]float64
		for s := range seconds {
			for _, d := range daemons {
				now := start.Add(time.Duration(s) * time.Second)
				sent := rapid.IntRange(0, 8).Draw(t, "requests")
				for range sent {
					d.forService("s").Request(now)
				}
				requests[s] += float64(sent)
				if rapid.Bool().Draw(t, "storm") {
					for d.forService("s").Take(now) {
						sends[s]++
					}
				}
			}
		}
		for from := 0; from+window <= seconds; from++ {
			got, now, before := 0.0, 0.0, 0.0
			for s := from; s < from+window; s++ {
				got += sends[s]
				now += requests[s]
				if s >= window {
					before += requests[s-window]
				}
			}
			if allowed := options.Ratio*math.Max(now, before) + options.Slack; got > allowed {
				t.Fatalf("%v sends in the window from %d, %v allowed", got, from, allowed)
			}
		}
	})
}

func TestStatusClaimsNotRunOnlyIfKnown(t *testing.T) {
	c := qt.New(t)
	for _, code := range []failure.Code{
		failure.CodeNoCapacity, failure.CodeDeadlinePassed, failure.CodeEngineFailed, failure.CodeDaemonLeaving, failure.CodeInternal,
		failure.CodeCanceled, failure.CodeAnswerBroken,
	} {
		for _, ran := range []failure.Ran{failure.RanUnknown, failure.RanYes} {
			c.Check(promisesNotRun(statusOf(failure.New(code, ran, ""))), qt.IsFalse, qt.Commentf("%s %s", code, ran))
		}
	}
	c.Check(statusOf(failure.New(failure.CodeNoCapacity, failure.RanNo, "")), qt.Equals, 503)
	c.Check(statusOf(failure.New(failure.CodeDeadlinePassed, failure.RanNo, "")), qt.Equals, 503)
	c.Check(statusOf(failure.New(failure.CodeDeadlinePassed, failure.RanUnknown, "")), qt.Equals, 504)
}
