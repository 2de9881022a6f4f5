package entry

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/bronzeturn/bronzeturn/admin"
	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/gateway"
	"github.com/bronzeturn/bronzeturn/overload"
	"github.com/bronzeturn/bronzeturn/quarantine"
)

const (
	// headerTimeout limits the time to send a request's header, idleTimeout the time for which a
	// connection may be idle, if the configuration does not.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// transferGrace is added to the times in the configuration, which callers keep at their end:
	// packets may be lost and sent again.
	transferGrace = 5 * time.Second
	// maxHeaderBytes limits the size of a header if the configuration does not, serverHeaderBytes
	// that of any configuration.
	maxHeaderBytes    = 64 << 10
	serverHeaderBytes = 1 << 20
	// monitorTimeout limits the time to read a request, and to write its answer, on the listeners
	// that serve no callers' requests.
	monitorTimeout = 30 * time.Second
	// closeTimeout limits the time to shut down the HTTP servers.
	closeTimeout = 100 * time.Millisecond
)

// engineDial holds the time-outs of connections to engines. A host that is down does not answer
// connection attempts. The kernel retransmits a lost packet of an attempt after one second, which
// is later than Connect, so an attempt that loses a packet fails as well. A connection that waits
// for an answer must outlast an engine that is silent for a second or somewhat more.
var engineDial = attempt.DialOptions{
	Connect: 350 * time.Millisecond, Unacked: 2500 * time.Millisecond,
	ProbeAfter: time.Second, ProbeEvery: time.Second, ProbeCount: 2,
}

// StoreDial holds the time-outs of connections to the store.
var StoreDial = attempt.DialOptions{
	Connect: time.Second, Unacked: 1500 * time.Millisecond,
	ProbeAfter: time.Second, ProbeEvery: 500 * time.Millisecond, ProbeCount: 2,
}

// ListenError reports a listener that could not be opened.
type ListenError struct {
	Setting, Address string
	Cause            error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listener for %s on %s: %v", e.Setting, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// newGateway creates the gateway, which forwards requests to engines.
func newGateway(d *Daemon) *gateway.Gateway {
	return gateway.New(gateway.Options{
		DataCentre: d.Settings.DataCentre, Regions: d.Settings.Regions, Codec: d.Codec, Tables: d.readyTables,
		Stale:       func(now time.Time) bool { return d.copies.config.Stale(now) },
		Outage:      func() bool { return d.copies.config.Failing() },
		TimeToReady: func() time.Duration { return timeToReady(d.fleet.Depth(), time.Since(d.started)) },
		Daemons:     d.fleet.Live, Misdirected: d.engines.Exclude, Leaving: d.engineLeaves, Delayed: d.shared.occupancy.DelayObserved,
		Engines: d.shared, SlowStarts: d.slowStarts, Limits: d.limits, Introductions: d.introductions, Quarantine: d.quarantine, Models: gateway.NewModelChoice(d.Models), Dispatcher: d.dispatcher, SchedulesLoad: d.schedulesLoad, ChargesDelay: d.Settings.Scheduling,
		Transport: attempt.NewUnpooledTransport(d.relay.Dial), Dial: d.relay.Dial, Budget: d.Settings.Budget, Memory: d.clients.Account(),
		Seed: d.seed, Log: d.logger("gateway"), Registerer: d.registry,
	})
}

// readyTimePerLevel is the time a starting daemon takes to fetch its copies from the store or,
// further down the tree, from the level above once that level has them.
const readyTimePerLevel = 300 * time.Millisecond

// timeToReady estimates the remaining time until a daemon at the given depth of the tree has its
// copies. It never returns less than readyTimePerLevel. Most callers retry only once or twice, so
// an estimate that is too short fails their requests.
func timeToReady(depth int, uptime time.Duration) time.Duration {
	return max(time.Duration(depth)*readyTimePerLevel-uptime, readyTimePerLevel)
}

// readyTables returns the tables, or nil until a configuration is in force and there is a copy of
// every kind of object.
func (d *Daemon) readyTables() *gateway.Tables {
	t := d.tables.Load()
	if t == nil || t.Routes == nil || !d.copies.complete() || !d.confirmed.seedsAsked.Load() {
		return nil
	}
	return t
}

// Reasons why a daemon does not accept requests.
var (
	errLeaving  = errors.New("daemon is leaving")
	errNoTables = errors.New("no configuration in force")
)

// Ready implements admin.Readiness.
func (d *Daemon) Ready() error {
	if d.leaving.Load() {
		return errLeaving
	}
	if d.readyTables() == nil {
		return errNoTables
	}
	return nil
}

// callersName is the name of the listener for callers.
const callersName = "callers"

// server is a listener with its HTTP server.
type server struct {
	name     string
	listener *overload.Listener
	http     *http.Server
}

// servers holds the servers for callers, the platform's readiness checks and monitoring.
type servers struct {
	all []*server
}

// newServers opens the listeners. If one cannot be opened, it closes the others and returns an
// error, except for the metrics listener.
func newServers(d *Daemon) (*servers, error) {
	s := &servers{}
	monitoring := http.NewServeMux()
	monitoring.Handle("/", admin.NewHandler(admin.Options{Metrics: d.registry, Readiness: d}))
	monitoring.Handle(quarantine.Path, d.quarantine.Handler())
	monitoring.Handle(quarantine.Path+"/", d.quarantine.Handler())
	listeners := []struct {
		name, address string
		share         float64
		handler       http.Handler
	}{
		{callersName, d.Settings.CallerListen, overload.CallerShare, d.gateway},
		{"readiness", d.Settings.ReadyListen, overload.MonitorShare, monitoring},
		{"directory", d.Settings.DirectoryListen, overload.DirectoryShare, d.directoryHandler()},
	}
	for _, l := range listeners {
		if err := s.open(d, l.name, l.address, l.share, l.handler); err != nil {
			s.stop()
			return nil, err
		}
	}
	s.openMetrics(d, monitoring)
	return s, nil
}

// open opens a listener, unless the address is empty.
func (s *servers) open(d *Daemon, name, address string, share float64, handler http.Handler) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return &ListenError{Setting: name, Address: address, Cause: err}
	}
	options := overload.ListenerOptions{Name: name, Share: share, Limits: d.clientLimits, Plain: true}
	if name != callersName {
		options.RequestTime, options.AnswerTime = monitorTimeout, monitorTimeout
	}
	guarded := d.clients.Listen(l, options)
	server := &server{name: name, listener: guarded, http: d.httpServer(name, handler)}
	server.http.BaseContext = func(net.Listener) context.Context { return d.requests }
	guarded.Attach(server.http)
	s.all = append(s.all, server)
	return nil
}

