package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	tomb "gopkg.in/tomb.v2"
)

// Owners provides the preferred writer of each shard. A wrong answer causes
// delay but no incorrect result.
type Owners interface {
	// Owner returns the preferred daemon for the key, and whether it is this
	// one.
	Owner(key string) (name string, self bool)
}

// SecondOwners is an optional extension of Owners: the daemon to ask if the
// preferred writer does not answer. Without it, every daemon then loads the
// shard and writes itself.
type SecondOwners interface {
	// SecondOwner returns the next preferred daemon for the key after its
	// owner.
	SecondOwner(key string) (name string, self bool)
}

// Dialer connects to other daemons.
type Dialer interface {
	// Dial returns a client and the base URL of the named daemon. ok is false
	// if the daemon is not known.
	Dial(name string) (client connect.HTTPClient, baseURL string, ok bool)
}

// Config configures a Ledger. Self, Store, Owners and Dialer are required; zero
// values of the other fields select the defaults.
type Config struct {
	// Self is the name of this daemon.
	Self   string
	Store  Store
	Owners Owners
	Dialer Dialer
	// Holders may be nil; then no records are copied to other daemons.
	Holders Holders
	Log     zerolog.Logger
	// Registerer registers the metrics.
	Registerer prometheus.Registerer
	// Rand is the source of backoff jitter. After New only the ledger may use
	// it.
	Rand *rand.Rand

	// Shards and Slots are used only to create a ledger in an empty store;
	// after that the stored layout applies.
	Shards uint32
	Slots  uint32
	// FleetWrites is the maximum rate of batches per second that all preferred
	// writers together write.
	FleetWrites float64
	// FallbackWrites is the maximum rate of batches per second that all daemons
	// together write to shards of which they are not the preferred writer.
	FallbackWrites float64
	// Daemons returns the number of live daemons, by which FallbackWrites is
	// divided. Nil means one daemon.
	Daemons func() int
	// BatchDelay is the minimum time that a record waits for others to join its
	// batch.
	BatchDelay time.Duration
	// OwnerTimeout is the timeout of one call to a preferred writer.
	OwnerTimeout time.Duration
	// StoreTimeout is the timeout of one store call.
	StoreTimeout time.Duration
	// DecideTimeout is the timeout of Claim, PinVersion and PinnedVersion.
	DecideTimeout time.Duration
	// IdleTimeout is how long the state of an unused shard stays in memory on a
	// daemon that is not its preferred writer.
	IdleTimeout time.Duration
	Retention   Retention
	// BillArchive is how long itemised bills are kept.
	BillArchive time.Duration
	// BillPatience is how long Bill and CompleteClaim wait for the store before
	// they copy the record to a second daemon instead.
	BillPatience time.Duration
	// BufferRecords and BufferBytes limit the records that wait for the store
	// and, separately, the copies held for other daemons.
	BufferRecords int
	BufferBytes   int
}

// MaxAnswerBytes is the size of the largest response body that is stored with an outcome.
const MaxAnswerBytes = 4 << 10

// Defaults of Config.
const (
	DefaultFleetWrites     = 250
	DefaultFallbackWrites  = 100
	DefaultBillPatience    = 150 * time.Millisecond
	DefaultBufferRecords   = 200000
	DefaultBufferBytes     = 64 << 20
	DefaultBatchDelay      = 2 * time.Millisecond
	DefaultOwnerTimeout    = 400 * time.Millisecond
	DefaultStoreTimeout    = 2 * time.Second
	DefaultDecideTimeout   = 1500 * time.Millisecond
	DefaultIdleTimeout     = time.Minute
	DefaultClaimRetention  = 24 * time.Hour
	DefaultAnswerRetention = time.Hour
	DefaultPinIdle         = 2 * time.Hour
	DefaultPinLimit        = 24 * time.Hour
	DefaultBillRetention   = 6 * time.Hour
	DefaultBillArchive     = 35 * 24 * time.Hour
)

