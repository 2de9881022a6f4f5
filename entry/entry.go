// Package entry implements the entry daemon, which forwards opaque requests from callers to
// engines. It connects the copies of the store's objects, the fleet of daemons, the set of
// engines and the gateway. A main function needs only a few lines:
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

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/backpressure"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/bootstrap"
	"github.com/bronzeturn/bronzeturn/canary"
	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/gateway"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/occupancy"
	"github.com/bronzeturn/bronzeturn/overload"
	"github.com/bronzeturn/bronzeturn/process"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/relay"
	"github.com/bronzeturn/bronzeturn/route"
	"github.com/bronzeturn/bronzeturn/slowstart"
)

// Settings configure one daemon. All fields are required unless stated otherwise.
type Settings struct {
	// Name is unique in the fleet.
	Name       string
	DataCentre string
	// Regions maps the names of data centres to their regions. If it is empty, requests that are
	// bound to regions find no engine.
	Regions map[string]string
	IP      string
	// The listen addresses, as IP and port. Other processes connect to the same addresses.
	CallerListen, ReadyListen, PeerListen, DirectoryListen string
	// MetricsListen is an additional address for metrics, or "" to serve them on ReadyListen
	// only.
	MetricsListen string
	// Seeds are peer addresses of other daemons.
	Seeds []string
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may use, or zero if it is not
	// limited.
	Descriptors int
	// Cores is the CPU time that the process may use, in cores, or zero if unknown.
	Cores float64
	// Capacity is the capacity of the host relative to the hosts of the other daemons. Tasks of
	// the fleet, such as watching the store, are distributed in proportion to it. Zero means 1.
	Capacity float64
	// StopGrace is the time from SIGTERM to the exit of the process.
	StopGrace time.Duration
	// LapseGrace is how long an engine remains in use after its entry has disappeared during an
	// outage of the store.
	LapseGrace time.Duration
	// ColdOverage and ColdSlack limit the requests per second that a cold engine receives from
	// all daemons together: ColdOverage times the limit configured for its service, plus
	// ColdSlack.
	ColdOverage, ColdSlack float64
	// Evacuations enables the evacuation of data centres, in which operators request that the
	// engines of a data centre receive no new requests. If it is not set, the evacuations in the
	// store are not read.
	Evacuations bool
	// Scheduling enables the scheduling of load: the requests of all daemons to contended
	// services are ordered, and decisions take into account what they cost other requests. It is
	// enabled in any case while engines of a service differ in speed.
	Scheduling bool
	// Weights are the shares of organisations in a contended service, relative to each other.
	// They must be positive and finite. An organisation without an entry has weight 1.
	Weights map[string]float64
	// AddressTTL is how long callers may cache the addresses that they were given.
	AddressTTL    time.Duration
	Budget        gateway.BudgetOptions
	Introductions canary.Options
}

// Store is the subset of the platform's store that the daemon uses.
type Store interface {
	follow.Source
	bootstrap.Store
	quarantine.Store
	// SetStatus writes the status of an object if the object has the given revision.
	SetStatus(ctx context.Context, kind, name string, revision uint64, status json.RawMessage) error
}

// Documents converts the store's objects and the answers about addresses from and to the
// platform's formats.
type Documents interface {
	ConfigKind() string
	EngineKind() string
	OrderKind() string
	EvacuationKind() string
	// Value returns the value of an object that bronzeturn itself has stored.
	Value(item follow.Item) ([]byte, error)
	Config(s *follow.Snapshot) (route.Config, bool, error)
	Engine(item follow.Item) (inventory.Registration, error)
	Order(item follow.Item) (canary.Order, canary.State, error)
	// EvacuatedDataCentres returns the names of the data centres whose evacuation has been requested.
	EvacuatedDataCentres(s *follow.Snapshot) []string
	OrderStatus(target string, state canary.State) (json.RawMessage, error)
	AddressesPath() string
	AddressQuery(r *http.Request) AddressQuery
	WriteAddresses(w http.ResponseWriter, list []string, keepSeconds float64) error
}

// Options configure a Daemon.
type Options struct {
	Settings  Settings
	Store     Store
	Documents Documents
	Codec     gateway.Codec
	// Models determine when the answer of a larger model is worth its cost.
	Models gateway.ModelOptions
	// LogWriter receives one line per call and must not block.
	LogWriter io.Writer
	// DialEngine opens connections to engines. Nil means TCP with the time-outs of engineDial.
	DialEngine attempt.DialFunc
}

