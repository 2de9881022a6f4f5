package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzeturn/bronzeturn/backoff"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// serverStream is a call of RelayService.Connect.
type serverStream = connect.BidiStream[bronzeturnv1.ConnectRequest, bronzeturnv1.ConnectResponse]

// Server forwards connections of other daemons.
type Server struct {
	relay *Relay
	// active is the number of connections that are forwarded now.
	active  atomic.Int64
	closed  atomic.Bool
	metrics *serverMetrics
}

// StopAdmitting makes the server open no further connections.
func (s *Server) StopAdmitting() { s.closed.Store(true) }

// Forwarding returns the number of connections that are forwarded now.
func (s *Server) Forwarding() int { return int(s.active.Load()) }

// Drain waits until no connection is forwarded, or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	for s.Forwarding() > 0 {
		if err := backoff.Sleep(ctx, drainPoll); err != nil {
			return err
		}
	}
	return nil
}

// drainPoll is the interval at which Drain checks for forwarded connections.
const drainPoll = 20 * time.Millisecond

// Connect implements bronzeturnv1connect.RelayServiceHandler.
func (s *Server) Connect(ctx context.Context, stream *serverStream) error {
	ctx, cancel := context.WithTimeout(ctx, maxLifetime)
	defer cancel()
	defer s.active.Add(-1)
	busy := s.active.Add(1) > maxForwarded || s.closed.Load()
	request, err := stream.Receive()
	if err != nil {
		return err
	}
	conn, outcome := s.open(ctx, request, busy)
	s.metrics.requests.WithLabelValues(outcomeNames[outcome]).Inc()
	if conn != nil {
		defer func() { _ = conn.Close() }() // Closing early ends the work of the backend server.
	}
	if err := stream.Send(&bronzeturnv1.ConnectResponse{Outcome: outcome}); err != nil || conn == nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	writer := &requestWriter{conn: conn}
	go func() {
		writer.forward(stream)
		cancel()
	}()
	if err := forwardAnswer(conn, stream); err != nil {
		return err
	}
	written, err := writer.end()
	if err != nil {
		return connect.NewError(connect.CodeAborted, err)
	}
	return stream.Send(&bronzeturnv1.ConnectResponse{RequestBytes: &written})
}

// open opens the connection that another daemon has requested, over this daemon's own path.
func (s *Server) open(ctx context.Context, r *bronzeturnv1.ConnectRequest, busy bool) (net.Conn, bronzeturnv1.ConnectOutcome) {
	address := r.GetAddress()
	switch {
	case busy:
		return nil, bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_BUSY
	case !s.relay.Backends().known(address):
		return nil, bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_UNKNOWN_ADDRESS
	case s.relay.paths.silentRecently(address, time.Now()):
		return nil, bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_UNREACHABLE
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetWithinMs())*time.Millisecond)
	defer cancel()
	conn, err := s.relay.Options.Dial(ctx, "tcp", address)
	if err == nil {
		s.relay.directWorks(address)
		return conn, bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_CONNECTED
	}
	s.relay.paths.fails(address, err, time.Now())
	if errors.Is(err, syscall.ECONNREFUSED) && s.relay.linksWork(address) {
		return nil, bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_REFUSED
	}
	return nil, bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_UNREACHABLE
}

// requestWriter forwards the bytes of a request to a backend server.
type requestWriter struct {
	conn net.Conn
	// mu is held while bytes are written. It guards what follows.
	mu      sync.Mutex
	written uint64
	failed  error
}

// forward copies bytes to the backend server until the request stream ends.
func (w *requestWriter) forward(stream *serverStream) {
	for {
		m, err := stream.Receive()
		if err != nil || !w.write(m.GetData()) {
			return
		}
	}
}

// write writes to the backend server. It returns false if that fails.
func (w *requestWriter) write(p []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.conn.Write(p)
	w.written += uint64(n)
	w.failed = err
	return err == nil
}

// end closes the connection, and returns the number of bytes written to it and the error of writing. The system
// reports a reset once: if the writer gets it, the reader gets a plain end.
func (w *requestWriter) end() (written uint64, err error) {
	_ = w.conn.Close() // Ends a write that still runs.
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written, w.failed
}

// forwardAnswer copies bytes from the backend server until the connection ends.
func forwardAnswer(conn net.Conn, stream *serverStream) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if err := stream.Send(&bronzeturnv1.ConnectResponse{Data: buffer[:n]}); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return connect.NewError(connect.CodeAborted, err)
		}
	}
}

// outcomeNames are the values of the outcome label.
var outcomeNames = map[bronzeturnv1.ConnectOutcome]string{
	bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_CONNECTED:       "connected",
	bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_REFUSED:         "refused",
	bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_UNREACHABLE:     "unreachable",
	bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_UNKNOWN_ADDRESS: "unknown_address",
	bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_BUSY:            "busy",
}

// serverMetrics are the metrics of the connections forwarded for other daemons.
type serverMetrics struct {
	requests *prometheus.CounterVec
}

func newServerMetrics(registerer prometheus.Registerer) *serverMetrics {
	m := &serverMetrics{requests: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzeturn_relay_requests_total", Help: "Connections to backend servers that other daemons have requested, by outcome.",
	}, []string{"outcome"})}
	registerer.MustRegister(m.requests)
	return m
}
