package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"gopkg.in/tomb.v2"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

const (
	// limitShards is the number of shards that organisations are hashed to, each
	// with its own coordinator. Every daemon must use the same number. It is large
	// so that in a large fleet no daemon coordinates many organisations.
	limitShards = 512
	// reportCheckInterval is how often a daemon looks for reports that are due.
	reportCheckInterval = 50 * time.Millisecond
	// ownerCheckInterval is how often a coordinator checks that it still owns its
	// shards.
	ownerCheckInterval = time.Second
)

// fleet reports this daemon's usage to the coordinators and applies the shares
// that they grant.
type fleet struct {
	controller   *Controller
	incarnation  uint64
	coordinators *coordinators
}

func newFleet(c *Controller) *fleet {
	return &fleet{
		controller:   c,
		incarnation:  rand.Uint64() | 1,
		coordinators: newCoordinators(c.options),
	}
}

// shardOf returns the limit shard of an organisation.
func shardOf(organisation string) int { return int(xxhash.Sum64String(organisation) % limitShards) }

// setLimits passes the limits in force to the shards that this daemon may
// coordinate.
func (f *fleet) setLimits(limits map[string]amounts, live int) {
	f.coordinators.setLimits(limits, live)
}

// Run reports usage and applies shares until ctx ends. While it does not run, the
// daemon uses an equal part of each limit.
func (c *Controller) Run(ctx context.Context) error {
	// tomb.WithContext races with a parent context that ends immediately.
	var t tomb.Tomb
	t.Go(func() error { return c.fleet.loop(ctx, &t) })
	return t.Wait()
}

// loop periodically sends the reports that are due.
func (f *fleet) loop(ctx context.Context, t *tomb.Tomb) error {
	ticks := time.NewTicker(reportCheckInterval)
	defer ticks.Stop()
	checked := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticks.C:
			for owner, batch := range f.collect(now) {
				t.Go(func() error { f.send(ctx, owner, batch); return nil })
			}
			if now.Sub(checked) >= ownerCheckInterval {
				checked = now
				f.coordinators.dropLost()
			}
		}
	}
}

// batch holds the reports that are sent to one coordinator in one call.
type batch struct {
	sentAt   time.Time
	accounts []*account
	usages   []usage
}

// collect returns the reports to send, by coordinator. Coordinators with at least
// one due report also get those that are due soon.
func (f *fleet) collect(now time.Time) map[string]*batch {
	var owners [limitShards]string
	due := make(map[string]*batch)
	f.controller.eachAccount(func(a *account) {
		if a.due(now) {
			shard := shardOf(a.organisation)
			owner, _ := f.controller.options.Owner(shardKey(shard))
			owners[shard] = owner
			due[owner] = &batch{sentAt: now}
		}
	})
	if len(due) == 0 {
		return nil
	}
	f.controller.eachAccount(func(a *account) {
		b := due[owners[shardOf(a.organisation)]]
		if b == nil || !a.mayReportEarly(now) {
			return
		}
		b.accounts = append(b.accounts, a)
		b.usages = append(b.usages, a.usage(now))
	})
	return due
}

// send sends a batch and applies the answer.
func (f *fleet) send(ctx context.Context, owner string, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := f.encode(b)
	var response *bronzeturnv1.ReportUsageResponse
	err := errNoCoordinator
	if owner == f.controller.options.Name {
		response, err = f.coordinators.report(time.Now(), request), nil
	} else if client, url, ok := f.controller.options.Dial(owner); ok {
		response, err = call(ctx, client, url, request)
	}
	if err != nil {
		f.controller.metrics.reportFailed()
		f.controller.options.Log.Debug().Str("coordinator", owner).Err(err).Msg("usage not reported")
		response = &bronzeturnv1.ReportUsageResponse{}
	}
	f.apply(b, response)
}

// errNoCoordinator means that the owner of the limit shard can't be reached.
var errNoCoordinator = errors.New("no coordinator for the limit shard")

func call(ctx context.Context, client connect.HTTPClient, url string, r *bronzeturnv1.ReportUsageRequest) (*bronzeturnv1.ReportUsageResponse, error) {
	// Reports are too small to benefit from compression.
	service := bronzeturnv1connect.NewLimitServiceClient(client, url, connect.WithAcceptCompression("gzip", nil, nil))
	response, err := service.ReportUsage(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// apply applies the granted shares of the batch, and marks the reports without a
// share as failed.
func (f *fleet) apply(b *batch, response *bronzeturnv1.ReportUsageResponse) {
	shares := make(map[string]*bronzeturnv1.LimitShare, len(response.GetShares()))
	for _, s := range response.GetShares() {
		shares[s.GetOrganisation()] = s
	}
	now := time.Now()
	for i, a := range b.accounts {
		shard := f.controller.shard(a.organisation)
		shard.mu.Lock()
		if s := shares[a.organisation]; s != nil {
			a.apply(b.sentAt, b.usages[i], s.GetCoordinator(), decodeShare(s))
		} else {
			a.reportFailed(now)
		}
		shard.mu.Unlock()
	}
}

// encode builds the message of a batch.
func (f *fleet) encode(b *batch) *bronzeturnv1.ReportUsageRequest {
	r := &bronzeturnv1.ReportUsageRequest{Daemon: f.controller.options.Name, Incarnation: f.incarnation}
	for i, a := range b.accounts {
		r.Usages = append(r.Usages, encodeUsage(a.organisation, b.usages[i]))
	}
	return r
}
