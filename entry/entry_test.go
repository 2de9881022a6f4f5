package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/canary"
	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/gateway"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/revision"
)

// newTestIntroductions returns the introductions of a daemon that knows the given engines.
func newTestIntroductions(engines ...inventory.Engine) *introductions {
	d := &Daemon{log: zerolog.Nop()}
	d.Settings.Introductions = canary.DefaultOptions()
	d.introductions = newIntroductions(d)
	d.engines = inventory.New(time.Second, func(_, now *inventory.View) { d.introductions.enginesChanged(now) })
	d.engines.Apply(inventory.Change{Registered: engines}, time.Now())
	return d.introductions
}

func engineOf(id, version string) inventory.Engine {
	return inventory.Engine{ID: id, Service: "s", Version: version}
}

var order = canary.Order{Service: "s", Target: "v2", ID: 7, Duration: 20 * time.Second}

func TestEngineOfAnUnknownVersionWaitsForItsOrder(t *testing.T) {
	c := qt.New(t)
	old, fresh := engineOf("a", "v1"), engineOf("b", "v2")
	i := newTestIntroductions(old)
	i.daemon.engines.Apply(inventory.Change{Registered: []inventory.Engine{old, fresh}}, time.Now())
	base, trial := []string{gateway.Group("s", false)}, []string{gateway.Group("s", true)}
	c.Check(i.assign(old), qt.DeepEquals, base)
	c.Check(i.assign(fresh), qt.HasLen, 0)
	i.applyOrder(order, canary.Running, 8)
	c.Check(i.assign(old), qt.DeepEquals, base)
	c.Check(i.assign(fresh), qt.DeepEquals, trial)
	i.applyOrder(order, canary.Done, 9)
	c.Check(i.assign(old), qt.HasLen, 0)
	c.Check(i.assign(fresh), qt.DeepEquals, base)
}

func TestRolledBackVersionReceivesNoRequests(t *testing.T) {
	c := qt.New(t)
	old, fresh := engineOf("a", "v1"), engineOf("b", "v2")
	i := newTestIntroductions(old, fresh)
	i.applyOrder(order, canary.RolledBack, 8)
	c.Check(i.assign(old), qt.DeepEquals, []string{gateway.Group("s", false)})
	c.Check(i.assign(fresh), qt.HasLen, 0)
	c.Check(i.Choose("s", 1, time.Now()), qt.IsFalse)
}

// TestEndedVersionsStayEndedWithTheNextOrder guards against requests to engines of a version that
// an earlier order has ended: they stop gradually, and must receive no requests under the next
// order.
func TestEndedVersionsStayEndedWithTheNextOrder(t *testing.T) {
	next := order
	next.ID, next.Target = order.ID+1, "v3"
	back := order
	back.ID = order.ID + 2
	for _, test := range []struct {
		name  string
		state canary.State
		next  canary.Order
		want  map[string]bool // whether engines of the version receive requests of all sessions
	}{
		{"done", canary.Done, next, map[string]bool{"v1": false, "v2": true, "v3": false}},
		{"rolled back", canary.RolledBack, next, map[string]bool{"v1": true, "v2": false, "v3": false}},
		{"running", canary.Running, next, map[string]bool{"v1": true, "v2": true, "v3": false}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			i := newTestIntroductions(engineOf("a", "v1"), engineOf("b", "v2"), engineOf("c", "v3"))
			i.applyOrder(order, canary.Running, 8)
			i.applyOrder(order, test.state, 9)
			i.applyOrder(test.next, canary.Pending, 10)
			for version, want := range test.want {
				groups := i.assign(engineOf("x", version))
				c.Check(len(groups) == 1 && groups[0] == gateway.Group("s", false), qt.Equals, want, qt.Commentf(version))
			}
			i.applyOrder(back, canary.Pending, 11)
			c.Check(i.isRetired("s", "v2"), qt.IsFalse)
		})
	}
}

// TestVerdictSurvivesARestore guards against a second trial of a version that was rolled back,
// because a restored store lacks the verdict or the order, and against never writing it again.
func TestVerdictSurvivesARestore(t *testing.T) {
	c := qt.New(t)
	old, fresh := engineOf("a", "v1"), engineOf("b", "v2")
	i := newTestIntroductions(old, fresh)
	i.applyOrder(order, canary.Running, revision.In(1, 8))
	i.applyOrder(order, canary.RolledBack, revision.In(1, 9))
	c.Check(i.active(), qt.HasLen, 0)
	checkRolledBack := func(when string) {
		c.Check(i.assign(fresh), qt.HasLen, 0, qt.Commentf(when))
		c.Check(i.assign(old), qt.DeepEquals, []string{gateway.Group("s", false)}, qt.Commentf(when))
		c.Check(i.active(), qt.HasLen, 1, qt.Commentf("the verdict is to be written, %s", when))
	}
	i.applyOrder(order, canary.Running, revision.In(2, 8))
	checkRolledBack("with the older state")
	i.dropCancelled(follow.NewSnapshot(revision.In(3, 8), slices.Values([]follow.Item{})))
	again := order
	again.ID = 12
	i.applyOrder(again, canary.Pending, revision.In(3, 12))
	checkRolledBack("with the order written again")
	i.applyOrder(again, canary.RolledBack, revision.In(3, 13))
	c.Check(i.active(), qt.HasLen, 0)
	i.dropCancelled(follow.NewSnapshot(revision.In(3, 14), slices.Values([]follow.Item{})))
	c.Check(i.get("s"), qt.IsNil, qt.Commentf("the order was deleted"))
}

