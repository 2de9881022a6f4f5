package orders

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"gopkg.in/tomb.v2"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

// step is one event of a schedule.
type step struct {
	kind   stepKind
	daemon int
	wait   time.Duration
}

type stepKind int

const (
	stepStart     stepKind = iota
	stepStop               // a planned stop
	stepConfigure          // a new generation reaches one daemon
	stepRefuse             // the store refuses calls
	stepLose               // the store's answers are lost
	stepSlow               // orders are delayed
	stepDrop               // the engines' answers are lost
	stepHeal               // all faults of the store and of calls end
	stepReset              // an engine restarts with nothing loaded
	stepKinds
)

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:   stepKind(rapid.IntRange(0, int(stepKinds)-1).Draw(t, "kind")),
			daemon: rapid.IntRange(0, scheduleDaemons-1).Draw(t, "daemon"),
			wait:   time.Duration(rapid.IntRange(0, 25).Draw(t, "seconds")) * time.Second,
		}
	}), 1, 25).Draw(t, "steps")
}

const (
	scheduleDaemons = 3
	scheduleEngines = 2
)

// schedule runs the steps against a small fleet whose daemons all consider
// themselves owners of the pool.
type schedule struct {
	fleet      *fleet
	sources    []*fakeSource
	daemons    []*tomb.Tomb
	generation uint64
	late       atomic.Bool
	drop       atomic.Bool
}

func newSchedule(c *qt.C, checks bool) *schedule {
	s := &schedule{
		fleet:   newFleet(c, newFakeEngines(checks, scheduleEngines, "old@1")),
		daemons: make([]*tomb.Tomb, scheduleDaemons),
	}
	for range scheduleDaemons {
		s.sources = append(s.sources, newSource(0, scheduleEngines, "v@0"))
	}
	s.fleet.engines.delay = func(string, engine.Order) {
		if s.late.Load() {
			time.Sleep(40 * time.Second)
		}
	}
	s.fleet.engines.lose = func(engine.Order) bool { return s.drop.Load() }
	return s
}

func (s *schedule) run(st step) {
	switch st.kind {
	case stepStart:
		s.start(st.daemon)
	case stepStop:
		s.stop(st.daemon)
	case stepConfigure:
		s.generation++
		s.configure(st.daemon)
	case stepRefuse:
		s.fault(memstore.RefuseCall)
	case stepLose:
		s.fault(memstore.LoseAnswer)
	case stepSlow:
		s.late.Store(true)
	case stepDrop:
		s.drop.Store(true)
	case stepHeal:
		s.heal()
	case stepReset:
		s.reset()
	}
	time.Sleep(st.wait)
}

func (s *schedule) start(i int) {
	if s.daemons[i] == nil {
		name := fmt.Sprintf("entry-%d", i)
		s.daemons[i] = s.fleet.daemon(name, s.fleet.store, s.sources[i], alwaysOwner)
	}
}

func (s *schedule) stop(i int) {
	if s.daemons[i] != nil {
		stop(s.daemons[i])
		s.daemons[i] = nil
	}
}

func (s *schedule) configure(i int) {
	s.sources[i].set(s.generation, scheduleEngines, fmt.Sprintf("v@%d", s.generation), "base@1")
}

func (s *schedule) fault(v memstore.FaultEffect) {
	s.fleet.store.SetFault(func(context.Context, memstore.Op, string) memstore.FaultEffect { return v })
}

func (s *schedule) heal() {
	s.fleet.store.SetFault(nil)
	s.late.Store(false)
	s.drop.Store(false)
}

func (s *schedule) reset() {
	s.fleet.engines.mu.Lock()
	defer s.fleet.engines.mu.Unlock()
	s.fleet.engines.engines[address(0)].versions = nil
}

// finish ends all faults, starts all daemons with the newest configuration, and
// returns a description of a fault in the resulting state, or "" if there is none.
func (s *schedule) finish() string {
	s.heal()
	s.generation++
	for i := range s.daemons {
		s.configure(i)
		s.start(i)
	}
	time.Sleep(10 * time.Minute)
	want := []string{"base@1", fmt.Sprintf("v@%d", s.generation)}
	fault := ""
	orders := 0
	for i := range scheduleEngines {
		if got := s.fleet.engines.versions(i); !slices.Equal(got, want) {
			fault = fmt.Sprintf("engine %d serves %v, not %v", i, got, want)
		}
		orders += len(s.fleet.engines.applied(i))
	}
	time.Sleep(10 * time.Minute)
	for i := range scheduleEngines {
		orders -= len(s.fleet.engines.applied(i))
	}
	if orders != 0 {
		fault = "orders go on after the desired state is reached"
	}
	for i := range s.daemons {
		s.stop(i)
	}
	if fault == "" {
		fault = s.sharedFence()
	}
	return fault
}

// sharedFence reports a fencing number under which two daemons sent orders.
func (s *schedule) sharedFence() string {
	holders := make(map[uint64]string)
	for i := range scheduleEngines {
		for _, o := range s.fleet.engines.applied(i) {
			holder := o.ID[:strings.LastIndex(o.ID, "/")]
			if other, ok := holders[o.Fencing]; ok && other != holder {
				return fmt.Sprintf("%s and %s sent orders with fencing number %d", holder, other, o.Fencing)
			}
			holders[o.Fencing] = holder
		}
	}
	return ""
}

// TestAnyScheduleEndsInTheDesiredState checks random schedules of starts, stops,
// lost answers, outages, delayed orders, outdated configurations and engine
// restarts.
func TestAnyScheduleEndsInTheDesiredState(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %v", checks), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				steps := drawSteps(rt)
				fault := ""
				synctest.Test(t, func(t *testing.T) {
					s := newSchedule(qt.New(t), checks)
					for _, st := range steps {
						s.run(st)
					}
					fault = s.finish()
				})
				if fault != "" {
					rt.Fatalf("%s", fault)
				}
			})
		})
	}
}
