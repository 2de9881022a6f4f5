// Package provider keeps the newest accepted configuration in force on a
// daemon.
//
// A few daemons watch the store; the others hear of new heads through a flooded
// table and fetch the missing parts from their peers. A head comes into force
// whole or not at all, and the generation in force never falls.
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

// Table is a small table that is flooded to all daemons: one entry per key, the
// higher version wins. It calls f for each change, also for its own Publish.
type Table interface {
	Publish(key string, version uint64, value []byte)
	Subscribe(prefix string, f func(key string, version uint64, value []byte))
}

// Peers gives access to other daemons.
type Peers interface {
	// Candidates returns the names of daemons that may be asked.
	Candidates() []string
	// Dial returns a client and a base URL for a daemon, or false if it is gone.
	Dial(name string) (connect.HTTPClient, string, bool)
}

// Watcher says whether this daemon is one of those that watch the store.
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
	// Random seeds the random sources of the provider. It is used by New only.
	Random     *rand.Rand
	Log        zerolog.Logger
	Registerer prometheus.Registerer
	// StaleAfter is how long a daemon without news takes new work. Zero means
	// DefaultStaleAfter.
	StaleAfter time.Duration
}

// ErrOptions reports that a required option is missing.
var ErrOptions = errors.New("provider: missing option")

// Provider keeps the newest accepted configuration in force. Its methods may be
// called concurrently.
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
	// fetchRandom belongs to the loop that puts heads in force, pollRandom and
	// watchRandom to the loops that read the store.
	fetchRandom, pollRandom, watchRandom *rand.Rand
	// nextProbe is when the install loop may read the head again on stale news.
	nextProbe time.Time

	snapshot atomic.Pointer[config.Snapshot]

	mu    sync.Mutex
	state state
	// values are the stored bytes of the parts in force.
	values map[config.Digest][]byte
	// fetched are parts of the pending head, kept until it is complete.
	fetched map[config.Digest][]byte
	// work is signalled when there is a pending head or a reason to ask peers.
	work chan struct{}
	// rejected is the digest of the last value that could not be decoded.
	rejected config.Digest
	// ask is set when a peer is known to have a newer head.
	ask bool
	// verify is set after a pause, when the newest head has to be asked for.
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
	// revision is the highest one seen of the head.
	revision uint64
	// cancel drops the watch under way, nil if there is none.
	cancel    context.CancelFunc
	overtaken bool
}

// New returns a provider that is not running yet.
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
		fetchRandom: split(o.Random),
		pollRandom:  split(o.Random),
		watchRandom: split(o.Random),
		work:        make(chan struct{}, 1),
	}
	var err error
	if p.metrics, err = newMetrics(p, o.Registerer); err != nil {
		return nil, fmt.Errorf("provider: register metrics: %w", err)
	}
	return p, nil
}

// split returns a random source of its own for one goroutine.
func split(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// Start begins to keep the configuration in force.
func (p *Provider) Start() {
	p.pauses.check()
	p.table.Subscribe(config.HeadKey, p.fromTable)
	p.tomb.Go(func() error {
		p.tomb.Go(p.installLoop)
		p.tomb.Go(p.pollLoop)
		p.tomb.Go(p.watchLoop)
		p.tomb.Go(p.keepPulse)
		return nil
	})
}

// Stop ends the provider and waits for it. The snapshot in force stays readable.
func (p *Provider) Stop() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// Snapshot returns the snapshot in force, nil when there is none yet.
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

// RecordHeartbeat takes note of a heartbeat of a peer: the generation in force there
// and the age of its news.
func (p *Provider) RecordHeartbeat(generation uint64, newsAge time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if generation == 0 || newsAge < 0 {
		return
	}
	if p.state.confirmPeer(generation, newsAge, time.Now()) && !p.ask {
		p.ask = true
		p.signal()
	}
}

// signal wakes the install loop. The caller holds p.mu or does not care.
func (p *Provider) signal() {
	select {
	case p.work <- struct{}{}:
	default:
	}
}

// fromTable takes a head out of the flooded table.
func (p *Provider) fromTable(key string, version uint64, value []byte) {
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

// decodeCandidate decodes a head that came from outside.
func decodeCandidate(value []byte, source Source) (*candidate, error) {
	head, err := config.DecodeHead(value)
	if err != nil {
		return nil, err
	}
	return &candidate{head: head, value: slices.Clone(value), digest: config.DigestOf(value), source: source}, nil
}

// reject reports a head that could not even be decoded, once for the same value.
func (p *Provider) reject(source Source, value []byte, err error) {
	digest := config.DigestOf(value)
	p.mu.Lock()
	known := p.state.problem != nil && p.rejected == digest
	p.state.trouble(err, time.Now())
	p.rejected = digest
	p.mu.Unlock()
	p.metrics.refused.WithLabelValues(string(source)).Inc()
	if !known {
		p.log.Error().Str("source", string(source)).Err(err).Msg("head refused")
	}
}

// offer hands a decoded head to the state and wakes the install loop.
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
