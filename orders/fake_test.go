package orders

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
	"github.com/bronzeturn/bronzeturn/weightstore"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "20")
	flag.Parse()
	os.Exit(m.Run())
}

const testPool = "diag-llm"

// fakeEngine is an engine that applies orders immediately.
type fakeEngine struct {
	// checks is true when the engine refuses outdated fencing numbers.
	checks   bool
	versions []string
	role     string
	running  int
	fencing  uint64
	ids      map[string]bool
	// applied lists the orders that had an effect.
	applied []engine.Order
	// fences lists the fencing numbers of all orders that were not refused.
	fences []uint64
}

// fakeEngines implements Engines for the engines of the pool, by address.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	// reads counts the Load calls to all engines.
	reads int
	// delay, if set, is called before an order is applied; it may block.
	delay func(address string, o engine.Order)
	// lose, if set, reports whether the answer to an order is lost.
	lose func(o engine.Order) bool
}

var errLost = errors.New("answer lost")

func newFakeEngines(checks bool, n int, versions ...string) *fakeEngines {
	f := &fakeEngines{engines: make(map[string]*fakeEngine)}
	for i := range n {
		f.engines[address(i)] = &fakeEngine{checks: checks, versions: slices.Clone(versions), ids: make(map[string]bool)}
	}
	return f
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

func (f *fakeEngines) Load(ctx context.Context, address string) (engine.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	e := f.engines[address]
	return engine.LoadReport{Versions: slices.Clone(e.versions), Role: e.role, RunningRequests: e.running}, ctx.Err()
}

// readings returns the number of Load calls to all engines.
func (f *fakeEngines) readings() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

func (f *fakeEngines) Order(ctx context.Context, address string, o engine.Order) (engine.State, error) {
	if f.delay != nil {
		f.delay(address, o)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[address]
	if e.checks && o.Fencing < e.fencing {
		return engine.State{}, &engine.Error{Kind: engine.KindFenced, Ran: failure.RanNo}
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.fences = append(e.fences, o.Fencing)
	e.apply(o)
	if f.lose != nil && f.lose(o) {
		return engine.State{}, errLost
	}
	return engine.State{Versions: slices.Clone(e.versions), Role: e.role}, nil
}

func (e *fakeEngine) apply(o engine.Order) {
	if e.ids[o.ID] {
		return
	}
	e.ids[o.ID] = true
	e.applied = append(e.applied, o)
	switch o.Op {
	case engine.OpLoad:
		if !slices.Contains(e.versions, o.Version) {
			e.versions = append(e.versions, o.Version)
		}
	case engine.OpUnload:
		e.versions = slices.DeleteFunc(e.versions, func(v string) bool { return v == o.Version })
	case engine.OpSetRole:
		e.role = o.Role
	}
}

// versions returns the loaded versions of engine i, sorted.
func (f *fakeEngines) versions(i int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(slices.Values(f.engines[address(i)].versions))
}

func (f *fakeEngines) applied(i int) []engine.Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.engines[address(i)].applied)
}

// fakeWeights refuses the first limit requests and grants all others.
type fakeWeights struct {
	mu      sync.Mutex
	limit   int
	fetches []time.Time
}

const weightWait = 30 * time.Second

func (f *fakeWeights) Fetch(context.Context, string) (weightstore.Transfer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetches = append(f.fetches, time.Now())
	if f.limit > 0 {
		f.limit--
		return weightstore.Transfer{}, &weightstore.RateLimitError{RetryAfter: weightWait}
	}
	return weightstore.Transfer{}, nil
}

// fakeSource implements Source with the configuration of one daemon.
type fakeSource struct {
	mu      sync.Mutex
	desired DesiredState
	missing bool
}

func newSource(generation uint64, engines int, versions ...string) *fakeSource {
	s := &fakeSource{}
	s.set(generation, engines, versions...)
	return s
}

func (s *fakeSource) set(generation uint64, engines int, versions ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.desired = DesiredState{Generation: generation, Grace: time.Minute}
	for i := range engines {
		s.desired.Engines = append(s.desired.Engines, Target{
			Name: fmt.Sprintf("engine-%d", i), Address: address(i), Versions: versions,
		})
	}
}

func (s *fakeSource) Pools() []string { return []string{testPool} }

func (s *fakeSource) DesiredState(string) (DesiredState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.desired, !s.missing
}

// fleet holds the store, the engines and the weight store that daemons share.
type fleet struct {
	c       *qt.C
	store   *memstore.Store
	engines *fakeEngines
	weights *fakeWeights
}

func newFleet(c *qt.C, engines *fakeEngines) *fleet {
	return &fleet{c: c, store: memstore.New(), engines: engines, weights: &fakeWeights{}}
}

// daemon starts a Runner that uses the given store, source and owner.
func (f *fleet) daemon(name string, store Store, source Source, owner Owner) *tomb.Tomb {
	r, err := New(Dependencies{
		Store: store, Engines: f.engines, Weights: f.weights, Source: source, Owner: owner,
		Log: zerolog.Nop(), Rand: rand.New(rand.NewPCG(uint64(len(name)), uint64(name[len(name)-1]))),
	}, DefaultOptions(name))
	f.c.Assert(err, qt.IsNil)
	t := &tomb.Tomb{}
	t.Go(func() error { return r.Run(t) })
	f.c.Cleanup(func() { stop(t) })
	return t
}

// alwaysOwner is the Owner of a daemon that considers itself the preferred owner.
func alwaysOwner(string) (string, bool) { return "", true }

// stop stops daemons and waits for them.
func stop(daemons ...*tomb.Tomb) {
	for _, t := range daemons {
		t.Kill(nil)
	}
	for _, t := range daemons {
		t.Wait()
	}
}