func TestNewVersionBeginsOnOneEngine(t *testing.T) {
	c := qt.New(t)
	var engines []inventory.Engine
	for _, id := range []string{"a", "b", "c"} {
		engines = append(engines, engineOf(id, "v1"), engineOf("new-"+id, "v2"))
	}
	i := newTestIntroductions(engines...)
	i.applyOrder(order, canary.Running, 8)
	trial := 0
	for _, e := range engines {
		if groups := i.assign(e); len(groups) == 1 && groups[0] == gateway.Group("s", true) {
			trial++
		}
	}
	c.Check(trial, qt.Equals, 1)
}

// TestSessionsBeforeAnOrderArePinned guards against moving a session that is in progress when an order
// comes, whether or not an earlier order was in progress when its last request began.
func TestSessionsBeforeAnOrderArePinned(t *testing.T) {
	earlier := order
	earlier.ID, earlier.Target = order.ID-1, "v1"
	for _, test := range []struct {
		name   string
		run    func(i *introductions, session uint64)
		pinned bool
	}{
		{"request in progress", func(i *introductions, session uint64) { i.Began("s", session) }, true},
		{"request that ended", func(i *introductions, session uint64) {
			i.Began("s", session)
			i.Ran("s", session, "v1", time.Now())
			i.Ended("s", session)
		}, true},
		{"request that never ran", func(i *introductions, session uint64) {
			i.Began("s", session)
			i.Ended("s", session)
		}, false},
		{"session that lapsed", func(i *introductions, session uint64) {
			i.Ran("s", session, "v1", time.Now().Add(-i.daemon.Settings.Introductions.SessionGap))
		}, false},
	} {
		for _, follows := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, ", after another order: ", follows), func(t *testing.T) {
				i := newTestIntroductions(engineOf("a", "v1"))
				session := uint64(0)
				for !i.daemon.Settings.Introductions.InTrial(session) {
					session++
				}
				if follows {
					i.applyOrder(earlier, canary.Running, 7)
				}
				test.run(i, session)
				if follows {
					i.applyOrder(earlier, canary.Done, 8)
				}
				i.applyOrder(order, canary.Running, 9)
				moved := i.byService["s"].Choose(session, time.Now().Add(4*time.Second))
				qt.Check(t, moved, qt.Equals, !test.pinned)
			})
		}
	}
}

// TestSessionThatStayedIsPinned guards against moving a session during the trial after a request of
// it has run on the previous version, as no engine of the new one was available, or has ended
// late.
func TestSessionThatStayedIsPinned(t *testing.T) {
	i := newTestIntroductions(engineOf("a", "v1"))
	session := uint64(0)
	for !i.daemon.Settings.Introductions.InTrial(session) {
		session++
	}
	i.applyOrder(order, canary.Running, 8)
	later := time.Now().Add(4 * time.Second)
	qt.Check(t, i.byService["s"].Choose(session, later), qt.IsTrue)
	i.Ran("s", session, "v2", later)
	qt.Check(t, i.byService["s"].Choose(session, later), qt.IsTrue)
	i.Ran("s", session, "v1", later)
	qt.Check(t, i.byService["s"].Choose(session, later), qt.IsFalse)
}

// TestCountsOfOtherDaemonsLeadToAVerdict checks that a daemon judges a version by the answers that
// only other daemons have seen.
func TestCountsOfOtherDaemonsLeadToAVerdict(t *testing.T) {
	c := qt.New(t)
	i, other := newTestIntroductions(engineOf("a", "v1")), newTestIntroductions(engineOf("a", "v1"))
	i.applyOrder(order, canary.Running, 8)
	other.applyOrder(order, canary.Running, 8)
	for range 20 {
		other.Observe("s", "r", "v2", true, 0)
	}
	c.Check(i.byService["s"].Review(time.Now()).State, qt.Equals, canary.Running)
	i.receiveFleetReport("s", other.localReports()["s"])
	i.receiveFleetReport("unknown", other.localReports()["s"])
	c.Check(i.byService["s"].Review(time.Now()).State, qt.Equals, canary.RolledBack)
}

