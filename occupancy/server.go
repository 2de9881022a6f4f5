package occupancy

import (
	"context"
	"time"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Server answers the calls of other daemons from a store.
type Server struct {
	Store *Store
	// MayGrant reports whether this daemon is a keeper of an engine, or a backup, and has been for
	// long enough to decide on its slots and permits.
	MayGrant func(engine string) bool
}

// Reserve implements bronzeturnv1connect.OccupancyServiceHandler.
func (s Server) Reserve(_ context.Context, r *connect.Request[bronzeturnv1.ReserveRequest]) (*connect.Response[bronzeturnv1.ReserveResponse], error) {
	grant, settled := s.Store.reserveSettled(r.Msg, s.MayGrant, time.Now())
	return connect.NewResponse(&bronzeturnv1.ReserveResponse{
		Granted: grant.Granted, RetryAfterMs: uint32(grant.RetryAfter.Milliseconds()), Settled: settled,
	}), nil
}

// reserveSettled counts a request in if the engine has room for it, provided that this daemon knows
// the requests in progress there.
func (s *Store) reserveSettled(m *bronzeturnv1.ReserveRequest, mayGrant func(engine string) bool, now time.Time) (grant Grant, decided bool) {
	if !mayGrant(m.GetEngine()) {
		return Grant{}, false
	}
	return s.Reserve(Reservation{
		Daemon: m.GetDaemon(), Sequence: m.GetSequence(), Engine: hash(m.GetEngine()), Slots: int(m.GetSlots()),
		InProgress: int64(m.GetInProgress()), Tolerated: m.GetToleratedPerSecond(),
	}, now), true
}

// Share implements bronzeturnv1connect.OccupancyServiceHandler.
func (s Server) Share(_ context.Context, r *connect.Request[bronzeturnv1.ShareRequest]) (*connect.Response[bronzeturnv1.ShareResponse], error) {
	return connect.NewResponse(&bronzeturnv1.ShareResponse{Others: s.Store.exchange(r.Msg, time.Now())}), nil
}

// maxRefused bounds the refusals of one report that are counted.
const maxRefused = 16

// exchange stores a daemon's load and returns that of the other daemons at the
// requested engines.
func (s *Store) exchange(m *bronzeturnv1.ShareRequest, now time.Time) []*bronzeturnv1.EngineLoad {
	for _, own := range m.GetOwn() {
		for range min(own.GetRefused(), maxRefused) {
			s.Refused(own.GetEngine(), now)
		}
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
