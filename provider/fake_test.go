package provider

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

const (
	linkDelay = 20 * time.Millisecond
	heartbeat = 500 * time.Millisecond
)

// fleet simulates several daemons with their flooded table, heartbeats and peer
// connections.
type fleet struct {
	t     testing.TB
	store *memstore.Store

	mu         sync.Mutex
	random     *rand.Rand
	nodes      map[string]*node
	isolated   map[string]bool
	stop       chan struct{}
	done       sync.WaitGroup
	violations []string
}

// node is one run of a daemon.
type node struct {
	fleet    *fleet
	name     string
	provider *Provider
	handler  http.Handler
	reads    int

	mu       sync.Mutex
	watching bool
	changed  chan struct{}
	version  uint64
	value    []byte
	listener func(key string, version uint64, value []byte)
	history  []uint64
}

func newFleet(t testing.TB, seed uint64) *fleet {
	f := &fleet{
		t: t, store: memstore.New(), random: rand.New(rand.NewPCG(seed, 3)),
		nodes: make(map[string]*node), isolated: make(map[string]bool), stop: make(chan struct{}),
	}
	f.done.Go(f.heartbeatLoop)
	return f
}

// startThree starts three daemons, of which the first watches, brings a first configuration in
// force and returns the last daemon.
func (f *fleet) startThree() *node {
	f.start("d0", true)
	f.start("d1", false)
	last := f.start("d2", false)
	f.apply(1)
	time.Sleep(2 * time.Second)
	return last
}

// start starts a daemon, or restarts one that was crashed.
func (f *fleet) start(name string, watching bool) *node {
	n := &node{fleet: f, name: name, watching: watching, changed: make(chan struct{})}
	f.mu.Lock()
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	f.mu.Unlock()
	p, err := New(Options{
		Store: n, Table: n, Peers: n, Watcher: n, Random: random,
		Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
	})
	qt.Assert(f.t, err, qt.IsNil)
	n.provider = p
	_, n.handler = p.Handler()
	p.Subscribe(n.checkSnapshot)
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	p.Start()
	return n
}

// crash stops a daemon.
func (f *fleet) crash(name string) {
	f.mu.Lock()
	n := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	if n != nil {
		qt.Assert(f.t, n.provider.Stop(), qt.IsNil)
	}
}

// close stops all daemons and reports the violations that subscribers found.
func (f *fleet) close() {
	close(f.stop)
	for _, name := range f.names() {
		f.crash(name)
	}
	f.done.Wait()
	time.Sleep(time.Second)
	for _, violation := range f.violations {
		f.t.Error(violation)
	}
}

func (f *fleet) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// reachable returns the daemon to if from can reach it, or nil.
func (f *fleet) reachable(from, to string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isolated[from] != f.isolated[to] {
		return nil
	}
	return f.nodes[to]
}

func (f *fleet) setIsolated(name string, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[name] = isolated
}

// heartbeatLoop sends heartbeats and synchronises the tables, as the overlay does.
func (f *fleet) heartbeatLoop() {
	for {
		select {
		case <-time.After(heartbeat):
		case <-f.stop:
			return
		}
		names := f.names()
		for _, from := range names {
			for _, to := range names {
				if a, b := f.reachable(from, from), f.reachable(from, to); a != nil && b != nil && from != to {
					status := a.provider.Status()
					b.provider.RecordHeartbeat(status.Generation, status.NewsAge(time.Now()))
					b.deliver(a.entry())
				}
			}
		}
	}
}

func (n *node) entry() (uint64, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.value
}

// deliver processes a table entry from a peer.
func (n *node) deliver(version uint64, value []byte) {
	n.mu.Lock()
	newer := version > n.version
	if newer {
		n.version, n.value = version, value
	}
	listener := n.listener
	n.mu.Unlock()
	if !newer {
		return
	}
	if listener != nil {
		listener(config.HeadKey, version, value)
	}
	n.flood(version, value)
}

func (n *node) flood(version uint64, value []byte) {
	for _, to := range n.fleet.names() {
		if to != n.name {
			time.AfterFunc(linkDelay, func() {
				if peer := n.fleet.reachable(n.name, to); peer != nil {
					peer.deliver(version, value)
				}
			})
		}
	}
}

// Publish implements Table.
func (n *node) Publish(_ string, version uint64, value []byte) { n.deliver(version, value) }

// Subscribe implements Table.
func (n *node) Subscribe(_ string, f func(key string, version uint64, value []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener = f
}

// Watching implements Watcher.
func (n *node) Watching() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.watching
}

// Changed implements Watcher.
func (n *node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *node) setWatching(watching bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watching = watching
	close(n.changed)
	n.changed = make(chan struct{})
}

