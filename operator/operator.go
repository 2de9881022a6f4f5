// Package operator implements the service for operators: the status of the fleet
// and billing totals. An operator may query any daemon. That daemon queries the
// others, with bounded concurrency and within a bounded time, and reports those
// that do not answer together with what their neighbours know about them.
package operator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// Limits of status queries.
const (
	// maxConcurrentQueries is the number of daemons queried at the same time.
	maxConcurrentQueries = 32
	// queryTimeout bounds the query to one daemon.
	queryTimeout = time.Second
	// fleetTimeout bounds the queries to all daemons, however many do not answer.
	fleetTimeout = 5 * time.Second
	// maxAnswerBytes bounds the answer of one daemon.
	maxAnswerBytes = 1 << 20
	// MaxRequestBytes bounds a request from an operator or a peer.
	MaxRequestBytes = 64 << 10
)

// StatusSource provides the status of this daemon.
type StatusSource interface {
	// Status returns a new message that the caller may modify. It includes
	// engines only if requested. It must not block.
	Status(engines bool) *bronzeturnv1.DaemonStatus
}

// Peers are the other daemons of the fleet.
type Peers interface {
	// Names returns the names of the other known daemons, including leaving ones.
	Names() []string
	// Dial returns a client and the base URL of the named daemon, or false when
	// its address is not known. It must not block.
	Dial(name string) (connect.HTTPClient, string, bool)
}

// Bills reads the ledger.
type Bills interface {
	// Totals returns the requested totals over the whole fleet. It fails rather
	// than return incomplete totals.
	Totals(ctx context.Context, request *bronzeturnv1.BillsRequest) ([]*bronzeturnv1.BillTotal, error)
}

// Server implements OperatorService. It is safe for concurrent use.
type Server struct {
	status StatusSource
	peers  Peers
	bills  Bills
}

// NewServer returns a Server that reports from the given sources.
func NewServer(status StatusSource, peers Peers, bills Bills) *Server {
	return &Server{status: status, peers: peers, bills: bills}
}

// Handler returns the path and the handler to serve, on the operators' listener
// and on the one for peers. The listener does the authentication.
func (s *Server) Handler() (string, http.Handler) {
	return bronzeturnv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(MaxRequestBytes))
}

// Status implements OperatorService.
func (s *Server) Status(ctx context.Context, request *connect.Request[bronzeturnv1.StatusRequest]) (*connect.Response[bronzeturnv1.StatusResponse], error) {
	daemons := []*bronzeturnv1.DaemonStatus{s.status.Status(request.Msg.GetEngines())}
	if !request.Msg.GetLocalOnly() {
		ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
		defer cancel()
		daemons = append(daemons, s.queryPeers(ctx, request.Msg.GetEngines())...)
	}
	return connect.NewResponse(summarise(daemons)), nil
}

// Bills implements OperatorService.
func (s *Server) Bills(ctx context.Context, request *connect.Request[bronzeturnv1.BillsRequest]) (*connect.Response[bronzeturnv1.BillsResponse], error) {
	if err := checkDays(request.Msg); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	totals, err := s.bills.Totals(ctx, request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	sortTotals(totals)
	return connect.NewResponse(&bronzeturnv1.BillsResponse{Totals: totals}), nil
}

// NewClient returns a client of the daemon at baseURL.
func NewClient(client connect.HTTPClient, baseURL string) bronzeturnv1connect.OperatorServiceClient {
	return bronzeturnv1connect.NewOperatorServiceClient(client, baseURL)
}
