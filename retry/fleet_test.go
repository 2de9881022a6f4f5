package retry_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/retry"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "300")
	flag.Parse()
	os.Exit(m.Run())
}

// fleet simulates daemons that send requests to engines, half of which fail at once.
type fleet struct {
	daemons  []*fleetDaemon
	attempts int
	requests int
	answered int
}

type fleetDaemon struct {
	state  *balance.State
	plan   *balance.Plan
	budget *retry.Budget
	rng    *rand.Rand
}

func newFleet(c *qt.C, daemons, engines int) *fleet {
	reg := &bronzeturnv1.Register{}
	for i := range engines {
		reg.Engines = append(reg.Engines, &bronzeturnv1.Engine{
			Name: fmt.Sprintf("engine-%d", i), Pool: "diag-llm", Slots: 8, TokensPerSecond: 40,
			DataCentre: fmt.Sprintf("hall-%d", i/2%3), Versions: []string{"v"},
		})
	}
	f := &fleet{}
	for i := range daemons {
		s, err := balance.NewState(balance.DefaultOptions())
		c.Assert(err, qt.IsNil)
		f.daemons = append(f.daemons, &fleetDaemon{
			state:  s,
			plan:   s.Plan(reg, nil),
			budget: retry.NewBudget(retry.DefaultBudgetOptions()),
			rng:    rand.New(rand.NewPCG(uint64(i), 1)),
		})
	}
	return f
}

// broken reports whether the engine fails all requests, which is every second one.
func broken(engine string) bool {
	var i int
	fmt.Sscanf(engine, "engine-%d", &i)
	return i%2 == 1
}

func (f *fleet) request(d *fleetDaemon, dataCentre string, now time.Time) {
	f.requests++
	d.budget.Request(now)
	r := &balance.Request{Version: "v", DataCentre: dataCentre, Work: balance.Work{ExpectedTokens: 20}}
	policy := retry.DefaultPolicy()
	for number := 1; ; number++ {
		choice, ok := d.state.Choose(d.plan, r, now, d.rng)
		if !ok {
			return
		}
		f.attempts++
		name := choice.Engine.GetName()
		d.state.Dispatched(balance.Dispatched{Engine: name, Work: r.Work, At: now})
		if !broken(name) {
			d.state.Finished(balance.Finished{Engine: name, Work: r.Work, At: now})
			f.answered++
			return
		}
		d.state.Failed(balance.Failed{Engine: name, Work: r.Work, Kind: balance.FailureError, At: now})
		r.Exclude[number-1] = name
		a := retry.Attempt{Kind: retry.KindError, Ran: failure.RanNo, Number: number, Left: time.Second}
		again, wait, _ := policy.Next(a, d.budget, now, d.rng)
		if !again {
			return
		}
		now = now.Add(wait)
	}
}

func TestRetriesDoNotAmplifyLoadWhenHalfTheEnginesFail(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 6, 12)
	now := epoch()
	for i := range 6000 { // two minutes at 50 requests a second
		now = now.Add(20 * time.Millisecond)
		f.request(f.daemons[i%6], fmt.Sprintf("hall-%d", i%3), now)
	}
	perRequest := float64(f.attempts) / float64(f.requests)
	answered := float64(f.answered) / float64(f.requests)
	c.Logf("attempts per request %.3f, answered %.4f", perRequest, answered)
	c.Assert(perRequest < 1.2, qt.IsTrue, qt.Commentf("%.3f", perRequest))
	c.Assert(answered > 0.98, qt.IsTrue, qt.Commentf("%.4f", answered))
}

func epoch() time.Time { return time.Unix(1_800_000_000, 0) }
