// Package entry is the daemon that carries opaque requests: it joins the store's
// copies, the fleet, the engines and the gateway. A main needs a few lines:
//
//	d, err := entry.New(options)
//	if err != nil { ... }
//	err = d.Run(ctx)
package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/bootstrap"
	"github.com/bronzeturn/bronzeturn/canary"
	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/gateway"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/occupancy"
	"github.com/bronzeturn/bronzeturn/process"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/route"
	"github.com/bronzeturn/bronzeturn/slowstart"
)

// Settings of one daemon. All fields are required unless they say otherwise.
type Settings struct {
	// Name is unique in the fleet.
	Name       string
	DataCentre string
	// Regions are the regions of the data centres by name. Without them, requests that are
	// bound to regions have no engine.
	Regions map[string]string
	IP      string
	// Listeners, as IP and port. Others use the same addresses.
	CallerListen, ReadyListen, PeerListen, DirectoryListen string
	// MetricsListen serves metrics, "" for none besides ReadyListen.
	MetricsListen string
	// Seeds are peer addresses of other daemons.
	Seeds []string
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// Cores is the processor time that the process may use, in cores; zero if unknown.
	Cores float64
	// Capacity is what the host can carry for the fleet, compared with the others' hosts:
	// duties are shared out in proportion to it. Zero counts as 1.
	Capacity float64
	// StopGrace is the time from SIGTERM to the end of the process.
	StopGrace time.Duration
	// LapseGrace is how long an engine whose entry vanished with an outage of the
	// store is still used.
	LapseGrace time.Duration
	// ColdOverage and ColdSlack bound what a cold engine gets within a second from all
	// daemons together: ColdOverage times what its service bears, and ColdSlack requests.
	ColdOverage, ColdSlack float64
	// Evacuations tells that operators may ask that the engines of a data centre get
	// nothing more. Where they don't, nothing is read from the store for it.
	Evacuations bool
	// AddressTTL is how long callers may keep an answer about addresses.
	AddressTTL    time.Duration
	Budget        gateway.BudgetOptions
	Introductions canary.Options
}

// Store is the part of the platform's store that the daemon uses.
type Store interface {
	follow.Source
	bootstrap.Store
	quarantine.Store
	// SetStatus writes the status of an object if its revision is the given one.
	SetStatus(ctx context.Context, kind, name string, revision uint64, status json.RawMessage) error
}

// Documents decodes the store's objects and answers in the platform's form.
type Documents interface {
	ConfigKind() string
	EngineKind() string
	OrderKind() string
	EvacuationKind() string
	// Value returns what the product has stored in an object of its own.
	Value(item follow.Item) ([]byte, error)
	Config(s *follow.Snapshot) (route.Config, bool, error)
	Engine(item follow.Item) (inventory.Registration, error)
	Order(item follow.Item) (canary.Order, canary.State, error)
	// Evacuated returns the names of the data centres whose evacuation is asked for.
	Evacuated(s *follow.Snapshot) []string
	OrderStatus(target string, state canary.State) (json.RawMessage, error)
	AddressesPath() string
	AddressQuestion(r *http.Request) AddressQuestion
	AnswerAddresses(w http.ResponseWriter, list []string, keepSeconds float64) error
}

// Options are what a Daemon needs.
type Options struct {
	Settings  Settings
	Store     Store
	Documents Documents
	Codec     gateway.Codec
	// Models say when a larger model's answer pays.
	Models gateway.ModelOptions
	// LogWriter takes one line per call and must not block.
	LogWriter io.Writer
}

// Daemon is one entry host's part of the system. All daemons are equal.
type Daemon struct {
	Options
	log      zerolog.Logger
	registry *prometheus.Registry
	tomb     tomb.Tomb
	started  time.Time

	fleet         *fleet
	copies        *copies
	introductions *introductions
	balancer      *balance.State
	engines       *inventory.Set
	evacuated     evacuated
	slowStarts    *slowstart.Pacer
	gateway       *gateway.Gateway
	quarantine    *quarantine.Quarantine
	// shared is the balancer with the work of all daemons, book the counts that this
	// daemon keeps for the others.
	shared  *sharedBalancer
	book    *occupancy.Store
	servers *servers

	tables atomic.Pointer[gateway.Tables]
	// compiling is held while the engines in force are compiled. The set of engines calls
	// for it with its own lock held, so nothing under it may ask the set.
	compiling sync.Mutex
	// current holds the settings that may change while the daemon runs.
	current atomic.Pointer[Settings]
	leaving atomic.Bool
	seed    uint64
}

// memoryShare is the part of the memory that the runtime's heap may grow to; the
// rest is for stacks, buffers of the kernel and what was not yet collected.
const memoryShare = 0.7

