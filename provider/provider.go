// Package provider keeps the newest accepted configuration in force on a
// daemon.
//
// A few daemons watch the store. The others learn of new heads through a table that
// is flooded to all daemons, and fetch missing parts from their peers. A head comes into
// force completely or not at all, and the generation in force never decreases.
package provider

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// Store is the part of the object API that a Provider uses.
type Store interface {
	Get(ctx context.Context, key string) (objectstore.Object, error)
	Watch(ctx context.Context, prefix string, after uint64) ([]objectstore.Object, error)
}

// Table is a small table that is flooded to all daemons. It has one entry per key, of which
// the highest version wins. It calls the functions passed to Subscribe for each change,
// including those made by Publish on this daemon.
type Table interface {
	Publish(key string, version uint64, value []byte)
	Subscribe(prefix string, f func(key string, version uint64, value []byte))
}

// Peers gives access to other daemons.
type Peers interface {
	// Candidates returns the names of daemons that may be queried.
	Candidates() []string
	// Dial returns a client and a base URL for a daemon, or false if the daemon no longer exists.
	Dial(name string) (connect.HTTPClient, string, bool)
}

// Watcher reports whether this daemon is one of those that watch the store.
type Watcher interface {
	Watching() bool
	// Changed returns a channel that is closed when Watching may have changed
	// since the call.
	Changed() <-chan struct{}
}

// DefaultStaleAfter is the default of Options.StaleAfter.
const DefaultStaleAfter = 10 * time.Second

// Options configures a Provider. All fields but StaleAfter are required.
type Options struct {
	Store   Store
	Table   Table
	Peers   Peers
	Watcher Watcher
	// Random seeds the provider's random sources. It is used by New only.
	Random     *rand.Rand
	Log        zerolog.Logger
	Registerer prometheus.Registerer
	// StaleAfter is how long a daemon accepts new work without a confirmation that its
	// configuration is the newest. Zero means DefaultStaleAfter.
	StaleAfter time.Duration
}

// ErrOptions reports that a required option is missing.
var ErrOptions = errors.New("provider: missing option")

// Provider keeps the newest accepted configuration in force. It is safe for
// concurrent use.
type Provider struct {
	store      Store
	table      Table
	peers      Peers
	watcher    Watcher
	log        zerolog.Logger
	staleAfter time.Duration
	metrics    *metrics
	storeReads *rate.Limiter

	tomb tomb.Tomb
	// fetchRandom is used by installLoop only, pollRandom and watchRandom by pollLoop
	// and watchLoop.
	fetchRandom, pollRandom, watchRandom *rand.Rand
	// nextProbe is when installLoop may next read the head because it is unconfirmed.
	nextProbe time.Time

	snapshot atomic.Pointer[config.Snapshot]

	mu    sync.Mutex
	state state
	// values are the stored bytes of the parts in force.
	values map[config.Digest][]byte
	// fetched are the parts of the pending head, kept until it is complete.
	fetched map[config.Digest][]byte
	// work is signalled when there is a pending head or a reason to query peers.
	work chan struct{}
	// rejected is the digest of the last value that could not be decoded.
	rejected config.Digest
	// peerAhead is set when a peer is known to have a newer head.
	peerAhead bool
	// verify requests a query for the newest head after a pause of the process.
	verify bool
	pauses pauseGuard

	watching watchState

	// notifyMu serialises the calls of subscribers.
	notifyMu    sync.Mutex
	subscribers []func(*config.Snapshot)
}

// watchState is shared by the loops that read the store.
type watchState struct {
	sync.Mutex
	// revision is the highest revision of the head that has been read.
	revision uint64
	// cancel ends the watch in progress. It is nil if there is none.
	cancel context.CancelFunc
	// overtaken is set when a read returned a revision that the watch in progress missed.
	overtaken bool
}

