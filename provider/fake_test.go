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

// fleet is a small fake of the other parts of a daemon: the flooded table, the
// heartbeats and the connections between peers.
type fleet struct {
	t     testing.TB
	store *memstore.Store

	mu     sync.Mutex
	random *rand.Rand
	nodes  map[string]*node
	cut    map[string]bool
	stop   chan struct{}
	done   sync.WaitGroup
	bad    []string
}

// node is one daemon in one life.
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
		nodes: make(map[string]*node), cut: make(map[string]bool), stop: make(chan struct{}),
	}
	f.done.Go(f.beat)
	return f
}

// start adds a daemon, or a new life of one that was crashed.
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
	p.Subscribe(n.check)
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	p.Start()
	return n
}

// crash ends a daemon.
func (f *fleet) crash(name string) {
	f.mu.Lock()
	n := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	if n != nil {
		qt.Assert(f.t, n.provider.Stop(), qt.IsNil)
	}
}

// close ends all daemons and asserts that no subscriber saw anything wrong.
func (f *fleet) close() {
	close(f.stop)
	for _, name := range f.names() {
		f.crash(name)
	}
	f.done.Wait()
	time.Sleep(time.Second)
	for _, bad := range f.bad {
		f.t.Error(bad)
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

// reach returns a daemon that can be reached from another, or nil.
func (f *fleet) reach(from, to string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[from] != f.cut[to] {
		return nil
	}
	return f.nodes[to]
}

func (f *fleet) setCut(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[name] = cut
}

// beat sends heartbeats and repairs the table, as the overlay does.
func (f *fleet) beat() {
	for {
		select {
		case <-time.After(heartbeat):
		case <-f.stop:
			return
		}
		names := f.names()
		for _, from := range names {
			for _, to := range names {
				if a, b := f.reach(from, from), f.reach(from, to); a != nil && b != nil && from != to {
					status := a.provider.Status()
					b.provider.Confirm(status.Generation, status.NewsAge(time.Now()))
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

// deliver takes a table entry of a peer.
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
				if peer := n.fleet.reach(n.name, to); peer != nil {
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

// link is a connection between two daemons without a network.
type link struct {
	from *node
	to   string
}

var errCut = errors.New("no route")

// Do implements connect.HTTPClient.
func (l link) Do(request *http.Request) (*http.Response, error) {
	time.Sleep(linkDelay)
	peer := l.from.fleet.reach(l.from.name, l.to)
	if peer == nil {
		return nil, errCut
	}
	recorder := httptest.NewRecorder()
	peer.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// daemonKey marks the calls of daemons for fault hooks.
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

// check is a subscriber: generations rise, and register and rules belong
// together.
func (n *node) check(s *config.Snapshot) {
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
	f.bad = append(f.bad, fmt.Sprintf(format, args...))
}

// marker returns the numbers by which the register and the rules of one change
// are told apart.
func marker(s *config.Snapshot) (int64, int64) {
	version, _ := s.Version("etiqueta@5")
	kind, _ := s.Kind(config.DefaultKind)
	return version.GetPromptPriceMicros(), kind.GetExpectedCompletionTokens()
}

// change returns a change of register and rules with a marker.
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

// apply publishes a change with a marker and returns its generation.
func (f *fleet) apply(n int64) uint64 {
	result, err := f.publisher().Apply(context.Background(), change(f.t, n))
	qt.Assert(f.t, err, qt.IsNil)
	return result.Generation
}

func (f *fleet) publisher() *config.Publisher {
	return config.NewPublisher(config.PublisherOptions{Store: f.store, Random: rand.New(rand.NewPCG(1, 1))})
}

// head returns the head in the store.
func (f *fleet) head() objectstore.Object {
	obj, err := f.store.Get(context.Background(), config.HeadKey)
	qt.Assert(f.t, err, qt.IsNil)
	return obj
}

// outage lets the calls of daemons fail.
func (f *fleet) outage() {
	f.store.SetFault(func(ctx context.Context, _ memstore.Op, _ string) memstore.FaultEffect {
		if ctx.Value(daemonKey{}) != nil {
			return memstore.RefuseCall
		}
		return memstore.NoFault
	})
}

// counted returns the value of a counter.
func counted(c *qt.C, counter prometheus.Counter) float64 {
	var m dto.Metric
	c.Assert(counter.Write(&m), qt.IsNil)
	return m.GetCounter().GetValue()
}