// TestAnswersOfAnEarlierTrialDoNotRollBackTheNextVersion guards against the rollback of a good
// version because of streams of the previous version, which began in the trial of the previous
// order and outlasted it.
func TestAnswersOfAnEarlierTrialDoNotRollBackTheNextVersion(t *testing.T) {
	c := qt.New(t)
	next := order
	next.ID, next.Target = order.ID+1, "v3"
	i := newTestIntroductions(engineOf("a", "v1"), engineOf("b", "v2"), engineOf("c", "v3"))
	i.applyOrder(order, canary.Running, 8)
	i.applyOrder(order, canary.Done, 9)
	i.applyOrder(next, canary.Running, 10)
	for range 40 {
		i.Observe("s", "r", "v1", true, 0)
		i.Observe("s", "r", "v2", false, 100*time.Millisecond)
		i.ObservePace("s", "r", "v1", time.Second)
		i.ObservePace("s", "r", "v2", 100*time.Millisecond)
	}
	verdict := i.byService["s"].Review(time.Now())
	c.Check(verdict.State, qt.Equals, canary.Running)
	c.Check(verdict.Trial, qt.Equals, canary.Count{})
	c.Check(verdict.Base.Answers, qt.Equals, uint64(40))
	c.Check(verdict.Base.Bad, qt.Equals, uint64(0))
	// Slow streams of the previous version must not count against the next one.
	for range 40 {
		i.ObservePace("s", "r", "v2", 2*time.Second)
	}
	c.Check(i.byService["s"].Review(time.Now()).State, qt.Equals, canary.Running)
	for range 40 {
		i.Observe("s", "r", "v3", true, 0)
	}
	c.Check(i.byService["s"].Review(time.Now()).State, qt.Equals, canary.RolledBack)
}

func TestReportEncodingRoundTrip(t *testing.T) {
	c := qt.New(t)
	i, other := newTestIntroductions(engineOf("a", "v1")), newTestIntroductions(engineOf("a", "v1"))
	i.daemon.Settings.Name, other.daemon.Settings.Name = "one", "two"
	i.applyOrder(order, canary.Running, 8)
	other.applyOrder(order, canary.Running, 8)
	for range 20 {
		other.Observe("s", "r", "v2", true, 0)
	}
	report, err := proto.Marshal(encodeReport(other.byService["s"].Report(time.Now())))
	c.Assert(err, qt.IsNil)
	i.receiveVerdict(canaryPrefix+"s/two", 1, report)
	i.receiveVerdict(canaryPrefix+"s/two", 2, []byte{0xff})
	i.receiveVerdict(canaryPrefix+"nothing", 3, nil)
	c.Check(i.byService["s"].Review(time.Now()).State, qt.Equals, canary.RolledBack)
}

func TestHeapGrowthIsRaisedOnHostsWithFewCores(t *testing.T) {
	c := qt.New(t)
	for cores, want := range map[float64]int{0: heapGrowth, 0.192: heapGrowthScarce, 0.4: heapGrowth, 1: heapGrowth} {
		for _, live := range []uint64{0, 2 << 20, 5 << 20} {
			c.Check(heapGrowthFor(cores, live), qt.Equals, want, qt.Commentf("%v cores, %d bytes", cores, live))
		}
	}
}

// TestHeapGrowthIsReducedForLargeHeaps guards against a GC percentage of 100 for large heaps on
// hosts with few cores, which doubles the heap memory with ten thousand engines.
func TestHeapGrowthIsReducedForLargeHeaps(t *testing.T) {
	c := qt.New(t)
	const cores = 0.192
	c.Check(heapGrowthFor(cores, 10<<20), qt.Equals, 50)
	for _, live := range []uint64{13 << 20, 50 << 20, 1 << 30} {
		c.Check(heapGrowthFor(cores, live), qt.Equals, heapGrowth, qt.Commentf("%d bytes", live))
	}
}

// TestTimeToReadyGrowsWithDepth guards against a Retry-After that is too short for the lower levels
// of a large fleet: most callers retry only once and would be refused again.
func TestTimeToReadyGrowsWithDepth(t *testing.T) {
	c := qt.New(t)
	c.Check(timeToReady(1, 0), qt.Equals, readyTimePerLevel)
	c.Check(timeToReady(1, time.Minute), qt.Equals, readyTimePerLevel)
	c.Check(timeToReady(4, 0), qt.Equals, 4*readyTimePerLevel)
	c.Check(timeToReady(4, readyTimePerLevel), qt.Equals, 3*readyTimePerLevel)
	c.Check(timeToReady(4, time.Minute), qt.Equals, readyTimePerLevel)
}
