package occupancy

import (
	"context"
	"time"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Server answers the calls of other daemons from a store.
type Server struct{ Store *Store }

// Share implements bronzeturnv1connect.OccupancyServiceHandler.
func (s Server) Share(_ context.Context, r *connect.Request[bronzeturnv1.ShareRequest]) (*connect.Response[bronzeturnv1.ShareResponse], error) {
	return connect.NewResponse(&bronzeturnv1.ShareResponse{Others: s.Store.exchange(r.Msg, time.Now())}), nil
}

// exchange stores a daemon's load and returns that of the other daemons at the
// requested engines.
func (s *Store) exchange(m *bronzeturnv1.ShareRequest, now time.Time) []*bronzeturnv1.EngineLoad {
	for _, own := range m.GetOwn() {
		s.Record(m.GetDaemon(), m.GetSequence(), own.GetEngine(), loadOf(own), now)
		s.RecordPace(m.GetDaemon(), own.GetEngine(), paceReportOf(m, own), now)
	}
	others := make([]*bronzeturnv1.EngineLoad, 0, len(m.GetAsked()))
	for _, engine := range m.GetAsked() {
		load := s.LoadOfOthers(m.GetDaemon(), engine, now)
		answer := &bronzeturnv1.EngineLoad{
			Engine: engine, Requests: uint32(load.Requests), Tokens: uint32(load.Tokens), LateMs: uint32(load.Delay.Milliseconds()),
		}
		s.Pace(engine, now).put(answer)
		others = append(others, answer)
	}
	return others
}
