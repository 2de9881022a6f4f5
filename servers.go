package bronzeturn

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/bronzeturn/bronzeturn/admin"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/gossip"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/operator"
	"github.com/bronzeturn/bronzeturn/overload"
	"github.com/bronzeturn/bronzeturn/peer"
	"github.com/bronzeturn/bronzeturn/quarantine"
)

// headerTimeout bounds the time to read a request's headers.
const headerTimeout = 5 * time.Second

// maxHeaderBytes bounds the size of a request's headers.
const maxHeaderBytes = 32 << 10

// requestTimeout bounds the time to read a request of operators and monitoring, answerTimeout the time
// from then on to write its answer. Profiles take half a minute by default.
const (
	requestTimeout = 30 * time.Second
	answerTimeout  = 5 * time.Minute
)

// maxStreams is the maximum number of concurrent requests on one HTTP/2 connection of a client.
const maxStreams = 100

// clientIdleTimeout is how long an idle connection of a client is kept open.
const clientIdleTimeout = 2 * time.Minute

// servers holds the servers of the four listeners.
type servers struct {
	caller   *http.Server
	operator *http.Server
	admin    *http.Server
	peer     *peer.Server
	// callers is the listener of caller.
	callers *overload.Listener
}

// newServers builds the servers.
func newServers(d *Daemon) *servers {
	operatorServer := operator.NewServer(statusSource{d}, operatorPeers{d}, billSource{d})
	s := &servers{
		caller:   newHTTPServer(d.router.Handler(), serverTLS(d.tls.caller)),
		operator: newHTTPServer(operatorHandler(operatorServer), serverTLS(d.tls.operator)),
		admin:    newHTTPServer(adminHandler(d), nil),
	}
	s.caller.BaseContext = func(net.Listener) context.Context { return d.requests }
	s.callers = d.guard(&d.listeners.caller, s.caller, overload.ListenerOptions{Name: "callers", Share: overload.CallerShare})
	operators := d.guard(&d.listeners.operator, s.operator, overload.ListenerOptions{Name: "operators", Share: overload.OperatorShare, RequestTime: requestTimeout, AnswerTime: answerTimeout})
	s.operator.Handler = operators.BoundMessages(s.operator.Handler, operator.MaxRequestBytes)
	d.guard(&d.listeners.admin, s.admin, overload.ListenerOptions{Name: "admin", Share: overload.MonitorShare, RequestTime: requestTimeout, AnswerTime: answerTimeout})
	s.caller.ErrorLog = d.errorLog("callers")
	s.operator.ErrorLog = d.errorLog("operators")
	s.admin.ErrorLog = d.errorLog("admin")
	s.peer = peer.NewServer(d.listeners.peer, peerHandler(d, operatorServer), serverTLS(d.tls.peer), d.fleet.traffic)
	s.peer.Guard(d.clients)
	s.peer.SetErrorLog(d.errorLog("peers"))
	return s
}

// guard bounds the connections of a listener, and returns it.
func (d *Daemon) guard(l *net.Listener, s *http.Server, o overload.ListenerOptions) *overload.Listener {
	o.Plain = s.TLSConfig == nil
	o.Limits = func() overload.Limits { return overload.Limits{HeadTime: headerTimeout, IdleTime: clientIdleTimeout} }
	guarded := d.clients.Listen(*l, o)
	guarded.Attach(s)
	*l = guarded
	return guarded
}

// errorLog returns the logger for connection errors of a listener's server.
func (d *Daemon) errorLog(listener string) *log.Logger {
	return log.New(logging.Part(d.log, "http").With().Str("listener", listener).Logger(), "", 0)
}

func newHTTPServer(handler http.Handler, config *tls.Config) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(config != nil)
	protocols.SetUnencryptedHTTP2(config == nil)
	return &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       clientIdleTimeout,
		HTTP2:             overload.HTTP2Config(maxStreams),
	}
}

func operatorHandler(s *operator.Server) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(s.Handler())
	return mux
}

// peerHandler serves the calls between daemons.
func peerHandler(d *Daemon, s *operator.Server) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(gossip.NewHandler(d.fleet.members.Table()))
	mux.Handle(d.fleet.provider.Handler(peer.HandlerOptions()...))
	mux.Handle(d.fleet.ledger.Handler(peer.HandlerOptions()...))
	mux.Handle(d.learning.exchange.Handler(peer.HandlerOptions()...))
	mux.Handle(d.decisions.admission.Handler(peer.HandlerOptions()...))
	mux.Handle(bronzeturnv1connect.NewRelayServiceHandler(d.relay.Server(), peer.HandlerOptions()...))
	mux.Handle(s.Handler())
	return mux
}

func adminHandler(d *Daemon) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", admin.NewHandler(admin.Options{
		Metrics:   d.options.Registry,
		Readiness: readiness{d},
		Pprof:     d.settings.GetAdminPprof(),
	}))
	mux.Handle(quarantine.Path, d.quarantine.Handler())
	mux.Handle(quarantine.Path+"/", d.quarantine.Handler())
	return mux
}

// start starts serving on all listeners.
func (s *servers) start(d *Daemon) {
	s.peer.Start()
	d.serve("callers", s.caller, d.listeners.caller)
	d.serve("operators", s.operator, d.listeners.operator)
	d.serve("admin", s.admin, d.listeners.admin)
	d.tomb.Go(func() error {
		select {
		case <-s.peer.Dead():
			return nil
		case <-d.tomb.Dying():
			return nil
		}
	})
}

// serve runs one server under the tomb.
func (d *Daemon) serve(name string, s *http.Server, l net.Listener) {
	d.tomb.Go(func() error {
		err := serveOn(s, l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return &ServeError{Name: name, Cause: err}
	})
}

func serveOn(s *http.Server, l net.Listener) error {
	if s.TLSConfig == nil {
		return s.Serve(l)
	}
	return s.ServeTLS(l, "", "")
}

// ServeError reports that serving on a listener failed while the daemon ran.
type ServeError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *ServeError) Error() string { return "serve " + e.Name + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }

// stop shuts down the caller, operator and admin servers. The requests in progress
// have ended before, or the stop timeout has passed.
func (s *servers) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range []*http.Server{s.caller, s.operator, s.admin} {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}

// readiness reports to readiness checks whether the daemon accepts requests.
type readiness struct{ d *Daemon }

// Reasons why a daemon accepts no requests.
var (
	errLeaving             = errors.New("daemon is leaving")
	errNoConfiguration     = errors.New("no configuration in force")
	errNoQuarantineRecords = errors.New("requests that crash engines are not known yet")
)

// Ready implements admin.Readiness.
func (r readiness) Ready() error {
	if r.d.leaving.Load() {
		return errLeaving
	}
	if r.d.tables.Load() == nil {
		return errNoConfiguration
	}
	if !r.d.quarantine.listAttempted.Load() {
		return errNoQuarantineRecords
	}
	if f := r.d.checkFresh(time.Now()); f != nil {
		return f
	}
	return nil
}
