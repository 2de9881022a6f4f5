package ledger

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "40")
	flag.Parse() // the command line wins
	os.Exit(m.Run())
}

// errCut is what a call over a cut connection ends with.
var errCut = errors.New("connection cut")

// cluster runs several ledgers over one store. Calls between them go straight
// to the handlers; cuts, delays and lost answers are set per pair.
type cluster struct {
	store *memstore.Store

	mu      sync.Mutex
	nodes   map[string]*node
	owner   func(asking, key string) string
	call    func(from, to string) linkFate
	holders map[string][]string
}

// linkFate is what happens to a call between two daemons.
type linkFate struct {
	cut   bool
	lose  bool
	delay time.Duration
}

// node is one daemon's ledger with the store as it sees it.
type node struct {
	*Ledger
	name    string
	cluster *cluster
	handler http.Handler
	dead    bool
}

func newCluster() *cluster {
	return &cluster{store: memstore.New(), nodes: make(map[string]*node), holders: make(map[string][]string)}
}

// Owner implements Owners.
func (n *node) Owner(key string) (string, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	name := n.name
	if n.cluster.owner != nil {
		name = n.cluster.owner(n.name, key)
	}
	return name, name == n.name
}

// SecondOwner implements SecondOwners: the next name in the alphabet.
func (n *node) SecondOwner(key string) (string, bool) {
	owner, _ := n.Owner(key)
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	names := slices.Sorted(maps.Keys(n.cluster.nodes))
	i := slices.Index(names, owner)
	name := names[(i+1)%len(names)]
	return name, name == n.name
}

// Holders implements Holders.
func (n *node) Holders() []string {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.holders[n.name]
}

// Dial implements Dialer.
func (n *node) Dial(name string) (connect.HTTPClient, string, bool) {
	return &http.Client{Transport: link{n.cluster, n.name, name}}, "http://" + name, true
}

// link carries calls from one node to another.
type link struct {
	cluster  *cluster
	from, to string
}

// RoundTrip implements http.RoundTripper.
func (k link) RoundTrip(req *http.Request) (*http.Response, error) {
	k.cluster.mu.Lock()
	target := k.cluster.nodes[k.to]
	var fate linkFate
	if k.cluster.call != nil {
		fate = k.cluster.call(k.from, k.to)
	}
	if target == nil || target.dead {
		fate.cut = true
	}
	k.cluster.mu.Unlock()
	if fate.cut {
		return nil, errCut
	}
	if err := wait(req.Context(), fate.delay); err != nil {
		return nil, err
	}
	rec := httptest.NewRecorder()
	inner := req.Clone(req.Context())
	inner.RequestURI = req.URL.Path
	target.handler.ServeHTTP(rec, inner)
	if fate.lose {
		return nil, errCut
	}
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	return rec.Result(), nil
}

func wait(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// start adds a node. change may alter its configuration.
func (c *cluster) start(t testing.TB, name string, change ...func(*Config)) *node {
	n := &node{name: name, cluster: c}
	cfg := Config{
		Self:    name,
		Store:   c.store,
		Owners:  n,
		Dialer:  n,
		Holders: n,
		Rand:    rand.New(rand.NewPCG(1, uint64(len(name)))),
		Shards:  4,
		Slots:   16,
	}
	for _, f := range change {
		f(&cfg)
	}
	l, err := New(cfg)
	qt.Assert(t, err, qt.IsNil)
	n.Ledger = l
	_, n.handler = l.Handler()
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	l.Start()
	return n
}

// crash cuts a node off at once. Its goroutines end, its memory counts no more.
func (c *cluster) crash(n *node) {
	c.mu.Lock()
	n.dead = true
	c.mu.Unlock()
	n.Stop()
}

// stop ends all nodes.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.Stop()
	}
}

func (c *cluster) setOwner(f func(asking, key string) string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = f
}

// setCall decides the fate of calls between daemons.
func (c *cluster) setCall(f func(from, to string) linkFate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.call = f
}

func claimRequest(key, body string) ClaimRequest {
	return ClaimRequest{
		Organisation: "org",
		Key:          key,
		BodySHA256:   [32]byte([]byte(fmt.Sprintf("%32s", body))),
		RequestID:    "r-" + key,
		Deadline:     time.Now().Add(10 * time.Second),
	}
}