// New provisions a daemon and opens its listeners. Nothing is served before Run.
func New(o Options) (*Daemon, error) {
	d := &Daemon{Options: o, registry: prometheus.NewRegistry(), seed: process.Seed(), started: time.Now(), book: occupancy.NewStore()}
	backoff.SetPhase(time.Duration(rand.New(rand.NewPCG(d.seed, randTickPhase)).Int64N(int64(time.Second))))
	d.Store = newCountedStore(o.Store, d.registry)
	d.current.Store(&o.Settings)
	d.log = logging.Plain(o.LogWriter, o.Settings.Name)
	debug.SetGCPercent(heapGrowthFor(o.Settings.Cores, 0))
	if o.Settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(o.Settings.MemoryBytes)))
	}
	var err error
	if d.balancer, err = balance.NewState(balanceOptions()); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	if d.fleet, err = newFleet(d); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	d.slowStarts = newSlowStarts(d)
	d.shared = newSharedBalancer(d)
	d.introductions = newIntroductions(d)
	d.engines = inventory.New(o.Settings.LapseGrace, d.enginesChanged)
	d.copies = newCopies(d)
	d.quarantine = newQuarantine(d)
	d.gateway = newGateway(d)
	d.registerGauges()
	if d.servers, err = newServers(d); err != nil {
		return nil, err
	}
	return d, nil
}

// balanceOptions suits engines that batch: what a request waits for is the
// reading of the prompts before it, so the work in progress counts in full. They
// are judged and taken back faster than the defaults say, since answers take
// seconds at most.
func balanceOptions() balance.Options {
	o := balance.DefaultOptions()
	o.RemoteThreshold = 5 * time.Millisecond
	o.PrefillTokensPerSecond = 30000
	o.PromptWeight = gateway.PromptPart
	o.BatchSlowdown = 1
	o.SampleSize = 4
	o.BusyIsWait = true
	o.AffinityMin = time.Millisecond
	o.AffinityMax = time.Second
	o.AffinityHalfLife = 30 * time.Second
	o.FailurePenalty = 4 * time.Second
	o.FailureHalfLife = 4 * time.Second
	o.EjectFor = 1500 * time.Millisecond
	o.EjectMax = 6 * time.Second
	o.TrickleEvery = 500 * time.Millisecond
	o.TrickleSuccesses = 2
	o.WarmUp = 0
	o.SpeedPrior = 8
	return o
}

// part returns the logger of one part.
func (d *Daemon) part(name string) zerolog.Logger { return logging.Part(d.log, name) }

// rand returns a random source for one part.
func (d *Daemon) rand(part uint64) *rand.Rand { return rand.New(rand.NewPCG(d.seed, part)) }

// Parts of the daemon that have a random source of their own.
const (
	randMembership uint64 = iota + 1
	randBootstrap
	randConfig
	randEngines
	randOrders
	randPeers
	randEvacuations
	randSlowStarts
	randQuarantine
	randTickPhase
)

// Run serves until ctx ends, then stops gracefully. It may be called once.
func (d *Daemon) Run(ctx context.Context) error {
	s := &d.Settings
	d.log.Info().Str("callers", s.CallerListen).Str("peers", s.PeerListen).Str("directory", s.DirectoryListen).
		Str("data_centre", s.DataCentre).Int64("memory_bytes", s.MemoryBytes).Msg("daemon started")
	d.fleet.start(d)
	d.copies.start(d)
	d.introductions.start(d)
	d.servers.start(d)
	d.goLoop("engines", d.expireEngines)
	d.goLoop("heap", d.adjustHeapGrowth)
	d.goLoop("quarantine", d.quarantine.Run)
	d.goLoop("quarantine records", d.quarantine.RunWrites)
	d.goLoop("occupancy", d.shared.sharer.Run)
	select {
	case <-ctx.Done():
	case <-d.tomb.Dying():
	}
	return d.stop()
}

// goLoop runs a loop under the tomb. Its context ends with the daemon.
func (d *Daemon) goLoop(name string, f func(ctx context.Context) error) {
	process.Go(&d.tomb, name, f)
}

// Parts of the grace of a stop.
const (
	// streamsUntil is the part of the grace in which streams are still taken: the
	// platform excuses those that are cut at the end only if they came early.
	streamsUntil = 0.35
	// answersUntil is the part in which requests with whole answers are.
	answersUntil = 0.8
	// stopMargin is left before the end of the grace.
	stopMargin = 700 * time.Millisecond
)

// stop carries out the graceful shutdown.
func (d *Daemon) stop() error {
	began := time.Now()
	d.leaving.Store(true)
	d.log.Info().Int("in_progress", d.gateway.InProgress()).Msg("daemon leaves")
	d.fleet.leave()
	d.gateway.StartLeaving()
	grace := d.current.Load().StopGrace
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-stopMargin))
	defer cancel()
	time.Sleep(time.Duration(streamsUntil * float64(grace)))
	d.gateway.StopStreams()
	time.Sleep(time.Duration((answersUntil - streamsUntil) * float64(grace)))
	d.gateway.StopAdmitting()
	if err := d.gateway.Drain(ctx); err != nil {
		d.log.Error().Err(err).Int("in_progress", d.gateway.InProgress()).Msg("requests cut at the end of the grace")
	}
	d.servers.stop()
	d.tomb.Kill(nil)
	d.fleet.stop()
	err := d.tomb.Wait()
	d.log.Info().Dur("took_ms", time.Since(began)).Msg("daemon stopped")
	return err
}
