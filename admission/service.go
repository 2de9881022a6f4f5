package admission

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// Handler returns the path and handler of the limit service. Serve it to
// authenticated peers only.
func (c *Controller) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return bronzeturnv1connect.NewLimitServiceHandler(c.fleet.coordinators, options...)
}

// coordinators serves the limit shards that this daemon coordinates.
type coordinators struct {
	options Options
	shards  [limitShards]coordinatorShard
}

// coordinatorShard holds the allocations of one limit shard under one lock.
// The allocations start empty whenever this daemon becomes the owner.
type coordinatorShard struct {
	mu          sync.Mutex
	id          uint64 // zero while this daemon is not the owner
	live        int
	limits      map[string]amounts
	allocations map[string]*allocation
}

func newCoordinators(options Options) *coordinators { return &coordinators{options: options} }

// ReportUsage implements the limit service.
func (c *coordinators) ReportUsage(_ context.Context, r *connect.Request[bronzeturnv1.ReportUsageRequest]) (*connect.Response[bronzeturnv1.ReportUsageResponse], error) {
	return connect.NewResponse(c.report(time.Now(), r.Msg)), nil
}

// report answers the usages of the shards that this daemon owns. The others are
// omitted from the answer, and the reporting daemon retries.
func (c *coordinators) report(now time.Time, r *bronzeturnv1.ReportUsageRequest) *bronzeturnv1.ReportUsageResponse {
	response := &bronzeturnv1.ReportUsageResponse{}
	for _, m := range r.GetUsages() {
		u := decodeUsage(r.GetDaemon(), r.GetIncarnation(), m)
		if share := c.reportOne(now, m.GetOrganisation(), u); share != nil {
			response.Shares = append(response.Shares, share)
		}
	}
	return response
}

func (c *coordinators) reportOne(now time.Time, organisation string, u usage) *bronzeturnv1.LimitShare {
	index := shardOf(organisation)
	_, self := c.options.Owner(shardKey(index))
	shard := &c.shards[index]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if !self {
		shard.drop()
		return nil
	}
	limit, ok := shard.limits[organisation]
	if !ok {
		return nil
	}
	a := shard.allocation(now, organisation, limit)
	granted, ok := a.report(now, u, c.view(shard.live))
	if !ok {
		return nil
	}
	return encodeShare(organisation, shard.id, granted)
}

// view returns the view of the fleet for an allocation.
func (c *coordinators) view(live int) fleetView {
	return fleetView{
		live:      live,
		reachable: min(c.options.Reachable(), live),
		isLive: func(name string) bool {
			if name == c.options.Name {
				return true
			}
			_, _, ok := c.options.Dial(name)
			return ok
		},
	}
}

// allocation returns the organisation's allocation with the limit applied,
// creating it if needed.
func (s *coordinatorShard) allocation(now time.Time, organisation string, limit amounts) *allocation {
	if s.id == 0 {
		s.id = rand.Uint64() | 1
		s.allocations = make(map[string]*allocation)
	}
	a := s.allocations[organisation]
	if a == nil {
		a = newAllocation(s.id, now, limit)
		s.allocations[organisation] = a
	}
	if a.limit != limit {
		a.setLimit(limit)
	}
	return a
}

// drop discards the allocations of a shard that another daemon coordinates.
func (s *coordinatorShard) drop() { s.id, s.allocations = 0, nil }

// dropLost discards the state of shards that this daemon no longer owns.
func (c *coordinators) dropLost() {
	for i := range c.shards {
		c.shards[i].dropUnless(func() bool {
			_, self := c.options.Owner(shardKey(i))
			return self
		})
	}
}

// dropUnless discards the state of a shard, if it has any, unless it is owned.
func (s *coordinatorShard) dropUnless(owned func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != 0 && !owned() {
		s.drop()
	}
}

// setLimits applies limits to all shards.
func (c *coordinators) setLimits(limits map[string]amounts, live int) {
	var byShard [limitShards]map[string]amounts
	for organisation, limit := range limits {
		i := shardOf(organisation)
		if byShard[i] == nil {
			byShard[i] = make(map[string]amounts)
		}
		byShard[i][organisation] = limit
	}
	for i := range c.shards {
		c.shards[i].setLimits(byShard[i], live)
	}
}

func (s *coordinatorShard) setLimits(limits map[string]amounts, live int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits, s.live = limits, live
	for organisation := range s.allocations {
		if _, ok := limits[organisation]; !ok {
			delete(s.allocations, organisation)
		}
	}
}