// Candidates implements Peers.
func (n *node) Candidates() []string {
	return slices.DeleteFunc(n.fleet.names(), func(name string) bool { return name == n.name })
}

// Dial implements Peers.
func (n *node) Dial(name string) (connect.HTTPClient, string, bool) {
	return link{from: n, to: name}, "http://" + name, true
}

// link is a simulated connection between two daemons.
type link struct {
	from *node
	to   string
}

var errUnreachable = errors.New("no route")

// Do implements connect.HTTPClient.
func (l link) Do(request *http.Request) (*http.Response, error) {
	time.Sleep(linkDelay)
	peer := l.from.fleet.reachable(l.from.name, l.to)
	if peer == nil {
		return nil, errUnreachable
	}
	recorder := httptest.NewRecorder()
	peer.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// daemonKey marks the store calls of daemons for the fault functions.
type daemonKey struct{}

// Get implements Store.
func (n *node) Get(ctx context.Context, key string) (objectstore.Object, error) {
	n.mu.Lock()
	n.reads++
	n.mu.Unlock()
	return n.fleet.store.Get(context.WithValue(ctx, daemonKey{}, n.name), key)
}

// Watch implements Store.
func (n *node) Watch(ctx context.Context, prefix string, after uint64) ([]objectstore.Object, error) {
	return n.fleet.store.Watch(context.WithValue(ctx, daemonKey{}, n.name), prefix, after)
}

func (n *node) storeReads() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reads
}

// checkSnapshot is a subscriber that checks that generations increase and that register and
// rules are from the same change.
func (n *node) checkSnapshot(s *config.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.history) > 0 && s.Generation() <= n.history[len(n.history)-1] {
		n.fleet.report("%s went from %v to %d", n.name, n.history, s.Generation())
	}
	n.history = append(n.history, s.Generation())
	if a, b := marker(s); a != b {
		n.fleet.report("%s mixes register %d and rules %d", n.name, a, b)
	}
}

func (f *fleet) report(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// marker returns the numbers that identify the change from which the register and the
// rules come.
func marker(s *config.Snapshot) (int64, int64) {
	version, _ := s.Version("etiqueta@5")
	kind, _ := s.Kind(config.DefaultKind)
	return version.GetPromptPriceMicros(), kind.GetExpectedCompletionTokens()
}

// change returns a change of register and rules with the marker n.
func change(t testing.TB, n int64) config.Change {
	reg, rules := example(t)
	for _, v := range reg.GetVersions() {
		if v.GetName() == "etiqueta@5" {
			v.PromptPriceMicros = n
		}
	}
	rules.Kinds[0].ExpectedCompletionTokens = n
	return config.Change{Register: reg, Rules: rules, Note: fmt.Sprint(n)}
}

var loadExample = sync.OnceValues(func() (*bronzeturnv1.Register, *bronzeturnv1.Rules) {
	read := func(name string) []byte {
		data, err := os.ReadFile(filepath.Join("..", "examples", "andina", name))
		if err != nil {
			panic(err)
		}
		return data
	}
	reg, err := config.DecodeRegister("register.yaml", read("register.yaml"))
	if err != nil {
		panic(err)
	}
	rules, err := config.DecodeRules("rules.yaml", read("rules.yaml"))
	if err != nil {
		panic(err)
	}
	return reg, rules
})

func example(testing.TB) (*bronzeturnv1.Register, *bronzeturnv1.Rules) {
	reg, rules := loadExample()
	return proto.CloneOf(reg), proto.CloneOf(rules)
}

// apply publishes a change with the marker n and returns its generation.
func (f *fleet) apply(n int64) uint64 {
	result, err := f.publisher().Apply(context.Background(), change(f.t, n))
	qt.Assert(f.t, err, qt.IsNil)
	return result.Generation
}

func (f *fleet) publisher() *config.Publisher {
	return config.NewPublisher(config.PublisherOptions{Store: f.store, Random: rand.New(rand.NewPCG(1, 1))})
}

// head returns the head object in the store.
func (f *fleet) head() objectstore.Object {
	obj, err := f.store.Get(context.Background(), config.HeadKey)
	qt.Assert(f.t, err, qt.IsNil)
	return obj
}

// failStoreCalls makes all store calls of daemons fail.
func (f *fleet) failStoreCalls() {
	f.store.SetFault(func(ctx context.Context, _ memstore.Op, _ string) memstore.FaultEffect {
		if ctx.Value(daemonKey{}) != nil {
			return memstore.RefuseCall
		}
		return memstore.NoFault
	})
}

// counterValue returns the value of a counter.
func counterValue(c *qt.C, counter prometheus.Counter) float64 {
	var m dto.Metric
	c.Assert(counter.Write(&m), qt.IsNil)
	return m.GetCounter().GetValue()
}