// Daemon is the process that runs on an entry host. All daemons have the same role.
type Daemon struct {
	Options
	log      zerolog.Logger
	registry *prometheus.Registry
	tomb     tomb.Tomb
	started  time.Time

	fleet         *fleet
	copies        *copies
	confirmed     *confirmed
	introductions *introductions
	balancer      *balance.State
	engines       *inventory.Set
	evacuated     evacuated
	slowStarts    *slowstart.Pacer
	limits        *backpressure.Backpressure
	gateway       *gateway.Gateway
	quarantine    *quarantine.Quarantine
	// dispatcher orders the requests to contended services while load is scheduled.
	dispatcher  requestDispatcher
	engineLists engineLists
	// shared is the balancer that takes the work of all daemons into account, occupancyStore the
	// counts that this daemon keeps for the others.
	shared         *sharedBalancer
	occupancyStore *occupancy.Store
	// relay connects to engines.
	relay *relay.Relay
	// clients bounds what the clients of all listeners hold.
	clients *overload.Guard
	servers *servers

	tables atomic.Pointer[gateway.Tables]
	// configMu serialises the decisions which configuration is in force.
	configMu sync.Mutex
	// compileMu serialises the compilation of the engines. The set of engines triggers a
	// compilation while it holds its own lock, so code that holds compileMu must not call the
	// set.
	compileMu sync.Mutex
	// current holds the settings as of the last reload. Only some of them take effect while the
	// daemon runs.
	current atomic.Pointer[Settings]
	leaving atomic.Bool
	// requests is the context of all requests of callers, abort ends it.
	requests context.Context
	abort    context.CancelCauseFunc
	seed     uint64
}

// New creates a daemon and opens its listeners. Requests are served only after Run is called.
func New(o Options) (*Daemon, error) {
	d := &Daemon{Options: o, registry: prometheus.NewRegistry(), seed: process.Seed(), started: time.Now(), occupancyStore: occupancy.NewStore()}
	d.requests, d.abort = context.WithCancelCause(context.Background())
	backoff.SetPhase(time.Duration(rand.New(rand.NewPCG(d.seed, randTickPhase)).Int64N(int64(time.Second))))
	d.Store = newCountedStore(o.Store, d.registry)
	if d.DialEngine == nil {
		d.DialEngine = engineDial.Dialer()
	}
	d.current.Store(&o.Settings)
	d.log = logging.NewJSON(o.LogWriter, o.Settings.Name)
	debug.SetGCPercent(heapGrowthFor(o.Settings.Cores, 0))
	process.LimitMemory(o.Settings.MemoryBytes)
	d.clients = overload.New(overload.Options{
		MemoryBytes: o.Settings.MemoryBytes, Descriptors: o.Settings.Descriptors, Log: d.logger("clients"), Registerer: d.registry,
	})
	var err error
	if d.balancer, err = balance.NewState(balanceOptions()); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	if d.dispatcher, err = newDispatcher(d); err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	if d.fleet, err = newFleet(d); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	d.fleet.server.Guard(d.clients)
	d.slowStarts = newSlowStarts(d)
	d.limits = newBackpressure(d)
	d.shared = newSharedBalancer(d)
	d.introductions = newIntroductions(d)
	d.engines = inventory.New(o.Settings.LapseGrace, d.enginesChanged)
	d.relay = newRelay(d)
	d.confirmed = newConfirmed(d)
	d.copies = newCopies(d)
	d.quarantine = newQuarantine(d)
	d.gateway = newGateway(d)
	d.registerGauges()
	if d.servers, err = newServers(d); err != nil {
		return nil, err
	}
	return d, nil
}

// balanceOptions returns balancer options for engines that batch requests: a request waits for
// the prefill of the prompts ahead of it, so the work in progress counts in full. Engines are
// ejected and readmitted faster than by default because answers take a few seconds at most.
func balanceOptions() balance.Options {
	o := balance.DefaultOptions()
	o.RemoteThreshold = 5 * time.Millisecond
	o.PrefillTokensPerSecond = 30000
	o.PromptWeight = gateway.PromptTokenWork
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

// logger returns the logger of one component.
func (d *Daemon) logger(name string) zerolog.Logger { return logging.Part(d.log, name) }

// rand returns the random source of one component.
func (d *Daemon) rand(component uint64) *rand.Rand { return rand.New(rand.NewPCG(d.seed, component)) }

// Components of the daemon that have their own random source.
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
	randLimits
	randRelay
	randSeeds
)

// Run serves until ctx is done, then stops gracefully. It must be called at most once.
func (d *Daemon) Run(ctx context.Context) error {
	s := &d.Settings
	d.log.Info().Str("callers", s.CallerListen).Str("peers", s.PeerListen).Str("directory", s.DirectoryListen).
		Str("data_centre", s.DataCentre).Int64("memory_bytes", s.MemoryBytes).Msg("daemon started")
	d.fleet.start(d)
	d.copies.start(d)
	d.introductions.start(d)
	d.servers.start(d)
	d.goLoop("in force", d.confirmed.run)
	d.goLoop("engines", d.expireEngines)
	d.goLoop("heap", d.adjustHeapGrowth)
	d.goLoop("clients", d.clients.Run)
	d.goLoop("quarantine", d.quarantine.Run)
	d.goLoop("quarantine records", d.quarantine.RunWrites)
	d.goLoop("occupancy", d.shared.occupancy.Run)
	d.goLoop("dispatch", d.dispatcher.Run)
	select {
	case <-ctx.Done():
	case <-d.tomb.Dying():
	}
	return d.stop()
}

// goLoop runs a loop as a goroutine of the tomb. Its context is done when the daemon stops.
func (d *Daemon) goLoop(name string, f func(ctx context.Context) error) {
	process.Go(&d.tomb, name, f)
}
