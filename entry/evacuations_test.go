package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/canary"
	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/gateway"
	"github.com/bronzeturn/bronzeturn/inventory"
)

// namesAsEvacuated decodes evacuations whose object names are the names of the data centres.
type namesAsEvacuated struct{ testDocuments }

func (namesAsEvacuated) EvacuatedDataCentres(s *follow.Snapshot) (names []string) {
	for item := range s.All() {
		names = append(names, item.Name)
	}
	slices.Sort(names)
	return names
}

// evacuationTest is a daemon with engines in three data centres and no network.
type evacuationTest struct {
	*Daemon
	c        *qt.C
	revision uint64
}

func newEvacuationTest(t *testing.T, engines ...inventory.Engine) *evacuationTest {
	c := qt.New(t)
	d := &Daemon{log: zerolog.Nop(), registry: prometheus.NewRegistry()}
	d.slowStarts = newSlowStarts(d)
	d.Documents = namesAsEvacuated{}
	d.Settings.Introductions = canary.DefaultOptions()
	d.introductions = newIntroductions(d)
	state, err := balance.NewState(balance.DefaultOptions())
	c.Assert(err, qt.IsNil)
	d.balancer = state
	d.engines = inventory.New(time.Second, d.enginesChanged)
	d.engines.Apply(inventory.Change{Registered: engines}, time.Now())
	return &evacuationTest{Daemon: d, c: c}
}

// evacuate requests the evacuation of the named data centres and of no others.
func (e *evacuationTest) evacuate(names ...string) {
	e.revision++
	var items []follow.Item
	for _, name := range names {
		items = append(items, follow.Item{Name: name})
	}
	e.evacuationsChanged(follow.Update{Snapshot: follow.NewSnapshot(e.revision, slices.Values(items))})
}

// assigned returns the IDs of the engines that are assigned to the trial group or to the base
// group.
func (e *evacuationTest) assigned(trial bool) (ids []string) {
	for _, engine := range e.engines.View().Engines {
		if slices.Contains(e.assign(*engine), gateway.Group("s", trial)) {
			ids = append(ids, engine.ID)
		}
	}
	return ids
}

// enginesOf returns the given number of engines of a version in each of the data centres a, b
// and c.
func enginesOf(version string, each int) (list []inventory.Engine) {
	for _, dataCentre := range []string{"a", "b", "c"} {
		for i := range each {
			list = append(list, inventory.Engine{
				ID: fmt.Sprintf("%s-%s-%d", dataCentre, version, i), Service: "s", Version: version, DataCentre: dataCentre, Slots: 4, Address: "192.0.2.1:1",
			})
		}
	}
	return list
}

func TestEnginesOfAnEvacuatedDataCentreReceiveNoNewRequests(t *testing.T) {
	e := newEvacuationTest(t, enginesOf("v1", 1)...)
	for _, test := range []struct{ evacuated, assigned []string }{
		{nil, []string{"a-v1-0", "b-v1-0", "c-v1-0"}},
		{[]string{"b"}, []string{"a-v1-0", "c-v1-0"}},
		{[]string{"a", "b"}, []string{"c-v1-0"}},
		{[]string{"a", "b", "c"}, nil},
		{[]string{"nowhere"}, []string{"a-v1-0", "b-v1-0", "c-v1-0"}},
		{[]string{"c", "nowhere"}, []string{"a-v1-0", "b-v1-0"}},
		{nil, []string{"a-v1-0", "b-v1-0", "c-v1-0"}},
	} {
		e.evacuate(test.evacuated...)
		e.c.Check(e.assigned(false), qt.DeepEquals, test.assigned, qt.Commentf("%v", test.evacuated))
		e.c.Check(e.tables.Load().Engines.Plan.Serving(gateway.Group("s", false)), qt.Equals, len(test.assigned))
	}
}

// TestNewVersionRunsOutsideTheEvacuatedDataCentre guards against a new version that is introduced
// on engines of an evacuated data centre, and so receives no requests.
func TestNewVersionRunsOutsideTheEvacuatedDataCentre(t *testing.T) {
	e := newEvacuationTest(t, append(enginesOf("v1", 3), enginesOf("v2", 3)...)...)
	e.introductions.applyOrder(order, canary.Running, 1)
	for _, dataCentre := range []string{"a", "b", "c"} {
		e.evacuate(dataCentre)
		trial := e.assigned(true)
		e.c.Check(trial, qt.HasLen, 1, qt.Commentf("%s evacuated", dataCentre))
		e.c.Check(trial[0][:1], qt.Not(qt.Equals), dataCentre)
		e.c.Check(e.assigned(false), qt.HasLen, 6)
	}
	e.evacuate()
	e.c.Check(e.assigned(true), qt.HasLen, 1)
	e.c.Check(e.assigned(false), qt.HasLen, 9)
}

// TestAnOldViewOfTheEnginesDoesNotReplaceANewerOne guards against requests to a removed engine: a
// change of another kind compiles the engines from the view that it read before the removal.
func TestAnOldViewOfTheEnginesDoesNotReplaceANewerOne(t *testing.T) {
	e := newEvacuationTest(t, enginesOf("v1", 1)...)
	old := e.engines.View()
	e.engines.Apply(inventory.Change{Removed: []string{"a-v1-0"}}, time.Now())
	e.compileEngines(old)
	_, found := e.tables.Load().Engines.View.Engine("a-v1-0")
	e.c.Check(found, qt.IsFalse)
}

// TestEvacuationSurvivesARestore guards against requests to an evacuated data centre because a
// restored store lacks the evacuation, and against an evacuation that never ends.
func TestEvacuationSurvivesARestore(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var e evacuated
	e.set([]string{"b"}, false, now)
	e.set(nil, true, now.Add(time.Second))
	c.Check(e.list(), qt.DeepEquals, []string{"b"})
	e.set([]string{"c"}, false, now.Add(2*time.Second))
	c.Check(e.list(), qt.DeepEquals, []string{"b", "c"})
	e.set([]string{"b", "c"}, false, now.Add(3*time.Second))
	c.Check(e.keptNames(), qt.HasLen, 0, qt.Commentf("it has been requested again"))
	e.set([]string{"c"}, false, now.Add(4*time.Second))
	c.Check(e.list(), qt.DeepEquals, []string{"c"})

	e.Keep([]string{"a"}, now)
	c.Check(e.list(), qt.DeepEquals, []string{"a", "c"})
	c.Check(e.expire(now.Add(keptEvacuationTTL-time.Second)), qt.IsFalse)
	c.Check(e.expire(now.Add(keptEvacuationTTL)), qt.IsTrue)
	c.Check(e.list(), qt.DeepEquals, []string{"c"})
}
