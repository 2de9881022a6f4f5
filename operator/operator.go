// Package operator serves operators: the state of the fleet and what was
// billed. An operator may ask any daemon; that daemon asks the others, a
// bounded number at a time and for a bounded time, and reports those that do
// not answer together with what their neighbours know about them.
package operator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// Bounds of the questions to other daemons.
const (
	// maxConcurrentAsks is the number of daemons asked at the same time.
	maxConcurrentAsks = 32
	// askTimeout bounds the question to one daemon.
	askTimeout = time.Second
	// fleetTimeout bounds a whole answer, however many daemons are silent.
	fleetTimeout = 5 * time.Second
	// maxAnswerBytes bounds the answer of one daemon.
	maxAnswerBytes = 1 << 20
	// maxRequestBytes bounds a request of an operator.
	maxRequestBytes = 64 << 10
)

// StatusSource tells the state of this daemon.
type StatusSource interface {
	// Status returns a new message that the caller may change. Engines are left
	// out unless asked for. It must not block.
	Status(engines bool) *bronzeturnv1.DaemonStatus
}

// Peers are the other daemons of the fleet.
type Peers interface {
	// Names returns the names of the other daemons known, leaving ones included.
	Names() []string
	// Dial returns a client and the base URL of the named daemon, or false when
	// its address is not known. It must not block.
	Dial(name string) (connect.HTTPClient, string, bool)
}

// Bills reads the ledger.
type Bills interface {
	// Totals returns the sums over the whole fleet that the request asks for. It
	// fails rather than leave out a part.
	Totals(ctx context.Context, request *bronzeturnv1.BillsRequest) ([]*bronzeturnv1.BillTotal, error)
}

// Server implements OperatorService. It is safe for concurrent use.
type Server struct {
	status StatusSource
	peers  Peers
	bills  Bills
}

// NewServer returns a Server over the parts of a daemon.
func NewServer(status StatusSource, peers Peers, bills Bills) *Server {
	return &Server{status: status, peers: peers, bills: bills}
}

// Handler returns the path and the handler to serve, on the operators' listener
// and on the one for peers. Authentication is the listener's.
func (s *Server) Handler() (string, http.Handler) {
	return bronzeturnv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
}

// Status implements OperatorService.
func (s *Server) Status(ctx context.Context, request *connect.Request[bronzeturnv1.StatusRequest]) (*connect.Response[bronzeturnv1.StatusResponse], error) {
	daemons := []*bronzeturnv1.DaemonStatus{s.status.Status(request.Msg.GetEngines())}
	if !request.Msg.GetLocalOnly() {
		ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
		defer cancel()
		daemons = append(daemons, s.askPeers(ctx, request.Msg.GetEngines())...)
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
