// Package bronzeturn implements the daemon. It connects the clients of the
// external systems, the fleet of daemons, the routing decisions and the router.
// A main function needs a few lines:
//
//	d, err := bronzeturn.New(settings, bronzeturn.Options{})
//	if err != nil { ... }
//	err = d.Run(ctx)
package bronzeturn

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/orders"
	"github.com/bronzeturn/bronzeturn/overload"
	"github.com/bronzeturn/bronzeturn/process"
	"github.com/bronzeturn/bronzeturn/relay"
	"github.com/bronzeturn/bronzeturn/router"
	"github.com/bronzeturn/bronzeturn/security"
)

// Daemon is the process that runs on an entry host. All daemons are equal.
type Daemon struct {
	settings *bronzeturnv1.Settings
	options  Options
	log      zerolog.Logger
	tomb     tomb.Tomb

	listeners *listeners
	// clients bounds what the clients of all listeners hold.
	clients    *overload.Guard
	tls        *credentials
	platform   *platform
	fleet      *fleet
	decisions  *decisions
	learning   *learning
	quarantine *requestQuarantine
	relay      *relay.Relay
	compiler   *compiler
	router     *router.Router
	orders     *orders.Runner
	servers    *servers

	tables  atomic.Pointer[router.Tables]
	leaving atomic.Bool
	// requests is the context of all requests of callers, abort ends it.
	requests context.Context
	abort    context.CancelCauseFunc
}

// New returns a daemon: it opens all listeners, loads the certificates that the
// settings name and builds all components. On an error nothing is left open.
// Nothing is served before Run.
func New(settings *bronzeturnv1.Settings, options Options) (*Daemon, error) {
	d := &Daemon{settings: settings, options: options.withDefaults()}
	d.requests, d.abort = context.WithCancelCause(context.Background())
	d.log = logging.New(settings, d.options.LogWriter)
	var err error
	if d.listeners, err = openListeners(d); err != nil {
		return nil, err
	}
	if err := d.provision(); err != nil {
		d.listeners.close()
		return nil, err
	}
	return d, nil
}

// provision builds the components in the order of their dependencies.
func (d *Daemon) provision() error {
	var err error
	if d.tls, err = loadCredentials(d); err != nil {
		return err
	}
	d.clients = newClients(d)
	d.platform = newPlatform(d)
	if d.fleet, err = newFleet(d); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if d.decisions, err = newDecisions(d); err != nil {
		return fmt.Errorf("decisions: %w", err)
	}
	d.learning = newLearning(d)
	d.compiler = newCompiler(d)
	d.relay = newRelay(d)
	d.quarantine = newQuarantine(d)
	d.router = newRouter(d)
	if d.orders, err = newOrders(d); err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	d.servers = newServers(d)
	return nil
}

// CallerAddress returns the address that callers connect to.
func (d *Daemon) CallerAddress() string { return d.listeners.callerAddress }

// PeerAddress returns the address that other daemons connect to.
func (d *Daemon) PeerAddress() string { return d.listeners.peerAddress }

// OperatorAddress returns the address that operators connect to.
func (d *Daemon) OperatorAddress() string { return d.listeners.operator.Addr().String() }

// AdminAddress returns the address that serves metrics and health checks.
func (d *Daemon) AdminAddress() string { return d.listeners.admin.Addr().String() }

// Ready reports whether the daemon accepts requests.
func (d *Daemon) Ready() bool { return readiness{d}.Ready() == nil }

// LiveDaemons returns the number of live daemons that this one knows, itself
// included.
func (d *Daemon) LiveDaemons() int { return d.fleet.members.View().Live() }

// Generation returns the generation of the configuration in force, or zero
// before the first one.
func (d *Daemon) Generation() uint64 {
	tables := d.tables.Load()
	if tables == nil {
		return 0
	}
	return tables.Snapshot.Generation()
}

