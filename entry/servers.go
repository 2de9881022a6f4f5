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
	"github.com/bronzeturn/bronzeturn/quarantine"
)

const (
	// headerTimeout bounds the reading of a request's header, idleTimeout the
	// life of an idle connection. Both are above what the platform's
	// configurations ask for.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds a header before a configuration tells more.
	maxHeaderBytes = 64 << 10
	// closeTimeout bounds the closing of the listeners.
	closeTimeout = 100 * time.Millisecond
)

// engineDial says when a connection to an engine is given up. A dark host
// answers no connection attempt; a packet that was lost is sent again by the
// kernel after a second.
var engineDial = attempt.DialOptions{
	Connect: 350 * time.Millisecond, Unacked: 1500 * time.Millisecond,
	ProbeAfter: time.Second, ProbeEvery: 500 * time.Millisecond, ProbeCount: 2,
}

// StoreDial says when a connection to the store is given up.
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

// newGateway builds the way of requests.
func newGateway(d *Daemon) *gateway.Gateway {
	return gateway.New(gateway.Options{
		DataCentre: d.Settings.DataCentre, Regions: d.Settings.Regions, Codec: d.Codec, Tables: d.readyTables,
		Stale:       func(now time.Time) bool { return d.copies.config.Stale(now) },
		Outage:      func() bool { return d.copies.config.Failing() },
		TimeToReady: func() time.Duration { return timeToReady(d.fleet.Depth(), time.Since(d.started)) },
		Daemons:     d.fleet.Live, Misdirected: d.engines.Forget, Delayed: d.shared.sharer.DelayObserved,
		Engines: d.shared, SlowStarts: d.slowStarts, Introductions: d.introductions, Quarantine: d.quarantine, Models: gateway.NewModelChoice(d.Models),
		Transport: attempt.FreshTransport(engineDial), Budget: d.Settings.Budget,
		Seed: d.seed, Log: d.part("gateway"), Registerer: d.registry,
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

// readyTables returns the tables once there is a copy of everything.
func (d *Daemon) readyTables() *gateway.Tables {
	t := d.tables.Load()
	if t == nil || t.Routes == nil || !d.copies.complete() {
		return nil
	}
	return t
}

// Reasons why a daemon takes no requests.
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

// server is one listener with its handler.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

// servers answer callers, the platform's checks and monitoring.
type servers struct {
	all []*server
}

// newServers opens the listeners, or none.
func newServers(d *Daemon) (*servers, error) {
	s := &servers{}
	watch := http.NewServeMux()
	watch.Handle("/", admin.NewHandler(admin.Options{Metrics: d.registry, Readiness: d}))
	watch.Handle(quarantine.Path, d.quarantine.Handler())
	watch.Handle(quarantine.Path+"/", d.quarantine.Handler())
	wanted := []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", d.Settings.CallerListen, d.gateway},
		{"readiness", d.Settings.ReadyListen, watch},
		{"directory", d.Settings.DirectoryListen, d.directoryHandler()},
	}
	for _, w := range wanted {
		if err := s.open(d, w.name, w.address, w.handler); err != nil {
			s.stop()
			return nil, err
		}
	}
	s.openMetrics(d, watch)
	return s, nil
}

// open opens one listener, unless the address is empty.
func (s *servers) open(d *Daemon, name, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return &ListenError{Setting: name, Address: address, Cause: err}
	}
	s.all = append(s.all, &server{name: name, listener: l, http: d.httpServer(name, handler)})
	return nil
}

// openMetrics opens the listener that serves nothing but metrics. Its port is the same on
// every host, while the platform draws the others: a host where it is taken serves callers
// all the same, and its metrics on the readiness address.
func (s *servers) openMetrics(d *Daemon, handler http.Handler) {
	if err := s.open(d, "metrics", d.Settings.MetricsListen, handler); err != nil {
		d.log.Error().Err(err).Msg("metrics have no address of their own")
	}
}

// httpServer returns a server of plain HTTP/1.1.
func (d *Daemon) httpServer(name string, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: d.errorLog(name),
	}
}

// errorLog takes what a listener's server says about connections that failed.
func (d *Daemon) errorLog(listener string) *log.Logger {
	return log.New(d.part("http").With().Str("listener", listener).Logger(), "", 0)
}

// start begins to serve.
func (s *servers) start(d *Daemon) {
	for _, one := range s.all {
		d.tomb.Go(func() error {
			if err := one.http.Serve(one.listener); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve %s: %w", one.name, err)
			}
			return nil
		})
	}
}

// stop closes the listeners. Requests in progress have ended by then.
func (s *servers) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, one := range s.all {
		if one.http.Shutdown(ctx) != nil {
			_ = one.http.Close() // Connections that outlast the grace are cut.
		}
		_ = one.listener.Close() // Closed already when it was served.
	}
}
