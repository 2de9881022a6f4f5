package measure

import (
	"bytes"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// The figures of the short cases must not exceed the committed bounds. To accept
// other figures, run bronzeturn-measure with --bounds and show the table before and
// after the change in the commit message.
func TestFiguresStayWithinBounds(t *testing.T) {
	data, err := os.ReadFile("testdata/bounds.json")
	qt.Assert(t, err, qt.IsNil)
	bounds, err := ReadBounds(bytes.NewReader(data))
	qt.Assert(t, err, qt.IsNil)
	cases := BoundCases()
	qt.Assert(t, bounds, qt.HasLen, len(cases))
	for i, c := range cases {
		t.Run(c.Scenario.Name, func(t *testing.T) {
			t.Parallel()
			r, err := Run(c)
			qt.Assert(t, err, qt.IsNil)
			figures := NewFigures(r)
			qt.Assert(t, figures.Case, qt.Equals, bounds[i].Case)
			qt.Check(t, figures.Regressions(bounds[i]), qt.HasLen, 0)
			qt.Check(t, r.Answered+r.Refused+r.Failed, qt.Equals, r.Offered)
			qt.Check(t, r.Answered > 0, qt.IsTrue)
		})
	}
}

func TestRegressions(t *testing.T) {
	bound := Figures{CostPerAnswer: 100, UrgentP95: 500}
	cases := []struct {
		name string
		got  Figures
		want int
	}{
		{"equal", bound, 0},
		{"better", Figures{CostPerAnswer: 90, UrgentP95: 400}, 0},
		{"within the margin", Figures{CostPerAnswer: 101.9, UrgentP95: 509}, 0},
		{"dearer and slower", Figures{CostPerAnswer: 102.1, UrgentP95: 511}, 2},
		{"something where nothing was", Figures{CostPerAnswer: 100, UrgentP95: 500, HaltedVersionAttempts: 1}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, test.got.Regressions(bound), qt.HasLen, test.want)
		})
	}
}

func TestRunIsDeterministic(t *testing.T) {
	t.Parallel()
	scenario := Scenarios[2].Short()
	c := Case{Scenario: scenario, Fault: FaultSlowEngine, Policy: PolicyRouter, Seed: 7}
	first, err := Run(c)
	qt.Assert(t, err, qt.IsNil)
	second, err := Run(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, reflect.DeepEqual(first, second), qt.IsTrue)
	c.Seed = 8
	other, err := Run(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, reflect.DeepEqual(first, other), qt.IsFalse)
}

// The oracle reaches the quality target at a lower cost than PolicyStrongest, and
// PolicyCheapest is cheaper than the oracle but misses the target.
func TestBaselinesAreInOrder(t *testing.T) {
	t.Parallel()
	results := make(map[Policy]*Result)
	for _, policy := range []Policy{PolicyOracle, PolicyStrongest, PolicyCheapest} {
		r, err := Run(Case{Scenario: Scenarios[2].Short(), Fault: FaultNone, Policy: policy, Seed: Seed})
		qt.Assert(t, err, qt.IsNil)
		results[policy] = r
	}
	qt.Check(t, results[PolicyOracle].BelowTarget, qt.Equals, 0)
	qt.Check(t, results[PolicyCheapest].BelowShare() > 0.2, qt.IsTrue)
	qt.Check(t, results[PolicyOracle].CostPerAnswer() < results[PolicyStrongest].CostPerAnswer(), qt.IsTrue)
	qt.Check(t, results[PolicyCheapest].CostPerAnswer() < results[PolicyOracle].CostPerAnswer(), qt.IsTrue)
}

// engineTest runs one fake engine with two slots and 10 tokens per second.
type engineTest struct {
	*clock
	engine   *fakeEngine
	finished []string
}

func newEngineTest() *engineTest {
	e := &engineTest{clock: newClock()}
	e.engine = &fakeEngine{
		Engine: &bronzeturnv1.Engine{Slots: 2, TokensPerSecond: 10},
		clock:  e.clock, rng: rand.New(rand.NewPCG(1, 1)), slowdown: 1,
	}
	return e
}

func (e *engineTest) submit(name string, p bronzeturnv1.Priority, tokens int64) *attempt {
	a := &attempt{
		request: &request{kind: &bronzeturnv1.TaskKind{Priority: p}, completion: tokens},
		engine:  e.engine,
		onFirst: func(*attempt) {},
		onDone:  func(*attempt) { e.finished = append(e.finished, name) },
		onFail:  func(_ *attempt, ran bool) { e.finished = append(e.finished, name+" failed") },
	}
	e.engine.submit(a)
	return a
}

func TestFakeEngineServesByPriority(t *testing.T) {
	e := newEngineTest()
	for _, name := range []string{"a", "b"} {
		e.submit(name, bronzeturnv1.Priority_PRIORITY_BULK, 10)
	}
	e.submit("bulk", bronzeturnv1.Priority_PRIORITY_BULK, 10)
	gone := e.submit("gone", bronzeturnv1.Priority_PRIORITY_NORMAL, 10)
	e.submit("urgent", bronzeturnv1.Priority_PRIORITY_URGENT, 5)
	requests, tokens := e.engine.load()
	qt.Check(t, requests, qt.Equals, int64(5))
	qt.Check(t, tokens, qt.Equals, int64(45))
	e.engine.remove(gone)
	e.runUntil(epoch.Add(time.Minute))
	qt.Check(t, e.finished, qt.DeepEquals, []string{"a", "b", "urgent", "bulk"})
}

func TestFakeEngineCrashFailsAttempts(t *testing.T) {
	e := newEngineTest()
	for _, name := range []string{"a", "b", "c"} {
		e.submit(name, bronzeturnv1.Priority_PRIORITY_NORMAL, 10)
	}
	e.engine.crash()
	e.submit("late", bronzeturnv1.Priority_PRIORITY_NORMAL, 10)
	e.runUntil(epoch.Add(time.Minute))
	qt.Check(t, e.finished, qt.DeepEquals, []string{"a failed", "b failed", "c failed", "late failed"})
}
