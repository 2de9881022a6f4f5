package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/inventory"
)

// testStart is the start time of the engines under test.
var testStart = time.UnixMilli(1_780_000_000_000)

// viewOf returns a view of engines of one service with the given start times.
func viewOf(starts map[string]time.Time) *inventory.View {
	var list []inventory.Engine
	for id, at := range starts {
		list = append(list, inventory.Engine{ID: id, Started: at, Service: "s", Address: "192.0.2.1:1", DataCentre: "hall-1", Slots: 4})
	}
	set := inventory.New(time.Second, func(_, _ *inventory.View) {})
	set.Apply(inventory.Change{Registered: list}, testStart)
	return set.View()
}

// assignAll assigns every engine to the version in force of its service.
func assignAll(e inventory.Engine) []string { return []string{Group(e.Service, false)} }

// TestRestartedEngineHasNoHistory guards against a restarted engine inheriting the state of
// its previous start: failures, work in progress, slowness and cached prompts.
func TestRestartedEngineHasNoHistory(t *testing.T) {
	c := qt.New(t)
	state, err := balance.NewState(balance.DefaultOptions())
	c.Assert(err, qt.IsNil)
	view := viewOf(map[string]time.Time{"a": testStart, "b": testStart})
	engines := NewEngines(state, view, assignAll)
	before := view.Engines[0].Key()
	work := balance.Work{PromptTokens: 100_000, ExpectedTokens: 100}
	const prefix = 77
	now := testStart.Add(time.Minute)
	for range 5 {
		state.Dispatched(balance.Dispatched{Engine: before, Work: work, PrefixHash: prefix, At: now})
		state.Failed(balance.Failed{Engine: before, Work: work, Kind: balance.FailureError, At: now})
	}
	state.Dispatched(balance.Dispatched{Engine: before, Work: work, PrefixHash: prefix, At: now})
	choose := func() string {
		r := &balance.Request{Version: Group("s", false), DataCentre: "hall-1", Work: work, NoProbe: true, PrefixHash: prefix}
		d, ok := state.Choose(engines.Plan, r, now, rand.New(rand.NewPCG(1, 2)))
		c.Assert(ok, qt.IsTrue)
		return d.Engine.GetName()
	}
	c.Check(choose(), qt.Equals, "b@1780000000000")

	again := viewOf(map[string]time.Time{"a": testStart.Add(time.Second), "b": testStart})
	engines = NewEngines(state, again, assignAll)
	after := again.Engines[0].Key()
	c.Check(after, qt.Not(qt.Equals), before)
	requests, _ := state.OwnLoad(after)
	c.Check(requests, qt.Equals, int64(0))
	for range 3 {
		state.Dispatched(balance.Dispatched{Engine: "b@1780000000000", Work: work, At: now})
	}
	// The restarted engine counts neither as failing nor as having the prompt cached, so the
	// engine with less work is chosen.
	c.Check(choose(), qt.Equals, after)
}

// TestPrefixHomesMoveWhenEngineRestarts guards against a restarted engine counting as the home
// of prefixes that its previous start had cached.
func TestPrefixHomesMoveWhenEngineRestarts(t *testing.T) {
	c := qt.New(t)
	state, err := balance.NewState(balance.DefaultOptions())
	c.Assert(err, qt.IsNil)
	starts := map[string]time.Time{"a": testStart, "b": testStart, "c": testStart}
	engines := NewEngines(state, viewOf(starts), assignAll)
	starts["a"] = testStart.Add(time.Second)
	restarted := NewEngines(state, viewOf(starts), assignAll)
	moved := 0
	for _, prefix := range []string{"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8", "p9"} {
		home, ok := engines.home(Group("s", false), prefix, 1, 0)
		c.Assert(ok, qt.IsTrue)
		next, _ := restarted.home(Group("s", false), prefix, 1, 0)
		if home != next {
			moved++
		}
	}
	c.Check(moved > 0, qt.IsTrue)
}