// ErrConfig reports an invalid Config.
var ErrConfig = errors.New("invalid ledger configuration")

// Ledger is one daemon's access to the ledger. Its methods are safe for
// concurrent use.
type Ledger struct {
	cfg     Config
	logger  zerolog.Logger
	metrics *metrics
	owners  *ownerHealth

	tomb tomb.Tomb

	// opened is closed when the layout is known.
	opened chan struct{}

	mu     sync.Mutex
	layout layout
	shards []*shard

	store  *guardedStore
	outbox *outbox
	copies *copies
	freeze *freezeDetector
	pins   *pinCache

	randMu sync.Mutex
}

// New returns a Ledger. It makes no calls to the store or to other daemons
// before Start.
func New(cfg Config) (*Ledger, error) {
	if cfg.Self == "" || cfg.Store == nil || cfg.Owners == nil || cfg.Dialer == nil {
		return nil, fmt.Errorf("%w: name, store, owners and dialer are required", ErrConfig)
	}
	setDefaults(&cfg)
	if !(layout{cfg.Shards, cfg.Slots}).valid() {
		return nil, fmt.Errorf("%w: %d shards of %d slots", ErrConfig, cfg.Shards, cfg.Slots)
	}
	l := &Ledger{
		cfg:     cfg,
		logger:  cfg.Log.With().Str("part", "ledger").Logger(),
		metrics: newMetrics(cfg.Registerer),
		owners:  newOwnerHealth(),
		copies:  newCopies(cfg.BufferRecords, cfg.BufferBytes),
		freeze:  &freezeDetector{limit: cfg.Retention.Bills / 2},
		pins:    newPinCache(),
		opened:  make(chan struct{}),
	}
	l.store = newGuardedStore(cfg.Store, cfg.StoreTimeout, l.jitter)
	l.outbox = newOutbox(cfg.BufferRecords, cfg.BufferBytes, l.metrics)
	return l, nil
}

