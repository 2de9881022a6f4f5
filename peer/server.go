package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// maxStreams bounds the calls of one peer at a time.
	maxStreams = 1024
)

// Server answers the calls of other daemons.
type Server struct {
	tomb     tomb.Tomb
	server   *http.Server
	listener net.Listener
}

// NewServer returns a server on the listener. A nil TLS configuration means
// plain text HTTP/2; to authenticate peers, the configuration has to require
// client certificates.
func NewServer(listener net.Listener, handler http.Handler, config *tls.Config, traffic *Traffic) *Server {
	protocols := new(http.Protocols)
	if config == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	// A server does not ping: callers do, which finds silent connections, and streams
	// carry heartbeats of their own. With pings from both ends, a fleet of 295 in which
	// each asks 74 others would send 22,000 of them a second when nothing else happens.
	settings := &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
	return &Server{
		listener: &countedListener{Listener: listener, traffic: traffic},
		server: &http.Server{
			Handler:           handler,
			TLSConfig:         config,
			Protocols:         protocols,
			HTTP2:             settings,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		},
	}
}

// SetErrorLog takes what the server says about connections that failed, such as
// a refused certificate. Call it before Start; without it, that goes to standard
// error.
func (s *Server) SetErrorLog(l *log.Logger) { s.server.ErrorLog = l }

// Start begins to serve.
func (s *Server) Start() {
	s.tomb.Go(s.serve)
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Dead is closed when the server has stopped.
func (s *Server) Dead() <-chan struct{} { return s.tomb.Dead() }

// Stop lets the calls in progress finish until ctx ends, then closes all
// connections. Streams have to be ended by their owners before.
func (s *Server) Stop(ctx context.Context) error {
	s.tomb.Kill(nil)
	if err := s.server.Shutdown(ctx); err != nil {
		_ = s.server.Close()
	}
	return s.tomb.Wait()
}

func (s *Server) serve() error {
	var err error
	if s.server.TLSConfig == nil {
		err = s.server.Serve(s.listener)
	} else {
		err = s.server.ServeTLS(s.listener, "", "")
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &ServeError{Cause: err}
}