// Run serves until ctx ends and then shuts down gracefully: the daemon announces
// that it leaves, so that callers are no longer given its address, refuses new
// requests and names other addresses, waits up to the stop timeout for the
// requests in progress, flushes its records and returns. It may be called once.
func (d *Daemon) Run(ctx context.Context) error {
	for _, warning := range security.Warnings(d.settings) {
		d.log.Warn().Msg(warning)
	}
	d.start()
	d.log.Info().Str("callers", d.CallerAddress()).Str("peers", d.PeerAddress()).
		Str("operators", d.OperatorAddress()).Str("admin", d.AdminAddress()).Msg("daemon started")
	select {
	case <-ctx.Done():
	case <-d.tomb.Dying():
	}
	return d.stop()
}

// start starts the loops of all components under the tomb.
func (d *Daemon) start() {
	d.fleet.start(d)
	d.decisions.start(d)
	d.learning.start(d)
	d.quarantine.start(d)
	d.servers.start(d)
	d.goLoop("clients", d.clients.Run)
	if d.orders != nil {
		d.tomb.Go(func() error { return d.orders.Run(&d.tomb) })
	}
}

// goLoop runs a loop under the tomb. The loop's context ends with the daemon.
func (d *Daemon) goLoop(name string, f func(ctx context.Context) error) {
	process.Go(&d.tomb, name, f)
}

// rand returns the random source of one component.
func (d *Daemon) rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(d.options.Seed, stream))
}

// Streams of the random sources, one for each component that needs one.
const (
	randMembership uint64 = iota + 1
	randLedger
	randProvider
	randSampler
	randOrders
	randLearning
	randBootstrap
	randCollect
	randRouter
	randQuarantine
	randRelay
)

// Times of a shutdown.
const (
	// leaveAnnounceTime is how long the daemon still accepts requests after it
	// has announced that it leaves, so that the other daemons learn of it first.
	leaveAnnounceTime = 500 * time.Millisecond
	flushTimeout      = 30 * time.Second
	closeTimeout      = 5 * time.Second
	// abortTimeout is how long the answers to requests may take that are ended at the stop timeout.
	abortTimeout = time.Second
)

// stop carries out the graceful shutdown.
func (d *Daemon) stop() error {
	d.leaving.Store(true)
	d.log.Info().Int("in_progress", d.router.InProgress()).Msg("daemon leaves")
	d.fleet.members.Leave()
	d.relay.Server().StopAdmitting()
	time.Sleep(leaveAnnounceTime)
	d.router.StopAdmitting()
	d.drain()
	d.learning.stop()
	d.flush()
	d.servers.stop()
	d.tomb.Kill(nil)
	err := d.tomb.Wait()
	d.fleet.stop()
	d.log.Info().Msg("daemon stopped")
	return err
}

// drain waits for the requests in progress and for the connections that are forwarded for
// other daemons, up to the stop timeout.
func (d *Daemon) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.GetStopTimeout().AsDuration())
	defer cancel()
	if err := d.router.Drain(ctx); err != nil {
		d.answerRemaining()
	}
	if err := d.relay.Server().Drain(ctx); err != nil {
		d.log.Error().Err(err).Int("connections", d.relay.Server().Forwarding()).Msg("stop timeout reached with connections of other daemons")
	}
}

// answerRemaining ends the requests that are still in progress, so that their callers are told whether
// they may have run, and waits until they are answered.
func (d *Daemon) answerRemaining() {
	d.log.Warn().Int("in_progress", d.router.InProgress()).Msg("requests in progress are ended at the stop timeout")
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	d.abort(router.ErrStopping)
	d.servers.callers.StopReading()
	if err := d.router.Drain(ctx); err != nil {
		d.log.Error().Err(err).Int("in_progress", d.router.InProgress()).Msg("requests in progress aborted after the stop timeout")
	}
}

// flush writes the ledger records that are still in memory.
func (d *Daemon) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := d.fleet.ledger.Flush(ctx); err != nil {
		d.log.Error().Err(err).Msg("ledger records could not be flushed")
	}
}
