package entry

import (
	"context"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/canary"
	"github.com/bronzeturn/bronzeturn/dispatch"
	"github.com/bronzeturn/bronzeturn/gateway"
	"github.com/bronzeturn/bronzeturn/inventory"
)

// scheduled returns the ids of the engines among which requests to the service "s" are scheduled.
func (e *evacuationTest) scheduled() (ids []string) {
	for _, engine := range e.serviceEngines("s") {
		known, ok := e.engines.View().Engine(engine.Key)
		e.c.Assert(ok, qt.IsTrue)
		ids = append(ids, known.ID)
	}
	slices.Sort(ids)
	return ids
}

// TestRequestsAreScheduledAmongUsableEngines guards against grants for engines that get no
// requests: of evacuated data centres, leaving, replaced by another instance, or of a version that
// waits for its order. While a version is being introduced, the engines of both versions count.
func TestRequestsAreScheduledAmongUsableEngines(t *testing.T) {
	engines := []inventory.Engine{
		{ID: "a", Service: "s", Version: "v1", DataCentre: "x", Slots: 4}, {ID: "b", Service: "s", Version: "v1", DataCentre: "y"},
		{ID: "c", Service: "s", Version: "v1", DataCentre: "y", Slots: 4}, {ID: "d", Service: "s", Version: "v1", DataCentre: "y", Slots: 4},
		{ID: "other", Service: "r", Version: "v1", DataCentre: "x", Slots: 4},
	}
	e := newEvacuationTest(t, engines...)
	e.c.Check(e.scheduled(), qt.DeepEquals, []string{"a", "b", "c", "d"})
	e.c.Check(e.serviceEngines("unknown"), qt.HasLen, 0)
	for _, engine := range e.serviceEngines("s") {
		e.c.Check(engine.Slots > 0, qt.IsTrue, qt.Commentf("an engine that does not report its slots has one"))
	}
	e.evacuate("x")
	e.c.Check(e.scheduled(), qt.DeepEquals, []string{"b", "c", "d"})
	e.evacuate()
	e.Daemon.engines.Leave(engineKey(e, "c"), time.Now())
	e.Daemon.engines.Exclude(engineKey(e, "d"))
	e.c.Check(e.scheduled(), qt.DeepEquals, []string{"a", "b"})
	e.Daemon.engines.Apply(inventory.Change{Registered: []inventory.Engine{{ID: "new", Service: "s", Version: "v2", DataCentre: "y", Slots: 4}}}, time.Now())
	e.c.Check(e.scheduled(), qt.DeepEquals, []string{"a", "b"})
	e.introductions.applyOrder(order, canary.Running, 8)
	e.recompileEngines()
	e.c.Check(e.scheduled(), qt.DeepEquals, []string{"a", "b", "new"})
}

// engineKey returns the key of the engine with an id.
func engineKey(e *evacuationTest, id string) string {
	for _, engine := range e.engines.View().Engines {
		if engine.ID == id {
			return engine.Key()
		}
	}
	return ""
}

// TestWeightIsOneByDefault guards against organisations without a weight that get no share.
func TestWeightIsOneByDefault(t *testing.T) {
	d := &Daemon{}
	qt.Check(t, d.weightOf("a"), qt.Equals, 1.0)
	d.Settings.Weights = map[string]float64{"a": 2.5}
	qt.Check(t, d.weightOf("a"), qt.Equals, 2.5)
	qt.Check(t, d.weightOf("b"), qt.Equals, 1.0)
}

// markedServices is a requestDispatcher that records the services that are marked as contended.
type markedServices struct {
	requestDispatcher
	until map[string]time.Time
}

func (m *markedServices) MarkContended(service string, until time.Time) { m.until[service] = until }
func (m *markedServices) Run(context.Context) error                     { return nil }

// TestEntryMarksServiceAsContended guards against an expired entry keeping a service contended, and
// against a service counting as contended for longer than its entry lives.
func TestEntryMarksServiceAsContended(t *testing.T) {
	c := qt.New(t)
	marked := &markedServices{until: make(map[string]time.Time)}
	f := &fleet{daemon: &Daemon{dispatcher: marked}}
	f.receiveContended(contendedPrefix+"s/1", 0, nil)
	c.Check(marked.until, qt.HasLen, 0)
	f.receiveContended(contendedPrefix+"s/1", 7, []byte{1})
	left := time.Until(marked.until["s/1"])
	c.Check(left > 0 && left <= contendedTTL, qt.IsTrue, qt.Commentf("%s", left))
}

// TestEngineListFollowsTheTables guards against requests scheduled among engines that are gone, and
// against a list that is built anew for every request.
func TestEngineListFollowsTheTables(t *testing.T) {
	e := newEvacuationTest(t, inventory.Engine{ID: "a", Service: "s", Version: "v1", DataCentre: "x", Slots: 3})
	first := e.serviceEngines("s")
	e.c.Check(first, qt.DeepEquals, []dispatch.Engine{{Key: engineKey(e, "a"), Slots: 3}})
	e.c.Check(&e.serviceEngines("s")[0], qt.Equals, &first[0])
	e.Daemon.engines.Exclude(engineKey(e, "a"))
	e.c.Check(e.serviceEngines("s"), qt.HasLen, 0)
}

// TestLoadIsScheduledWhereItIsAskedFor guards against deployments that are served in another way
// than before although neither their settings nor their engines call for it.
func TestLoadIsScheduledWhereItIsAskedFor(t *testing.T) {
	c := qt.New(t)
	state, err := balance.NewState(balanceOptions())
	c.Assert(err, qt.IsNil)
	d := &Daemon{balancer: state}
	view := &inventory.View{}
	for _, id := range []string{"a", "b", "c", "d"} {
		view.Engines = append(view.Engines, &inventory.Engine{ID: id, Service: "s", Slots: 16})
	}
	gateway.NewEngines(state, view, func(inventory.Engine) []string { return []string{"s"} })
	report := func(factor float64) {
		now := time.Now().Add(time.Duration(factor) * time.Second) // Past the interval between comparisons.
		for i, e := range view.Engines {
			state.PaceReported(balance.PaceReported{Engine: e.Key(), MeanLog: math.Log(factor) * float64(i%2), Variance: 0.1, Weight: 200, At: now})
		}
		state.PaceReported(balance.PaceReported{Engine: view.Engines[0].Key(), Variance: 0.1, Weight: 200, At: now.Add(time.Second)})
	}
	c.Check(d.schedulesLoad(), qt.IsFalse)
	report(1.2)
	c.Check(d.schedulesLoad(), qt.IsFalse)
	report(3)
	c.Check(d.schedulesLoad(), qt.IsTrue)
	d = &Daemon{}
	d.Settings.Scheduling = true
	c.Check(d.schedulesLoad(), qt.IsTrue)
}
