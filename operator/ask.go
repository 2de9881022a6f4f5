package operator

import (
	"context"
	"errors"
	"sync"

	"connectrpc.com/connect"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// Errors of a query to another daemon.
var (
	errNoAddress   = errors.New("address not known")
	errWrongDaemon = errors.New("answered for another daemon")
)

// queryPeers returns one status for each of the other daemons, in any order.
func (s *Server) queryPeers(ctx context.Context, engines bool) []*bronzeturnv1.DaemonStatus {
	names := s.peers.Names()
	answers := make([]*bronzeturnv1.DaemonStatus, len(names))
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(maxConcurrentQueries, len(names)) {
		workers.Go(func() {
			for i := range next {
				answers[i] = s.queryPeer(ctx, names[i], engines)
			}
		})
	}
	for i := range names {
		next <- i
	}
	close(next)
	workers.Wait()
	return answers
}

// queryPeer returns the status of one daemon, or a status with health unreachable
// and the fault if the query fails. It returns immediately when ctx has ended.
func (s *Server) queryPeer(ctx context.Context, name string, engines bool) *bronzeturnv1.DaemonStatus {
	status, err := s.fetchStatus(ctx, name, engines)
	if err != nil {
		return &bronzeturnv1.DaemonStatus{
			Name:   name,
			Health: bronzeturnv1.DaemonHealth_DAEMON_HEALTH_UNREACHABLE,
			Fault:  err.Error(),
		}
	}
	return status
}

func (s *Server) fetchStatus(ctx context.Context, name string, engines bool) (*bronzeturnv1.DaemonStatus, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	httpClient, baseURL, ok := s.peers.Dial(name)
	if !ok {
		return nil, errNoAddress
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	client := bronzeturnv1connect.NewOperatorServiceClient(httpClient, baseURL, connect.WithReadMaxBytes(maxAnswerBytes))
	request := &bronzeturnv1.StatusRequest{LocalOnly: true, Engines: engines}
	answer, err := client.Status(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	daemons := answer.Msg.GetDaemons()
	if len(daemons) != 1 || daemons[0].GetName() != name {
		return nil, errWrongDaemon
	}
	return daemons[0], nil
}
