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
	flag.Parse() // the command line overrides these values
	os.Exit(m.Run())
}

// errCut is the error of a call over a cut connection.
var errCut = errors.New("connection cut")

// cluster runs several ledgers on one store. Calls between them go directly to
// the handlers. Cuts, delays and lost responses are set per pair of nodes.
type cluster struct {
	store *memstore.Store

	mu      sync.Mutex
	nodes   map[string]*node
	owner   func(asking, key string) string
	call    func(from, to string) linkFault
	holders map[string][]string
}

// linkFault is the fault of a call between two daemons: no connection, a lost
// response, or a delay before the request arrives.
type linkFault struct {
	cut   bool
	lose  bool
	delay time.Duration
}

// node is the ledger of one daemon.
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

// SecondOwner implements SecondOwners. It returns the next name in alphabetical
// order.
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

// link is the transport for calls from one node to another.
type link struct {
	cluster  *cluster
	from, to string
}

// RoundTrip implements http.RoundTripper.
func (k link) RoundTrip(req *http.Request) (*http.Response, error) {
	k.cluster.mu.Lock()
	target := k.cluster.nodes[k.to]
	var fault linkFault
	if k.cluster.call != nil {
		fault = k.cluster.call(k.from, k.to)
	}
	if target == nil || target.dead {
		fault.cut = true
	}
	k.cluster.mu.Unlock()
	if fault.cut {
		return nil, errCut
	}
	if err := wait(req.Context(), fault.delay); err != nil {
		return nil, err
	}
	rec := httptest.NewRecorder()
	inner := req.Clone(req.Context())
	inner.RequestURI = req.URL.Path
	target.handler.ServeHTTP(rec, inner)
	if fault.lose {
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

// start starts a node; each change may alter its configuration.
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

// crash disconnects a node at once and ends its goroutines. What it had in
// memory is lost.
func (c *cluster) crash(n *node) {
	c.mu.Lock()
	n.dead = true
	c.mu.Unlock()
	n.Stop()
}

// stop stops all nodes.
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

// setCall sets the function that selects the fault of each call between
// daemons.
func (c *cluster) setCall(f func(from, to string) linkFault) {
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
