package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/route"
)

// mixedService returns a service with three models for long prompts with a target of 8 s and
// short ones with a target of 2 s.
func mixedService() (service *route.Service, long, short *route.Route) {
	service, short, long = sizes()
	service.ShortestTarget = 2 * time.Second
	short.Target, long.Target = service.ShortestTarget, 8*time.Second
	return service, long, short
}

// TestBurstOfLongPromptsDoesNotEscalate guards against a burst of long prompts whose
// escalations make short, urgent requests late: the engines read ten times as long for an
// escalation as for the first answer. On idle engines both escalate.
func TestBurstOfLongPromptsDoesNotEscalate(t *testing.T) {
	c := qt.New(t)
	service, long, short := mixedService()
	m := NewModelChoice(DefaultModelOptions())
	const doubtful = 45
	for _, load := range []struct {
		backlog                 time.Duration
		requests                float64
		escalatesLong, escalate bool
	}{
		{0, 0, true, true},
		{400 * time.Millisecond, 8, true, true},
		{1800 * time.Millisecond, 16, false, true},
	} {
		for range 20 {
			m.Sized(long, service, 12000, 380)
			m.Sized(short, service, 800, 290)
		}
		q := m.Sized(long, service, 12000, 380)
		q.delayCost = m.DelayCost(service, load.backlog, load.requests)
		_, escalates := m.Larger(q, "small", doubtful, at(0.2), noExploration)
		c.Check(escalates, qt.Equals, load.escalatesLong, qt.Commentf("long prompt, %+v", load))
		q = m.Sized(short, service, 800, 290)
		q.delayCost = m.DelayCost(service, load.backlog, load.requests)
		_, escalates = m.Larger(q, "small", doubtful, at(0.2), noExploration)
		c.Check(escalates, qt.Equals, load.escalate, qt.Commentf("short prompt, %+v", load))
	}
}

// TestDelayCostGrowsWithLoad guards against a cost that is charged on calm engines, falls as
// the load grows or has no bound.
func TestDelayCostGrowsWithLoad(t *testing.T) {
	service, long, _ := mixedService()
	m := NewModelChoice(DefaultModelOptions())
	worth := m.Sized(long, service, 12000, 380).worth
	rapid.Check(t, func(t *rapid.T) {
		backlog := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "backlog"))
		requests := rapid.Float64Range(0, 1000).Draw(t, "requests")
		cost := m.DelayCost(service, backlog, requests)
		switch {
		case cost < 0 || cost > requests*worth/service.ShortestTarget.Seconds():
			t.Fatalf("cost %v", cost)
		case m.DelayCost(service, backlog+time.Second, requests) < cost, m.DelayCost(service, backlog, requests+1) < cost:
			t.Fatalf("falls as the load grows, from %v", cost)
		case backlog.Seconds() <= freeBacklogShare*service.ShortestTarget.Seconds() && cost > 0:
			t.Fatalf("cost %v with a free engine", cost)
		}
	})
	qt.Check(t, m.DelayCost(nil, time.Second, 5), qt.Equals, 0.0)
	qt.Check(t, m.DelayCost(&route.Service{Name: "plain"}, time.Second, 5), qt.Equals, 0.0)
}

// TestEscalationsLeaveBudgetToRetries guards against streams that break off when engines
// crash, because escalations have used up the retry budget, and against a reserve at times in
// which no retry needs it.
func TestEscalationsLeaveBudgetToRetries(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ schedules, denied, reserves bool }{
		{true, true, true}, {true, false, false}, {false, true, false},
	} {
		g := &Gateway{
			Options: Options{SchedulesLoad: func() bool { return test.schedules }},
			budgets: newBudgets(BudgetOptions{Ratio: 0.9, Slack: 40, Window: 10 * time.Second}, func() int { return 1 }),
		}
		now := time.Now()
		for range 100 {
			g.budgets.forService("llm").Request(now)
		}
		if test.denied {
			g.budgets.recordDenied("llm", now)
		}
		escalations, retries := 0, 0
		for g.takeEscalation("llm") {
			escalations++
		}
		for g.budgets.forService("llm").Take(now) {
			retries++
		}
		c.Check(escalations > 10, qt.IsTrue, qt.Commentf("%d escalations", escalations))
		c.Check(retries >= escalations-2, qt.Equals, test.reserves, qt.Commentf("%+v: %d retries, %d escalations", test, retries, escalations))
	}
}