func setDefaults(c *Config) {
	setDefault(&c.Shards, DefaultShards)
	setDefault(&c.Slots, DefaultSlots)
	setDefault(&c.FleetWrites, DefaultFleetWrites)
	setDefault(&c.FallbackWrites, DefaultFallbackWrites)
	setDefault(&c.BatchDelay, DefaultBatchDelay)
	setDefault(&c.OwnerTimeout, DefaultOwnerTimeout)
	setDefault(&c.StoreTimeout, DefaultStoreTimeout)
	setDefault(&c.DecideTimeout, DefaultDecideTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.Retention.Claims, DefaultClaimRetention)
	setDefault(&c.Retention.AnswerBodies, DefaultAnswerRetention)
	setDefault(&c.Retention.PinIdle, DefaultPinIdle)
	setDefault(&c.Retention.PinLimit, DefaultPinLimit)
	setDefault(&c.Retention.Bills, DefaultBillRetention)
	setDefault(&c.BillArchive, DefaultBillArchive)
	setDefault(&c.BillPatience, DefaultBillPatience)
	setDefault(&c.BufferRecords, DefaultBufferRecords)
	setDefault(&c.BufferBytes, DefaultBufferBytes)
	if c.Daemons == nil {
		c.Daemons = func() int { return 1 }
	}
	if c.Registerer == nil {
		c.Registerer = prometheus.NewRegistry()
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Start starts the ledger. It reads the layout in the background until the
// store answers; until then every call that needs the store fails as
// unavailable.
func (l *Ledger) Start() {
	l.tomb.Go(l.open)
	l.tomb.Go(l.maintainCopies)
	l.tomb.Go(l.detectFreezes)
}

// Stop ends all writing and waits for it. Records that are still unsettled are
// answered with ErrStopped. Call Flush first.
func (l *Ledger) Stop() error {
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}

// open reads the layout and starts one goroutine per shard.
func (l *Ledger) open() error {
	ctx := l.tomb.Context(context.Background())
	want := layout{l.cfg.Shards, l.cfg.Slots}
	wait := backoffMin
	for {
		lay, err := loadLayout(ctx, l.store, want)
		if err == nil {
			l.startShards(lay)
			return nil
		}
		l.logger.Warn().Err(err).Msg("cannot read ledger layout, retrying")
		if !l.sleep(wait/2 + l.jitter(wait/2)) {
			return nil
		}
		wait = min(2*wait, backoffMax)
	}
}

func (l *Ledger) startShards(lay layout) {
	fallback := rate.NewLimiter(rate.Limit(l.cfg.FallbackWrites), fallbackBurst)
	writes := rate.Limit(l.cfg.FleetWrites / float64(lay.shards))
	shards := make([]*shard, lay.shards)
	for i := range shards {
		shards[i] = l.newShard(lay, uint32(i), writes, fallback)
	}
	l.mu.Lock()
	l.layout, l.shards = lay, shards
	l.mu.Unlock()
	close(l.opened)
	for _, s := range shards {
		l.tomb.Go(func() error { return s.run(l.tomb.Context(context.Background())) })
	}
	for _, q := range l.outbox.openQueues(lay.shards) {
		l.tomb.Go(func() error { return l.drain(q) })
	}
	l.logger.Info().Uint32("shards", lay.shards).Uint32("slots", lay.slots).Msg("ledger opened")
}

func (l *Ledger) newShard(lay layout, id uint32, writes rate.Limit, fallback *rate.Limiter) *shard {
	key := shardKey(id)
	return &shard{
		id:  id,
		log: newShardLog(l.store, lay, id, l.cfg.Self, l.cfg.Retention),
		owned: func() bool {
			_, self := l.cfg.Owners.Owner(key)
			return self
		},
		writeLimiter:    rate.NewLimiter(writes, shardBurst),
		batchDelay:      l.cfg.BatchDelay,
		billArchive:     l.cfg.BillArchive,
		idleTimeout:     l.cfg.IdleTimeout,
		fallbackLimiter: fallback,
		fallbackRate:    func() rate.Limit { return rate.Limit(l.cfg.FallbackWrites / float64(max(1, l.cfg.Daemons()))) },
		rand:            rand.New(rand.NewPCG(l.seed(), uint64(id))),
		logger:          l.logger,
		metrics:         l.metrics,
		wake:            make(chan struct{}, 1),
	}
}

// waitOpen waits until the layout is known.
func (l *Ledger) waitOpen(ctx context.Context) error {
	select {
	case <-l.opened:
		return nil
	case <-ctx.Done():
		return errNotOpen
	case <-l.tomb.Dying():
		return ErrStopped
	}
}

// shardFor returns the shard of a fingerprint, or an error if the layout is not
// known yet.
func (l *Ledger) shardFor(fp fingerprint) (*shard, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shards == nil {
		return nil, errNotOpen
	}
	return l.shards[shardOf(fp, l.layout.shards)], nil
}

// shardBurst is how many batches a preferred writer may write to one shard in a
// burst above the shard's part of FleetWrites.
const shardBurst = 4

// fallbackBurst is how many batches a daemon may write in a burst to shards of
// which it is not the preferred writer.
const fallbackBurst = 8

// errNotOpen reports that the layout has not been read since the start.
var errNotOpen = errors.New("ledger layout is not known yet")

// seed returns a random number.
func (l *Ledger) seed() uint64 {
	l.randMu.Lock()
	defer l.randMu.Unlock()
	return l.cfg.Rand.Uint64()
}

// jitter returns a random duration below max.
func (l *Ledger) jitter(max time.Duration) time.Duration {
	if max <= 0 {
		return 0
	}
	l.randMu.Lock()
	defer l.randMu.Unlock()
	return time.Duration(l.cfg.Rand.Int64N(int64(max)))
}