// New returns a provider that is idle until Start is called.
func New(o Options) (*Provider, error) {
	if o.Store == nil || o.Table == nil || o.Peers == nil || o.Watcher == nil || o.Random == nil || o.Registerer == nil {
		return nil, ErrOptions
	}
	if o.StaleAfter == 0 {
		o.StaleAfter = DefaultStaleAfter
	}
	p := &Provider{
		store: o.Store, table: o.Table, peers: o.Peers, watcher: o.Watcher,
		log:         o.Log.With().Str("part", "provider").Logger(),
		staleAfter:  o.StaleAfter,
		storeReads:  rate.NewLimiter(storeReadRate, storeReadBurst),
		fetchRandom: newRandom(o.Random),
		pollRandom:  newRandom(o.Random),
		watchRandom: newRandom(o.Random),
		work:        make(chan struct{}, 1),
	}
	var err error
	if p.metrics, err = newMetrics(p, o.Registerer); err != nil {
		return nil, fmt.Errorf("provider: register metrics: %w", err)
	}
	return p, nil
}

// newRandom returns a separate random source for use by one goroutine.
func newRandom(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// Start starts the loops that keep the configuration in force.
func (p *Provider) Start() {
	p.pauses.check()
	p.table.Subscribe(config.HeadKey, p.handleTableHead)
	p.tomb.Go(func() error {
		p.tomb.Go(p.installLoop)
		p.tomb.Go(p.pollLoop)
		p.tomb.Go(p.watchLoop)
		p.tomb.Go(p.pauseLoop)
		return nil
	})
}

// Stop stops the provider and waits for its loops to end. The snapshot in force remains
// available.
func (p *Provider) Stop() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// Snapshot returns the snapshot in force, or nil if there is none yet.
func (p *Provider) Snapshot() *config.Snapshot { return p.snapshot.Load() }

// Subscribe calls f with the snapshot in force, if there is one, and then with
// each later one, in order. f must not block and must not call Subscribe.
func (p *Provider) Subscribe(f func(*config.Snapshot)) {
	p.notifyMu.Lock()
	defer p.notifyMu.Unlock()
	p.subscribers = append(p.subscribers, f)
	if s := p.snapshot.Load(); s != nil {
		f(s)
	}
}

// RecordHeartbeat processes a peer's heartbeat, which contains the peer's generation in
// force and the time since that was last known to be the newest.
func (p *Provider) RecordHeartbeat(generation uint64, newsAge time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if generation == 0 || newsAge < 0 {
		return
	}
	if p.state.confirmPeer(generation, newsAge, time.Now()) && !p.peerAhead {
		p.peerAhead = true
		p.signal()
	}
}

// signal wakes installLoop. It may be called with or without p.mu held.
func (p *Provider) signal() {
	select {
	case p.work <- struct{}{}:
	default:
	}
}

// handleTableHead processes a head received through the flooded table.
func (p *Provider) handleTableHead(key string, version uint64, value []byte) {
	if key != config.HeadKey {
		return
	}
	c, err := decodeCandidate(value, SourceTable)
	if err == nil && c.generation() != version {
		err = &config.HeadError{Message: fmt.Sprintf("table version %d differs from generation %d", version, c.generation())}
	}
	if err != nil {
		p.reject(SourceTable, value, err)
		return
	}
	p.offer(c)
}

// decodeCandidate decodes a head received from the source.
func decodeCandidate(value []byte, source Source) (*candidate, error) {
	head, err := config.DecodeHead(value)
	if err != nil {
		return nil, err
	}
	return &candidate{head: head, value: slices.Clone(value), digest: config.DigestOf(value), source: source}, nil
}

// reject records a head that is missing or cannot be decoded. Repetitions of the same value
// are not logged again.
func (p *Provider) reject(source Source, value []byte, err error) {
	digest := config.DigestOf(value)
	p.mu.Lock()
	known := p.state.problem != nil && p.rejected == digest
	p.state.recordProblem(err, time.Now())
	p.rejected = digest
	p.mu.Unlock()
	p.metrics.refused.WithLabelValues(string(source)).Inc()
	if !known {
		p.log.Error().Str("source", string(source)).Err(err).Msg("head refused")
	}
}

// offer passes a decoded head to the state, and wakes installLoop if the head is new.
func (p *Provider) offer(c *candidate) {
	p.mu.Lock()
	v, err := p.state.offer(c, time.Now())
	p.mu.Unlock()
	switch v {
	case verdictNewer:
		p.log.Info().Uint64("generation", c.generation()).Str("source", string(c.source)).Msg("head seen")
		p.signal()
	case verdictDivergent:
		p.metrics.refused.WithLabelValues(string(c.source)).Inc()
		p.log.Error().Err(err).Msg("head refused")
	case verdictOlder:
		p.metrics.older.Inc()
	}
}
