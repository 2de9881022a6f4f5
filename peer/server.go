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

	"github.com/bronzeturn/bronzeturn/overload"
)

const (
	// headerTimeout limits the time to read the headers of a request.
	headerTimeout = 5 * time.Second
	// maxStreams is the maximum number of concurrent calls on one connection.
	maxStreams = 1024
	// maxHeaderBytes limits the size of the headers of a request.
	maxHeaderBytes = 32 << 10
)

// Server serves the calls of other daemons.
type Server struct {
	tomb     tomb.Tomb
	server   *http.Server
	listener net.Listener
}

// NewServer returns a server on the listener. If the TLS configuration is nil, the server uses
// plaintext HTTP/2. To authenticate peers, the configuration must require client certificates.
func NewServer(listener net.Listener, handler http.Handler, config *tls.Config, traffic *Traffic) *Server {
	protocols := new(http.Protocols)
	if config == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	// The server does not send pings: those of the client detect unresponsive connections, and
	// streams carry their own heartbeats. With pings from both ends, an idle fleet of 295
	// daemons that each call 74 others would send 22,000 pings a second.
	settings := overload.HTTP2Config(maxStreams)
	return &Server{
		listener: &countedListener{Listener: listener, traffic: traffic},
		server: &http.Server{
			Handler:           handler,
			TLSConfig:         config,
			Protocols:         protocols,
			HTTP2:             settings,
			ReadHeaderTimeout: headerTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			IdleTimeout:       idleTimeout,
		},
	}
}

// Guard bounds the connections to the server and the memory of the messages that it receives. It must
// be called before Start.
func (s *Server) Guard(clients *overload.Guard) {
	guarded := clients.Listen(s.listener, overload.ListenerOptions{
		Name: "peers", Share: overload.PeerShare,
		Limits: func() overload.Limits { return overload.Limits{HeadTime: headerTimeout, IdleTime: idleTimeout} },
	})
	guarded.Attach(s.server)
	s.listener = guarded
	s.server.Handler = guarded.BoundMessages(s.server.Handler, MaxMessageBytes)
}

// SetErrorLog sets the logger for errors of connections, such as a rejected certificate. The
// default is standard error. It must be called before Start.
func (s *Server) SetErrorLog(l *log.Logger) { s.server.ErrorLog = l }

// Start starts serving.
func (s *Server) Start() {
	s.tomb.Go(s.serve)
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Dead is closed when the server has stopped.
func (s *Server) Dead() <-chan struct{} { return s.tomb.Dead() }

// Stop waits for calls in progress until ctx ends, then closes all connections. Streams must be
// ended by their owners first.
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
