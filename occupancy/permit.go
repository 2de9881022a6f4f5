package occupancy

import (
	"context"
	"time"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// pacerTTL is how long the time of an engine's next permit is kept after it. Without it, the next
	// request is refused.
	pacerTTL = 2 * time.Minute
	// minPermitInterval and maxPermitInterval bound the interval between two permits.
	minPermitInterval = time.Millisecond
	maxPermitInterval = time.Minute
)

// pacer spaces the requests of all daemons to an engine with a request limit evenly. One permit
// that was not used is kept.
type pacer struct {
	// next is when the next permit begins, zero before the first one was asked for.
	next time.Time
}

// permit grants a permit if one has begun. The first one begins an interval after it is first asked
// for, because another daemon may have granted one just before.
func (p *pacer) permit(interval time.Duration, now time.Time) Grant {
	if p.next.IsZero() {
		p.next = now.Add(interval)
	}
	// A limit that has risen does not keep callers waiting for the interval of the lower one.
	if latest := now.Add(interval); p.next.After(latest) {
		p.next = latest
	}
	if wait := p.next.Sub(now); wait > 0 {
		return Grant{RetryAfter: wait}
	}
	if earliest := now.Add(-interval); p.next.Before(earliest) {
		p.next = earliest
	}
	p.next = p.next.Add(interval)
	return Grant{Granted: true}
}

// used reports whether the pacer has to be kept.
func (p *pacer) used(now time.Time) bool { return now.Sub(p.next) <= pacerTTL }

// Permit grants a permit to send one request to an engine, to which all daemons together may send
// the given number per second.
func (s *Store) Permit(engine uint32, perSecond float64, now time.Time) Grant {
	interval := maxPermitInterval
	if perSecond > 0 {
		interval = time.Duration(min(max(float64(time.Second)/perSecond, float64(minPermitInterval)), float64(maxPermitInterval)))
	}
	shard := s.shard(engine)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.getOrCreate(engine).pacer.permit(interval, now)
}

// permitSettled grants a permit if this daemon decides on those of the engine.
func (s *Store) permitSettled(m *bronzeturnv1.PermitRequest, mayGrant func(engine string) bool, now time.Time) (grant Grant, decided bool) {
	if !mayGrant(m.GetEngine()) {
		return Grant{}, false
	}
	return s.Permit(hash(m.GetEngine()), m.GetPerSecond(), now), true
}

// Permit implements bronzeturnv1connect.OccupancyServiceHandler.
func (s Server) Permit(_ context.Context, r *connect.Request[bronzeturnv1.PermitRequest]) (*connect.Response[bronzeturnv1.PermitResponse], error) {
	grant, settled := s.Store.permitSettled(r.Msg, s.MayGrant, time.Now())
	return connect.NewResponse(&bronzeturnv1.PermitResponse{
		Granted: grant.Granted, RetryAfterMs: milliseconds(grant.RetryAfter), Settled: settled,
	}), nil
}

// milliseconds returns a duration in milliseconds, rounded up.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// Permit asks the keeper of an engine for a permit to send one request. decided is false if it does not
// decide. Its backups are not asked: they do not know which permits it has granted, and a caller cannot
// tell a keeper that is gone from one that answers others.
func (c *Client) Permit(ctx context.Context, engine string, perSecond float64) (grant Grant, decided bool) {
	m := &bronzeturnv1.PermitRequest{Engine: engine, PerSecond: perSecond}
	keeper := c.Keeper(engine)
	if keeper == "" {
		return Grant{}, false
	}
	return c.ask([]string{keeper}, func(keeper string) (Grant, bool) { return c.permitAt(ctx, keeper, m) })
}

// permitAt asks one daemon for a permit, and reports whether it has decided.
func (c *Client) permitAt(ctx context.Context, keeper string, m *bronzeturnv1.PermitRequest) (grant Grant, decided bool) {
	if keeper == c.Self {
		return c.Store.permitSettled(m, c.MayGrant, time.Now())
	}
	client := c.callable(keeper)
	if client == nil {
		return Grant{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer, err := client.Permit(ctx, connect.NewRequest(m))
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return Grant{}, false // The keeper runs an earlier version.
	}
	if err != nil {
		c.failed(keeper, err)
		return Grant{}, false
	}
	c.answered(keeper)
	return Grant{Granted: answer.Msg.GetGranted(), RetryAfter: time.Duration(answer.Msg.GetRetryAfterMs()) * time.Millisecond}, answer.Msg.GetSettled()
}