// openMetrics opens the additional listener for metrics. Its port is the same on every host, while
// the platform assigns the other ports, so it may be in use already. The daemon then serves
// callers all the same, and metrics on the readiness address only.
func (s *servers) openMetrics(d *Daemon, handler http.Handler) {
	if err := s.open(d, "metrics", d.Settings.MetricsListen, overload.MonitorShare, handler); err != nil {
		d.log.Error().Err(err).Msg("metrics have no address of their own")
	}
}

// httpServer returns a server for HTTP/1.1 without TLS. The listener bounds the times that clients
// may take.
func (d *Daemon) httpServer(name string, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: serverHeaderBytes, ErrorLog: d.errorLog(name),
	}
}

// clientLimits returns the limits of requests: those of the configuration in force, or the default
// ones.
func (d *Daemon) clientLimits() overload.Limits {
	limits := overload.Limits{HeadBytes: maxHeaderBytes, HeadTime: headerTimeout, IdleTime: idleTimeout}
	tables := d.tables.Load()
	if tables == nil || tables.Routes == nil {
		return limits
	}
	configured := tables.Routes.Limits
	if configured.HeaderBytes > 0 {
		limits.HeadBytes = configured.HeaderBytes
	}
	if configured.HeaderTime > 0 {
		limits.HeadTime = configured.HeaderTime + transferGrace
	}
	if configured.IdleTime > 0 {
		limits.IdleTime = configured.IdleTime + transferGrace
	}
	return limits
}

// errorLog returns the logger for the errors of a listener's HTTP server.
func (d *Daemon) errorLog(listener string) *log.Logger {
	return log.New(d.logger("http").With().Str("listener", listener).Logger(), "", 0)
}

// start starts the servers.
func (s *servers) start(d *Daemon) {
	for _, srv := range s.all {
		d.tomb.Go(func() error {
			if err := srv.http.Serve(srv.listener); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve %s: %w", srv.name, err)
			}
			return nil
		})
	}
}

// stopReading ends the reading of the requests' bodies.
func (s *servers) stopReading() {
	for _, srv := range s.all {
		srv.listener.StopReading()
	}
}

// stop closes the listeners. It is called when no requests are in progress.
func (s *servers) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, srv := range s.all {
		if srv.http.Shutdown(ctx) != nil {
			_ = srv.http.Close() // Close connections that are still open after closeTimeout.
		}
		_ = srv.listener.Close() // Already closed if the server was started.
	}
}
